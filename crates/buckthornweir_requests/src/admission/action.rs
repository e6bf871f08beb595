//! Actions that admission control requests from the agent.

use std::time::Duration;

use super::RequestKey;
use crate::{NodeId, Refusal, ReservationId, Token};

/// An action for the agent to execute. The agent keeps a request's data until its last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the local backend server, for the first time or as a retry.
    Run {
        /// The request.
        request: RequestKey,
    },
    /// Ask a sibling to reserve a slot for the request.
    AskSibling {
        /// The request.
        request: RequestKey,
        /// The sibling.
        sibling: NodeId,
        /// Correlation number of the reservation request.
        token: Token,
        /// Deadline of the request, relative to the start of this process.
        deadline: Duration,
        /// Whether the slot is for a hedged request.
        hedge: bool,
    },
    /// Send the request to the sibling that reserved a slot. The request is sent only once.
    HandOver {
        /// The request.
        request: RequestKey,
        /// The sibling.
        sibling: NodeId,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Release a reservation at a sibling.
    Release {
        /// The sibling.
        sibling: NodeId,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Send the refusal to the caller. Ends the request.
    Refuse {
        /// The request.
        request: RequestKey,
        /// The refusal.
        refusal: Refusal,
    },
    /// End a hedged request without a response. Its caller still waits for the first copy.
    EndCopy {
        /// The hedged request.
        request: RequestKey,
        /// The refusal, which says whether the hedged request may have run.
        refusal: Refusal,
    },
    /// Send the complete error response of the backend server to the caller. Ends the request.
    Deliver {
        /// The request.
        request: RequestKey,
    },
    /// Cut the caller's connection, since the response can't be completed. Ends the request.
    CutAnswer {
        /// The request.
        request: RequestKey,
    },
    /// Cancel the attempt at the local backend server and report its outcome with [`finished`].
    ///
    /// [`finished`]: super::Admission::finished
    Abort {
        /// The request.
        request: RequestKey,
    },
    /// Cancel the request at the sibling. If no final action follows, report the attempt as silent
    /// with [`finished`], so that the request is retried elsewhere.
    ///
    /// [`finished`]: super::Admission::finished
    CancelHanded {
        /// The request.
        request: RequestKey,
        /// The sibling.
        sibling: NodeId,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Notify a sibling that a slot is reserved for it.
    Grant {
        /// The sibling.
        to: NodeId,
        /// Correlation number of the sibling's request.
        token: Token,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Notify a sibling that no slot is reserved for it.
    Decline {
        /// The sibling.
        to: NodeId,
        /// Correlation number of the sibling's request.
        token: Token,
    },
}
