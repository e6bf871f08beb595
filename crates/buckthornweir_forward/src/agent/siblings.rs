//! The choice of a sibling for a new flow by load, for services with overload control.

use std::cmp::Reverse;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::{AgentConfig, OverloadInputs, View};
use crate::loads::{Load, Loads};
use crate::peers::Peer;
use crate::segment::{FlowKey, mix};

/// A new flow for which an agent looks for a sibling, which is part of the view.
#[derive(Clone, Copy, Debug)]
pub struct Request<'v, 'a> {
    /// Current time.
    pub now: Duration,
    /// The agent's view of the system.
    pub view: View<'v>,
    /// The agent's configuration.
    pub config: &'a AgentConfig,
    /// Loads of other agents.
    pub loads: &'a Loads,
    /// The flow.
    pub key: FlowKey,
    /// Packet address of the sender of the SYN, which is not chosen.
    pub from: SocketAddrV4,
    /// Number of agents that passed the SYN on.
    pub hops: u8,
    /// Expected time until the request would be complete at this agent.
    pub completion: Duration,
    /// Mean service time at this agent, which is assumed for siblings without a stored load.
    pub service: Duration,
}

/// A sibling chosen for a new flow.
#[derive(Clone, Copy, Debug)]
pub struct Sibling<'a> {
    /// The agent.
    pub peer: &'a Peer,
    /// The load that it reported and the age of the load; `None` if it is estimated from the
    /// announced free slots.
    pub load: Option<(Load, Duration)>,
    /// Expected time until the request would be complete there.
    pub completion: Duration,
}

impl Sibling<'_> {
    /// Returns the inputs of a decision that describe this sibling.
    pub(super) fn inputs(&self) -> OverloadInputs {
        OverloadInputs {
            sibling: Some(self.peer.packet_addr),
            load_age: self.load.map(|(_, age)| age),
            ..OverloadInputs::default()
        }
    }

    /// Returns whether a new flow is expected to start there without waiting.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        match self.load {
            Some((load, _)) => load.capacity > 0,
            None => self.peer.free > 0,
        }
    }
}

/// Returns the agent that a new flow is passed to, if any.
///
/// Candidates accept new flows of the same service, and their stored load promises no later
/// completion than this agent's. Warm ones in the own failure domain come first. If the chosen one
/// would let the flow wait, warm ones in all failure domains are considered too. Cold ones are
/// chosen only if no other accepts. After passing the flow, the caller records it with
/// [`Loads::charge`].
#[must_use]
pub fn choose<'v>(request: &Request<'v, '_>) -> Option<Sibling<'v>> {
    let Request { view, config, .. } = *request;
    let may_open = |peer: &&Peer| {
        let is_known = peer.node == config.node || peer.packet_addr == request.from;
        !is_known && peer.accepts && !view.plan.is_out(&peer.domain)
    };
    let peers = view.peers.in_service(&config.service).filter(may_open);
    let open: Vec<Sibling<'_>> = peers.filter_map(|peer| estimate(request, peer)).collect();
    let warm: Vec<_> = open.iter().copied().filter(|s| !s.peer.cold).collect();
    let near = |sibling: &Sibling<'_>| sibling.peer.domain == config.domain;
    let near: Vec<_> = warm.iter().copied().filter(near).collect();
    let nearby = best_of_two(request, &near);
    if nearby.is_some_and(|sibling| sibling.has_capacity()) {
        return nearby;
    }
    let anywhere = best_of_two(request, &warm);
    let sooner = |one: &Sibling<'_>, other: Sibling<'_>| one.completion < other.completion;
    let farther = anywhere.filter(|one| nearby.is_none_or(|other| sooner(one, other)));
    farther.or(nearby).or_else(|| best_of_two(request, &open))
}

/// Returns the sibling with its expected completion time, unless its stored load promises a later
/// completion than this agent's own.
fn estimate<'v>(request: &Request<'v, '_>, peer: &'v Peer) -> Option<Sibling<'v>> {
    let load = request.loads.get(request.now, &peer.packet_addr);
    let completion = match load {
        Some((load, _)) if load.service.is_zero() => load.wait + request.service,
        Some((load, _)) => load.completion(),
        None if peer.free > 0 => request.service,
        None => request.service * 2,
    };
    let is_worse = load.is_some() && completion > request.completion;
    (!is_worse).then_some(Sibling {
        peer,
        load,
        completion,
    })
}

/// Returns the better one of two siblings that the flow's hash selects. Choosing the best of all
/// would send the flows of many agents to the same sibling.
fn best_of_two<'v>(request: &Request<'v, '_>, siblings: &[Sibling<'v>]) -> Option<Sibling<'v>> {
    let hash = mix(
        request.key.hash() ^ request.config.node,
        u64::from(request.hops),
    );
    let draw = |sibling: &&Sibling<'v>| mix(hash, sibling.peer.node);
    let first = siblings.iter().min_by_key(draw)?;
    let others = siblings.iter().filter(|s| s.peer.node != first.peer.node);
    let second = others.min_by_key(draw).unwrap_or(first);
    let preference = |sibling: &Sibling<'_>| {
        let Peer { weight, free, .. } = *sibling.peer;
        (sibling.completion, Reverse(weight), Reverse(free))
    };
    [*first, *second].into_iter().min_by_key(preference)
}
