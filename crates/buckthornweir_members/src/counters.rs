//! Counters for metrics.

/// Counts what the core did since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes sent, with the envelope of each datagram.
    pub sent_bytes: u64,
    /// Messages handled.
    pub received_messages: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes that neither the member nor a helper answered.
    pub failed_probes: u64,
    /// Members that this node suspected by its own probes.
    pub suspicions: u64,
    /// Members that this node declared dead.
    pub deaths: u64,
    /// Members that came back after they had been held as dead.
    pub revivals: u64,
    /// Statements about this node that it refuted.
    pub refutations: u64,
    /// Digests sent to find differences.
    pub digests: u64,
    /// Requests for the records of one bucket.
    pub fetches: u64,
    /// Messages not sent because the byte budget was used up.
    pub over_budget: u64,
    /// Pauses of this process that were noticed.
    pub pauses: u64,
    /// Messages of another process with this node's id.
    pub id_conflicts: u64,
    /// Stamps with a known version and another digest.
    pub bundle_conflicts: u64,
}
