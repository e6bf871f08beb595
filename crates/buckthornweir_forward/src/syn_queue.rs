//! Queue of SYNs that wait for the local backend server.
//!
//! Absorbs the load after many VMs restart at once: no backend server has reported yet, or all are
//! cold, and callers reopen all their flows. A caller waits for the SYN-ACK anyway, so a SYN that
//! can be served within that time is queued in order of arrival; any other is refused immediately.

use std::collections::VecDeque;
use std::time::Duration;

use crate::segment::{FlowKey, Segment};
use crate::tag::Tag;

/// How long a caller waits for a SYN-ACK, less the round-trip time.
pub(crate) const SYN_TIMEOUT: Duration = Duration::from_millis(1_250);

/// Maximum number of queued SYNs.
const MAX_QUEUED_SYNS: usize = 256;

/// A queued SYN.
#[derive(Clone, Debug)]
pub(crate) struct QueuedSyn {
    pub(crate) segment: Segment,
    pub(crate) bytes: Vec<u8>,
    pub(crate) tag: Tag,
    since: Duration,
}

/// The queued SYNs of one agent, oldest first.
#[derive(Debug, Default)]
pub(crate) struct SynQueue {
    list: VecDeque<QueuedSyn>,
}

impl SynQueue {
    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    pub(crate) fn contains(&self, key: &FlowKey) -> bool {
        self.list
            .iter()
            .any(|syn| syn.segment.caller_flow() == *key)
    }

    /// Queues a SYN. Returns `false` if the queue is full.
    pub(crate) fn push(
        &mut self,
        now: Duration,
        segment: &Segment,
        bytes: &[u8],
        tag: Tag,
    ) -> bool {
        if self.list.len() >= MAX_QUEUED_SYNS {
            return false;
        }
        self.list.push_back(QueuedSyn {
            segment: *segment,
            bytes: bytes.to_vec(),
            tag,
            since: now,
        });
        true
    }

    /// Drops the SYNs whose callers have timed out.
    pub(crate) fn expire(&mut self, now: Duration) {
        while self
            .list
            .front()
            .is_some_and(|syn| now >= syn.since + SYN_TIMEOUT)
        {
            self.list.pop_front();
        }
    }

    pub(crate) fn pop(&mut self) -> Option<QueuedSyn> {
        self.list.pop_front()
    }
}
