//! Describes what happens if the chosen agent can't serve the request.

use buckthornweir_wire::{CandidateVerdict, ExplainReply, RequestLimits};
use serde::Serialize;

/// What the operator says about the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTraits {
    /// Whether the method is idempotent, if known.
    pub(super) is_idempotent: Option<bool>,
    /// Whether the request has an idempotency key.
    pub(super) has_key: bool,
}

/// What happens if the chosen agent can't serve the request.
#[derive(Debug, Serialize)]
pub(super) struct Consequences {
    /// The agent to which the chosen one passes the flow on if it doesn't accept it.
    pub(super) next: Option<String>,
    pub(super) if_full: String,
    pub(super) if_refused: String,
    pub(super) if_failed: String,
}

/// Returns what happens if the chosen agent is full, refuses the flow or fails.
pub(super) fn consequences(
    reply: &ExplainReply,
    choice: Option<&str>,
    traits: RequestTraits,
) -> Consequences {
    let next = (!reply.next.is_empty()).then(|| reply.next.clone());
    if choice.is_none() {
        let dropped = "no agent accepts new flows; the balancer drops the packet";
        return Consequences {
            next,
            if_full: dropped.into(),
            if_refused: dropped.into(),
            if_failed: dropped.into(),
        };
    }
    Consequences {
        if_full: if_full(reply),
        if_refused: if_refused(next.as_deref()),
        if_failed: if_failed(reply.limits.as_ref(), traits),
        next,
    }
}

fn if_full(reply: &ExplainReply) -> String {
    let Some(limits) = &reply.limits else {
        return "it drops the packet, and the caller's next SYN goes to the same agent".into();
    };
    let siblings = reply.candidates.iter();
    let siblings = siblings.filter(|row| may_take_requests(row.verdict()));
    let names: Vec<&str> = siblings.map(|row| row.name.as_str()).collect();
    let queue = format!(
        "the request waits there for up to {} ms behind at most {} others, \
         and is then refused as not run",
        limits.wait_millis, limits.queue
    );
    if names.is_empty() {
        return queue;
    }
    format!(
        "it asks up to {} of {} for a slot, each for up to {} ms; meanwhile {queue}",
        limits.siblings,
        names.join(", "),
        limits.ask_millis
    )
}

/// Returns whether agents ask a sibling with this verdict for a slot. One that gets no new flows
/// because of its weight may still have a slot to spare.
fn may_take_requests(verdict: CandidateVerdict) -> bool {
    matches!(
        verdict,
        CandidateVerdict::RankedLower | CandidateVerdict::NoWeight
    )
}

fn if_refused(next: Option<&str>) -> String {
    match next {
        Some(next) => format!("it passes the flow on to {next}"),
        None => "no other agent accepts new flows; it drops the packet".into(),
    }
}

fn if_failed(limits: Option<&RequestLimits>, traits: RequestTraits) -> String {
    let Some(limits) = limits else {
        return "the flow is reset; its bytes are not repeated".into();
    };
    let hedged = match limits.hedged_percent {
        0 => String::new(),
        percent => format!(", and hedged within {percent}% of the requests"),
    };
    let retried = format!(
        "it is retried within the retry budget, up to {} attempts in all{hedged}",
        limits.attempts
    );
    let kept = "it is retried only if it certainly did not run, and is not hedged";
    match (traits.has_key, traits.is_idempotent) {
        (true, _) => format!("{kept}; it runs at most once, as it has an idempotency key"),
        (false, Some(true)) => retried,
        (false, Some(false)) => kept.into(),
        (false, None) => format!("if the request is idempotent, {retried}; otherwise, {kept}"),
    }
}
