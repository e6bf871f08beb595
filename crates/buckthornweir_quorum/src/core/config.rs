//! Settings of the consensus core.

use std::time::Duration;

use smol_str::SmolStr;

/// Settings of the consensus core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Socket address at which other members reach this one, as text.
    pub address: SmolStr,
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Minimum time without a leader before an election; the actual time is drawn at random between
    /// once and twice this value.
    pub election_timeout: Duration,
    /// Time after which an uncommitted proposal is rejected as timed out.
    pub proposal_timeout: Duration,
    /// Number of applied entries that triggers compaction.
    pub compact_entries: usize,
    /// Size of the entries that triggers compaction at the latest, in bytes.
    pub compact_bytes: usize,
    /// Maximum number of pending proposals and reads.
    pub max_proposals: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            address: SmolStr::default(),
            heartbeat_interval: Duration::from_millis(300),
            election_timeout: Duration::from_millis(1200),
            proposal_timeout: Duration::from_secs(3),
            compact_entries: 256,
            compact_bytes: 4 * 1024 * 1024,
            max_proposals: 64,
        }
    }
}

impl Config {
    /// Sets the address at which other members reach this one.
    #[must_use]
    pub fn with_address(mut self, address: impl Into<SmolStr>) -> Self {
        self.address = address.into();
        self
    }

    /// Sets the heartbeat interval and the minimum election timeout.
    #[must_use]
    pub fn with_timers(mut self, heartbeat: Duration, election: Duration) -> Self {
        self.heartbeat_interval = heartbeat;
        self.election_timeout = election;
        self
    }

    /// Sets the number of entries, and their size in bytes, that trigger compaction.
    #[must_use]
    pub fn with_compaction(mut self, entries: usize, bytes: usize) -> Self {
        self.compact_entries = entries;
        self.compact_bytes = bytes;
        self
    }
}
