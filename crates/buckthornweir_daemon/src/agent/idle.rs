//! Connections that are kept for the next request.

use std::time::{Duration, Instant};

/// Idle connections of one kind to one place, the latest used first.
#[derive(Debug)]
pub(crate) struct IdlePool<T> {
    kept: Vec<Kept<T>>,
    most: usize,
    limit: Duration,
}

#[derive(Debug)]
struct Kept<T> {
    connection: T,
    since: Instant,
}

impl<T> IdlePool<T> {
    /// Returns an empty pool that keeps at most `most` connections, each for `limit`.
    pub(crate) fn new(most: usize, limit: Duration) -> Self {
        Self {
            kept: Vec::new(),
            most,
            limit,
        }
    }

    /// Keeps a connection if there is room.
    pub(crate) fn keep(&mut self, connection: T) {
        if self.kept.len() < self.most {
            let since = Instant::now();
            self.kept.push(Kept { connection, since });
        }
    }

    /// Closes connections that were kept for too long or are not usable, then takes the latest.
    pub(crate) fn take(&mut self, is_usable: impl Fn(&T) -> bool) -> Option<T> {
        self.close_stale(is_usable);
        self.kept.pop().map(|kept| kept.connection)
    }

    /// Closes connections that were kept for too long or are not usable.
    pub(crate) fn close_stale(&mut self, is_usable: impl Fn(&T) -> bool) {
        let limit = self.limit;
        self.kept
            .retain(|kept| kept.since.elapsed() < limit && is_usable(&kept.connection));
    }

    /// Closes all connections.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
    }

    /// Returns whether nothing is kept.
    pub(crate) fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
