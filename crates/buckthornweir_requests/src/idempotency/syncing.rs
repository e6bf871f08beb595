//! How an agent that starts gets the records of the others, and hands over its own when it leaves.

use std::time::Duration;

use super::roster::Instance;
use super::{KeyAction, Keys, Member};
use crate::NodeId;
use crate::messages::{KeyRecords, KeySync, MAX_RECORDS, RequestBody, SettledMember, Standing};

/// Records that are being pulled from another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pull {
    pub(super) token: u64,
    pub(super) sent: Duration,
    next_part: u32,
    complete: bool,
    /// Whether the other member held all of its records.
    sure: bool,
}

/// Token of records that a member sends because it leaves.
pub(super) const UNSOLICITED_TOKEN: u64 = 0;

impl Keys {
    /// Stops granting claims and sends all records to the others, before the agent leaves.
    pub fn leave(&mut self, now: Duration) -> Vec<KeyAction> {
        self.leaving = true;
        let others: Vec<_> = self.roster.others().collect();
        let mut out = Vec::new();
        if self.standing == Standing::Sure {
            for to in others {
                self.send_records(now, to, UNSOLICITED_TOKEN, &mut out);
            }
        }
        out
    }

    pub(super) fn sync_requested(
        &mut self,
        now: Duration,
        from: NodeId,
        token: u64,
        out: &mut Vec<KeyAction>,
    ) {
        self.send_records(now, from, token, out);
        // Whoever asks is back, and may come to hold records that it did not send.
        self.roster.clear_left(from);
    }

    pub(super) fn records_received(&mut self, now: Duration, from: NodeId, message: &KeyRecords) {
        let standing = Standing::try_from(message.standing).unwrap_or(Standing::Forgetful);
        self.adopt_members(now, &message.settled);
        if !self.is_expected_part(from, message) {
            return;
        }
        self.note_unfounded(from, message);
        let mut has_room = true;
        for record in &message.records {
            has_room &= self.records.merge(now, record);
        }
        let lists_own = message.settled.iter().any(|m| m.node == self.own);
        let Some(pull) = self.pulls.get_mut(&from) else {
            return;
        };
        pull.next_part += 1;
        let is_last = message.part + 1 == message.parts;
        if !is_last || !has_room || standing == Standing::Forgetful {
            return;
        }
        // A member that doesn't count this agent may still grant claims without it.
        pull.complete = lists_own;
        pull.sure = standing == Standing::Sure;
        if message.token == UNSOLICITED_TOKEN {
            self.roster.note_left(from);
        }
        if standing == Standing::Sure && (lists_own || message.token == UNSOLICITED_TOKEN) {
            self.note_left_members(&message.left);
        }
    }

    pub(super) fn tick_sync(&mut self, now: Duration, out: &mut Vec<KeyAction>) {
        if self.standing == Standing::Sure {
            return;
        }
        if now >= self.started + self.config.absence_timeout {
            // All that this agent may have forgotten has expired.
            self.standing = Standing::New;
        }
        let is_delayed = self.grants_after.is_some_and(|until| now < until);
        let is_complete = self.is_complete() && self.has_complete_source(now);
        if is_complete && is_delayed {
            return;
        }
        if (is_complete || self.is_founder) && !is_delayed {
            self.is_founder = false;
            self.standing = Standing::Sure;
            self.was_isolated = false;
            self.pulls.clear();
            return;
        }
        let is_joining = !self.roster.is_unfounded() && !self.roster.is_settled(self.own);
        if now < self.next_pull || is_joining {
            return;
        }
        self.next_pull = now + self.config.resend_interval;
        let others: Vec<_> = self
            .roster
            .others()
            .filter(|&node| self.needs_pull(node))
            .collect();
        if others.is_empty() {
            // Only members that are gone are missing; ask again whether their records are held.
            self.pulls.clear();
            self.next_pull = now + self.config.settle_delay / 2;
        }
        for to in others {
            let token = self.next_token;
            self.next_token = self.next_token.wrapping_add(2);
            self.pulls.insert(
                to,
                Pull {
                    token,
                    sent: now,
                    next_part: 0,
                    complete: false,
                    sure: false,
                },
            );
            let body = RequestBody::KeySync(KeySync { token });
            out.push(KeyAction::Send { to, body });
        }
    }

    /// Stops granting until the others confirm that they count this agent.
    pub(super) fn suspend_grants(&mut self) {
        if self.standing == Standing::Sure {
            self.standing = Standing::New;
        }
        self.was_isolated = true;
        self.pulls.clear();
    }

