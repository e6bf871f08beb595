//! Whole tables over connections, outside the byte budget of gossip.
//!
//! Answers the load of many processes that start or leave at once: the budget is meant for single changes
//! and takes many seconds to carry hundreds of records. A process that starts, or that heard nobody for a
//! while, fetches what it lacks until its table is whole; later it fetches what gossip has not brought
//! in time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Members;
use crate::messages::{Body, Rumour};
use crate::{Action, Config, Health, Message};

/// The most records in one message of a roster; they fit into a datagram.
const ROSTER_PART: usize = 6;

/// The most messages that tell the process that answered what it lacks itself.
const MAX_RETURNED: usize = 4;

/// The shortest time between two fetches while the table is being filled.
const FILL_PAUSE: Duration = Duration::from_millis(100);

/// How long a fetch may take before it is given up.
const FETCH_LIMIT: Duration = Duration::from_secs(1);

/// The most fetches in flight.
const MAX_ASKED: usize = 3;

/// How many processes must know the same members, where none of them has a whole table itself.
const AGREEING: usize = 3;

/// How many answers of processes with whole tables make the own one whole, although members join meanwhile.
const SURE_ANSWERS: u32 = 2;

/// The least time that a table takes to be whole where no process has a whole one: all start together,
/// and some later than others.
const LEAST_FILLING: Duration = Duration::from_millis(400);

/// The time after which a table counts as whole although other processes still name unknown members.
const FILL_LIMIT: Duration = Duration::from_secs(5);

/// How long a process must have heard nobody for its table to count as old.
const DEAF_LIMIT: Duration = Duration::from_millis(1_500);

/// How long tables may differ before the records are fetched: changes on their way take less.
const DIFFERENCE_LIMIT: Duration = Duration::from_millis(600);

/// The least time between two fetches of a whole table while gossip carries all changes.
const CALM_PAUSE: Duration = Duration::from_secs(1);

/// The same while the byte budget is used up.
const SPENT_PAUSE: Duration = Duration::from_millis(300);

/// The bytes below which the budget counts as used up.
const SPENT_BYTES: usize = 8_000;

/// What a process asks another one that is to name members.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterRequest {
    /// The own record of the process that asks.
    pub introduction: Message,
    /// A digest for each part of its table.
    pub digests: Vec<u32>,
}

/// What a process answers to a [`RosterRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct Roster {
    /// Messages that name the members in those parts of the table that differ.
    pub messages: Vec<Message>,
    /// A digest for each part of its table.
    pub digests: Vec<u32>,
    /// Whether the table of the process that answers is whole.
    pub whole: bool,
}

/// How far the own table is filled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filling {
    /// No process with a whole table was heard yet.
    Unheard,
    /// A process with a whole table was heard, and there is more to fetch.
    Behind,
    /// The table is whole.
    Whole,
}

/// The fetches of members.
#[derive(Debug)]
pub(super) struct Rosters {
    enabled: bool,
    /// Since when the table is being filled; `None` once it is whole.
    since: Option<Duration>,
    /// Answers of processes with whole tables since then.
    whole_answers: u32,
    /// Processes that named no unknown member since one did.
    agreed: BTreeSet<SocketAddr>,
    /// Fetches in flight, and when they are given up.
    asked: BTreeMap<SocketAddr, Duration>,
    next: Duration,
    /// Whether the next fetch goes to another failure domain.
    far: bool,
    /// When the difference from other tables has lasted too long, if there is one.
    behind: Option<Duration>,
}

