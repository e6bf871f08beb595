//! The fabric's connections, in shards with one lock each.

use std::collections::HashMap;
use std::collections::hash_map::{DefaultHasher, Entry};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use super::connection::Connection;

const SHARDS: usize = 64;

type Shard = Mutex<HashMap<SocketAddr, Arc<Connection>>>;

/// Connections by the caller's address and port.
pub(crate) struct Shards {
    shards: Vec<Shard>,
}

impl Default for Shards {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
        }
    }
}

impl Shards {
    /// Adds a connection. Returns false when its address is in use.
    pub(crate) fn insert(&self, local: SocketAddr, connection: Arc<Connection>) -> bool {
        match self.shard(local).lock().entry(local) {
            Entry::Occupied(_) => false,
            Entry::Vacant(slot) => {
                slot.insert(connection);
                true
            }
        }
    }

    pub(crate) fn get(&self, local: SocketAddr) -> Option<Arc<Connection>> {
        self.shard(local).lock().get(&local).cloned()
    }

    pub(crate) fn remove(&self, local: SocketAddr) {
        self.shard(local).lock().remove(&local);
    }

    pub(crate) fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().len()).sum()
    }

    fn shard(&self, local: SocketAddr) -> &Shard {
        let mut hasher = DefaultHasher::new();
        local.hash(&mut hasher);
        &self.shards[hasher.finish() as usize % SHARDS]
    }
}
