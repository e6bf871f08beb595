//! The metrics that count an agent's decisions about flows.

use std::time::Duration;

use buckthornweir_events::{Count, Gauge};
use buckthornweir_forward::agent::{DropReason, Offer, PassReason, ResetReason};

use super::{Node, Role};

/// Period of updates of the service time gauge, whose computation visits all running requests.
const SERVICE_TIME_PERIOD: Duration = Duration::from_millis(500);

impl Node {
    /// Sets the gauges of overload control.
    pub(super) fn set_gauges(&mut self, now: Duration, offer: Offer) {
        let Role::Agent { core, .. } = &self.role else {
            return;
        };
        let waiting = i64::try_from(core.queued()).unwrap_or(i64::MAX);
        self.metrics.set(Gauge::FlowsWaiting, waiting);
        self.metrics
            .set(Gauge::WeightStep, announced_weight(offer).into());
        if now < self.next_service_time {
            return;
        }
        self.next_service_time = now + SERVICE_TIME_PERIOD;
        let service = core.service_time(now).unwrap_or_default().as_millis();
        let service = i64::try_from(service).unwrap_or(i64::MAX);
        self.metrics.set(Gauge::ServiceTimeMs, service);
    }
}

/// Returns the weight step that other processes see: 0 for an agent that accepts no new flows.
pub(super) fn announced_weight(offer: Offer) -> u8 {
    if offer.accepts { offer.weight } else { 0 }
}

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
        PassReason::Owner | PassReason::MayOwn | PassReason::Stopping => None,
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
