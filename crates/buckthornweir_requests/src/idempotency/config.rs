//! Settings of idempotency records.

use std::time::Duration;

/// Settings of [`Keys`](super::Keys). All agents of a service must have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct KeysConfig {
    /// Time for which a record is kept after its last change.
    pub record_ttl: Duration,
    /// Time for which a member that is gone still counts; at least twice `keep`.
    pub absence_timeout: Duration,
    /// Time after which a new member counts; longer than news of members take to spread.
    pub settle_delay: Duration,
    /// Time in which holders must answer a claim.
    pub ask_timeout: Duration,
    /// First time between two rounds of asking holders that know of a running request with the key;
    /// it doubles.
    pub retry_delay: Duration,
    /// Time for which holders are asked again; longer than `resend`, so that one end may be lost.
    pub retry_timeout: Duration,
    /// Time between two tries to deliver a message that was not answered.
    pub resend_interval: Duration,
    /// Tries to deliver the end of a claimed request.
    pub max_sends: u32,
    /// Most records that are held.
    pub max_records: usize,
    /// Most claims of this agent at a time.
    pub max_claims: usize,
    /// Most bytes of one stored answer.
    pub max_answer: usize,
    /// Most bytes of all stored answers.
    pub max_total: usize,
    /// Whether the service starts for the first time, so that no earlier record can exist.
    pub first_start: bool,
    /// Key of the hash that chooses holders.
    pub hash_key: [u64; 2],
}

impl Default for KeysConfig {
    fn default() -> Self {
        Self {
            record_ttl: Duration::from_secs(300),
            absence_timeout: Duration::from_secs(600),
            settle_delay: Duration::from_secs(30),
            ask_timeout: Duration::from_millis(100),
            retry_delay: Duration::from_millis(50),
            retry_timeout: Duration::from_millis(800),
            resend_interval: Duration::from_millis(500),
            max_sends: 10,
            max_records: 20_000,
            max_claims: 1_024,
            max_answer: 16 * 1024,
            max_total: 4 * 1024 * 1024,
            first_start: false,
            hash_key: [0, 0],
        }
    }
}

impl KeysConfig {
    /// Returns the time between the founding of a service and its first grants.
    ///
    /// Each member that is there asks each other one twice in this time.
    pub(crate) fn founding_delay(&self) -> Duration {
        (self.resend_interval * 2).min(self.settle_delay)
    }

    /// Sets whether the service starts for the first time.
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }
}
