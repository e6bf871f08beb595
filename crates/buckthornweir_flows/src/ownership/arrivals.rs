//! Handling of packets forwarded by balancers and other agents.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::action::{Action, DropReason};
use super::flows::{FlowState, Shard, acknowledged, acknowledges};
use super::lookup::Lookup;
use super::{MAX_HOPS, Ownership, SHARDS};
use crate::NodeId;
use crate::messages::{Answer, FlowBody, FlowKey, Forward, Hint, OwnerState, Query, Refusal};
use crate::packet::{FiveTuple, PacketInfo, reset_for};
use crate::view::AgentView;

/// A forwarded packet and the view on which its handling is based.
#[derive(Clone, Copy)]
struct Arrival<'a> {
    view: &'a AgentView,
    forward: &'a Forward,
    info: &'a PacketInfo,
    now: Duration,
}

impl Ownership {
    /// Handles a forwarded packet, which `info` describes, and adds the actions to `out`.
    pub fn packet(
        &self,
        view: &AgentView,
        forward: &Forward,
        info: &PacketInfo,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        if view.is_out {
            return refuse(view, forward, DropReason::DomainOut, out);
        }
        if forward.service != view.service.name {
            return refuse(view, forward, DropReason::WrongService, out);
        }
        let arrival = Arrival {
            view,
            forward,
            info,
            now,
        };
        let mut shard = self.shard(&info.tuple);
        match shard.state(&info.tuple) {
            Some(FlowState::Established) => out.push(Action::Deliver(info.tuple)),
            Some(FlowState::Moving) if shard.hold(forward, info.tuple) => out.push(Action::Hold),
            Some(FlowState::Moving) => out.push(Action::Drop(DropReason::NotOwner)),
            Some(FlowState::HalfOpen(sequence)) => {
                self.half_open(&mut shard, arrival, sequence, out);
            }
            None if info.starts_flow() => self.new_flow(&mut shard, arrival, out),
            None => self.unknown_flow(&mut shard, arrival, out),
        }
    }

    /// Handles a packet of a half-open flow.
    ///
    /// If the packet acknowledges a different sequence number, the caller has accepted the SYN-ACK
    /// of another agent that received a duplicate of the SYN.
    fn half_open(
        &self,
        shard: &mut Shard,
        arrival: Arrival<'_>,
        sequence: Option<u32>,
        out: &mut Vec<Action>,
    ) {
        let info = arrival.info;
        let tuple = info.tuple;
        if !info.ack || info.rst {
            return out.push(Action::Deliver(tuple));
        }
        if acknowledges(sequence, acknowledged(info)) {
            shard.set_state(&tuple, FlowState::Established);
            return out.push(Action::Deliver(tuple));
        }
        shard.remove(&tuple);
        self.count_removed(1);
        out.push(Action::Abandon(tuple));
        self.unknown_flow(shard, arrival, out);
    }