impl Rosters {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            enabled: config.rosters,
            since: Some(Duration::ZERO),
            whole_answers: 0,
            agreed: BTreeSet::new(),
            asked: BTreeMap::new(),
            next: Duration::ZERO,
            far: false,
            behind: None,
        }
    }

    /// Fills the table anew from `now` on.
    pub(super) fn restart(&mut self, now: Duration) {
        self.since = Some(now);
        self.whole_answers = 0;
        self.agreed.clear();
        self.next = now;
    }

    /// Returns when the next fetch is due, if one is.
    pub(super) fn next_due(&self) -> Option<Duration> {
        let may_ask = self.enabled && self.asked.len() < MAX_ASKED;
        match (self.since, self.behind) {
            (Some(_), _) if may_ask => Some(self.next),
            (None, Some(due)) if may_ask => Some(self.next.max(due)),
            _ => None,
        }
    }
}

impl Members {
    /// Returns how far the table is filled.
    pub fn filling(&self) -> Filling {
        match (self.rosters.since, self.rosters.whole_answers) {
            (None, _) => Filling::Whole,
            (Some(_), 0) => Filling::Unheard,
            (Some(_), _) => Filling::Behind,
        }
    }

    /// Returns a digest for each part of the table.
    pub fn digests(&self) -> Vec<u32> {
        self.table.digests()
    }

    /// Returns what [`Action::FetchRoster`] sends.
    pub fn roster_request(&self) -> RosterRequest {
        let own = self.own_entry().rumour(true);
        RosterRequest {
            introduction: self.message(Body::Gossip, vec![own]),
            digests: self.table.digests(),
        }
    }

    /// Answers the request of the process that takes messages at `asker`.
    pub fn answer_roster(
        &mut self,
        now: Duration,
        asker: SocketAddr,
        request: RosterRequest,
    ) -> (Roster, Vec<Action>) {
        self.advance(now);
        // The record comes first, or the header would ask for it.
        let sender = request.introduction.header.node;
        for rumour in &request.introduction.rumours {
            self.merge_rumour(sender, rumour, true);
        }
        let actions = self.handle(now, asker, request.introduction);
        let roster = Roster {
            messages: self.roster(&request.digests),
            digests: self.table.digests(),
            whole: self.rosters.since.is_none(),
        };
        (roster, actions)
    }

    /// Returns messages that name the members of those parts of the table whose digests are not `known`.
    ///
    /// The dead are named only in parts where the other process knows a member. The messages count against
    /// no budget, and the receiver takes them with [`Members::handle`].
    pub fn roster(&self, known: &[u32]) -> Vec<Message> {
        let own = self.table.digests();
        let differs =
            |bucket: &u8| known.get(usize::from(*bucket)) != own.get(usize::from(*bucket));
        let mut rumours: Vec<Rumour> = Vec::new();
        for bucket in (0..=u8::MAX).filter(differs) {
            let knows_some = known
                .get(usize::from(bucket))
                .is_some_and(|&digest| digest != 0);
            let entries = self.table.bucket(bucket);
            let named = entries.filter(|entry| knows_some || entry.health != Health::Dead);
            rumours.extend(named.map(|entry| entry.rumour(entry.health != Health::Dead)));
        }
        let body = Body::Chunk {
            sequence: 0,
            more: false,
        };
        let parts = rumours.chunks(ROSTER_PART);
        parts
            .map(|part| self.message(body.clone(), part.to_vec()))
            .collect()
    }

    /// Takes the answer that `from` gave to a request, or `None` when it gave none.
    pub fn take_roster(
        &mut self,
        now: Duration,
        from: SocketAddr,
        roster: Option<Roster>,
    ) -> Vec<Action> {
        self.advance(now);
        self.rosters.asked.remove(&from);
        let Some(roster) = roster else {
            return self.take_actions();
        };
        let before = self.table.len();
        let mut actions = Vec::new();
        for message in roster.messages {
            actions.extend(self.handle(now, from, message));
        }
        // A record that few know spreads by each exchange, whoever began it.
        let lacked = self.roster(&roster.digests).into_iter().take(MAX_RETURNED);
        actions.extend(lacked.map(|message| Action::Send { to: from, message }));
        self.rosters.behind = None;
        let news = self.table.len() > before;
        match news {
            true => self.rosters.agreed.clear(),
            false => drop(self.rosters.agreed.insert(from)),
        }
        self.rosters.whole_answers += u32::from(roster.whole);
        self.end_filling(roster.whole && !news);
        actions
    }

