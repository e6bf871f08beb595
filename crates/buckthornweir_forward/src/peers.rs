//! The agents known to a process, and their order of preference for a flow.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddrV4;

use smol_str::SmolStr;

use crate::NodeId;
use crate::changes::{Span, mark};
use crate::plan::Plan;
use crate::segment::{FlowKey, mix};
use crate::weighted::weighted_score;

/// Salt for hashing the ids of live agents, so that ids don't cancel out in the fingerprint.
const FINGERPRINT_SALT: u64 = 0x0041_4745_4e54;

/// Salt for hashing the ids of absent agents.
const AWAY_SALT: u64 = 0x4157_4159;

/// An agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Process of the agent.
    pub node: NodeId,
    /// Start of the process, which differs after each restart.
    pub instance: u32,
    /// Address at which it receives packets.
    pub packet_addr: SocketAddrV4,
    /// Address at which it receives questions.
    pub ask_addr: SocketAddrV4,
    /// Failure domain.
    pub domain: SmolStr,
    /// Service.
    pub service: SmolStr,
    /// Whether it accepts new flows.
    pub accepts: bool,
    /// Whether its backend server is cold.
    pub cold: bool,
    /// Number of free slots of its backend server in its last announcement.
    pub free: u32,
    /// Weight step, from 1 to 16: its share of new flows relative to other agents, for services
    /// with overload control.
    pub weight: u8,
}

/// The agents of one service by failure domain.
type DomainPeers = BTreeMap<SmolStr, Vec<Peer>>;

/// The live agents of all services.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_service: BTreeMap<SmolStr, DomainPeers>,
    addresses: HashSet<SocketAddrV4>,
    /// Agents that are absent but may return with their flows.
    away: Vec<NodeId>,
    fingerprint: u64,
    /// Fingerprint of the starts of the agents.
    instances: u64,
    /// Differences from the agents known to others for which recent changes account.
    span: Span,
}

impl Peers {
    /// Returns a set of live agents.
    #[must_use]
    pub fn new(peers: impl IntoIterator<Item = Peer>) -> Self {
        let mut by_service: BTreeMap<SmolStr, DomainPeers> = BTreeMap::new();
        let mut addresses = HashSet::new();
        let (mut fingerprint, mut instances) = (0, 0);
        for peer in peers {
            addresses.insert(peer.packet_addr);
            fingerprint ^= mix(peer.node, FINGERPRINT_SALT);
            instances ^= mark(peer.node, peer.instance);
            let domains = by_service.entry(peer.service.clone()).or_default();
            domains.entry(peer.domain.clone()).or_default().push(peer);
        }
        Self {
            by_service,
            addresses,
            away: Vec::new(),
            fingerprint,
            instances,
            span: Span::default(),
        }
    }

    /// Adds agents that are absent but may return with their flows.
    #[must_use]
    pub fn with_away(mut self, away: impl IntoIterator<Item = NodeId>) -> Self {
        for node in away {
            self.away.push(node);
            self.fingerprint ^= mix(node, AWAY_SALT);
            self.instances ^= mix(node, AWAY_SALT);
        }
        self
    }

    /// Adds the differences for which recent changes account.
    #[must_use]
    pub fn with_changes(mut self, span: Span) -> Self {
        self.span = span;
        self
    }

    /// Returns whether an absent agent may return with its flows.
    #[must_use]
    pub fn has_away(&self) -> bool {
        !self.away.is_empty()
    }

    /// Returns the agents that are absent but may return with their flows.
    pub fn away(&self) -> impl Iterator<Item = NodeId> {
        self.away.iter().copied()
    }

    /// Returns a fingerprint of the set of agents: processes that know the same agents have the
    /// same fingerprint.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns a fingerprint of the starts of the agents, which also differs if an agent has
    /// restarted.
    #[must_use]
    pub fn instances(&self) -> u64 {
        self.instances
    }

    /// Returns the marks of the live agents.
    pub fn marks(&self) -> impl Iterator<Item = u64> {
        self.iter().map(|peer| mark(peer.node, peer.instance))
    }

