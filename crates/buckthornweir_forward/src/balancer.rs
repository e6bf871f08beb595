//! A balancer's decisions: which agent gets a packet of a caller.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use smol_str::SmolStr;

use crate::peers::Peers;
use crate::plan::Plan;
use crate::segment::{FlowKey, Segment};
use crate::tag::Tag;

/// Number of hints that a balancer keeps. At 64 bytes each they take 1 MB.
const MAX_HINTS: usize = 16_384;

/// How long a hint counts; flows rarely live longer, and a lost hint costs one hop.
const HINT_TTL: Duration = Duration::from_secs(75);

/// Why a packet went nowhere.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// No plan is known yet.
    NoPlan,
    /// The plan has no route for the address.
    NoRoute,
    /// No agent of the service is known.
    NoAgent,
}

/// What becomes of a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It goes to an agent.
    Forward {
        /// Where the agent takes packets.
        to: SocketAddrV4,
        /// The note on the packet.
        tag: Tag,
    },
    /// The caller is told at once that its flow can't be opened.
    Reset(Loss),
    /// It is dropped.
    Drop(Loss),
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    agent: SocketAddrV4,
    until: Duration,
}

/// The decisions of one balancer.
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

    /// Notes that an agent has a flow that placement does not give it.
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

    /// Returns how many hints are kept.
    #[must_use]
    pub fn hint_count(&self) -> usize {
        self.hints.len()
    }

    /// Decides about a packet of a caller.
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
            // A flow that is open may have a route in a newer plan than the one known here.
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

    /// Places a new flow. A copy of a SYN goes to the next agent in order: the one before it may have
    /// stopped, and a flow opens at one backend server only.
    fn place(
        &mut self,
        now: Duration,
        plan: &Plan,
        peers: &Peers,
        segment: &Segment,
        service: &str,
    ) -> Decision {
        let key = segment.caller_flow();
        let chosen = match segment.retransmissions() {
            0 => peers.first_accepting(plan, service, &self.domain, &key),
            retransmissions => {
                let open = peers.accepting(plan, service, &self.domain, &key);
                let index = retransmissions.min(open.len().saturating_sub(1));
                open.get(index).copied()
            }
        };
        let primary = peers.primary(service, &self.domain, &key);
        let Some(peer) = chosen.or(primary) else {
            return Decision::Drop(Loss::NoAgent);
        };
        let aside = primary.is_some_and(|primary| primary.node != peer.node);
        if !aside && segment.retransmissions() == 0 {
            // The port was used by an earlier flow that was kept elsewhere.
            self.forget(now, &key);
        }
        Decision::Forward {
            to: peer.packet_addr,
            tag: Tag {
                hops: 0,
                aside,
                probe: false,
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
