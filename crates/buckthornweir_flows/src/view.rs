//! What a node knows about services and their members when it decides.
//!
//! Views are plain data, made anew at each change of members or bundle and swapped whole.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::NodeId;
use crate::hash::mix;
use crate::packet::FiveTuple;
use crate::placement::{Candidate, Placement};

/// State of a service's agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// The backend server has just started and bears little.
    Cold,
    /// The backend server bears its full load.
    Ready,
    /// The agent takes no new flows.
    Draining,
    /// The agent has left, and owns no flow.
    Left,
}

/// An agent of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The agent.
    pub node: NodeId,
    /// Address that takes the agent's messages.
    pub address: SocketAddr,
    /// Failure domain of the agent.
    pub domain: SmolStr,
    /// State of the agent.
    pub state: MemberState,
    /// Weight step of the agent, from 0 to [`MAX_WEIGHT`](crate::placement::MAX_WEIGHT).
    pub weight: u8,
}

impl Member {
    /// Returns the weight step that counts for new flows.
    fn flow_weight(&self) -> u8 {
        match self.state {
            MemberState::Cold | MemberState::Ready => self.weight,
            MemberState::Draining | MemberState::Left => 0,
        }
    }
}

/// A service as one node knows it.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Name of the service.
    pub name: SmolStr,
    /// Addresses that callers call.
    pub addresses: Vec<SocketAddr>,
    members: Vec<Member>,
    placement: Placement,
    digest: u64,
}

impl ServiceView {
    /// Returns the view of a service, without the members that have left or whose failure domain is
    /// out.
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
        members.retain(|member| !domains_out.contains(&member.domain));
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
            placement,
            digest,
        }
    }

    /// Returns a digest of the members that haven't left, whether or not their failure domain is out.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the members that may own flows.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns a member that may own flows.
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

    /// Returns whether callers reach the service under an address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        self.addresses.contains(&address)
    }
}

/// What an agent knows when it decides.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// The agent itself.
    pub node: NodeId,
    /// Version of the bundle.
    pub version: u64,
    /// State of the agent itself.
    pub state: MemberState,
    /// Whether the agent's own failure domain is out.
    pub is_out: bool,
    /// Whether this agent knows all members since its start, and all of them know it.
    ///
    /// An agent that isn't settled resets no flows, and starts flows only if no other agent does.
    pub is_settled: bool,
    /// The service of the agent.
    pub service: ServiceView,
    /// Services that have or had an address which is or was one of the agent's service.
    pub others: Vec<ServiceView>,
}

/// A member that may own a flow, and the service that it belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct PossibleOwner {
    pub(crate) node: NodeId,
    pub(crate) service: SmolStr,
}

impl AgentView {
    /// Returns whether the agent takes new flows.
    pub fn accepts_flows(&self) -> bool {
        matches!(self.state, MemberState::Cold | MemberState::Ready) && !self.is_out
    }

    /// Returns the other members that may own a flow, the likeliest one first.
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

    /// Returns the service of a member that may own a flow.
    pub(crate) fn service_of(&self, node: NodeId) -> Option<&SmolStr> {
        let mut services = self.services();
        services
            .find(|service| service.member(node).is_some())
            .map(|service| &service.name)
    }

    /// Returns whether another agent knows the same members of its service as this one does.
    pub(crate) fn agrees(&self, service: &str, digest: u64) -> bool {
        self.services()
            .any(|known| known.name == service && known.digest == digest)
    }

    /// Returns a number that changes with the members that may own flows.
    pub(crate) fn possible_owners_digest(&self) -> u64 {
        let services = self.services();
        services.fold(0, |sum, service| mix(sum, digest(&service.members)))
    }

    /// Returns another agent that takes new flows, the likeliest owner of the flow first.
    pub(crate) fn other_owner(&self, tuple: &FiveTuple) -> Option<NodeId> {
        let accepts_flows = |&node: &NodeId| {
            let member = self.service.member(node);
            node != self.node && member.is_some_and(|member| member.flow_weight() > 0)
        };
        let placement = &self.service.placement;
        let owner = placement.owner(tuple).filter(accepts_flows);
        owner.or_else(|| placement.order(tuple).into_iter().find(accepts_flows))
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
