//! A balancer's decisions about which agent gets a caller's packet.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use smol_str::SmolStr;

use crate::peers::{Peers, has_overload_policy};
use crate::plan::Plan;
use crate::ranking::Choice;
use crate::segment::{FlowKey, Segment};
use crate::tag::Tag;

/// Maximum number of hints kept by a balancer. At 64 bytes each, they use 1 MB.
const MAX_HINTS: usize = 16_384;

/// Lifetime of a hint. Flows rarely live longer, and a lost hint costs one hop.
const HINT_TTL: Duration = Duration::from_secs(75);

/// The reason why a packet is not forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// No plan is known yet.
    NoPlan,
    /// The plan has no route for the address.
    NoRoute,
    /// No agent of the service is known.
    NoAgent,
}

/// A balancer's decision about a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The packet is forwarded to an agent.
    Forward {
        /// Packet address of the agent.
        to: SocketAddrV4,
        /// Tag to write to the packet.
        tag: Tag,
    },
    /// The caller gets a reset because its flow can't be opened.
    Reset(Loss),
    /// The packet is dropped.
    Drop(Loss),
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    agent: SocketAddrV4,
    until: Duration,
}

/// The decision logic of one balancer.
#[derive(Debug)]
pub struct Balancer {
    domain: SmolStr,
    hints: HashMap<FlowKey, Hint>,
    hint_order: VecDeque<FlowKey>,
}

impl Balancer {
    /// Returns a balancer in the failure domain `domain`.
    #[must_use]
    pub fn new(domain: impl Into<SmolStr>) -> Self {
        Self {
            domain: domain.into(),
            hints: HashMap::new(),
            hint_order: VecDeque::new(),
        }
    }

    /// Records that a flow is held by another agent than placement selects.
    pub fn hint(&mut self, now: Duration, key: FlowKey, agent: SocketAddrV4) {
        let until = now + HINT_TTL;
        if self.hints.insert(key, Hint { agent, until }).is_none() {
            self.hint_order.push_back(key);
        }
        while self.hint_order.len() > MAX_HINTS {
            if let Some(oldest) = self.hint_order.pop_front() {
                self.hints.remove(&oldest);
            }
        }
    }

    /// Returns the number of hints.
    #[must_use]
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }

    /// Routes a caller's packet.
    pub fn route(
        &mut self,
        now: Duration,
        plan: &Plan,
        peers: &Peers,
        segment: &Segment,
    ) -> Decision {
        if !plan.is_known() {
            return Decision::Drop(Loss::NoPlan);
        }
        let key = segment.caller_flow();
        let Some(route) = plan.route(&key.service) else {
            // The flow may have been opened under a newer plan that includes its route.
            return match segment.syn {
                true => Decision::Reset(Loss::NoRoute),
                false => self
                    .hinted(now, &key)
                    .map_or(Decision::Drop(Loss::NoRoute), |to| Decision::Forward {
                        to,
                        tag: Tag::default(),
                    }),
            };
        };
        let Some(service) = route.service(&key) else {
            return Decision::Drop(Loss::NoRoute);
        };
        if segment.syn {
            return self.place(now, plan, peers, segment, service);
        }
        if let Some(to) = self.hinted(now, &key).filter(|to| peers.has(to)) {
            return Decision::Forward {
                to,
                tag: Tag::default(),
            };
        }
        match peers.primary(service, &self.domain, &key) {
            Some(peer) => Decision::Forward {
                to: peer.packet_addr,
                tag: Tag::default(),
            },
            None => Decision::Drop(Loss::NoAgent),
        }
    }

    /// Selects the agent of a new flow.
    fn place(
        &mut self,
        now: Duration,
        plan: &Plan,
        peers: &Peers,
        segment: &Segment,
        service: &str,
    ) -> Decision {
        let key = segment.caller_flow();
        let retransmissions = segment.retransmissions();
        let choice = peers.choice(plan, service, &self.domain, &key, retransmissions);
        let Some(Choice { peer, aside }) = choice else {
            return Decision::Drop(Loss::NoAgent);
        };
        if has_overload_policy(plan, service) {
            // The balancer knows where it sent the latest SYN, and later packets are placed by
            // equal weights. Without the hint, each of them would start a lookup until the
            // agent's own hint arrives.
            match aside {
                true => self.hint(now, key, peer.packet_addr),
                false => self.forget(now, &key),
            }
        } else if !aside && retransmissions == 0 {
            // An earlier flow on the same port was held by another agent.
            self.forget(now, &key);
        }
        Decision::Forward {
            to: peer.packet_addr,
            tag: Tag {
                aside,
                ..Tag::default()
            },
        }
    }

    fn hinted(&self, now: Duration, key: &FlowKey) -> Option<SocketAddrV4> {
        let hint = self.hints.get(key)?;
        (now < hint.until).then_some(hint.agent)
    }

    fn forget(&mut self, now: Duration, key: &FlowKey) {
        if let Some(hint) = self.hints.get_mut(key) {
            hint.until = now;
        }
    }
}
