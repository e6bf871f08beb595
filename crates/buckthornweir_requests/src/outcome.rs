//! How a try of a request ended, and what follows from it.

use crate::ProblemKind;

/// How a try of a request at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The request was written whole and its answer was read whole.
    Done,
    /// The backend server said that it did not run the request (shed load).
    Refused,
    /// The backend server answered with an error of its own (5xx).
    Failed,
    /// The connection was lost before the answer was whole.
    Cut,
    /// No answer came by the deadline.
    Silent,
    /// The caller gave the request up.
    Cancelled,
}

/// How far a try of a request got before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Progress {
    /// Nothing of the request was written to the backend server.
    NotWritten,
    /// The request was written, in part or whole, and no answer was seen.
    Written,
    /// The head of the answer was read.
    HeadersSeen,
    /// A part of the answer's body was read.
    BodyPart,
    /// The answer was read to its end.
    AnswerWhole,
}

/// What may be done with a backend connection after a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionUse {
    /// Another request may be written to it.
    Keep,
    /// It must be closed: an answer that belongs to no request could still come.
    Close,
}

/// What the caller gets when a request isn't tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Response {
    /// The backend server's own answer, whole.
    Answer,
    /// A refusal of this kind.
    Refuse(ProblemKind),
    /// The answer's head is out already: the connection is cut so that nobody takes it for whole.
    CutAnswer,
    /// Nothing, since the caller has gone.
    Nothing,
}

/// Returns whether the backend server can't have run the request.
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

/// Returns whether the request may be tried again after this try.
///
/// `repeatable` says that running the request twice does no harm. A retry also takes from the
/// retry budget and must fit the deadline; neither is asked here.
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

/// Returns what the caller gets when the request isn't tried again.
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

/// Decides whether a backend connection may carry another request.
///
/// An abandoned connection is closed, so a late answer finds no request to be taken for.
pub fn connection_after(progress: Progress, outcome: Outcome) -> ConnectionUse {
    match (progress, outcome) {
        (_, Outcome::Done) => ConnectionUse::Keep,
        (Progress::AnswerWhole, Outcome::Refused | Outcome::Failed) => ConnectionUse::Keep,
        (Progress::NotWritten, Outcome::Cancelled) => ConnectionUse::Keep,
        _ => ConnectionUse::Close,
    }
}
