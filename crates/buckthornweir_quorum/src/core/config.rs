//! Settings of the consensus core.

use std::time::Duration;

use smol_str::SmolStr;

/// Settings of the consensus core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Socket address under which other members reach this one, as text.
    pub address: SmolStr,
    /// Time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Time without a leader after which an election starts, drawn between once and twice this.
    pub election_timeout: Duration,
    /// Time after which a proposal that isn't committed is answered as timed out.
    pub proposal_timeout: Duration,
    /// Number of entries after which the log is compacted.
    pub compact_entries: usize,
    /// Size of the entries after which the log is compacted at the latest, in bytes.
    pub compact_bytes: usize,
    /// Number of proposals that may wait to be committed.
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
    /// Sets the address under which other members reach this one.
    #[must_use]
    pub fn with_address(mut self, address: impl Into<SmolStr>) -> Self {
        self.address = address.into();
        self
    }

    /// Sets the time between heartbeats and the shortest time before an election.
    #[must_use]
    pub fn with_timers(mut self, heartbeat: Duration, election: Duration) -> Self {
        self.heartbeat_interval = heartbeat;
        self.election_timeout = election;
        self
    }

    /// Sets after how many entries or bytes of entries the log is compacted.
    #[must_use]
    pub fn with_compaction(mut self, entries: usize, bytes: usize) -> Self {
        self.compact_entries = entries;
        self.compact_bytes = bytes;
        self
    }
}