    /// Returns whether this agent holds every record that it should.
    fn is_complete(&self) -> bool {
        if !self.roster.is_settled(self.own) {
            return false;
        }
        let left: Vec<_> = self.roster.left_or_removed().collect();
        let settled = self.roster.settled().map(|m| m.node);
        let others: Vec<_> = settled.filter(|&node| node != self.own).collect();
        let is_missing = |node: &&NodeId| !left.contains(node) && self.needs_pull(**node);
        let missing = others.iter().filter(is_missing).count();
        // Two holders grant each claim where there are two, so one of several others may be missing.
        // An agent that forgot its own grants can miss none.
        let tolerates_missing = self.standing == Standing::New && others.len() > 1;
        missing <= usize::from(tolerates_missing)
    }

    /// Returns whether a member that holds all of its records told of them, or none is needed.
    ///
    /// A lone agent grants alone. If it restarts, members that joined since don't know what.
    fn has_complete_source(&self, now: Duration) -> bool {
        let has_expired = now >= self.started + self.config.absence_timeout;
        let needs_no_source = self.saw_founding || self.was_isolated || has_expired;
        needs_no_source || self.pulls.values().any(|p| p.complete && p.sure)
    }

    /// Returns whether the records of a member are still to be pulled.
    fn needs_pull(&self, node: NodeId) -> bool {
        !self.pulls.get(&node).is_some_and(|p| p.complete)
    }

    /// Takes over the members that count, as another member knows them.
    fn adopt_members(&mut self, now: Duration, settled: &[SettledMember]) {
        let is_unsure = self.standing != Standing::Sure;
        if settled.is_empty() || !is_unsure {
            return;
        }
        let own = settled.iter().find(|m| m.node == self.own);
        let lists_own = own.is_some();
        // It was there at the founding, so no earlier life of it granted anything.
        let saw_founding = own.is_some_and(|m| m.life == self.instance);
        let adopted_at = *self.adopted_at.get_or_insert(now);
        if !lists_own && self.was_isolated {
            // The others dropped this agent while it was away.
            self.was_isolated = false;
            self.roster.unsettle_own(now);
        }
        let settled = settled
            .iter()
            .map(|m| (Member::new(m.node, m.domain.as_str()), m.life));
        self.roster.adopt(now, &settled.collect::<Vec<_>>());
        // No member counts a new one so early: this agent was one before it restarted.
        let is_recent = now < self.started + self.config.absence_timeout;
        if saw_founding {
            self.saw_founding = true;
            self.grants_after
                .get_or_insert(now + self.config.founding_delay());
        } else if lists_own && is_recent && now < adopted_at + self.config.settle_delay {
            self.standing = Standing::Forgetful;
        }
    }

    /// Takes over that members left after their records came to a member that is sure.
    fn note_left_members(&mut self, left: &[NodeId]) {
        if left.contains(&self.own) && self.standing == Standing::Forgetful {
            // Everything that this agent held in its earlier life came with these records.
            self.standing = Standing::Sure;
        }
        let others: Vec<_> = self.roster.others().collect();
        for node in left.iter().filter(|node| !others.contains(node)) {
            self.roster.note_left(*node);
        }
    }

    /// Returns whether the message is the next part of a pull, or of records sent unasked.
    fn is_expected_part(&mut self, from: NodeId, message: &KeyRecords) -> bool {
        if message.token == UNSOLICITED_TOKEN && message.part == 0 {
            let pull = Pull {
                token: UNSOLICITED_TOKEN,
                sent: Duration::ZERO,
                next_part: 0,
                complete: false,
                sure: false,
            };
            self.pulls.insert(from, pull);
        }
        let pull = self.pulls.get(&from);
        pull.is_some_and(|p| p.token == message.token && p.next_part == message.part)
    }

    fn send_records(&self, now: Duration, to: NodeId, token: u64, out: &mut Vec<KeyAction>) {
        // Whoever isn't counted here yet would have to ask again anyway.
        let may_receive = token == UNSOLICITED_TOKEN || self.roster.is_settled(to);
        let records = if may_receive {
            self.records.export(now)
        } else {
            Vec::new()
        };
        let parts = records.len().div_ceil(MAX_RECORDS).max(1);
        let settled: Vec<_> = self
            .roster
            .settled_instances()
            .map(settled_member)
            .collect();
        // Before it knows who counts, an agent can't tell whether it is new or restarted.
        let is_founded = !self.roster.is_unfounded();
        let standing = if is_founded {
            self.standing
        } else {
            Standing::Forgetful
        };
        for part in 0..parts {
            let first = part * MAX_RECORDS;
            let last = records.len().min(first + MAX_RECORDS);
            let body = KeyRecords {
                token,
                part: part as u32,
                parts: parts as u32,
                standing: standing.into(),
                settled: settled.clone(),
                left: self.roster.left_or_removed().collect(),
                records: records[first..last].to_vec(),
                life: self.instance,
            };
            out.push(KeyAction::Send {
                to,
                body: RequestBody::KeyRecords(body),
            });
        }
    }
}

fn settled_member((member, life): (&Member, Instance)) -> SettledMember {
    SettledMember {
        life,
        node: member.node,
        domain: member.domain.to_string(),
    }
}
