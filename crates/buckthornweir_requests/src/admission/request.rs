//! State of one request.

use std::time::Duration;

use super::RequestKey;
use crate::{FlowId, NodeId, ReservationId};

/// Properties of an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Deadline, relative to the start of this process.
    pub deadline: Duration,
    /// Whether the request is safe to run twice.
    pub repeatable: bool,
    /// Flow in which the request arrived.
    pub flow: FlowId,
}

/// A pending reservation request to a sibling.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask {
    pub(crate) sibling: NodeId,
    pub(crate) until: Duration,
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Place {
    /// In the queue, waiting for a sibling's reservation, or both.
    Waiting { ask: Option<Ask> },
    /// Running at the local backend server.
    Running { since: Duration, aborting: bool },
    /// Handed over to a sibling.
    Handed {
        sibling: NodeId,
        reservation: ReservationId,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) place: Place,
    pub(crate) queued_until: Option<Duration>,
    /// Siblings excluded from this attempt, since they were already asked or just failed it.
    pub(crate) asked: Vec<NodeId>,
    /// Number of attempts that ended.
    pub(crate) attempts: u32,
    /// Whether the last attempt failed locally, in which case siblings are preferred.
    pub(crate) failed_locally: bool,
    /// Whether a sibling handed the request over, in which case the sibling decides about retries.
    pub(crate) from_sibling: bool,
    /// Whether a sibling was asked for load sharing rather than for lack of a local slot.
    pub(crate) shared: bool,
    /// Whether an earlier attempt may have run.
    pub(crate) maybe_run: bool,
    /// Whether the response headers were received, after which the deadline no longer applies.
    pub(crate) answering: bool,
    /// When a repeatable request is retried elsewhere if no response arrived.
    pub(crate) retry_at: Option<Duration>,
    /// Whether a copy of the request was sent.
    pub(crate) hedged: bool,
    /// The first copy, if the request is the second one.
    pub(crate) copy_of: Option<RequestKey>,
    /// Whether the request is the second copy of a sibling's request.
    pub(crate) is_guest_copy: bool,
    /// Whether the caller cancelled the request.
    pub(crate) caller_gone: bool,
}

impl Request {
    pub(crate) fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            place: Place::Waiting { ask: None },
            queued_until: None,
            asked: Vec::new(),
            attempts: 0,
            failed_locally: false,
            from_sibling: false,
            shared: false,
            maybe_run: false,
            answering: false,
            retry_at: None,
            hedged: false,
            copy_of: None,
            is_guest_copy: false,
            caller_gone: false,
        }
    }

    /// Returns whether this agent decides about retries and hedging of the request.
    pub(crate) fn is_own(&self) -> bool {
        !self.from_sibling && self.copy_of.is_none()
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.place, Place::Waiting { .. })
    }

    pub(crate) fn ask(&self) -> Option<Ask> {
        match self.place {
            Place::Waiting { ask } => ask,
            _ => None,
        }
    }

    pub(crate) fn is_asking(&self) -> bool {
        self.ask().is_some()
    }

    pub(crate) fn is_due(&self, now: Duration) -> bool {
        self.next_due().is_some_and(|due| due <= now)
    }

    /// Returns the time of the request's next timer, if any.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        let deadline = self.arrival.deadline;
        match self.place {
            Place::Waiting { ask } => {
                let queued = self.queued_until.filter(|_| ask.is_none());
                [ask.map(|a| a.until), queued, Some(deadline)]
                    .into_iter()
                    .flatten()
                    .min()
            }
            Place::Running { aborting: true, .. } => None,
            Place::Running { .. } | Place::Handed { .. } if self.answering => None,
            Place::Running { .. } | Place::Handed { .. } => {
                Some(self.retry_at.map_or(deadline, |at| at.min(deadline)))
            }
        }
    }
}
