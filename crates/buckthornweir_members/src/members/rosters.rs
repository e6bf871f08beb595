//! Synchronization of tables over connections, outside the byte budget of gossip.
//!
//! The byte budget is sized for single changes and needs many seconds for the hundreds of records that change
//! when many processes start or leave at once. A process that starts, or that received nothing for a while,
//! fetches missing records until its table is complete. Afterwards it fetches the records that gossip has not
//! delivered in time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Members;
use crate::messages::{Body, Rumour};
use crate::{Action, Config, Health, Message};

/// The maximum number of records in one message of a roster, which fit into a datagram.
const MAX_PART_RECORDS: usize = 6;

/// The maximum number of messages with records sent back to the process that returned a roster.
const MAX_RETURNED: usize = 4;

/// The minimum time between two fetches while the table is being filled.
const FILL_INTERVAL: Duration = Duration::from_millis(100);

/// The timeout of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of fetches in flight. Those from seeds that are no members yet don't delay those
/// from members, because connections to a VM that is down wait for their time limit.
const MAX_FETCHES: usize = 3;

/// The number of processes that must have returned no unknown member if none of them has a complete table.
const MIN_AGREEING: usize = 3;

/// The number of rosters from complete tables after which this table is complete, even if each of them still
/// contained unknown members because members keep joining.
const MIN_COMPLETE_ANSWERS: u32 = 2;

/// The minimum filling time if no process has a complete table, because processes that start together don't
/// all start at the same moment.
const MIN_FILLING: Duration = Duration::from_millis(400);

/// The maximum filling time, after which the table counts as complete even if rosters still contain unknown
/// members.
const MAX_FILLING: Duration = Duration::from_secs(5);

/// The time without received messages after which the table counts as stale.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// The time that tables may differ before records are fetched. Gossip delivers a change in less time.
const DIFFERENCE_GRACE: Duration = Duration::from_millis(600);

/// The minimum time between two fetches with a complete table, while gossip carries all changes.
const FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum time between two fetches with a complete table, while the byte budget is low.
const LOW_BUDGET_INTERVAL: Duration = Duration::from_millis(300);

/// The number of bytes below which the budget is low.
const LOW_BUDGET_BYTES: usize = 8_000;

/// A request for the records that the sender is missing.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterRequest {
    /// A message with the record of the requesting process.
    pub introduction: Message,
    /// The digest of each bucket of its table.
    pub digests: Vec<u32>,
}

/// The response to a [`RosterRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    /// Messages with the records in those buckets that differ.
    pub messages: Vec<Message>,
    /// The digest of each bucket of the responding process's table.
    pub digests: Vec<u32>,
    /// Whether that table is complete.
    pub whole: bool,
}

/// The progress of filling this node's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filling {
    /// No process with a complete table has responded yet.
    Unheard,
    /// A process with a complete table has responded, but more records must be fetched.
    Behind,
    /// The table is complete.
    Whole,
}

/// A fetch in flight.
#[derive(Debug)]
struct Fetch {
    deadline: Duration,
    /// Whether the responding process was a known member when it was asked.
    from_member: bool,
}

/// The state of roster fetches.
#[derive(Debug)]
pub(super) struct Rosters {
    enabled: bool,
    /// When filling of the table began, or `None` once it is complete.
    filling_since: Option<Duration>,
    /// Rosters from complete tables since then.
    complete_answers: u32,
    /// Processes that returned no unknown member since the last roster with one.
    agreed: BTreeSet<SocketAddr>,
    /// Fetches in flight, by the address of the responding process.
    in_flight: BTreeMap<SocketAddr, Fetch>,
    next: Duration,
    /// Whether the next fetch prefers another failure domain.
    remote_next: bool,
    /// When a fetch is due because of a difference from other tables, if there is one.
    fetch_due: Option<Duration>,
}

impl Rosters {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            enabled: config.rosters,
            filling_since: Some(Duration::ZERO),
            complete_answers: 0,
            agreed: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            next: Duration::ZERO,
            remote_next: false,
            fetch_due: None,
        }
    }

    /// Restarts the filling of the table.
    pub(super) fn restart(&mut self, now: Duration) {
        self.filling_since = Some(now);
        self.complete_answers = 0;
        self.agreed.clear();
        self.next = now;
    }

    /// Returns whether another fetch from a member may start.
    fn has_capacity(&self) -> bool {
        let fetches = self.in_flight.values();
        fetches.filter(|fetch| fetch.from_member).count() < MAX_FETCHES
    }

    /// Returns when the next fetch is due, if any.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let may_fetch = self.enabled && self.has_capacity();
        match (self.filling_since, self.fetch_due) {
            (Some(_), _) if may_fetch => Some(self.next),
            (None, Some(due)) if may_fetch => Some(self.next.max(due)),
            _ => None,
        }
    }
}

