//! Periods, timeouts and budgets of the membership.

use std::time::Duration;

/// The time over which the byte budget holds.
const BUDGET_WINDOW: Duration = Duration::from_secs(120);

/// The share of a window's byte budget that may be spent at once.
const BURST_SHARE: f64 = 0.2;

/// Periods, timeouts and budgets of [`Members`](crate::Members).
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    pub(crate) probe_period: Duration,
    pub(crate) probe_timeout: Duration,
    pub(crate) indirect_timeout: Duration,
    pub(crate) suspicion: Duration,
    pub(crate) heard_suspicion: Duration,
    pub(crate) deaf_limit: Duration,
    pub(crate) pause_limit: Duration,
    pub(crate) monitors: usize,
    pub(crate) helpers: usize,
    pub(crate) fan_out: usize,
    pub(crate) gossip_interval: Duration,
    pub(crate) sync_interval: Duration,
    pub(crate) catch_up: f64,
    pub(crate) contact_interval: Duration,
    pub(crate) lone_interval: Duration,
    pub(crate) forget_after: Duration,
    pub(crate) pull_timeout: Duration,
    pub(crate) rosters: bool,
    pub(crate) byte_budget: u32,
    pub(crate) datagram_size: usize,
    pub(crate) envelope: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(1_000),
            probe_timeout: Duration::from_millis(450),
            indirect_timeout: Duration::from_millis(1_050),
            suspicion: Duration::from_millis(1_200),
            heard_suspicion: Duration::from_secs(10),
            deaf_limit: Duration::from_secs(10),
            pause_limit: Duration::from_secs(1),
            monitors: 3,
            helpers: 3,
            fan_out: 4,
            gossip_interval: Duration::from_millis(50),
            sync_interval: Duration::from_secs(3),
            catch_up: 64.0,
            contact_interval: Duration::from_secs(5),
            lone_interval: Duration::from_millis(1_000),
            forget_after: Duration::from_secs(2 * 60 * 60),
            pull_timeout: Duration::from_secs(2),
            rosters: false,
            byte_budget: 3_000,
            datagram_size: 1_200,
            envelope: 64,
        }
    }
}

impl Config {
    /// Sets the period in which each monitored member is probed once.
    pub fn with_probe_period(mut self, period: Duration) -> Self {
        self.probe_period = period;
        self
    }

    /// Sets how long a direct probe may take before other members are asked to probe.
    pub fn with_probe_timeout(mut self, timeout: Duration) -> Self {
        self.probe_timeout = timeout;
        self
    }

    /// Sets how long indirect probes may take before the member is suspected.
    pub fn with_indirect_timeout(mut self, timeout: Duration) -> Self {
        self.indirect_timeout = timeout;
        self
    }

    /// Sets how long a suspect that the node probed itself may refute before it is declared dead.
    pub fn with_suspicion(mut self, suspicion: Duration) -> Self {
        self.suspicion = suspicion;
        self
    }

    /// Sets the number of members that each node probes in each period.
    pub fn with_monitors(mut self, monitors: usize) -> Self {
        self.monitors = monitors.max(1);
        self
    }

    /// Sets the number of members that are asked to probe indirectly.
    pub fn with_helpers(mut self, helpers: usize) -> Self {
        self.helpers = helpers;
        self
    }

    /// Sets to how many members a change is sent at once.
    pub fn with_fan_out(mut self, fan_out: usize) -> Self {
        self.fan_out = fan_out;
        self
    }

    /// Sets the shortest time between two exchanges of digests.
    pub fn with_sync_interval(mut self, interval: Duration) -> Self {
        self.sync_interval = interval;
        self
    }

    /// Sets how often a dead member or a seed is contacted.
    pub fn with_contact_interval(mut self, interval: Duration) -> Self {
        self.contact_interval = interval;
        self
    }

    /// Sets how often a process that knows no other live one greets its seeds.
    pub fn with_lone_interval(mut self, interval: Duration) -> Self {
        self.lone_interval = interval;
        self
    }

    /// Sets how long dead members are remembered.
    pub fn with_forget_after(mut self, age: Duration) -> Self {
        self.forget_after = age;
        self
    }

    /// Sets the time after which a bundle that has not arrived is pulled again.
    pub fn with_pull_timeout(mut self, timeout: Duration) -> Self {
        self.pull_timeout = timeout;
        self
    }

    /// Sets whether tables are filled and compared by [`Action::FetchRoster`](crate::Action::FetchRoster),
    /// and not by digests within the byte budget.
    pub fn with_rosters(mut self, rosters: bool) -> Self {
        self.rosters = rosters;
        self
    }

    /// Sets the bytes a second that the node sends at most, as the mean of any two
    /// minutes.
    pub fn with_byte_budget(mut self, bytes: u32) -> Self {
        self.byte_budget = bytes;
        self
    }

    /// Sets the size in bytes that a datagram has at most, its envelope included.
    pub fn with_datagram_size(mut self, bytes: usize) -> Self {
        self.datagram_size = bytes;
        self
    }

    /// Sets the bytes that IP, UDP and authentication add to each message.
    pub fn with_envelope(mut self, bytes: usize) -> Self {
        self.envelope = bytes;
        self
    }

    /// Returns the token bucket of sent bytes: its rate, and what may be sent at once.
    ///
    /// What is sent at once and the income of [`BUDGET_WINDOW`] make up the window's budget.
    pub(crate) fn byte_bucket(&self) -> (f64, f64) {
        let budget = f64::from(self.byte_budget);
        let burst = budget * BUDGET_WINDOW.as_secs_f64() * BURST_SHARE;
        (budget * (1.0 - BURST_SHARE), burst)
    }

    /// Returns the size in bytes that an encoded message has at most.
    pub(crate) fn message_size(&self) -> usize {
        self.datagram_size.saturating_sub(self.envelope)
    }
}
