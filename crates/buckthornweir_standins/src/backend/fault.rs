//! Faults of a backend server.

use std::time::Duration;

/// A fault that a backend server can be set to show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Refuses every request with 503, `x-not-run: yes` and `Retry-After`.
    Shed,
    /// Reports on the health endpoint that the server drains, and closes each connection after its
    /// next response.
    Drain,
    /// Turns cold, without a change on the health endpoint.
    TurnCold,
    /// Does the work in the usual time and delays the response by this duration.
    Late(Duration),
    /// The currently open connections stop reading and writing; new ones work.
    Silent,
    /// Does the work and closes the connection without a response.
    CutBeforeAnswer,
    /// Does the work and closes the connection after the response's headers.
    CutAfterHeaders,
    /// Does the work and closes the connection in the middle of the response's body.
    CutMidBody,
    /// Fails every request with 500, while the health endpoint reports a healthy server.
    LyingHealth,
    /// Reports on the load endpoint that no slot is busy.
    LyingLoad,
}
