//! Promises of agents without a backend server to start no flows.
//!
//! An agent that has never had a backend server holds no flows, which remains true after it falls
//! silent. It may be trusted without another answer only if it can't start flows in between, so a
//! [`Reply::Empty`](super::Reply::Empty) is a promise for a limited time. Once the agent has a backend
//! server, it withdraws its promises and starts no flow until each is acknowledged or has expired.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::NodeId;
use crate::peers::Peer;

/// How long a promise is relied on, counted from the first question of the lookup. It covers the
/// time until a silent agent is considered dead.
pub const EMPTY_TTL: Duration = Duration::from_secs(3);

/// How much longer than [`EMPTY_TTL`] a promise is kept, because the clocks of two VMs differ in rate.
const KEEP_MARGIN: Duration = Duration::from_millis(50);

/// Interval at which an unacknowledged withdrawal is repeated.
const WITHDRAW_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of agents that promises are given to, and of those whose withdrawals are remembered.
const MAX_AGENTS: usize = 4_096;

/// The promises that an agent has given, by the question address of the agent that asked.
#[derive(Debug, Default)]
pub(super) struct Given {
    until: BTreeMap<SocketAddrV4, Duration>,
    next_withdrawal: Duration,
}

impl Given {
    /// Gives or extends a promise. Returns whether it is given.
    pub(super) fn give(&mut self, now: Duration, asker: SocketAddrV4) -> bool {
        if self.until.len() >= MAX_AGENTS && !self.until.contains_key(&asker) {
            return false;
        }
        self.until.insert(asker, now + EMPTY_TTL + KEEP_MARGIN);
        true
    }

    /// Removes the promise to an agent that has acknowledged its withdrawal.
    pub(super) fn remove(&mut self, asker: &SocketAddrV4) {
        self.until.remove(asker);
    }

    /// Returns whether no promise is in force.
    pub(super) fn is_empty(&self, now: Duration) -> bool {
        self.until.values().all(|until| now >= *until)
    }

    /// Returns whether no promise is stored.
    pub(super) fn is_forgotten(&self) -> bool {
        self.until.is_empty()
    }

    /// Discards the promises that have expired.
    pub(super) fn sweep(&mut self, now: Duration) {
        self.until.retain(|_, until| now < *until);
    }

    /// Returns the agents to which a withdrawal is to be sent now.
    pub(super) fn due_withdrawals(&mut self, now: Duration) -> Vec<SocketAddrV4> {
        if now < self.next_withdrawal {
            return Vec::new();
        }
        self.sweep(now);
        self.next_withdrawal = now + WITHDRAW_INTERVAL;
        self.until.keys().copied().collect()
    }
}

/// A promise of another agent.
#[derive(Clone, Copy, Debug)]
struct Promise {
    node: NodeId,
    instance: u32,
    until: Duration,
}

/// The promises of other agents, by their packet addresses.
#[derive(Debug, Default)]
pub(super) struct Received {
    promises: BTreeMap<SocketAddrV4, Promise>,
    /// When agents withdrew their promises. An answer from before may arrive after the withdrawal.
    withdrawn: BTreeMap<SocketAddrV4, Duration>,
}

impl Received {
    /// Records the promise of an agent, which is relied on until `until`.
    pub(super) fn insert(&mut self, now: Duration, peer: &Peer, until: Duration) {
        let agent = peer.packet_addr;
        if now >= until || self.withdrawn.contains_key(&agent) {
            return;
        }
        let known = self.promises.get(&agent);
        let known = known.filter(|p| (p.node, p.instance) == (peer.node, peer.instance));
        let promise = Promise {
            node: peer.node,
            instance: peer.instance,
            until: known.map_or(until, |known| known.until.max(until)),
        };
        self.promises.insert(agent, promise);
    }

    /// Discards the promise of an agent that has answered otherwise.
    pub(super) fn remove(&mut self, agent: &SocketAddrV4) {
        self.promises.remove(agent);
    }

    /// Discards the promise of an agent that withdraws it. Returns whether an answer from before the
    /// withdrawal will be recognized, which must be so before the withdrawal is acknowledged.
    pub(super) fn withdraw(&mut self, now: Duration, agent: SocketAddrV4) -> bool {
        self.promises.remove(&agent);
        if self.withdrawn.len() >= MAX_AGENTS && !self.withdrawn.contains_key(&agent) {
            return false;
        }
        self.withdrawn.insert(agent, now);
        true
    }

    /// Returns whether the agent certainly holds no flows.
    pub(super) fn covers(&self, now: Duration, peer: &Peer) -> bool {
        let promise = self.promises.get(&peer.packet_addr);
        promise.is_some_and(|promise| {
            let is_same = (promise.node, promise.instance) == (peer.node, peer.instance);
            is_same && now < promise.until
        })
    }

    /// Returns whether the absent agent certainly returns without flows.
    pub(super) fn covers_absent(&self, now: Duration, node: NodeId) -> bool {
        let mut promises = self.promises.values();
        promises.any(|promise| promise.node == node && now < promise.until)
    }

    /// Discards the promises that have expired.
    pub(super) fn sweep(&mut self, now: Duration) {
        self.promises.retain(|_, promise| now < promise.until);
        self.withdrawn.retain(|_, at| now < *at + EMPTY_TTL);
    }
}
