//! One request and the place where it is.

use std::time::Duration;

use crate::{FlowId, NodeId, ReservationId};

/// A request as it comes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Deadline, since this process started.
    pub deadline: Duration,
    /// Whether running the request twice does no harm.
    pub repeatable: bool,
    /// Flow in which it came.
    pub flow: FlowId,
}

/// A question to a sibling that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ask {
    pub(crate) sibling: NodeId,
    pub(crate) until: Duration,
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Place {
    /// In the queue, asking a sibling, or both.
    Waiting { ask: Option<Ask> },
    /// At the own backend server.
    Running { since: Duration, aborting: bool },
    /// At a sibling.
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
    /// Siblings that need not be asked for this try.
    pub(crate) asked: Vec<NodeId>,
    /// Tries that ended.
    pub(crate) attempts: u32,
    /// Whether the last try failed at the own backend server, so that siblings come first.
    pub(crate) failed_locally: bool,
    /// Whether the request came from a sibling, which decides about retries.
    pub(crate) from_sibling: bool,
    /// Whether a sibling was asked to share load, not for want of a slot.
    pub(crate) shared: bool,
    /// Whether an earlier try may have run.
    pub(crate) maybe_run: bool,
    /// Whether the answer's head was seen, so that the deadline is met.
    pub(crate) answering: bool,
    /// When a repeatable request is to be tried elsewhere if no answer came.
    pub(crate) retry_at: Option<Duration>,
    /// Whether the caller gave the request up.
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
            caller_gone: false,
        }
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

    /// Returns when something is to be done about the request if no event comes before.
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