impl Members {
    /// Returns the progress of filling the table.
    pub fn filling(&self) -> Filling {
        match (self.rosters.filling_since, self.rosters.complete_answers) {
            (None, _) => Filling::Whole,
            (Some(_), 0) => Filling::Unheard,
            (Some(_), _) => Filling::Behind,
        }
    }

    /// Returns the digest of each bucket of the table.
    pub fn digests(&self) -> Vec<u32> {
        self.table.digests()
    }

    /// Returns the request to send for [`Action::FetchRoster`].
    pub fn roster_request(&self) -> RosterRequest {
        let own = self.own_entry().rumour(true);
        RosterRequest {
            introduction: self.message(Body::Gossip, vec![own]),
            digests: self.table.digests(),
        }
    }

    /// Answers a request of the process that receives messages at `requester`.
    pub fn answer_roster(
        &mut self,
        now: Duration,
        requester: SocketAddr,
        request: RosterRequest,
    ) -> (Roster, Vec<Action>) {
        self.advance(now);
        // The record is merged before the header, which would request it otherwise.
        let sender = request.introduction.header.node;
        for rumour in &request.introduction.rumours {
            self.merge_rumour(sender, rumour, true);
        }
        let actions = self.handle(now, requester, request.introduction);
        let roster = Roster {
            messages: self.roster(&request.digests),
            digests: self.table.digests(),
            whole: self.rosters.filling_since.is_none(),
        };
        (roster, actions)
    }

    /// Returns messages with the records in those buckets whose digests differ from `known`.
    ///
    /// Dead members are included only in buckets in which the other process knows a member. The messages
    /// don't count against the byte budget, and the receiver passes them to [`Members::handle`].
    pub fn roster(&self, known: &[u32]) -> Vec<Message> {
        let own = self.table.digests();
        let differs =
            |bucket: &u8| known.get(usize::from(*bucket)) != own.get(usize::from(*bucket));
        let mut rumours: Vec<Rumour> = Vec::new();
        for bucket in (0..=u8::MAX).filter(differs) {
            let knows_members = known
                .get(usize::from(bucket))
                .is_some_and(|&digest| digest != 0);
            let entries = self.table.bucket(bucket);
            let included = entries.filter(|entry| knows_members || entry.health != Health::Dead);
            rumours.extend(included.map(|entry| entry.rumour(entry.health != Health::Dead)));
        }
        let body = Body::Chunk {
            sequence: 0,
            more: false,
        };
        let parts = rumours.chunks(MAX_PART_RECORDS);
        parts
            .map(|part| self.message(body.clone(), part.to_vec()))
            .collect()
    }

    /// Handles the response of `from` to a request, or `None` if the request failed.
    pub fn handle_roster(
        &mut self,
        now: Duration,
        from: SocketAddr,
        roster: Option<Roster>,
    ) -> Vec<Action> {
        self.advance(now);
        self.rosters.in_flight.remove(&from);
        let Some(roster) = roster else {
            return self.take_actions();
        };
        self.introductions.note_answer(from);
        let before = self.table.len();
        let mut actions = Vec::new();
        for message in roster.messages {
            actions.extend(self.handle(now, from, message));
        }
        // Records are exchanged in both directions, so that a record known to few processes spreads faster.
        let missing = self.roster(&roster.digests).into_iter().take(MAX_RETURNED);
        actions.extend(missing.map(|message| Action::Send { to: from, message }));
        self.rosters.fetch_due = None;
        let learned = self.table.len() > before;
        match learned {
            true => self.rosters.agreed.clear(),
            false => drop(self.rosters.agreed.insert(from)),
        }
        self.rosters.complete_answers += u32::from(roster.whole);
        self.update_filling(roster.whole && !learned);
        actions
    }

