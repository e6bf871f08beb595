//! The source of moved flows.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{MAX_BATCH_FLOWS, MoveAction, QuietFlow, held_packets};
use crate::NodeId;
use crate::messages::{FlowBody, Forward, MovedFlow, Offer, Taken};
use crate::ownership::{MAX_HOPS, Ownership};
use crate::view::AgentView;

/// Maximum number of unanswered offers.
const MAX_OFFERS: usize = 64;

/// Time until an offer is first repeated.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest time between two repetitions of an offer.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The source of moved flows: an agent that hands its flows over.
///
/// Each flow must be stopped before it is offered: call [`Ownership::begin_move`], then
/// [`FlowStack::quiet`](crate::stack::FlowStack::quiet), then drop the stack. If the flow isn't
/// quiet, call [`Ownership::cancel_move`] to continue it.
#[derive(Debug)]
pub struct MoveSource {
    node: NodeId,
    incarnation: u64,
    last_number: u64,
    offers: BTreeMap<u64, Pending>,
}

/// An unanswered offer.
#[derive(Debug)]
struct Pending {
    target: NodeId,
    flows: Vec<QuietFlow>,
    backoff: Duration,
    next: Duration,
}

impl MoveSource {
    /// Creates a source without offers.
    ///
    /// `incarnation` must be higher than that of any earlier process of the agent.
    pub fn new(node: NodeId, incarnation: u64) -> Self {
        Self {
            node,
            incarnation,
            last_number: 0,
            offers: BTreeMap::new(),
        }
    }

    /// Returns the number of flows that may be offered at present.
    pub fn room(&self) -> usize {
        MAX_OFFERS.saturating_sub(self.offers.len())
    }

    /// Returns whether all offers have been answered.
    pub fn is_done(&self) -> bool {
        self.offers.is_empty()
    }

    /// Offers each flow to its most likely owner among the other agents, or resumes it if none
    /// accepts new flows.
    pub fn offer(
        &mut self,
        ownership: &Ownership,
        view: &AgentView,
        flows: Vec<QuietFlow>,
        now: Duration,
        out: &mut Vec<MoveAction>,
    ) {
        let mut batches = BTreeMap::<NodeId, Vec<QuietFlow>>::new();
        for flow in flows {
            match view.other_owner(&flow.tuple) {
                Some(owner) => batches.entry(owner).or_default().push(flow),
                None => resume(ownership, flow, out),
            }
        }
        for (target, flows) in batches {
            for batch in flows.chunks(MAX_BATCH_FLOWS) {
                self.start(view, target, batch, now, out);
            }
        }
    }

    /// Handles the answer to an offer.
    pub fn taken(
        &mut self,
        ownership: &Ownership,
        taken: &Taken,
        now: Duration,
        out: &mut Vec<MoveAction>,
    ) {
        let is_answer =
            |offer: &Pending| offer.target == taken.from && offer.flows.len() == taken.taken.len();
        let offer = self.offers.get(&taken.number);
        if taken.incarnation != self.incarnation || !offer.is_some_and(is_answer) {
            return;
        }
        let Some(offer) = self.offers.remove(&taken.number) else {
            return;
        };
        for (flow, &is_taken) in offer.flows.into_iter().zip(&taken.taken) {
            if is_taken {
                let held = ownership.take_held(&flow.tuple);
                ownership.complete_move(&flow.tuple, offer.target, now);
                let held = held.into_iter().filter(|held| held.hops < MAX_HOPS);
                out.extend(held.map(|held| self.pass_on(held, offer.target)));
            } else {
                resume(ownership, flow, out);
            }
        }
    }

    /// Returns the action that passes a held packet on to the new owner.
    fn pass_on(&self, held: Forward, target: NodeId) -> MoveAction {
        let forward = Forward {
            hops: held.hops + 1,
            sender: self.node,
            ..held
        };
        MoveAction::Send {
            to: target,
            body: FlowBody::Forward(forward),
        }
    }

    /// Repeats offers that are due, and returns the time of the next call.
    ///
    /// The flows of an offer whose target is no longer a member are lost: whether the target has
    /// started them can't be determined any more.
    pub fn tick(
        &mut self,
        ownership: &Ownership,
        view: &AgentView,
        now: Duration,
        out: &mut Vec<MoveAction>,
    ) -> Option<Duration> {
        let is_gone = |offer: &Pending| view.service.member(offer.target).is_none();
        let gone: Vec<_> = self
            .offers
            .extract_if(.., |_, offer| is_gone(offer))
            .collect();
        for flow in gone.into_iter().flat_map(|(_, offer)| offer.flows) {
            ownership.remove_flow(&flow.tuple);
            out.push(MoveAction::Forget(flow.tuple));
        }
        let due: Vec<_> = self
            .offers
            .iter()
            .filter(|(_, offer)| offer.next <= now)
            .map(|(&number, _)| number)
            .collect();
        for number in due {
            self.send(view, number, now, out);
        }
        self.offers.values().map(|offer| offer.next).min()
    }

    fn start(
        &mut self,
        view: &AgentView,
        target: NodeId,
        flows: &[QuietFlow],
        now: Duration,
        out: &mut Vec<MoveAction>,
    ) {
        self.last_number += 1;
        let offer = Pending {
            target,
            flows: flows.to_vec(),
            backoff: INITIAL_BACKOFF,
            next: now,
        };
        self.offers.insert(self.last_number, offer);
        self.send(view, self.last_number, now, out);
    }

    fn send(&mut self, view: &AgentView, number: u64, now: Duration, out: &mut Vec<MoveAction>) {
        let Some(target) = self.offers.get(&number).map(|offer| offer.target) else {
            return;
        };
        let floor = self.floor(target);
        let Some(offer) = self.offers.get_mut(&number) else {
            return;
        };
        offer.next = now.saturating_add(offer.backoff);
        offer.backoff = (offer.backoff * 2).min(MAX_BACKOFF);
        let body = Offer {
            service: view.service.name.to_string(),
            from: self.node,
            incarnation: self.incarnation,
            number,
            floor,
            flows: offer.flows.iter().map(MovedFlow::from).collect(),
        };
        out.push(MoveAction::Send {
            to: target,
            body: FlowBody::Offer(body),
        });
    }

    /// Returns the lowest number of the unanswered offers to a target.
    fn floor(&self, target: NodeId) -> u64 {
        let mut offers = self.offers.iter();
        let lowest = offers.find(|(_, offer)| offer.target == target);
        lowest.map_or(self.last_number, |(&number, _)| number)
    }
}

fn resume(ownership: &Ownership, flow: QuietFlow, out: &mut Vec<MoveAction>) {
    let held = held_packets(ownership, &flow.tuple);
    ownership.cancel_move(&flow.tuple);
    out.push(MoveAction::Resume(flow));
    out.extend(held);
}
