//! New flows that wait for the backend server beside an agent.
//!
//! Answers the load after a restart of many VMs at once: no backend server has reported yet, or all are
//! cold, and callers open all their flows anew. A caller waits for an answer to its SYN anyway, so a SYN
//! that can be served in that time is kept, in order; one that can't be is refused at once.

use std::collections::VecDeque;
use std::time::Duration;

use crate::segment::{FlowKey, Segment};
use crate::tag::Tag;

/// How long a caller waits for the answer to a SYN, less the way there and back.
pub(crate) const SYN_TIMEOUT: Duration = Duration::from_millis(1_250);

/// SYNs that are kept at once.
const MAX_HELD_SYNS: usize = 256;

/// A SYN that waits.
#[derive(Clone, Debug)]
pub(crate) struct HeldSyn {
    pub(crate) segment: Segment,
    pub(crate) bytes: Vec<u8>,
    pub(crate) tag: Tag,
    since: Duration,
}

/// The SYNs that wait at one agent, oldest first.
#[derive(Debug, Default)]
pub(crate) struct SynQueue {
    list: VecDeque<HeldSyn>,
}

impl SynQueue {
    pub(crate) fn len(&self) -> usize {
        self.list.len()
    }

    pub(crate) fn contains(&self, key: &FlowKey) -> bool {
        self.list
            .iter()
            .any(|held| held.segment.caller_flow() == *key)
    }

    /// Keeps a SYN. Returns whether there was room.
    pub(crate) fn push(
        &mut self,
        now: Duration,
        segment: &Segment,
        bytes: &[u8],
        tag: Tag,
    ) -> bool {
        if self.list.len() >= MAX_HELD_SYNS {
            return false;
        }
        self.list.push_back(HeldSyn {
            segment: *segment,
            bytes: bytes.to_vec(),
            tag,
            since: now,
        });
        true
    }

    /// Drops the SYNs whose callers have stopped waiting.
    pub(crate) fn expire(&mut self, now: Duration) {
        while self
            .list
            .front()
            .is_some_and(|held| now >= held.since + SYN_TIMEOUT)
        {
            self.list.pop_front();
        }
    }

    pub(crate) fn pop(&mut self) -> Option<HeldSyn> {
        self.list.pop_front()
    }
}