    fn new_flow(&self, shard: &mut Shard, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            view,
            forward,
            info,
            ..
        } = arrival;
        let is_own_address = view.service.has_address(info.tuple.service);
        if !is_own_address && forward.bundle_version <= view.version {
            return refuse(view, forward, DropReason::WrongService, out);
        }
        let is_unsettled_first_hop = !view.is_settled && forward.hops == 0;
        if is_unsettled_first_hop || !view.accepts_flows() {
            if let Some(other) = view.other_owner(&info.tuple) {
                return self.pass_on(view, forward, other, out);
            }
            if !view.accepts_flows() {
                return out.push(Action::Drop(DropReason::NoOwner));
            }
        }
        if self.len() >= self.limits.flows {
            return out.push(Action::Drop(DropReason::FlowsFull));
        }
        self.flows.fetch_add(1, Ordering::Relaxed);
        shard.moved.remove(&info.tuple);
        if let Some(oldest) = shard.start(info.tuple) {
            self.count_removed(1);
            out.push(Action::Abandon(oldest));
        }
        out.push(Action::Start(info.tuple));
    }

    fn unknown_flow(&self, shard: &mut Shard, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            view,
            forward,
            info,
            now,
        } = arrival;
        let tuple = &info.tuple;
        let moved = shard.moved.get_mut(tuple, now).copied();
        if let Some(target) = moved.filter(|&target| view.service_of(target).is_some()) {
            self.notify_sender(view, forward, tuple, Some(target), out);
            return self.pass_on(view, forward, target, out);
        }
        if forward.hops > 0 {
            self.notify_sender(view, forward, tuple, None, out);
            return out.push(Action::Drop(DropReason::NotOwner));
        }
        match self.known_owner(shard, view, tuple, now) {
            Some(owner) => {
                self.hint(shard, view, forward, tuple, now, out);
                self.pass_on(view, forward, owner, out);
            }
            None => self.look_up(shard, arrival, out),
        }
    }

    /// Returns the cached owner of a flow if it is still a member.
    fn known_owner(
        &self,
        shard: &mut Shard,
        view: &AgentView,
        tuple: &FiveTuple,
        now: Duration,
    ) -> Option<NodeId> {
        let owner = shard.owners.get_mut(tuple, now)?.node;
        if view.service_of(owner).is_none() {
            shard.owners.remove(tuple);
            return None;
        }
        Some(owner)
    }

    /// Sends the cached owner of a flow to a packet's balancer, unless it was sent before.
    pub(super) fn hint(
        &self,
        shard: &mut Shard,
        view: &AgentView,
        forward: &Forward,
        tuple: &FiveTuple,
        now: Duration,
        out: &mut Vec<Action>,
    ) {
        let Some(known) = shard.owners.get_mut(tuple, now) else {
            return;
        };
        if !known.mark_hinted(forward.balancer) {
            return;
        }
        let hint = Hint {
            service: view.service.name.to_string(),
            flow: Some(FlowKey::from(tuple)),
            owner: known.node,
        };
        out.push(Action::Send {
            to: forward.balancer,
            body: FlowBody::Hint(hint),
        });
    }

    fn look_up(&self, shard: &mut Shard, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            view,
            forward,
            info,
            now,
        } = arrival;
        let tuple = info.tuple;
        if let Some(lookup) = shard.lookups.get_mut(&tuple) {
            lookup.hold(forward, info, now);
            return out.push(Action::Hold);
        }
        if shard.lookups.len() >= self.limits.lookups.div_ceil(SHARDS) {
            return out.push(Action::Drop(DropReason::LookupsFull));
        }
        let number = self.next_query_number(&tuple);
        let mut lookup = Lookup::new(number, view, *info, now);
        lookup.hold(forward, info, now);
        out.push(Action::Hold);
        if self.advance(&mut lookup, view, now, out) {
            shard.lookups.insert(tuple, lookup);
        }
    }

    /// Queries the next members or concludes the lookup, and returns whether the lookup continues.
    pub(super) fn advance(
        &self,
        lookup: &mut Lookup,
        view: &AgentView,
        now: Duration,
        out: &mut Vec<Action>,
    ) -> bool {
        if lookup.is_denied() {
            return self.conclude(lookup, view, now, out);
        }
        for peer in lookup.next_wave(now) {
            let query = Query {
                service: peer.service.to_string(),
                from: self.node,
                flow: Some(FlowKey::from(&lookup.last.tuple)),
                number: lookup.number,
                acknowledged: acknowledged(&lookup.last),
            };
            out.push(Action::Send {
                to: peer.node,
                body: FlowBody::Query(query),
            });
        }
        true
    }

    /// Concludes a lookup in which every possible owner has denied owning the flow, and returns
    /// whether the lookup continues.
    ///
    /// The lookup restarts if the members have changed or the denials are stale.
    fn conclude(
        &self,
        lookup: &mut Lookup,
        view: &AgentView,
        now: Duration,
        out: &mut Vec<Action>,
    ) -> bool {
        let tuple = lookup.last.tuple;
        if lookup.digest != view.possible_owners_digest() || lookup.is_stale(now) {
            lookup.restart(self.next_query_number(&tuple), view, now);
            return self.advance(lookup, view, now, out);
        }
        if let Some(reason) = no_reset_reason(lookup, view) {
            out.push(Action::Drop(reason));
            return false;
        }
        match reset_for(&lookup.last) {
            reset if reset.is_empty() => out.push(Action::Drop(DropReason::Stray)),
            reset => out.push(Action::Reset(reset)),
        }
        false
    }

    /// Passes a packet on to another agent.
    pub(super) fn pass_on(
        &self,
        view: &AgentView,
        forward: &Forward,
        to: NodeId,
        out: &mut Vec<Action>,
    ) {
        if forward.hops >= MAX_HOPS {
            return out.push(Action::Drop(DropReason::TooManyHops));
        }
        let service = view.service_of(to).unwrap_or(&view.service.name);
        let forward = Forward {
            service: service.to_string(),
            bundle_version: view.version,
            hops: forward.hops + 1,
            balancer: forward.balancer,
            packet: forward.packet.clone(),
            sender: self.node,
        };
        out.push(Action::Send {
            to,
            body: FlowBody::Forward(forward),
        });
    }

    /// Informs the agent that passed a packet on to this one about the flow's owner, where `None`
    /// means that this agent isn't the owner.
    fn notify_sender(
        &self,
        view: &AgentView,
        forward: &Forward,
        tuple: &FiveTuple,
        owner: Option<NodeId>,
        out: &mut Vec<Action>,
    ) {
        if forward.sender == 0 {
            return;
        }
        let state = match owner {
            Some(_) => OwnerState::Owned,
            None => OwnerState::NotOwner,
        };
        let answer = Answer {
            service: view.service.name.to_string(),
            from: self.node,
            flow: Some(FlowKey::from(tuple)),
            number: 0,
            state: state.into(),
            owner: owner.unwrap_or_default(),
            bundle_version: view.version,
            members: view.service.digest(),
        };
        out.push(Action::Send {
            to: forward.sender,
            body: FlowBody::Answer(answer),
        });
    }
}

/// Returns the reason why a flow that all possible owners have denied must not be reset.
fn no_reset_reason(lookup: &Lookup, view: &AgentView) -> Option<DropReason> {
    let address = lookup.last.tuple.service;
    let others = &mut view.others.iter();
    if !view.is_settled {
        return Some(DropReason::NotSettled);
    }
    if lookup.newest_version > view.version {
        return Some(DropReason::Behind);
    }
    let is_known = view.service.has_address(address);
    if !is_known && !others.any(|service| service.has_address(address)) {
        return Some(DropReason::WrongService);
    }
    None
}

/// Drops a packet and reports the version of this agent's bundle to the sender.
fn refuse(view: &AgentView, forward: &Forward, reason: DropReason, out: &mut Vec<Action>) {
    let to = match forward.sender {
        0 => forward.balancer,
        sender => sender,
    };
    let refusal = Refusal {
        service: forward.service.clone(),
        from: view.node,
        bundle_version: view.version,
    };
    out.push(Action::Send {
        to,
        body: FlowBody::Refusal(refusal),
    });
    out.push(Action::Drop(reason));
}
