//! The agents of a service ranked for a SYN. [`Balancer`](crate::balancer::Balancer) selects agents
//! with the same functions, so the ranking explains its choice.

use smol_str::SmolStr;

use crate::balancer::Loss;
use crate::peers::{Peer, Peers};
use crate::plan::Plan;
use crate::segment::{FlowKey, Segment};

/// The result of ranking the agents of a SYN.
pub type Result<T> = std::result::Result<T, Loss>;

/// The reason why an agent is or isn't chosen for a SYN.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The agent is chosen. If no agent accepts new flows, it is the one that also gets the other
    /// packets of the flow.
    Chosen,
    /// The agent accepts new flows, and another one ranks before it or gets this retransmission.
    NotChosen,
    /// The agent accepts no new flows.
    Closed,
    /// The failure domain of the agent is out.
    DomainOut,
}

/// An agent ranked for a SYN.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RankedPeer<'a> {
    /// The agent, with its failure domain, weight, free slots, and whether it is cold and accepts
    /// new flows.
    pub peer: &'a Peer,
    /// Why it is or isn't chosen.
    pub verdict: Verdict,
}

/// The agents of a SYN's service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ranking<'a> {
    /// The service.
    pub service: &'a SmolStr,
    /// The agent that gets the SYN.
    pub choice: Choice<'a>,
    /// Agents that accept new flows, in the order in which the SYN and its retransmissions are sent
    /// to them, followed by the other agents in the order of their node IDs.
    pub candidates: Vec<RankedPeer<'a>>,
}

/// The agent selected for a SYN.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice<'a> {
    /// The agent.
    pub peer: &'a Peer,
    /// Whether placement selects another agent for the other packets of the flow.
    pub aside: bool,
}

impl Peers {
    /// Returns the agent that gets a SYN with this number of retransmissions, or `None` if no agent
    /// of the service is known. `near` is the failure domain of the balancer.
    ///
    /// Each retransmission goes to the next agent in order, as the one before it may have stopped.
    /// A flow opens at one backend server only.
    #[must_use]
    pub fn choice(
        &self,
        plan: &Plan,
        service: &str,
        near: &str,
        key: &FlowKey,
        retransmissions: usize,
    ) -> Option<Choice<'_>> {
        let accepting = match retransmissions {
            0 => self.first_accepting(plan, service, near, key),
            retransmissions => {
                let open = self.accepting(plan, service, near, key);
                let index = retransmissions.min(open.len().saturating_sub(1));
                open.get(index).copied()
            }
        };
        let primary = self.primary(service, near, key);
        let peer = accepting.or(primary)?;
        let aside = primary.is_some_and(|primary| primary.node != peer.node);
        Some(Choice { peer, aside })
    }
}

/// Returns the ranked agents of a SYN as a balancer in the failure domain `near` sees them.
///
/// # Errors
///
/// Returns why a balancer would not forward the SYN.
pub fn rank<'a>(
    plan: &'a Plan,
    peers: &'a Peers,
    near: &str,
    syn: &Segment,
) -> Result<Ranking<'a>> {
    if !plan.is_known() {
        return Err(Loss::NoPlan);
    }
    let key = syn.caller_flow();
    let route = plan.route(&key.service).ok_or(Loss::NoRoute)?;
    let service = route.service(&key).ok_or(Loss::NoRoute)?;
    let choice = peers.choice(plan, service, near, &key, syn.retransmissions());
    let choice = choice.ok_or(Loss::NoAgent)?;
    let open = peers.accepting(plan, service, near, &key);
    let is_open = |peer: &&Peer| open.iter().any(|open| open.node == peer.node);
    let mut others: Vec<&Peer> = peers.in_service(service).collect();
    others.retain(|peer| !is_open(peer));
    others.sort_by_key(|peer| peer.node);
    let candidates = open.iter().copied().chain(others);
    let ranked = candidates.map(|peer| RankedPeer {
        peer,
        verdict: verdict(plan, peer, choice.peer),
    });
    Ok(Ranking {
        service,
        choice,
        candidates: ranked.collect(),
    })
}

fn verdict(plan: &Plan, peer: &Peer, chosen: &Peer) -> Verdict {
    if peer.node == chosen.node {
        Verdict::Chosen
    } else if plan.is_out(&peer.domain) {
        Verdict::DomainOut
    } else if peer.accepts {
        Verdict::NotChosen
    } else {
        Verdict::Closed
    }
}
