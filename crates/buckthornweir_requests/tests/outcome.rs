//! Tables of what follows from the end of a try.

use buckthornweir_requests::{
    ConnectionUse, Outcome, ProblemKind, Progress, Response, connection_after, final_response,
    is_certainly_not_run, may_retry,
};

use Outcome::{Cancelled, Cut, Done, Failed, Refused, Silent};
use Progress::{AnswerWhole, BodyPart, HeadersSeen, NotWritten, Written};

const UNKNOWN: Response = Response::Refuse(ProblemKind::OutcomeUnknown);

#[test]
fn end_of_a_try_decides_what_the_caller_gets() {
    // progress, outcome, not run, retry if not repeatable, retry if repeatable, ending
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
    for (progress, outcome, not_run, once, repeatable, response) in table {
        let row = (progress, outcome);
        assert_eq!(is_certainly_not_run(progress, outcome), not_run, "{row:?}");
        assert_eq!(may_retry(progress, outcome, false), once, "{row:?}");
        assert_eq!(may_retry(progress, outcome, true), repeatable, "{row:?}");
        assert_eq!(final_response(progress, outcome), response, "{row:?}");
    }
}

#[test]
fn only_a_connection_without_a_pending_answer_is_kept() {
    for progress in [NotWritten, Written, HeadersSeen, BodyPart, AnswerWhole] {
        for outcome in [Done, Refused, Failed, Cut, Silent, Cancelled] {
            let whole = progress == AnswerWhole && matches!(outcome, Refused | Failed);
            let unused = progress == NotWritten && outcome == Cancelled;
            let keep = outcome == Done || whole || unused;
            let found = connection_after(progress, outcome) == ConnectionUse::Keep;
            assert_eq!(found, keep, "{progress:?} {outcome:?}");
        }
    }
}
