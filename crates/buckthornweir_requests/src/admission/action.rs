//! What an agent is to do.

use std::time::Duration;

use super::RequestKey;
use crate::{NodeId, Refusal, ReservationId, Token};

/// One thing that the agent is to do. A request's data is kept until its last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the request to the own backend server; it may be a retry.
    Run {
        /// The request.
        request: RequestKey,
    },
    /// Ask a sibling to reserve a slot.
    AskSibling {
        /// The request.
        request: RequestKey,
        /// The sibling.
        sibling: NodeId,
        /// Number that the answer carries.
        token: Token,
        /// Deadline of the request, since this process started.
        deadline: Duration,
    },
    /// Send the request to the sibling that holds a slot; it is sent once only.
    HandOver {
        /// The request.
        request: RequestKey,
        /// The sibling.
        sibling: NodeId,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Give a reservation back.
    Release {
        /// The sibling.
        sibling: NodeId,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Send the final refusal to the caller. Ends the request.
    Refuse {
        /// The request.
        request: RequestKey,
        /// The refusal.
        refusal: Refusal,
    },
    /// Send the backend server's own error answer to the caller, whole. Ends the request.
    Deliver {
        /// The request.
        request: RequestKey,
    },
    /// Cut the caller's connection, since its answer can't become whole. Ends the request.
    CutAnswer {
        /// The request.
        request: RequestKey,
    },
    /// Cancel the try at the own backend server and report with [`finished`] how it ended.
    ///
    /// [`finished`]: super::Admission::finished
    Abort {
        /// The request.
        request: RequestKey,
    },
    /// Tell the sibling that the request is given up. Where no final action follows, report with
    /// [`finished`] that the try was silent: it is made elsewhere.
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
    /// Tell a sibling that a slot is held for it.
    Grant {
        /// The sibling.
        to: NodeId,
        /// Its number.
        token: Token,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Tell a sibling that no slot is held for it.
    Decline {
        /// The sibling.
        to: NodeId,
        /// Its number.
        token: Token,
    },
}
