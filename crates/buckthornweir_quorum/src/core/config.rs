//! Settings of the consensus core.

use std::time::Duration;

use smol_str::SmolStr;

/// Settings of the consensus core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Socket address under which other members reach this one, as text.
    pub address: SmolStr,
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Time without a leader after which an election starts, drawn between once and twice this.
    pub election: Duration,
    /// Time after which a proposal that isn't committed is answered as timed out.
    pub proposal: Duration,
    /// Number of entries after which the log is compacted.
    pub compact_entries: usize,
    /// Size of the entries after which the log is compacted at the latest, in bytes.
    pub compact_bytes: usize,
    /// Number of proposals that may wait to be committed.
    pub proposals: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            address: SmolStr::default(),
            heartbeat: Duration::from_millis(300),
            election: Duration::from_millis(1200),
            proposal: Duration::from_secs(3),
            compact_entries: 256,
            compact_bytes: 4 * 1024 * 1024,
            proposals: 64,
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
        self.heartbeat = heartbeat;
        self.election = election;
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
