//! The agent that takes flows.

use std::collections::BTreeMap;

use super::{MAX_BATCH, MoveAction, QuietFlow, held_packets};
use crate::NodeId;
use crate::messages::{self, FlowBody, MessageError, Offer, Taken};
use crate::ownership::Ownership;
use crate::view::AgentView;

/// Largest number of answers that are remembered for one giver.
const MAX_ANSWERS: usize = 128;

/// Largest number of givers whose offers are remembered.
const MAX_GIVERS: usize = 4_096;

/// The agent that takes flows.
#[derive(Debug)]
pub struct Taker {
    node: NodeId,
    givers: BTreeMap<NodeId, Memory>,
}

/// The answers to the offers of one giver.
#[derive(Debug, Default)]
struct Memory {
    incarnation: u64,
    /// Offers below this number are answered for good.
    floor: u64,
    answers: BTreeMap<u64, Vec<bool>>,
}

impl Taker {
    /// Returns a taker that has seen no offer.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            givers: BTreeMap::new(),
        }
    }

    /// Takes the flows of an offer, or repeats the answer that it gave before.
    ///
    /// # Errors
    ///
    /// Returns an error when the offer holds too many flows or a flow that can't be read.
    pub fn offer(
        &mut self,
        ownership: &Ownership,
        view: &AgentView,
        offer: &Offer,
        out: &mut Vec<MoveAction>,
    ) -> messages::Result<()> {
        if offer.flows.len() > MAX_BATCH {
            return Err(MessageError::OutOfRange("number of flows"));
        }
        let flows = offer.flows.iter().map(QuietFlow::try_from);
        let flows = flows.collect::<messages::Result<Vec<_>>>()?;
        let Some(memory) = self.memory(offer) else {
            return Ok(());
        };
        let taken = memory.answers.get(&offer.number).cloned();
        let taken = taken.unwrap_or_else(|| {
            let takes = takes_flows(view, offer);
            let adopted = flows
                .iter()
                .map(|flow| takes && ownership.adopt(&flow.tuple));
            let taken: Vec<_> = adopted.collect();
            for (flow, _) in flows.iter().zip(&taken).filter(|&(_, &taken)| taken) {
                out.push(MoveAction::Adopt(*flow));
                out.extend(held_packets(ownership, &flow.tuple));
            }
            memory.answers.insert(offer.number, taken.clone());
            taken
        });
        let answer = Taken {
            from: self.node,
            incarnation: offer.incarnation,
            number: offer.number,
            taken,
        };
        out.push(MoveAction::Send {
            to: offer.from,
            body: FlowBody::Taken(answer),
        });
        Ok(())
    }

    /// Returns what is remembered of a giver, or `None` when the offer is an old one.
    fn memory(&mut self, offer: &Offer) -> Option<&mut Memory> {
        let is_known = self.givers.contains_key(&offer.from);
        if !is_known && self.givers.len() >= MAX_GIVERS {
            return None;
        }
        let memory = self.givers.entry(offer.from).or_default();
        if offer.incarnation < memory.incarnation {
            return None;
        }
        if offer.incarnation > memory.incarnation {
            *memory = Memory {
                incarnation: offer.incarnation,
                ..Memory::default()
            };
        }
        memory.floor = memory.floor.max(offer.floor);
        memory.answers = memory.answers.split_off(&memory.floor);
        let is_new = !memory.answers.contains_key(&offer.number);
        let is_full = memory.answers.len() >= MAX_ANSWERS;
        if offer.number < memory.floor || (is_new && is_full) {
            return None;
        }
        Some(memory)
    }
}

fn takes_flows(view: &AgentView, offer: &Offer) -> bool {
    view.takes_flows() && offer.service == view.service.name
}
