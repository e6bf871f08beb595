//! Replies to pushes of operators.

use buckthornweir_quorum::{PushResult, Reject};
use buckthornweir_wire::{ControlReply, PushOutcome, PushReply};

use super::Event;

/// Returns the reply for a push that the log applied.
pub(super) fn push_reply(result: &PushResult) -> PushReply {
    let reply = |outcome: PushOutcome, version| PushReply {
        outcome: outcome.into(),
        version,
        ..PushReply::default()
    };
    match result {
        PushResult::Accepted { version } => reply(PushOutcome::Accepted, *version),
        PushResult::Same { version } => reply(PushOutcome::Same, *version),
        PushResult::Conflict { version, winner } => PushReply {
            winner: winner.to_vec(),
            ..reply(PushOutcome::Conflict, *version)
        },
        PushResult::Stale { newest } => reply(PushOutcome::Stale, *newest),
        PushResult::Overtaken { newest } => reply(PushOutcome::Same, *newest),
        // Never the result of a push: changes of failure domains are separate commands.
        PushResult::Domain { .. } | PushResult::Full { .. } => reply(PushOutcome::Unknown, 0),
    }
}

/// Returns the reply for a push that the log rejected; `leader` is the link address of the leader.
pub(super) fn reject_reply(reject: Reject, leader: &str) -> PushReply {
    let outcome = match reject {
        Reject::NotLeader { .. } => PushOutcome::NotLeader,
        Reject::NoQuorum | Reject::Busy { .. } => PushOutcome::NoQuorum,
        Reject::TooLarge { .. } | Reject::Unfit | Reject::NotCaughtUp { .. } => {
            PushOutcome::Invalid
        }
        Reject::Interrupted | Reject::TimedOut => PushOutcome::Unknown,
    };
    let fault = match outcome {
        PushOutcome::Invalid => reject_text(reject),
        _ => String::new(),
    };
    PushReply {
        outcome: outcome.into(),
        leader: leader.into(),
        fault,
        ..PushReply::default()
    }
}

/// Returns the reply for an invalid bundle, which is not proposed to the log.
pub(super) fn invalid_reply(fault: &buckthornweir_bundle::Fault) -> PushReply {
    PushReply {
        outcome: PushOutcome::Invalid.into(),
        fault: fault.to_string(),
        ..PushReply::default()
    }
}

/// Returns the reply for a bundle with a version above the highest allowed one.
pub(super) fn version_too_high(allowed: u64) -> PushReply {
    PushReply {
        outcome: PushOutcome::Invalid.into(),
        fault: format!("the version is too high; allowed: at most {allowed}"),
        ..PushReply::default()
    }
}

/// Returns the message that explains a rejection to an operator.
pub(super) fn reject_text(reject: Reject) -> String {
    match reject {
        Reject::NotLeader { .. } => "another control process leads".into(),
        Reject::NoQuorum => "no quorum can be reached; nothing was changed".into(),
        Reject::Busy { retry } => format!("another change is under way; try again in {retry:?}"),
        Reject::Unfit => "the change does not fit the members of the log".into(),
        Reject::TooLarge { limit } => format!("the bundle is over {limit} bytes"),
        Reject::NotCaughtUp { behind } => format!("the learner still misses {behind} entries"),
        Reject::Interrupted | Reject::TimedOut => {
            "the outcome is not known; sending again is safe".into()
        }
    }
}

/// Replies to an event that could not be queued.
pub(super) fn refuse_event(event: Event) {
    match event {
        Event::Push { done, .. } => done(PushReply {
            outcome: PushOutcome::NoQuorum.into(),
            ..PushReply::default()
        }),
        Event::Change { done, .. } => done(ControlReply {
            fault: reject_text(Reject::NoQuorum),
            ..ControlReply::default()
        }),
        Event::Frame(_) | Event::TransferLeadership => {}
    }
}