    /// Returns whether a process whose agents have the fingerprint `instances` knows no agent that
    /// may own flows and is unknown here: its agents differ from those known here at most by some
    /// that joined or left recently.
    #[must_use]
    pub fn accounts_for(&self, instances: u64) -> bool {
        self.span.contains(self.instances ^ instances)
    }

    /// Returns the agents of a service.
    pub fn in_service(&self, service: &str) -> impl Iterator<Item = &Peer> {
        let domains = self.by_service.get(service).into_iter();
        domains.flat_map(BTreeMap::values).flatten()
    }

    /// Returns all agents.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        let domains = self.by_service.values();
        domains.flat_map(BTreeMap::values).flatten()
    }

    /// Returns the number of agents.
    #[must_use]
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Returns whether there are no agents.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Returns whether an agent has this packet address.
    #[must_use]
    pub fn has(&self, packet_addr: &SocketAddrV4) -> bool {
        self.addresses.contains(packet_addr)
    }

    /// Returns the agent with this packet address.
    #[must_use]
    pub fn by_address(&self, packet_addr: &SocketAddrV4) -> Option<&Peer> {
        self.iter().find(|peer| peer.packet_addr == *packet_addr)
    }

    /// Returns the agent that placement selects for a flow: the first in rendezvous order in the
    /// failure domain `near`, or among all agents if that has none.
    ///
    /// Agents that accept no new flows are included, as their existing flows must still reach them.
    #[must_use]
    pub fn primary(&self, service: &str, near: &str, key: &FlowKey) -> Option<&Peer> {
        let hash = key.hash();
        let score = |peer: &&Peer| mix(hash, peer.node);
        let nearby = self.in_domain(service, near).iter().max_by_key(score);
        nearby.or_else(|| self.in_service(service).max_by_key(score))
    }

    /// Returns the agents that may be given a new flow, in order of preference. If the service has
    /// overload control, an agent's share of first places is proportional to its weight.
    #[must_use]
    pub fn accepting<'a>(
        &'a self,
        plan: &Plan,
        service: &str,
        near: &str,
        key: &FlowKey,
    ) -> Vec<&'a Peer> {
        let rank = ranking(plan, service, key);
        let may_open = |peer: &&Peer| peer.accepts && !plan.is_out(&peer.domain);
        let mut open: Vec<&Peer> = self.in_service(service).filter(may_open).collect();
        open.sort_by_cached_key(|peer| (peer.cold, peer.domain != near, rank(peer)));
        open
    }

    /// Returns the first agent of [`Peers::accepting`].
    #[must_use]
    pub fn first_accepting(
        &self,
        plan: &Plan,
        service: &str,
        near: &str,
        key: &FlowKey,
    ) -> Option<&Peer> {
        let rank = ranking(plan, service, key);
        let nearby = self.in_domain(service, near).iter();
        let warm = nearby.filter(|peer| peer.accepts && !peer.cold && !plan.is_out(&peer.domain));
        let warm = warm.min_by_key(|peer| rank(peer));
        warm.or_else(|| self.accepting(plan, service, near, key).first().copied())
    }

    fn in_domain(&self, service: &str, domain: &str) -> &[Peer] {
        let domains = self.by_service.get(service);
        let near = domains.and_then(|domains| domains.get(domain));
        near.map_or(&[], Vec::as_slice)
    }
}

/// Returns the rank of an agent for a flow; the lowest is first.
fn ranking(plan: &Plan, service: &str, key: &FlowKey) -> impl Fn(&Peer) -> (u64, u64) {
    let hash = key.hash();
    let weighted = has_overload_policy(plan, service);
    move |peer| {
        let draw = mix(hash, peer.node);
        let score = match weighted {
            true => weighted_score(draw, peer.weight),
            false => 0,
        };
        (score, !draw)
    }
}

/// Returns whether a service has overload control.
pub(crate) fn has_overload_policy(plan: &Plan, service: &str) -> bool {
    let service = plan.services.get(service);
    service.is_some_and(|service| service.overload.is_some())
}
