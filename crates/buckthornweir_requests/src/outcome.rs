//! Outcome of an attempt to run a request, and the decisions that depend on it.

use crate::ProblemKind;

/// Outcome of one attempt to run a request at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole request was written and the whole response was read.
    Done,
    /// The backend server rejected the request without running it (load shedding).
    Refused,
    /// The backend server responded with a server error (5xx).
    Failed,
    /// The connection was lost before the response was complete.
    Cut,
    /// No response arrived before the deadline.
    Silent,
    /// The caller cancelled the request.
    Cancelled,
}

/// How far an attempt got before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Progress {
    /// Nothing of the request was written to the backend server.
    NotWritten,
    /// The request was written, partly or completely, and no response was seen.
    Written,
    /// The response headers were read.
    HeadersSeen,
    /// A part of the response body was read.
    BodyPart,
    /// The complete response was read.
    AnswerWhole,
}

/// Whether a backend connection can be reused after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionUse {
    /// The connection can carry another request.
    Keep,
    /// The connection must be closed, since a response to the abandoned request could still arrive.
    Close,
}

/// What the caller receives when a request isn't retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Response {
    /// The complete response of the backend server.
    Answer,
    /// A refusal of this kind.
    Refuse(ProblemKind),
    /// The response headers were already sent, so the connection is cut to mark the response as
    /// incomplete.
    CutAnswer,
    /// Nothing, since the caller cancelled the request.
    Nothing,
}

/// Returns whether the backend server certainly did not run the request.
///
/// ```
/// use buckthornweir_requests::{Outcome, Progress, is_certainly_not_run};
///
/// assert!(is_certainly_not_run(Progress::NotWritten, Outcome::Cut));
/// assert!(!is_certainly_not_run(Progress::Written, Outcome::Cut));
/// ```
pub fn is_certainly_not_run(progress: Progress, outcome: Outcome) -> bool {
    match outcome {
        Outcome::Done | Outcome::Failed => false,
        Outcome::Refused => true,
        Outcome::Cut | Outcome::Silent | Outcome::Cancelled => progress == Progress::NotWritten,
    }
}

/// Returns whether the request may be retried after this attempt.
///
/// `repeatable` means that the request is safe to run twice. The retry budget and the deadline are
/// not checked here.
pub fn may_retry(progress: Progress, outcome: Outcome, repeatable: bool) -> bool {
    match outcome {
        Outcome::Done | Outcome::Cancelled => false,
        Outcome::Refused => true,
        Outcome::Failed => repeatable && progress != Progress::BodyPart,
        Outcome::Cut | Outcome::Silent => match progress {
            Progress::NotWritten => true,
            Progress::Written => repeatable,
            Progress::HeadersSeen | Progress::BodyPart | Progress::AnswerWhole => false,
        },
    }
}

/// Returns what the caller receives when the request isn't retried.
pub fn final_response(progress: Progress, outcome: Outcome) -> Response {
    match outcome {
        Outcome::Done | Outcome::Failed => Response::Answer,
        Outcome::Refused => Response::Refuse(ProblemKind::NoSlot),
        Outcome::Cancelled => Response::Nothing,
        Outcome::Cut | Outcome::Silent if progress >= Progress::HeadersSeen => Response::CutAnswer,
        Outcome::Cut if progress == Progress::NotWritten => Response::Refuse(ProblemKind::NoSlot),
        Outcome::Silent if progress == Progress::NotWritten => {
            Response::Refuse(ProblemKind::DeadlinePassed)
        }
        Outcome::Cut => Response::Refuse(ProblemKind::OutcomeUnknown),
        Outcome::Silent => Response::Refuse(ProblemKind::NoAnswer),
    }
}

/// Returns whether a backend connection can carry another request.
///
/// The connection of an abandoned request is closed, so that a late response can't be matched to
/// the next request.
pub fn connection_after(progress: Progress, outcome: Outcome) -> ConnectionUse {
    match (progress, outcome) {
        (_, Outcome::Done) => ConnectionUse::Keep,
        (Progress::AnswerWhole, Outcome::Refused | Outcome::Failed) => ConnectionUse::Keep,
        (Progress::NotWritten, Outcome::Cancelled) => ConnectionUse::Keep,
        _ => ConnectionUse::Close,
    }
}
