//! What the wire lets pass.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use super::ProcessName;

/// The number of a connection, in order of their start.
pub(super) type ConnectionNumber = u64;

/// One way between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Way {
    pub(super) from: ProcessName,
    pub(super) to: ProcessName,
}

impl Way {
    /// Returns the other way between the two.
    pub(super) fn back(&self) -> Self {
        Self {
            from: self.to.clone(),
            to: self.from.clone(),
        }
    }
}

/// The rules of a wire, which may change at any time.
#[derive(Default)]
pub(super) struct Rules {
    state: watch::Sender<State>,
    connections: AtomicU64,
    hits: AtomicU64,
}

#[derive(Default)]
struct State {
    cuts: HashSet<Way>,
    /// Connections with a lower number are silent.
    silenced: HashMap<Way, ConnectionNumber>,
    delay: Duration,
}

impl Rules {
    pub(super) fn cut(&self, from: &[&str], to: &[&str]) {
        self.state
            .send_modify(|state| state.cuts.extend(ways(from, to)));
    }

    pub(super) fn heal(&self) {
        self.state.send_modify(|state| state.cuts.clear());
    }

    pub(super) fn silence(&self, one: &[&str], other: &[&str]) {
        let next = self.connections.load(Ordering::Relaxed);
        let all = ways(one, other).chain(ways(other, one));
        self.state.send_modify(|state| {
            state.silenced.extend(all.map(|way| (way, next)));
        });
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    pub(super) fn delay(&self) -> Duration {
        self.state.borrow().delay
    }

    pub(super) fn hits(&self) -> u64 {
        self.hits.load(Ordering::Relaxed)
    }

    /// Returns whether a datagram is lost.
    pub(super) fn loses(&self, way: &Way) -> bool {
        let is_cut = self.state.borrow().cuts.contains(way);
        if is_cut {
            self.hit();
        }
        is_cut
    }

    /// Returns a number for a new connection.
    pub(super) fn number(&self) -> ConnectionNumber {
        self.connections.fetch_add(1, Ordering::Relaxed)
    }

    /// Waits until a connection can be made, which needs both ways.
    pub(super) async fn open(&self, way: &Way) {
        let back = way.back();
        let is_cut = |state: &State| state.cuts.contains(way) || state.cuts.contains(&back);
        self.pass(is_cut).await;
    }

    /// Waits until bytes of a connection may go on, which may be never.
    pub(super) async fn go_on(&self, way: &Way, number: ConnectionNumber) {
        let is_held = |state: &State| {
            let is_silent = state.silenced.get(way).is_some_and(|next| number < *next);
            is_silent || state.cuts.contains(way)
        };
        self.pass(is_held).await;
    }

    async fn pass(&self, is_held: impl Fn(&State) -> bool) {
        let mut state = self.state.subscribe();
        if !is_held(&state.borrow()) {
            return;
        }
        self.hit();
        // The sender lives as long as `self`.
        let _ = state.wait_for(|state| !is_held(state)).await;
    }

    fn hit(&self) {
        self.hits.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the ways from every process of `from` to every process of `to`.
fn ways<'a>(from: &'a [&str], to: &'a [&str]) -> impl Iterator<Item = Way> + 'a {
    let way = |from: &str, to: &str| Way {
        from: from.into(),
        to: to.into(),
    };
    from.iter()
        .flat_map(move |from| to.iter().map(move |to| way(from, to)))
}
