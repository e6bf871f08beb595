//! The ways in which a backend server misbehaves.

use std::time::Duration;

/// What is wrong with a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Refuses every request with 503, `x-not-run: yes` and `Retry-After`.
    Shed,
    /// Says on its health endpoint that it drains, and closes each connection after its next
    /// answer.
    Drain,
    /// Turns cold without warning; the health endpoint says nothing of it.
    TurnCold,
    /// Does the work in time and answers this much later.
    Late(Duration),
    /// The connections that are open now neither read nor write any more; new ones work.
    Silent,
    /// Does the work, then closes the connection without an answer.
    CutBeforeAnswer,
    /// Does the work, then closes the connection after the headers of the answer.
    CutAfterHeaders,
    /// Does the work, then closes the connection in the middle of the body.
    CutMidBody,
    /// Fails every request with 500 while the health endpoint says that all is well.
    LyingHealth,
    /// Says on its load endpoint that no slot is busy.
    LyingLoad,
}
