//! The agent that hands flows over.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{MAX_BATCH, MoveAction, QuietFlow, held_packets};
use crate::NodeId;
use crate::messages::{FlowBody, Forward, MovedFlow, Offer, Taken};
use crate::ownership::{MAX_HOPS, Ownership};
use crate::view::AgentView;

/// Largest number of offers that wait for their answer.
const MAX_OFFERS: usize = 64;

/// Time after which an offer is first repeated.
const FIRST_WAIT: Duration = Duration::from_millis(50);

/// Longest time between two repeats of an offer.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The agent that hands flows over.
///
/// Its user stops each flow first: [`Ownership::begin_move`], then
/// [`FlowStack::quiet`](crate::stack::FlowStack::quiet), then the stack is dropped. A flow that turns
/// out not to be quiet goes on after [`Ownership::end_move`].
#[derive(Debug)]
pub struct Giver {
    node: NodeId,
    incarnation: u64,
    last: u64,
    offers: BTreeMap<u64, Waiting>,
}

/// An offer that waits for its answer.
#[derive(Debug)]
struct Waiting {
    taker: NodeId,
    flows: Vec<QuietFlow>,
    wait: Duration,
    next: Duration,
}

impl Giver {
    /// Returns a giver without offers; `incarnation` is higher than that of any earlier process.
    pub fn new(node: NodeId, incarnation: u64) -> Self {
        Self {
            node,
            incarnation,
            last: 0,
            offers: BTreeMap::new(),
        }
    }

    /// Returns the number of flows that may be offered now.
    pub fn room(&self) -> usize {
        MAX_OFFERS.saturating_sub(self.offers.len())
    }

    /// Returns whether no offer waits for its answer.
    pub fn is_done(&self) -> bool {
        self.offers.is_empty()
    }

    /// Offers flows, each to the agent that the placement names for it once this one takes none.
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
                None => keep(ownership, flow, out),
            }
        }
        for (taker, flows) in batches {
            for batch in flows.chunks(MAX_BATCH) {
                self.start(view, taker, batch, now, out);
            }
        }
    }

    /// Takes the answer to an offer.
    pub fn taken(
        &mut self,
        ownership: &Ownership,
        taken: &Taken,
        now: Duration,
        out: &mut Vec<MoveAction>,
    ) {
        let is_answer =
            |offer: &Waiting| offer.taker == taken.from && offer.flows.len() == taken.taken.len();
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
                ownership.moved_to(&flow.tuple, offer.taker, now);
                let held = held.into_iter().filter(|held| held.hops < MAX_HOPS);
                out.extend(held.map(|held| self.pass_on(held, offer.taker)));
            } else {
                keep(ownership, flow, out);
            }
        }
    }

    /// Returns the message that passes a held packet on to the flow's new owner.
    fn pass_on(&self, held: Forward, taker: NodeId) -> MoveAction {
        let forward = Forward {
            hops: held.hops + 1,
            sender: self.node,
            ..held
        };
        MoveAction::Send {
            to: taker,
            body: FlowBody::Forward(forward),
        }
    }

    /// Repeats offers, and returns the time of the next call.
    ///
    /// An offer whose taker is no longer a member stays unanswered for good: nobody can say whether
    /// the flows were started there, so they are lost.
    pub fn tick(
        &mut self,
        ownership: &Ownership,
        view: &AgentView,
        now: Duration,
        out: &mut Vec<MoveAction>,
    ) -> Option<Duration> {
        let is_gone = |offer: &Waiting| view.service.member(offer.taker).is_none();
        let gone: Vec<_> = self
            .offers
            .extract_if(.., |_, offer| is_gone(offer))
            .collect();
        for flow in gone.into_iter().flat_map(|(_, offer)| offer.flows) {
            ownership.closed(&flow.tuple);
            out.push(MoveAction::Lose(flow.tuple));
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
        taker: NodeId,
        flows: &[QuietFlow],
        now: Duration,
        out: &mut Vec<MoveAction>,
    ) {
        self.last += 1;
        let offer = Waiting {
            taker,
            flows: flows.to_vec(),
            wait: FIRST_WAIT,
            next: now,
        };
        self.offers.insert(self.last, offer);
        self.send(view, self.last, now, out);
    }

    fn send(&mut self, view: &AgentView, number: u64, now: Duration, out: &mut Vec<MoveAction>) {
        let Some(taker) = self.offers.get(&number).map(|offer| offer.taker) else {
            return;
        };
        let floor = self.floor(taker);
        let Some(offer) = self.offers.get_mut(&number) else {
            return;
        };
        offer.next = now.saturating_add(offer.wait);
        offer.wait = (offer.wait * 2).min(MAX_WAIT);
        let body = Offer {
            service: view.service.name.to_string(),
            from: self.node,
            incarnation: self.incarnation,
            number,
            floor,
            flows: offer.flows.iter().map(MovedFlow::from).collect(),
        };
        out.push(MoveAction::Send {
            to: taker,
            body: FlowBody::Offer(body),
        });
    }

    /// Returns the lowest number of an offer to a taker that waits for its answer.
    fn floor(&self, taker: NodeId) -> u64 {
        let mut offers = self.offers.iter();
        let lowest = offers.find(|(_, offer)| offer.taker == taker);
        lowest.map_or(self.last, |(&number, _)| number)
    }
}

fn keep(ownership: &Ownership, flow: QuietFlow, out: &mut Vec<MoveAction>) {
    let held = held_packets(ownership, &flow.tuple);
    ownership.end_move(&flow.tuple);
    out.push(MoveAction::Keep(flow));
    out.extend(held);
}
