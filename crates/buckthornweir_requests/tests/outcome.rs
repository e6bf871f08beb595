//! Tables of the decisions that follow an attempt.

use buckthornweir_requests::{
    ConnectionUse, Outcome, ProblemKind, Progress, Response, connection_after, final_response,
    is_certainly_not_run, may_retry,
};

use Outcome::{Cancelled, Cut, Done, Failed, Refused, Silent};
use Progress::{AnswerWhole, BodyPart, HeadersSeen, NotWritten, Written};

const UNKNOWN: Response = Response::Refuse(ProblemKind::OutcomeUnknown);

#[test]
fn progress_and_outcome_determine_the_final_response() {
    // progress, outcome, not run, retry if not repeatable, retry if repeatable, response
    let table = [
        (
            NotWritten,
            Cut,
            true,
            true,
            true,
            Response::Refuse(ProblemKind::NoSlot),
        ),
        (
            NotWritten,
            Silent,
            true,
            true,
            true,
            Response::Refuse(ProblemKind::DeadlinePassed),
        ),
        (NotWritten, Cancelled, true, false, false, Response::Nothing),
        (Written, Cut, false, false, true, UNKNOWN),
        (
            Written,
            Silent,
            false,
            false,
            true,
            Response::Refuse(ProblemKind::NoAnswer),
        ),
        (Written, Cancelled, false, false, false, Response::Nothing),
        (HeadersSeen, Cut, false, false, false, Response::CutAnswer),
        (
            HeadersSeen,
            Silent,
            false,
            false,
            false,
            Response::CutAnswer,
        ),
        (
            HeadersSeen,
            Refused,
            true,
            true,
            true,
            Response::Refuse(ProblemKind::NoSlot),
        ),
        (HeadersSeen, Failed, false, false, true, Response::Answer),
        (BodyPart, Cut, false, false, false, Response::CutAnswer),
        (BodyPart, Silent, false, false, false, Response::CutAnswer),
        (BodyPart, Failed, false, false, false, Response::Answer),
        (
            AnswerWhole,
            Refused,
            true,
            true,
            true,
            Response::Refuse(ProblemKind::NoSlot),
        ),
        (AnswerWhole, Failed, false, false, true, Response::Answer),
        (AnswerWhole, Done, false, false, false, Response::Answer),
    ];
    for (progress, outcome, not_run, not_repeatable, repeatable, response) in table {
        let row = (progress, outcome);
        assert_eq!(is_certainly_not_run(progress, outcome), not_run, "{row:?}");
        assert_eq!(
            may_retry(progress, outcome, false),
            not_repeatable,
            "{row:?}"
        );
        assert_eq!(may_retry(progress, outcome, true), repeatable, "{row:?}");
        assert_eq!(final_response(progress, outcome), response, "{row:?}");
    }
}

#[test]
fn connection_is_kept_only_without_a_pending_response() {
    for progress in [NotWritten, Written, HeadersSeen, BodyPart, AnswerWhole] {
        for outcome in [Done, Refused, Failed, Cut, Silent, Cancelled] {
            let is_complete = progress == AnswerWhole && matches!(outcome, Refused | Failed);
            let is_unused = progress == NotWritten && outcome == Cancelled;
            let expected = outcome == Done || is_complete || is_unused;
            let is_kept = connection_after(progress, outcome) == ConnectionUse::Keep;
            assert_eq!(is_kept, expected, "{progress:?} {outcome:?}");
        }
    }
}
