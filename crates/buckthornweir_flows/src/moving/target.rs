//! The target of moved flows.

use std::collections::BTreeMap;

use super::{MAX_BATCH_FLOWS, MoveAction, QuietFlow, held_packets};
use crate::NodeId;
use crate::messages::{self, FlowBody, MessageError, Offer, Taken};
use crate::ownership::Ownership;
use crate::view::AgentView;

/// Maximum number of stored answers per source.
const MAX_ANSWERS: usize = 128;

/// Maximum number of sources whose answers are stored.
const MAX_SOURCES: usize = 4_096;

/// The target of moved flows: an agent that accepts flows from others.
#[derive(Debug)]
pub struct MoveTarget {
    node: NodeId,
    sources: BTreeMap<NodeId, SourceRecord>,
}

/// The answers to the offers of one source.
#[derive(Debug, Default)]
struct SourceRecord {
    incarnation: u64,
    /// Offers with a lower number have been settled and are ignored.
    floor: u64,
    answers: BTreeMap<u64, Vec<bool>>,
}

impl MoveTarget {
    /// Creates a target without stored answers.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            sources: BTreeMap::new(),
        }
    }

    /// Accepts the flows of an offer, or repeats the answer to an earlier copy of the offer.
    ///
    /// # Errors
    ///
    /// Returns an error if the offer has too many flows or one that can't be decoded.
    pub fn offer(
        &mut self,
        ownership: &Ownership,
        view: &AgentView,
        offer: &Offer,
        out: &mut Vec<MoveAction>,
    ) -> messages::Result<()> {
        if offer.flows.len() > MAX_BATCH_FLOWS {
            return Err(MessageError::OutOfRange("number of flows"));
        }
        let flows = offer.flows.iter().map(QuietFlow::try_from);
        let flows = flows.collect::<messages::Result<Vec<_>>>()?;
        let Some(record) = self.record(offer) else {
            return Ok(());
        };
        let taken = record.answers.get(&offer.number).cloned();
        let taken = taken.unwrap_or_else(|| {
            let is_accepted = accepts_offer(view, offer);
            let adopted = flows
                .iter()
                .map(|flow| is_accepted && ownership.adopt(&flow.tuple));
            let taken: Vec<_> = adopted.collect();
            for (flow, _) in flows.iter().zip(&taken).filter(|&(_, &taken)| taken) {
                out.push(MoveAction::Adopt(*flow));
                out.extend(held_packets(ownership, &flow.tuple));
            }
            record.answers.insert(offer.number, taken.clone());
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

    /// Returns the record of an offer's source, or `None` if the offer is stale or the limits are
    /// reached.
    fn record(&mut self, offer: &Offer) -> Option<&mut SourceRecord> {
        let is_known = self.sources.contains_key(&offer.from);
        if !is_known && self.sources.len() >= MAX_SOURCES {
            return None;
        }
        let record = self.sources.entry(offer.from).or_default();
        if offer.incarnation < record.incarnation {
            return None;
        }
        if offer.incarnation > record.incarnation {
            *record = SourceRecord {
                incarnation: offer.incarnation,
                ..SourceRecord::default()
            };
        }
        record.floor = record.floor.max(offer.floor);
        record.answers = record.answers.split_off(&record.floor);
        let is_new = !record.answers.contains_key(&offer.number);
        let is_full = record.answers.len() >= MAX_ANSWERS;
        if offer.number < record.floor || (is_new && is_full) {
            return None;
        }
        Some(record)
    }
}

fn accepts_offer(view: &AgentView, offer: &Offer) -> bool {
    view.accepts_flows() && offer.service == view.service.name
}
