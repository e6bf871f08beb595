//! A map with a bounded size and expiring entries.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

/// A map that evicts its oldest entry when full, and entries whose lifetime has ended.
#[derive(Debug)]
pub(crate) struct BoundedMap<K, V> {
    entries: HashMap<K, Entry<V>>,
    order: VecDeque<(K, u64)>,
    capacity: usize,
    lifetime: Duration,
    stamp: u64,
}

#[derive(Debug)]
struct Entry<V> {
    value: V,
    expires: Duration,
    stamp: u64,
}

impl<K: Copy + Eq + Hash, V> BoundedMap<K, V> {
    pub(crate) fn new(capacity: usize, lifetime: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            order: VecDeque::new(),
            capacity: capacity.max(1),
            lifetime,
            stamp: 0,
        }
    }

    pub(crate) fn get_mut(&mut self, key: &K, now: Duration) -> Option<&mut V> {
        let entry = self.entries.get_mut(key)?;
        (entry.expires > now).then_some(&mut entry.value)
    }

    pub(crate) fn insert(&mut self, key: K, value: V, now: Duration) {
        self.stamp += 1;
        let entry = Entry {
            value,
            expires: now.saturating_add(self.lifetime),
            stamp: self.stamp,
        };
        self.entries.insert(key, entry);
        self.order.push_back((key, self.stamp));
        self.evict(now);
    }

    pub(crate) fn remove(&mut self, key: &K) {
        self.entries.remove(key);
    }

    /// Evicts entries that have expired, were replaced, or exceed the capacity.
    fn evict(&mut self, now: Duration) {
        while let Some(&(key, stamp)) = self.order.front() {
            let current = self.entries.get(&key).filter(|entry| entry.stamp == stamp);
            let is_stale = current.is_none_or(|entry| entry.expires <= now);
            if !is_stale && self.order.len() <= self.capacity {
                return;
            }
            if current.is_some() {
                self.entries.remove(&key);
            }
            self.order.pop_front();
        }
    }
}
