//! The bounded event journal of a process, and the merging of several journals.

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::clock::{Clock, Stamp};
use crate::event::{Event, EventKind};

/// A bounded buffer of the events of one process, which evicts the oldest events when full.
#[derive(Debug)]
pub struct Journal {
    node: SmolStr,
    limit: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    clock: Clock,
    events: VecDeque<Event>,
}

/// A filter that selects events.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Selects events after this stamp.
    pub since: Stamp,
    /// Selects events of this kind, or of all kinds when empty.
    pub kind: SmolStr,
    /// Selects events about this flow or request, or all events when empty.
    pub subject: SmolStr,
}

impl Journal {
    /// Creates an empty journal for the process `node`, with a capacity of `limit` events, or of one
    /// when `limit` is zero.
    pub fn new(node: impl Into<SmolStr>, limit: usize) -> Self {
        Self {
            node: node.into(),
            limit: limit.max(1),
            inner: Mutex::new(Inner::default()),
        }
    }

    /// Records an event at the wall clock time `wall`, the time since the Unix epoch.
    pub fn record(&self, wall: Duration, kind: EventKind) {
        let mut inner = self.inner.lock();
        let stamp = inner.clock.stamp(wall);
        if inner.events.len() >= self.limit {
            inner.events.pop_front();
        }
        let node = self.node.clone();
        inner.events.push_back(Event { stamp, node, kind });
    }

    /// Returns a stamp for an outgoing message.
    pub fn stamp(&self, wall: Duration) -> Stamp {
        self.inner.lock().clock.stamp(wall)
    }

    /// Observes the stamp of a received message. Returns false when it is too far ahead.
    pub fn observe(&self, wall: Duration, stamp: Stamp) -> bool {
        self.inner.lock().clock.observe(wall, stamp)
    }

    /// Returns the events after `since`, oldest first.
    pub fn since(&self, since: Stamp) -> Vec<Event> {
        let filter = Filter {
            since,
            ..Filter::default()
        };
        self.matching(&filter)
    }

    /// Returns the events that match `filter`, oldest first.
    pub fn matching(&self, filter: &Filter) -> Vec<Event> {
        let inner = self.inner.lock();
        let matches = |event: &&Event| filter.matches(event);
        inner.events.iter().filter(matches).cloned().collect()
    }
}

impl Filter {
    /// Returns whether `event` matches the filter.
    pub fn matches(&self, event: &Event) -> bool {
        let kind = self.kind.is_empty() || self.kind == event.kind.name();
        let subject = self.subject.is_empty() || event.kind.subject() == Some(&self.subject);
        event.stamp > self.since && kind && subject
    }
}

/// Merges the events of several processes into one timeline, oldest first and without duplicates.
pub fn merge(parts: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = parts.into_iter().flatten().collect();
    events.sort();
    events.dedup();
    events
}
