//! Snapshots of services and their members, on which nodes base their decisions.
//!
//! Views are plain data. Each change of the members or the bundle builds new views, which replace
//! the old ones as a whole.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::NodeId;
use crate::hash::mix;
use crate::packet::FiveTuple;
use crate::placement::{Candidate, Placement};

/// State of an agent of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// The backend server has just started and can handle little load.
    Cold,
    /// The backend server can handle its full load.
    Ready,
    /// The agent accepts no new flows.
    Draining,
    /// The agent has left and owns no flows.
    Left,
}

/// An agent of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The agent.
    pub node: NodeId,
    /// Address at which the agent receives messages.
    pub address: SocketAddr,
    /// Failure domain of the agent.
    pub domain: SmolStr,
    /// State of the agent.
    pub state: MemberState,
    /// Weight step of the agent, from 0 to [`MAX_WEIGHT`](crate::placement::MAX_WEIGHT).
    pub weight: u8,
}

impl Member {
    /// Returns the weight step for new flows.
    fn flow_weight(&self) -> u8 {
        match self.state {
            MemberState::Cold | MemberState::Ready => self.weight,
            MemberState::Draining | MemberState::Left => 0,
        }
    }

    /// Returns whether the agent gets new flows.
    pub(crate) fn accepts_flows(&self) -> bool {
        self.flow_weight() > 0
    }
}

/// A service as seen by one node.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Name of the service.
    pub name: SmolStr,
    /// Addresses that callers connect to.
    pub addresses: Vec<SocketAddr>,
    members: Vec<Member>,
    members_out: Vec<Member>,
    placement: Placement,
    digest: u64,
}

impl ServiceView {
    /// Creates a view that excludes members that have left or whose failure domain is out.
    pub fn new(
        name: SmolStr,
        addresses: Vec<SocketAddr>,
        members: Vec<Member>,
        domains_out: &BTreeSet<SmolStr>,
        key: [u8; 16],
    ) -> Self {
        let mut members = members;
        members.retain(|member| member.state != MemberState::Left);
        members.sort_by_key(|member| member.node);
        members.dedup_by_key(|member| member.node);
        let digest = digest(&members);
        let is_out = |member: &mut Member| domains_out.contains(&member.domain);
        let members_out = members.extract_if(.., is_out).collect();
        let candidates: Vec<_> = members
            .iter()
            .map(|member| Candidate {
                node: member.node,
                weight: member.flow_weight(),
            })
            .collect();
        let placement = Placement::new(key, &candidates);
        Self {
            name,
            addresses,
            members,
            members_out,
            placement,
            digest,
        }
    }

    /// Returns a digest of the members that haven't left, including those whose failure domain is
    /// out.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the members that may own flows.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the members whose failure domain is out.
    pub fn members_out(&self) -> &[Member] {
        &self.members_out
    }

    /// Returns the member with this ID, if it may own flows.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by_key(&node, |member| member.node);
        index.ok().map(|index| &self.members[index])
    }

    /// Returns the placement of the service's flows.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Returns whether the service is reachable at this address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.addresses.contains(&address)
    }
}

/// The state on which an agent bases its decisions.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// This agent.
    pub node: NodeId,
    /// Version of the bundle in force at the agent.
    pub version: u64,
    /// State of this agent.
    pub state: MemberState,
    /// Whether the failure domain of this agent is out.
    pub is_out: bool,
    /// Whether this agent has learned of all members since its start, and all of them of this
    /// agent.
    ///
    /// An unsettled agent resets no flows, and passes new flows from balancers on to another agent
    /// if there is one that accepts them.
    pub is_settled: bool,
    /// The service that the agent belongs to.
    pub service: ServiceView,
    /// Other services that share an address with the agent's service, now or in the past.
    pub others: Vec<ServiceView>,
}

/// A member that may own a flow, and its service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PossibleOwner {
    pub(crate) node: NodeId,
    pub(crate) service: SmolStr,
}

impl AgentView {
    /// Returns whether the agent accepts new flows.
    pub fn accepts_flows(&self) -> bool {
        matches!(self.state, MemberState::Cold | MemberState::Ready) && !self.is_out
    }

    /// Returns the other members that may own a flow, in descending order of likelihood.
    pub(crate) fn possible_owners(&self, tuple: &FiveTuple) -> Vec<PossibleOwner> {
        let others = self
            .others
            .iter()
            .filter(|service| service.has_address(tuple.service));
        std::iter::once(&self.service)
            .chain(others)
            .flat_map(|service| possible_owners_in(service, tuple))
            .filter(|peer| peer.node != self.node)
            .collect()
    }

    /// Returns the service of a member that may own flows.
    pub(crate) fn service_of(&self, node: NodeId) -> Option<&SmolStr> {
        let mut services = self.services();
        services
            .find(|service| service.member(node).is_some())
            .map(|service| &service.name)
    }

    /// Returns whether `digest`, reported by an agent of `service`, matches this agent's view of
    /// the members.
    pub(crate) fn agrees(&self, service: &str, digest: u64) -> bool {
        self.services()
            .any(|known| known.name == service && known.digest == digest)
    }

    /// Returns a digest of all members that may own flows.
    pub(crate) fn possible_owners_digest(&self) -> u64 {
        let services = self.services();
        services.fold(0, |sum, service| mix(sum, digest(&service.members)))
    }

    /// Returns the most likely owner of the flow among the other agents that accept new flows.
    pub(crate) fn other_owner(&self, tuple: &FiveTuple) -> Option<NodeId> {
        let next = self.service.next_owner(tuple, self.node);
        next.map(|member| member.node)
    }

    fn services(&self) -> impl Iterator<Item = &ServiceView> {
        std::iter::once(&self.service).chain(&self.others)
    }
}

fn digest(members: &[Member]) -> u64 {
    let nodes = members.iter().map(|member| member.node);
    nodes.fold(0, mix)
}

fn possible_owners_in(service: &ServiceView, tuple: &FiveTuple) -> Vec<PossibleOwner> {
    let order = service.placement.order(tuple).into_iter();
    order
        .map(|node| PossibleOwner {
            node,
            service: service.name.clone(),
        })
        .collect()
}
