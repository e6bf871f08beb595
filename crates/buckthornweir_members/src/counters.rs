//! Counters for metrics.

/// Counts events in the core since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes sent, including the overhead of each datagram.
    pub sent_bytes: u64,
    /// Messages handled.
    pub received_messages: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes that were answered neither by the member nor through a helper.
    pub failed_probes: u64,
    /// Members that this node suspected after its own probes failed.
    pub suspicions: u64,
    /// Members that this node declared dead.
    pub deaths: u64,
    /// Members that became alive again after they were considered dead.
    pub revivals: u64,
    /// Rumours about this node that it refuted.
    pub refutations: u64,
    /// Digests sent to compare tables.
    pub digests: u64,
    /// Requests sent for the records of some buckets.
    pub fetches: u64,
    /// Messages not sent because the byte budget was exhausted.
    pub over_budget: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Messages received from another process with this node's id.
    pub id_conflicts: u64,
    /// Bundle stamps received with the local version but another digest.
    pub bundle_conflicts: u64,
}