    /// Ends the filling of the table if `confirmed`, if enough rosters agree, or after [`MAX_FILLING`].
    fn update_filling(&mut self, confirmed: bool) {
        let Some(since) = self.rosters.filling_since else {
            return;
        };
        let others = self.table.live().len();
        let needed = MIN_AGREEING.min(others.max(1));
        let agreed = self.rosters.agreed.len() >= needed && self.now >= since + MIN_FILLING;
        let overdue = others > 0 && self.now >= since + MAX_FILLING;
        if confirmed || agreed || overdue || self.rosters.complete_answers >= MIN_COMPLETE_ANSWERS {
            self.rosters.filling_since = None;
        }
    }

    /// Compares the table digest of a message's sender with this node's digest and schedules a fetch if they
    /// differ.
    ///
    /// While the budget is sufficient, gossip delivers the differences, so a single equal digest cancels the
    /// fetch. With a low budget an equal digest proves little, because most processes may lack the same
    /// record.
    pub(super) fn compare_table(&mut self, digest: u32) {
        let low_budget = self.is_budget_low();
        if digest != self.table.digest() {
            let grace = if low_budget {
                Duration::ZERO
            } else {
                DIFFERENCE_GRACE
            };
            let due = self.now + grace;
            let before = self.rosters.fetch_due.unwrap_or(due);
            self.rosters.fetch_due = Some(before.min(due));
        } else if !low_budget {
            self.rosters.fetch_due = None;
        }
    }

    /// Returns whether the byte budget is too low for gossip of full records.
    fn is_budget_low(&self) -> bool {
        self.budget.available() < LOW_BUDGET_BYTES
    }

    /// Restarts the filling of the table if nothing was received for too long.
    pub(super) fn check_silence(&mut self, length: Duration) {
        if length >= SILENCE_LIMIT && self.rosters.filling_since.is_none() {
            self.rosters.restart(self.now);
        }
    }

    pub(super) fn tick_rosters(&mut self) {
        let now = self.now;
        self.rosters
            .in_flight
            .retain(|_, fetch| now < fetch.deadline);
        self.update_filling(false);
        if self.rosters.next_due().is_none_or(|due| now < due) {
            return;
        }
        self.rosters.next = now + self.fetch_interval();
        if let Some((source, from_member)) = self.choose_source() {
            let deadline = now + FETCH_TIMEOUT;
            let fetch = Fetch {
                deadline,
                from_member,
            };
            self.rosters.in_flight.insert(source, fetch);
            self.introductions.note_sent(source);
            self.actions.push(Action::FetchRoster { from: source });
        }
    }

    fn fetch_interval(&self) -> Duration {
        match self.rosters.filling_since {
            Some(_) => FILL_INTERVAL,
            None if self.is_budget_low() => LOW_BUDGET_INTERVAL,
            None => FETCH_INTERVAL,
        }
    }

    /// Returns the address for the next request and whether it is that of a member, or `None` if there is
    /// no candidate.
    ///
    /// Alternates between members of this node's failure domain, because traffic between domains is
    /// expensive, and members of other domains, because members of one domain may miss the same records.
    /// Falls back to seeds if no member is a candidate.
    fn choose_source(&mut self) -> Option<(SocketAddr, bool)> {
        let own = self.own().control;
        let is_candidate = |at: &SocketAddr| {
            !self.rosters.in_flight.contains_key(at) && !self.rosters.agreed.contains(at)
        };
        let live = self.table.live().iter();
        let records = live
            .filter_map(|&node| self.table.get(node))
            .filter(|entry| entry.health == Health::Alive)
            .map(|entry| &entry.record)
            .filter(|record| is_candidate(&record.control));
        let (local, remote): (Vec<_>, Vec<_>) =
            records.partition(|record| record.domain == self.own().domain);
        let chosen = match local.is_empty() || self.rosters.remote_next && !remote.is_empty() {
            true => remote,
            false => local,
        };
        let chosen: Vec<_> = chosen.into_iter().map(|record| record.control).collect();
        let seeds = self.seeds.iter().copied();
        let seeds: Vec<_> = seeds
            .filter(|seed| *seed != own && is_candidate(seed))
            .collect();
        self.rosters.remote_next = !self.rosters.remote_next;
        if let Some(member) = self.choose(&chosen) {
            return Some((member, true));
        }
        let has_capacity = self.rosters.in_flight.len() < MAX_FETCHES;
        let seed = self.choose(&seeds).filter(|_| has_capacity)?;
        Some((seed, false))
    }
}
