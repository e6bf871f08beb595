//! Hedged SYNs of a balancer.

use std::time::Duration;

use buckthornweir_events::Count;
use buckthornweir_forward::balancer::Decision;
use buckthornweir_forward::hedging::{Denial, Hedge};
use buckthornweir_forward::segment::Segment;

use super::{Node, Role};

impl Node {
    /// Records a caller's packet that the balancer forwards, and marks a SYN that may be hedged.
    pub(super) fn note_forwarded(
        &mut self,
        now: Duration,
        decision: &mut Decision,
        segment: &Segment,
        bytes: &[u8],
    ) {
        let (Role::Balancer { hedging, .. }, Decision::Forward { to, tag }) =
            (&mut self.role, decision)
        else {
            return;
        };
        if let Some(denial) = hedging.note(now, self.plans.plan(), segment, bytes, *to) {
            self.metrics.count(denial_metric(denial));
        }
        tag.hedgeable = segment.syn && hedging.may_hedge(&segment.caller_flow());
    }

    /// Sends copies of the SYNs whose flow's next packet is late.
    pub(super) fn send_hedged_syns(&mut self, now: Duration) {
        let Role::Balancer { hedging, .. } = &mut self.role else {
            return;
        };
        if hedging.next_due().is_none_or(|due| now < due) {
            return;
        }
        for hedge in hedging.due(now, self.plans.plan(), &self.peers) {
            match hedge {
                Hedge::Denied(denial) => self.metrics.count(denial_metric(denial)),
                Hedge::Send {
                    key,
                    mut bytes,
                    first,
                    to,
                    tag,
                } => {
                    (self.format.mark)(&mut bytes, tag.word());
                    if let Role::Balancer { packets, .. } = &self.role {
                        packets.send(&bytes, to, &self.metrics);
                    }
                    self.metrics.count(Count::PacketsForwarded);
                    self.metrics.count(Count::HedgedSynsSent);
                    if self.log_budget.try_acquire(now) {
                        tracing::info!(
                            event = "syn_hedged",
                            flow = %key,
                            %first,
                            agent = %to,
                            aside = tag.aside,
                            revision = self.plans.plan().revision,
                        );
                    }
                }
            }
        }
    }
}

fn denial_metric(denial: Denial) -> Count {
    match denial {
        Denial::Limit => Count::HedgedSynsDeniedLimit,
        Denial::NoFreeSlot => Count::HedgedSynsDeniedNoSlot,
        Denial::Full => Count::HedgedSynsDeniedFull,
    }
}
