//! Queries about owners, and their answers.

use std::time::Duration;

use super::Ownership;
use super::action::Action;
use super::flows::{FlowState, KnownOwner, Shard, acknowledges};
use crate::NodeId;
use crate::messages::{self, Answer, FlowBody, OwnerState, Query};
use crate::packet::FiveTuple;
use crate::view::AgentView;

impl Ownership {
    /// Answers another agent's query.
    ///
    /// # Errors
    ///
    /// Returns an error if the query has no valid flow.
    pub fn query(
        &self,
        view: &AgentView,
        query: &Query,
        now: Duration,
        out: &mut Vec<Action>,
    ) -> messages::Result<()> {
        let tuple = messages::decode_flow(query.flow.as_ref())?;
        let (state, owner) = self.owner_state(&tuple, query.acknowledged, now);
        let answer = Answer {
            service: view.service.name.to_string(),
            from: self.node,
            flow: query.flow.clone(),
            number: query.number,
            state: state.into(),
            owner,
            bundle_version: view.version,
            members: view.service.digest(),
        };
        out.push(Action::Send {
            to: query.from,
            body: FlowBody::Answer(answer),
        });
        Ok(())
    }

    /// Handles the answer to a query.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer has no valid flow.
    pub fn answer(
        &self,
        view: &AgentView,
        answer: &Answer,
        now: Duration,
        out: &mut Vec<Action>,
    ) -> messages::Result<()> {
        let tuple = messages::decode_flow(answer.flow.as_ref())?;
        let mut shard = self.shard(&tuple);
        if answer.number == 0 {
            apply_correction(&mut shard, &tuple, answer, now);
            return Ok(());
        }
        let Some(lookup) = shard.lookups.get_mut(&tuple) else {
            return Ok(());
        };
        if lookup.number != answer.number {
            return Ok(());
        }
        lookup.newest_version = lookup.newest_version.max(answer.bundle_version);
        match answer.state() {
            OwnerState::Unknown => {}
            OwnerState::Owned => self.resolve(&mut shard, view, &tuple, answer.owner, now, out),
            // The two agents know different members, so the denial isn't conclusive: query again
            // later.
            OwnerState::NotOwner if !view.agrees(&answer.service, answer.members) => {}
            OwnerState::NotOwner => {
                lookup.deny(answer.from);
                if lookup.is_wave_denied() && !self.advance(lookup, view, now, out) {
                    shard.lookups.remove(&tuple);
                }
            }
        }
        Ok(())
    }

    /// Repeats the unanswered queries of one shard, restarts stale lookups and drops expired ones.
    pub(super) fn tick_shard(
        &self,
        shard: &mut Shard,
        view: &AgentView,
        now: Duration,
        out: &mut Vec<Action>,
    ) -> Option<Duration> {
        if shard.lookups.is_empty() {
            return None;
        }
        let digest = view.possible_owners_digest();
        shard.lookups.retain(|tuple, lookup| {
            if lookup.is_expired(now) {
                return false;
            }
            if lookup.digest != digest || lookup.is_stale(now) {
                lookup.restart(self.next_query_number(tuple), view, now);
            }
            lookup.next > now || self.advance(lookup, view, now, out)
        });
        shard.lookups.values().map(|lookup| lookup.next).min()
    }

    /// Returns this agent's knowledge about the owner of a flow.
    fn owner_state(
        &self,
        tuple: &FiveTuple,
        acknowledged: Option<u32>,
        now: Duration,
    ) -> (OwnerState, NodeId) {
        let mut shard = self.shard(tuple);
        match shard.state(tuple) {
            Some(FlowState::Established) => (OwnerState::Owned, self.node),
            Some(FlowState::Moving) => (OwnerState::Unknown, 0),
            Some(FlowState::HalfOpen(sequence)) if acknowledges(sequence, acknowledged) => {
                (OwnerState::Owned, self.node)
            }
            Some(FlowState::HalfOpen(_)) => (OwnerState::NotOwner, 0),
            None => match shard.moved.get_mut(tuple, now) {
                Some(&mut target) => (OwnerState::Owned, target),
                None => (OwnerState::NotOwner, 0),
            },
        }
    }

    /// Completes a lookup: caches the owner and passes the held packets on.
    fn resolve(
        &self,
        shard: &mut Shard,
        view: &AgentView,
        tuple: &FiveTuple,
        owner: NodeId,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if owner == self.node || view.service_of(owner).is_none() {
            return;
        }
        let Some(lookup) = shard.lookups.remove(tuple) else {
            return;
        };
        shard.owners.insert(*tuple, KnownOwner::new(owner), now);
        for forward in lookup.held.iter() {
            self.hint(shard, view, forward, tuple, now, out);
            self.pass_on(view, forward, owner, out);
        }
    }
}

/// Updates the cached owner with an unsolicited answer from that owner.
fn apply_correction(shard: &mut Shard, tuple: &FiveTuple, answer: &Answer, now: Duration) {
    let known = shard.owners.get_mut(tuple, now).map(|known| known.node);
    if known != Some(answer.from) {
        return;
    }
    match answer.state() {
        OwnerState::Unknown => {}
        OwnerState::NotOwner => shard.owners.remove(tuple),
        OwnerState::Owned => {
            let known = KnownOwner::new(answer.owner);
            shard.owners.insert(*tuple, known, now);
        }
    }
}
