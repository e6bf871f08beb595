//! Settings of idempotency records.

use std::time::Duration;

/// Settings of [`Keys`](super::Keys). All agents of a service must have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct KeysConfig {
    /// Time for which a record is kept after its last change.
    pub keep: Duration,
    /// Time for which a member that is gone still counts; at least twice `keep`.
    pub forget: Duration,
    /// Time after which a new member counts; longer than news of members take to spread.
    pub settle: Duration,
    /// Time in which holders must answer a claim.
    pub ask_wait: Duration,
    /// First time between two rounds of asking holders that know of a running request with the key;
    /// it doubles.
    pub ask_again: Duration,
    /// Time for which holders are asked again; longer than `resend`, so that one end may be lost.
    pub patience: Duration,
    /// Time between two tries to deliver a message that was not answered.
    pub resend: Duration,
    /// Tries to deliver the end of a claimed request.
    pub sends: u32,
    /// Most records that are held.
    pub records: usize,
    /// Most claims of this agent at a time.
    pub claims: usize,
    /// Most bytes of one stored answer.
    pub answer_most: usize,
    /// Most bytes of all stored answers.
    pub answers_most: usize,
    /// Whether the service starts for the first time, so that no earlier record can exist.
    pub first_start: bool,
    /// Key of the hash that chooses holders.
    pub hash_key: [u64; 2],
}

impl Default for KeysConfig {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(300),
            forget: Duration::from_secs(600),
            settle: Duration::from_secs(30),
            ask_wait: Duration::from_millis(100),
            ask_again: Duration::from_millis(50),
            patience: Duration::from_millis(800),
            resend: Duration::from_millis(500),
            sends: 10,
            records: 20_000,
            claims: 1_024,
            answer_most: 16 * 1024,
            answers_most: 4 * 1024 * 1024,
            first_start: false,
            hash_key: [0, 0],
        }
    }
}

impl KeysConfig {
    /// Returns the time between the founding of a service and its first grants.
    ///
    /// Each member that is there asks each other one twice in this time.
    pub(crate) fn hold(&self) -> Duration {
        (self.resend * 2).min(self.settle)
    }

    /// Sets whether the service starts for the first time.
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }
}
