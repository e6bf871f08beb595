//! The loads that agents report to each other.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum number of agents whose load is kept.
const MAX_LOADS: usize = 512;

/// How long a reported load is used. Queues change within a few service times.
pub const LOAD_TTL: Duration = Duration::from_millis(500);

/// The load of an agent's backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Expected wait of a new flow of the lowest priority.
    pub wait: Duration,
    /// Mean service time of a request; zero if unknown.
    pub service: Duration,
    /// Number of further flows that start without waiting.
    pub capacity: u32,
    /// Number of requests that run concurrently.
    pub slots: u32,
}

impl Load {
    /// Returns the expected time until a new flow's request is complete.
    #[must_use]
    pub fn completion(&self) -> Duration {
        self.wait + self.service
    }
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    load: Load,
    at: Duration,
}

/// The latest loads of other agents, by packet address.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    map: HashMap<SocketAddrV4, Reported>,
}

impl Loads {
    /// Records the load that an agent reported.
    pub fn note(&mut self, now: Duration, agent: SocketAddrV4, load: Load) {
        if self.map.len() >= MAX_LOADS && !self.map.contains_key(&agent) {
            self.sweep(now);
            if self.map.len() >= MAX_LOADS {
                return;
            }
        }
        self.map.insert(agent, Reported { load, at: now });
    }

    /// Returns the load that an agent reported within [`LOAD_TTL`], and its age.
    #[must_use]
    pub fn get(&self, now: Duration, agent: &SocketAddrV4) -> Option<(Load, Duration)> {
        let reported = self.map.get(agent)?;
        let age = now.saturating_sub(reported.at);
        (age < LOAD_TTL).then_some((reported.load, age))
    }

    /// Records that a flow was passed to an agent, so that the next flows do not all follow it.
    pub fn charge(&mut self, agent: &SocketAddrV4) {
        if let Some(Reported { load, .. }) = self.map.get_mut(agent) {
            if load.capacity > 0 {
                load.capacity -= 1;
            } else {
                load.wait += load.service / load.slots.max(1);
            }
        }
    }

    /// Removes expired loads.
    pub fn sweep(&mut self, now: Duration) {
        self.map.retain(|_, reported| now < reported.at + LOAD_TTL);
    }
}
