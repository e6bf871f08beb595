//! How an agent that starts gets the records of the others, and hands over its own when it leaves.

use std::time::Duration;

use super::{KeyAction, Keys, Member};
use crate::NodeId;
use crate::messages::{KeyRecords, KeySync, RECORDS_MOST, RequestBody, SettledMember, Standing};

/// Records that are being pulled from another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pull {
    token: u64,
    asked: Duration,
    next_part: u32,
    complete: bool,
}

/// Token of records that a member sends because it leaves.
const UNASKED: u64 = 0;

impl Keys {
    /// Stops granting claims and sends all records to the others, before the agent leaves.
    pub fn leave(&mut self, now: Duration) -> Vec<KeyAction> {
        self.leaving = true;
        let others: Vec<_> = self.roster.others().collect();
        let mut out = Vec::new();
        if self.standing == Standing::Sure {
            for to in others {
                self.send_records(now, to, UNASKED, &mut out);
            }
        }
        out
    }

    pub(super) fn sync_asked(
        &mut self,
        now: Duration,
        from: NodeId,
        token: u64,
        out: &mut Vec<KeyAction>,
    ) {
        self.send_records(now, from, token, out);
        // Whoever asks is back, and may come to hold records that it did not send.
        self.roster.note_back(from);
    }

    pub(super) fn records_told(&mut self, now: Duration, from: NodeId, message: &KeyRecords) {
        self.learn_members(now, message);
        if !self.follows(from, message) {
            return;
        }
        let mut has_room = true;
        for record in &message.records {
            has_room &= self.records.merge(now, record);
        }
        let standing = Standing::try_from(message.standing).unwrap_or(Standing::Forgetful);
        let is_last = message.part + 1 == message.parts;
        let Some(pull) = self.pulls.get_mut(&from) else {
            return;
        };
        pull.next_part += 1;
        if !is_last || !has_room || standing == Standing::Forgetful {
            return;
        }
        pull.complete = true;
        if message.token == UNASKED {
            self.roster.note_left(from);
        } else if standing == Standing::Sure {
            self.note_complete(&message.left);
        }
    }

    pub(super) fn tick_roster(&mut self, now: Duration) {
        let was_settled = self.roster.is_settled(self.own);
        let is_founded = self.roster.tick(now);
        if is_founded {
            self.standing = Standing::Sure;
        } else if !was_settled && self.roster.is_settled(self.own) {
            // Others may choose holders without this agent until they have heard of it too.
            self.pull_after = now + self.config.settle;
        }
    }

    pub(super) fn tick_sync(&mut self, now: Duration, out: &mut Vec<KeyAction>) {
        if self.standing == Standing::Sure {
            return;
        }
        if self.is_complete(now) {
            self.standing = Standing::Sure;
            self.pulls.clear();
            return;
        }
        if now < self.next_pull || now < self.pull_after {
            return;
        }
        self.next_pull = now + self.config.resend;
        let others: Vec<_> = self
            .roster
            .others()
            .filter(|&node| self.needs(node))
            .collect();
        for to in others {
            let token = self.next_token;
            self.next_token = self.next_token.wrapping_add(2);
            let pull = Pull {
                token,
                asked: now,
                next_part: 0,
                complete: false,
            };
            self.pulls.insert(to, pull);
            let body = RequestBody::KeySync(KeySync { token });
            out.push(KeyAction::Send { to, body });
        }
    }

    /// Returns whether this agent holds every record that it should.
    fn is_complete(&self, now: Duration) -> bool {
        if !self.roster.is_settled(self.own) || now < self.pull_after {
            return false;
        }
        let is_old = now >= self.started + self.config.forget;
        if is_old && self.standing == Standing::Forgetful {
            return true;
        }
        let left: Vec<_> = self.roster.left().collect();
        let others = self
            .roster
            .settled()
            .map(|m| m.node)
            .filter(|&node| node != self.own);
        let missing = others
            .filter(|node| !left.contains(node) && self.needs(*node))
            .count();
        // Two holders grant each claim, so one of the others may be missing. An agent that forgot
        // its own grants can miss none.
        missing <= usize::from(self.standing == Standing::New)
    }

    /// Returns whether the records of a member are still to be pulled.
    fn needs(&self, node: NodeId) -> bool {
        let is_fresh = |p: &Pull| p.complete && p.asked >= self.pull_after;
        self.roster.is_unfounded() || !self.pulls.get(&node).is_some_and(is_fresh)
    }

    /// Takes over the members that count, as another member knows them.
    fn learn_members(&mut self, now: Duration, message: &KeyRecords) {
        let lists_own = message.settled.iter().any(|m| m.node == self.own);
        let settled: Vec<_> = message
            .settled
            .iter()
            .map(|m| Member::new(m.node, m.domain.as_str()))
            .collect();
        if self.roster.is_unfounded() {
            self.roster.adopt(now, &settled);
        }
        if lists_own && self.standing == Standing::New && !self.is_own_settlement() {
            let own = settled.iter().filter(|m| m.node == self.own).cloned();
            self.roster.adopt(now, &own.collect::<Vec<_>>());
            self.standing = Standing::Forgetful;
        }
    }

    /// Returns whether this agent counted itself in, as a new member.
    fn is_own_settlement(&self) -> bool {
        self.roster.is_settled(self.own) && self.pull_after > self.started
    }

    /// Takes over that members left after their records came to a member that is sure.
    fn note_complete(&mut self, left: &[NodeId]) {
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
    fn follows(&mut self, from: NodeId, message: &KeyRecords) -> bool {
        if message.token == UNASKED && message.part == 0 {
            let asked = self.pull_after;
            let pull = Pull {
                token: UNASKED,
                asked,
                next_part: 0,
                complete: false,
            };
            self.pulls.insert(from, pull);
        }
        let pull = self.pulls.get(&from);
        pull.is_some_and(|p| p.token == message.token && p.next_part == message.part)
    }

    fn send_records(&self, now: Duration, to: NodeId, token: u64, out: &mut Vec<KeyAction>) {
        let records = self.records.export(now);
        let parts = records.len().div_ceil(RECORDS_MOST).max(1);
        let settled: Vec<_> = self.roster.settled().map(settled_member).collect();
        // Before it knows who counts, an agent can't tell whether it is new or restarted.
        let is_certain = !self.roster.is_unfounded();
        let standing = if is_certain {
            self.standing
        } else {
            Standing::Forgetful
        };
        for part in 0..parts {
            let first = part * RECORDS_MOST;
            let last = records.len().min(first + RECORDS_MOST);
            let body = KeyRecords {
                token,
                part: part as u32,
                parts: parts as u32,
                standing: standing.into(),
                settled: settled.clone(),
                left: self.roster.left().collect(),
                records: records[first..last].to_vec(),
            };
            out.push(KeyAction::Send {
                to,
                body: RequestBody::KeyRecords(body),
            });
        }
    }
}

fn settled_member(member: &Member) -> SettledMember {
    SettledMember {
        node: member.node,
        domain: member.domain.to_string(),
    }
}
