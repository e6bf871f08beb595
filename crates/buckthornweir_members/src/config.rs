//! Intervals, timeouts and budgets of the membership protocol.

use std::time::Duration;

/// The window over which the byte budget is averaged.
const BUDGET_WINDOW: Duration = Duration::from_secs(120);

/// The share of a window's byte budget that may be sent in one burst.
const BURST_SHARE: f64 = 0.2;

/// Intervals, timeouts and budgets of [`Members`](crate::Members).
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    pub(crate) probe_period: Duration,
    pub(crate) probe_timeout: Duration,
    pub(crate) indirect_timeout: Duration,
    pub(crate) suspicion: Duration,
    pub(crate) remote_suspicion: Duration,
    pub(crate) isolation_limit: Duration,
    pub(crate) pause_limit: Duration,
    pub(crate) monitors: usize,
    pub(crate) helpers: usize,
    pub(crate) fan_out: usize,
    pub(crate) gossip_interval: Duration,
    pub(crate) sync_interval: Duration,
    pub(crate) fetch_rate: f64,
    pub(crate) contact_interval: Duration,
    pub(crate) join_interval: Duration,
    pub(crate) forget_after: Duration,
    pub(crate) pull_timeout: Duration,
    pub(crate) rosters: bool,
    pub(crate) byte_budget: u32,
    pub(crate) datagram_size: usize,
    pub(crate) overhead: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_millis(1_000),
            probe_timeout: Duration::from_millis(450),
            indirect_timeout: Duration::from_millis(1_050),
            suspicion: Duration::from_millis(1_200),
            remote_suspicion: Duration::from_secs(10),
            isolation_limit: Duration::from_secs(10),
            pause_limit: Duration::from_secs(1),
            monitors: 3,
            helpers: 3,
            fan_out: 4,
            gossip_interval: Duration::from_millis(50),
            sync_interval: Duration::from_secs(3),
            fetch_rate: 64.0,
            contact_interval: Duration::from_secs(5),
            join_interval: Duration::from_millis(1_000),
            forget_after: Duration::from_secs(2 * 60 * 60),
            pull_timeout: Duration::from_secs(2),
            rosters: false,
            byte_budget: 3_000,
            datagram_size: 1_200,
            overhead: 64,
        }
    }
}

impl Config {
    /// Sets the interval in which each monitored member is probed once.
    pub fn with_probe_period(mut self, period: Duration) -> Self {
        self.probe_period = period;
        self
    }

    /// Sets the timeout of a direct probe, after which other members are asked to probe.
    pub fn with_probe_timeout(mut self, timeout: Duration) -> Self {
        self.probe_timeout = timeout;
        self
    }

    /// Sets the timeout of indirect probes, after which the member is suspected.
    pub fn with_indirect_timeout(mut self, timeout: Duration) -> Self {
        self.indirect_timeout = timeout;
        self
    }

    /// Sets the time that a member suspected after a failed local probe has to refute before it is declared
    /// dead.
    pub fn with_suspicion(mut self, suspicion: Duration) -> Self {
        self.suspicion = suspicion;
        self
    }

    /// Sets the number of members that each node probes per probe period.
    pub fn with_monitors(mut self, monitors: usize) -> Self {
        self.monitors = monitors.max(1);
        self
    }

    /// Sets the number of members that are asked to probe indirectly.
    pub fn with_helpers(mut self, helpers: usize) -> Self {
        self.helpers = helpers;
        self
    }

    /// Sets the number of members to which a change is pushed immediately.
    pub fn with_fan_out(mut self, fan_out: usize) -> Self {
        self.fan_out = fan_out;
        self
    }

    /// Sets the minimum time between two digest exchanges.
    pub fn with_sync_interval(mut self, interval: Duration) -> Self {
        self.sync_interval = interval;
        self
    }

    /// Sets the interval at which a dead member and a seed are contacted.
    pub fn with_contact_interval(mut self, interval: Duration) -> Self {
        self.contact_interval = interval;
        self
    }

    /// Sets the interval at which a process without live members contacts its seeds.
    pub fn with_join_interval(mut self, interval: Duration) -> Self {
        self.join_interval = interval;
        self
    }

    /// Sets how long dead members are remembered.
    pub fn with_forget_after(mut self, age: Duration) -> Self {
        self.forget_after = age;
        self
    }

    /// Sets the timeout of a bundle pull, after which it is retried.
    pub fn with_pull_timeout(mut self, timeout: Duration) -> Self {
        self.pull_timeout = timeout;
        self
    }

    /// Sets whether tables are synchronized over connections with
    /// [`Action::FetchRoster`](crate::Action::FetchRoster) instead of by digests within the byte budget.
    pub fn with_rosters(mut self, rosters: bool) -> Self {
        self.rosters = rosters;
        self
    }

    /// Sets the maximum bytes per second that the node sends, averaged over any two minutes.
    pub fn with_byte_budget(mut self, bytes: u32) -> Self {
        self.byte_budget = bytes;
        self
    }

    /// Sets the maximum size of a datagram in bytes, overhead included.
    pub fn with_datagram_size(mut self, bytes: usize) -> Self {
        self.datagram_size = bytes;
        self
    }

    /// Sets the bytes of overhead that IP, UDP and authentication add to each message.
    pub fn with_overhead(mut self, bytes: usize) -> Self {
        self.overhead = bytes;
        self
    }

    /// Returns the refill rate in bytes per second and the capacity in bytes of the send budget.
    ///
    /// The capacity plus the refill of one [`BUDGET_WINDOW`] equals the budget of that window.
    pub(crate) fn byte_bucket(&self) -> (f64, f64) {
        let budget = f64::from(self.byte_budget);
        let burst = budget * BUDGET_WINDOW.as_secs_f64() * BURST_SHARE;
        (budget * (1.0 - BURST_SHARE), burst)
    }

    /// Returns the maximum size of an encoded message in bytes.
    pub(crate) fn message_size(&self) -> usize {
        self.datagram_size.saturating_sub(self.overhead)
    }
}
