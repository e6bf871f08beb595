//! The metrics that count an agent's decisions about flows.

use buckthornweir_events::Count;
use buckthornweir_forward::agent::{DropReason, PassReason, ResetReason};

/// Returns the counter of packets that were dropped.
pub(super) fn drop_metric(reason: DropReason) -> Count {
    match reason {
        DropReason::Held => Count::PacketsAwaitingOwner,
        DropReason::NoOwner => Count::PacketsDroppedNoOwner,
        DropReason::Overloaded => Count::PacketsDroppedOverloaded,
        DropReason::HopLimit => Count::PacketsHopLimit,
        DropReason::NoRoute => Count::PacketsDroppedWrongService,
        DropReason::LookupsFull => Count::PacketsDroppedLookupsFull,
        DropReason::Hedged => Count::PacketsDroppedHedged,
        DropReason::Odd => Count::PacketsMalformed,
    }
}

/// Returns the counter of new flows that were passed on; `None` for packets of existing flows.
pub(super) fn pass_metric(reason: PassReason) -> Option<Count> {
    match reason {
        PassReason::Owner | PassReason::MayOwn => None,
        PassReason::Busy => Some(Count::FlowsPassedOnBusy),
        PassReason::Overloaded => Some(Count::FlowsPassedOnOverloaded),
        PassReason::Shut(_) => Some(Count::FlowsPassedOnShut),
        PassReason::Returned => Some(Count::FlowsPassedOnReturned),
        PassReason::Unanswered => Some(Count::FlowsPassedOnUnanswered),
    }
}

/// Returns the counter of new flows that were rejected; `None` for resets of existing flows.
pub(super) fn reset_metric(reason: ResetReason) -> Option<Count> {
    match reason {
        ResetReason::NobodyTakes => Some(Count::FlowsRejectedNobodyTakes),
        ResetReason::Overloaded => Some(Count::FlowsRejectedOverloaded),
        ResetReason::Lost | ResetReason::Restarted | ResetReason::Unowned => None,
    }
}
