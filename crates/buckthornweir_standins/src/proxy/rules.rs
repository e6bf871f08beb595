//! The fault rules of the proxy.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;

use super::ProcessName;

/// The number of a connection. Numbers are assigned in the order in which connections start.
pub(super) type ConnectionNumber = u64;

/// One direction between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Direction {
    pub(super) from: ProcessName,
    pub(super) to: ProcessName,
}

impl Direction {
    /// Returns the opposite direction.
    pub(super) fn reverse(&self) -> Self {
        Self {
            from: self.to.clone(),
            to: self.from.clone(),
        }
    }
}

/// The rules of a proxy, which may change at any time.
#[derive(Default)]
pub(super) struct Rules {
    state: watch::Sender<State>,
    connections: AtomicU64,
    hits: AtomicU64,
}

#[derive(Default)]
struct State {
    cuts: HashSet<Direction>,
    /// Connections with a number below the value are silent.
    silenced: HashMap<Direction, ConnectionNumber>,
    delay: Duration,
}

impl Rules {
    pub(super) fn cut(&self, from: &[&str], to: &[&str]) {
        self.state
            .send_modify(|state| state.cuts.extend(directions(from, to)));
    }

    pub(super) fn heal(&self) {
        self.state.send_modify(|state| state.cuts.clear());
    }

    pub(super) fn silence(&self, one: &[&str], other: &[&str]) {
        let next = self.connections.load(Ordering::Relaxed);
        let all = directions(one, other).chain(directions(other, one));
        self.state.send_modify(|state| {
            state
                .silenced
                .extend(all.map(|direction| (direction, next)));
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

    /// Returns whether a datagram is dropped, and counts it if so.
    pub(super) fn drops_datagram(&self, direction: &Direction) -> bool {
        let is_cut = self.state.borrow().cuts.contains(direction);
        if is_cut {
            self.count_hit();
        }
        is_cut
    }

    /// Returns the number of a new connection.
    pub(super) fn next_number(&self) -> ConnectionNumber {
        self.connections.fetch_add(1, Ordering::Relaxed)
    }

    /// Waits until a connection can be established, for which neither direction may be cut.
    pub(super) async fn wait_connectable(&self, direction: &Direction) {
        let reverse = direction.reverse();
        let is_cut =
            |state: &State| state.cuts.contains(direction) || state.cuts.contains(&reverse);
        self.wait_while(is_cut).await;
    }

    /// Waits until bytes of a connection can be forwarded. A silent connection waits forever.
    pub(super) async fn wait_forwardable(&self, direction: &Direction, number: ConnectionNumber) {
        let is_blocked = |state: &State| {
            let is_silent = state
                .silenced
                .get(direction)
                .is_some_and(|next| number < *next);
            is_silent || state.cuts.contains(direction)
        };
        self.wait_while(is_blocked).await;
    }

    async fn wait_while(&self, is_blocked: impl Fn(&State) -> bool) {
        let mut state = self.state.subscribe();
        if !is_blocked(&state.borrow()) {
            return;
        }
        self.count_hit();
        // The wait can't fail, as `self` owns the sender.
        let _ = state.wait_for(|state| !is_blocked(state)).await;
    }

    fn count_hit(&self) {
        self.hits.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the directions from every process of `from` to every process of `to`.
fn directions<'a>(from: &'a [&str], to: &'a [&str]) -> impl Iterator<Item = Direction> + 'a {
    let direction = |from: &str, to: &str| Direction {
        from: from.into(),
        to: to.into(),
    };
    from.iter()
        .flat_map(move |from| to.iter().map(move |to| direction(from, to)))
}
