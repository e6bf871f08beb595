//! The agents of a service in the order in which a new flow is offered to them.
//!
//! Balancers, agents and explanations of a route share these functions, so an explanation can't
//! differ from the decision that it explains.

use std::collections::HashMap;

use crate::NodeId;
use crate::packet::FiveTuple;
use crate::placement::BUCKETS;
use crate::view::{Member, MemberState, ServiceView};

/// The reason why an agent is or isn't chosen for a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The placement selects the agent.
    Chosen,
    /// The agent accepts new flows and ranks after the chosen one.
    RankedLower,
    /// The agent is draining.
    Draining,
    /// The agent announces weight step 0, so it gets no new flows.
    NoWeight,
    /// The failure domain of the agent is out.
    DomainOut,
}

/// An agent of a service, ranked for one flow.
#[derive(Clone, Debug, PartialEq)]
pub struct RankedMember<'a> {
    /// The agent.
    pub member: &'a Member,
    /// The fraction of the service's new flows that the agent gets, from 0 to 1.
    pub share: f64,
    /// Why the agent is or isn't chosen.
    pub verdict: Verdict,
}

impl ServiceView {
    /// Returns the agent to which balancers send a new flow, or `None` if none accepts new flows.
    pub fn new_owner(&self, tuple: &FiveTuple) -> Option<&Member> {
        self.member(self.placement().owner(tuple)?)
    }

    /// Returns the agent to which `refusing` passes on a new flow that it doesn't accept, or `None`
    /// if no other agent accepts new flows.
    pub fn next_owner(&self, tuple: &FiveTuple, refusing: NodeId) -> Option<&Member> {
        let accepts = |member: &&Member| member.node != refusing && member.accepts_flows();
        let owner = self.new_owner(tuple).filter(accepts);
        owner.or_else(|| self.in_order(tuple).find(accepts))
    }

    /// Returns all agents of the service that haven't left, ranked for a new flow: those that accept
    /// it in the order in which they are tried, then the others.
    pub fn ranked(&self, tuple: &FiveTuple) -> Vec<RankedMember<'_>> {
        let owner = self.new_owner(tuple).map(|member| member.node);
        let shares = self.shares();
        let in_service = self.in_order(tuple).map(|member| RankedMember {
            member,
            share: shares.get(&member.node).copied().unwrap_or_default(),
            verdict: verdict(member, owner),
        });
        let out = self.members_out().iter().map(|member| RankedMember {
            member,
            share: 0.0,
            verdict: Verdict::DomainOut,
        });
        let mut ranked: Vec<_> = in_service.chain(out).collect();
        // The sort is stable, so that the agents that accept flows stay in the order of placement.
        ranked.sort_by_key(|ranked| !ranked.verdict.accepts_flows());
        ranked
    }

    fn in_order(&self, tuple: &FiveTuple) -> impl Iterator<Item = &Member> {
        let order = self.placement().order(tuple).into_iter();
        order.filter_map(|node| self.member(node))
    }

    fn shares(&self) -> HashMap<NodeId, f64> {
        let mut shares = HashMap::new();
        for owner in self.placement().owners() {
            *shares.entry(owner).or_default() += 1.0 / f64::from(BUCKETS);
        }
        shares
    }
}

impl Verdict {
    /// Returns whether an agent with this verdict accepts new flows.
    pub fn accepts_flows(self) -> bool {
        matches!(self, Self::Chosen | Self::RankedLower)
    }
}

fn verdict(member: &Member, owner: Option<NodeId>) -> Verdict {
    match member.state {
        _ if owner == Some(member.node) => Verdict::Chosen,
        _ if member.accepts_flows() => Verdict::RankedLower,
        MemberState::Draining | MemberState::Left => Verdict::Draining,
        MemberState::Cold | MemberState::Ready => Verdict::NoWeight,
    }
}