    /// Counts the table as whole if `sure`, or if enough others say so.
    fn end_filling(&mut self, sure: bool) {
        let Some(since) = self.rosters.since else {
            return;
        };
        let others = self.table.live().len();
        let needed = AGREEING.min(others.max(1));
        let agreed = self.rosters.agreed.len() >= needed && self.now >= since + LEAST_FILLING;
        let overdue = others > 0 && self.now >= since + FILL_LIMIT;
        if sure || agreed || overdue || self.rosters.whole_answers >= SURE_ANSWERS {
            self.rosters.since = None;
        }
    }

    /// Notes whether the sender of a message has the same table.
    ///
    /// While the budget lasts, gossip carries what differs, and one equal table shows that it did. Later, a
    /// record that is new to most may be known to few.
    pub(super) fn note_table(&mut self, digest: u32) {
        let spent = self.is_spent();
        if digest != self.table.digest() {
            let patience = if spent {
                Duration::ZERO
            } else {
                DIFFERENCE_LIMIT
            };
            let due = self.now + patience;
            let before = self.rosters.behind.unwrap_or(due);
            self.rosters.behind = Some(before.min(due));
        } else if !spent {
            self.rosters.behind = None;
        }
    }

    /// Returns whether gossip no longer carries full records.
    fn is_spent(&self) -> bool {
        self.budget.available() < SPENT_BYTES
    }

    /// Starts to fill the table anew after a time in which nothing was heard.
    pub(super) fn note_silence(&mut self, length: Duration) {
        if length >= DEAF_LIMIT && self.rosters.since.is_none() {
            self.rosters.restart(self.now);
        }
    }

    pub(super) fn tick_rosters(&mut self) {
        let now = self.now;
        self.rosters.asked.retain(|_, deadline| now < *deadline);
        self.end_filling(false);
        if self.rosters.next_due().is_none_or(|due| now < due) {
            return;
        }
        self.rosters.next = now + self.fetch_pause();
        if let Some(teller) = self.choose_teller() {
            self.rosters.asked.insert(teller, now + FETCH_LIMIT);
            self.actions.push(Action::FetchRoster { from: teller });
        }
    }

    fn fetch_pause(&self) -> Duration {
        match self.rosters.since {
            Some(_) => FILL_PAUSE,
            None if self.is_spent() => SPENT_PAUSE,
            None => CALM_PAUSE,
        }
    }

    /// Returns where the next request goes: to a seed while no member is known, then by turns to a member of
    /// the own failure domain, since traffic between them is dear, and to one elsewhere, since near ones may
    /// lack the same.
    fn choose_teller(&mut self) -> Option<SocketAddr> {
        let own = self.own().control;
        let is_fresh = |at: &SocketAddr| {
            !self.rosters.asked.contains_key(at) && !self.rosters.agreed.contains(at)
        };
        let live = self.table.live().iter();
        let records = live
            .filter_map(|&node| self.table.get(node))
            .filter(|entry| entry.health == Health::Alive)
            .map(|entry| &entry.record)
            .filter(|record| is_fresh(&record.control));
        let (near, far): (Vec<_>, Vec<_>) =
            records.partition(|record| record.domain == self.own().domain);
        let chosen = match near.is_empty() || self.rosters.far && !far.is_empty() {
            true => far,
            false => near,
        };
        let chosen: Vec<_> = chosen.into_iter().map(|record| record.control).collect();
        let seeds = self.seeds.iter().copied();
        let seeds: Vec<_> = seeds
            .filter(|seed| *seed != own && is_fresh(seed))
            .collect();
        self.rosters.far = !self.rosters.far;
        self.choose(&chosen).or_else(|| self.choose(&seeds))
    }
}
