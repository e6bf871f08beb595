//! The bounded ring of events of one process, and the merging of several.

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::clock::{Clock, Stamp};
use crate::event::{Event, EventKind};

/// The events of one process; the oldest go when it is full.
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

/// Which events an operator asks for.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Only events after this stamp.
    pub since: Stamp,
    /// Only events of this kind, or all when empty.
    pub kind: SmolStr,
    /// Only events about this flow or request, or all when empty.
    pub subject: SmolStr,
}

impl Journal {
    /// Returns an empty journal of the process called `node` that keeps `limit` events.
    pub fn new(node: impl Into<SmolStr>, limit: usize) -> Self {
        Self {
            node: node.into(),
            limit,
            inner: Mutex::new(Inner::default()),
        }
    }

    /// Records an event; `wall` is the time since the Unix epoch.
    pub fn record(&self, wall: Duration, kind: EventKind) {
        let mut inner = self.inner.lock();
        let stamp = inner.clock.stamp(wall);
        if inner.events.len() >= self.limit {
            inner.events.pop_front();
        }
        let node = self.node.clone();
        inner.events.push_back(Event { stamp, node, kind });
    }

    /// Returns a stamp to put on a message that leaves.
    pub fn stamp(&self, wall: Duration) -> Stamp {
        self.inner.lock().clock.stamp(wall)
    }

    /// Takes in the stamp of a message that came. Returns false when it was too far ahead.
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

    /// Returns the events that `filter` lets through, oldest first.
    pub fn matching(&self, filter: &Filter) -> Vec<Event> {
        let inner = self.inner.lock();
        let fits = |event: &&Event| filter.fits(event);
        inner.events.iter().filter(fits).cloned().collect()
    }
}

impl Filter {
    /// Returns whether the filter lets `event` through.
    pub fn fits(&self, event: &Event) -> bool {
        let kind = self.kind.is_empty() || self.kind == event.kind.name();
        let subject = self.subject.is_empty() || event.kind.subject() == Some(&self.subject);
        event.stamp > self.since && kind && subject
    }
}

/// Merges the events of several processes into one time line, oldest first, each once.
pub fn merge(parts: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = parts.into_iter().flatten().collect();
    events.sort();
    events.dedup();
    events
}
