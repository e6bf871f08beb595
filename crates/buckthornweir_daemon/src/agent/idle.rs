//! Pools of idle connections.

use std::time::{Duration, Instant};

/// Idle connections to one peer, reused in last-in, first-out order.
#[derive(Debug)]
pub(crate) struct IdlePool<T> {
    entries: Vec<Entry<T>>,
    capacity: usize,
    timeout: Duration,
}

#[derive(Debug)]
struct Entry<T> {
    connection: T,
    since: Instant,
}

impl<T> IdlePool<T> {
    /// Returns an empty pool that holds at most `capacity` connections, each for at most `timeout`.
    pub(crate) fn new(capacity: usize, timeout: Duration) -> Self {
        Self {
            entries: Vec::new(),
            capacity,
            timeout,
        }
    }

    /// Adds a connection, or closes it when the pool is full.
    pub(crate) fn put(&mut self, connection: T) {
        if self.entries.len() < self.capacity {
            let since = Instant::now();
            self.entries.push(Entry { connection, since });
        }
    }

    /// Closes expired and unusable connections, then removes and returns the most recently used
    /// one.
    pub(crate) fn take(&mut self, is_usable: impl Fn(&T) -> bool) -> Option<T> {
        self.close_stale(is_usable);
        self.entries.pop().map(|entry| entry.connection)
    }

    /// Closes expired and unusable connections.
    pub(crate) fn close_stale(&mut self, is_usable: impl Fn(&T) -> bool) {
        let timeout = self.timeout;
        self.entries
            .retain(|entry| entry.since.elapsed() < timeout && is_usable(&entry.connection));
    }

    /// Closes all connections.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns whether the pool is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
