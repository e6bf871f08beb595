//! The agents that a process knows, and their order for a flow.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use smol_str::SmolStr;

use crate::NodeId;
use crate::plan::Plan;
use crate::segment::{FlowKey, mix};

/// Keeps the ids of agents from cancelling each other out.
const FINGERPRINT_SALT: u64 = 0x0041_4745_4e54;

/// One agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// The agent's process.
    pub node: NodeId,
    /// Where it takes packets.
    pub packets: SocketAddrV4,
    /// Where it takes questions.
    pub questions: SocketAddrV4,
    /// Its failure domain.
    pub domain: SmolStr,
    /// Its service.
    pub service: SmolStr,
    /// Whether it says that it takes new flows.
    pub accepts: bool,
    /// Whether its backend server is cold.
    pub cold: bool,
    /// Free slots of its backend server, as it announced them last.
    pub free: u32,
}

/// The live agents of all services.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_service: BTreeMap<SmolStr, Vec<Peer>>,
    fingerprint: u64,
}

impl Peers {
    /// Returns the agents as a view.
    #[must_use]
    pub fn new(peers: impl IntoIterator<Item = Peer>) -> Self {
        let mut by_service: BTreeMap<SmolStr, Vec<Peer>> = BTreeMap::new();
        let mut fingerprint = 0;
        for peer in peers {
            fingerprint ^= mix(peer.node, FINGERPRINT_SALT);
            by_service
                .entry(peer.service.clone())
                .or_default()
                .push(peer);
        }
        Self {
            by_service,
            fingerprint,
        }
    }

    /// Returns what stands for the set of agents: two processes that know the same ones have the same.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns the agents of a service.
    #[must_use]
    pub fn of(&self, service: &str) -> &[Peer] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all agents.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.by_service.values().flatten()
    }

    /// Returns the agent that takes packets at this address.
    #[must_use]
    pub fn at(&self, packets: SocketAddrV4) -> Option<&Peer> {
        self.iter().find(|peer| peer.packets == packets)
    }

    /// Returns the agent that placement names for a flow: the first in rendezvous order among those in
    /// the failure domain `near`, or among all where that has none.
    ///
    /// Agents that take no new flows count too, since the flows that they have must still find them.
    #[must_use]
    pub fn primary(&self, service: &str, near: &str, key: &FlowKey) -> Option<&Peer> {
        let hash = key.hash();
        let peers = self.of(service).iter();
        peers.max_by_key(|peer| (peer.domain == near, mix(hash, peer.node)))
    }

    /// Returns the agents that a new flow may go to, in the order in which they are tried.
    #[must_use]
    pub fn open<'a>(
        &'a self,
        plan: &Plan,
        service: &str,
        near: &str,
        key: &FlowKey,
    ) -> Vec<&'a Peer> {
        let hash = key.hash();
        let takes = |peer: &&Peer| peer.accepts && !plan.is_out(&peer.domain);
        let mut open: Vec<&Peer> = self.of(service).iter().filter(takes).collect();
        open.sort_by_cached_key(|peer| (peer.cold, peer.domain != near, !mix(hash, peer.node)));
        open
    }

    /// Returns the first of [`Peers::open`].
    #[must_use]
    pub fn first_open(
        &self,
        plan: &Plan,
        service: &str,
        near: &str,
        key: &FlowKey,
    ) -> Option<&Peer> {
        let hash = key.hash();
        let takes = |peer: &&Peer| peer.accepts && !plan.is_out(&peer.domain);
        let open = self.of(service).iter().filter(takes);
        open.max_by_key(|peer| (!peer.cold, peer.domain == near, mix(hash, peer.node)))
    }
}
