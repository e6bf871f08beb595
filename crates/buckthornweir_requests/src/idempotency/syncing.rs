//! Synchronization of records: an agent that starts pulls the records of the other members, and one
//! that leaves sends its own.

use std::time::Duration;

use super::roster::Instance;
use super::{KeyAction, Keys, Member};
use crate::NodeId;
use crate::messages::{KeyRecords, KeySync, MAX_RECORDS, RequestBody, SettledMember, Standing};

/// State of the transfer of records from another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pull {
    pub(super) token: u64,
    pub(super) sent: Duration,
    next_part: u32,
    complete: bool,
    /// Whether the other member's standing was [`Standing::Sure`].
    sure: bool,
}

/// Token of records that a member sends unasked because it is leaving.
pub(super) const UNSOLICITED_TOKEN: u64 = 0;

impl Keys {
    /// Stops granting claims and sends all records to the other members before the agent leaves.
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
        // A member that requests records has returned, and may get records that it has not sent.
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
        // A sender that doesn't list this agent as settled may still grant claims without it.
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
            // All records that this agent may have lost have expired.
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
            // Only absent members are missing. Pulls again to learn whether the others hold their
            // records.
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

    /// Stops granting claims until the others confirm that this agent is settled.
    pub(super) fn suspend_grants(&mut self) {
        if self.standing == Standing::Sure {
            self.standing = Standing::New;
        }
        self.was_isolated = true;
        self.pulls.clear();
    }

    /// Returns whether this agent has received every record that it needs.
    fn is_complete(&self) -> bool {
        if !self.roster.is_settled(self.own) {
            return false;
        }
        let left: Vec<_> = self.roster.left_or_removed().collect();
        let settled = self.roster.settled().map(|m| m.node);
        let others: Vec<_> = settled.filter(|&node| node != self.own).collect();
        let is_missing = |node: &&NodeId| !left.contains(node) && self.needs_pull(**node);
        let missing = others.iter().filter(is_missing).count();
        // With several other members, each claim is granted by at least two holders, so the records
        // of one member may be missing. An agent that lost its own grants can't tolerate that.
        let tolerates_missing = self.standing == Standing::New && others.len() > 1;
        missing <= usize::from(tolerates_missing)
    }

    /// Returns whether a pull from a member with complete records has finished, or none is needed.
    ///
    /// The only agent of a service grants claims alone. After it restarts, members that joined
    /// meanwhile don't know which claims those were.
    fn has_complete_source(&self, now: Duration) -> bool {
        let has_expired = now >= self.started + self.config.absence_timeout;
        let needs_no_source = self.saw_founding || self.was_isolated || has_expired;
        needs_no_source || self.pulls.values().any(|p| p.complete && p.sure)
    }

    /// Returns whether the records of a member have not been pulled completely.
    fn needs_pull(&self, node: NodeId) -> bool {
        !self.pulls.get(&node).is_some_and(|p| p.complete)
    }

    /// Adopts the settled members reported by another member, and updates this agent's standing.
    fn adopt_members(&mut self, now: Duration, settled: &[SettledMember]) {
        let is_unsure = self.standing != Standing::Sure;
        if settled.is_empty() || !is_unsure {
            return;
        }
        let own = settled.iter().find(|m| m.node == self.own);
        let lists_own = own.is_some();
        // This instance was present at the founding, so no earlier one granted a claim.
        let saw_founding = own.is_some_and(|m| m.life == self.instance);
        let adopted_at = *self.adopted_at.get_or_insert(now);
        if !lists_own && self.was_isolated {
            // The others removed this agent while it was isolated.
            self.was_isolated = false;
            self.roster.unsettle_own(now);
        }
        let settled = settled
            .iter()
            .map(|m| (Member::new(m.node, m.domain.as_str()), m.life));
        self.roster.adopt(now, &settled.collect::<Vec<_>>());
        // A new member can't be settled this early, so this agent was a member before it restarted.
        let is_recent = now < self.started + self.config.absence_timeout;
        if saw_founding {
            self.saw_founding = true;
            self.grants_after
                .get_or_insert(now + self.config.founding_delay());
        } else if lists_own && is_recent && now < adopted_at + self.config.settle_delay {
            self.standing = Standing::Forgetful;
        }
    }

    /// Records the members whose records reached a member with complete records before they left.
    fn note_left_members(&mut self, left: &[NodeId]) {
        if left.contains(&self.own) && self.standing == Standing::Forgetful {
            // These records include all that this agent held before it restarted.
            self.standing = Standing::Sure;
        }
        let others: Vec<_> = self.roster.others().collect();
        for node in left.iter().filter(|node| !others.contains(node)) {
            self.roster.note_left(*node);
        }
    }

    /// Returns whether the message is the next part of a pull or of records sent unasked.
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
        // A member that isn't settled yet has to ask again in any case.
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
        // An agent that knows no settled member can't tell whether it is new or restarted.
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
