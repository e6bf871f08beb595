//! Settings of idempotency records.

use std::time::Duration;

/// Settings of [`Keys`](super::Keys); they must be the same at all agents of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct KeysConfig {
    /// Time after its last change until a record expires.
    pub record_ttl: Duration,
    /// Time until an absent member is no longer settled; at least twice `record_ttl`.
    pub absence_timeout: Duration,
    /// Time until a new member is settled; longer than membership changes take to spread.
    pub settle_delay: Duration,
    /// Timeout of one round in which holders are asked for a claim.
    pub ask_timeout: Duration,
    /// Initial delay between two rounds if a request with the key is running; it doubles with each
    /// round.
    pub retry_delay: Duration,
    /// Time during which rounds are repeated; longer than `resend_interval`, so that one report of
    /// an end may be lost.
    pub retry_timeout: Duration,
    /// Interval at which an unanswered message is sent again.
    pub resend_interval: Duration,
    /// Maximum number of times that the end of a claimed request is sent.
    pub max_sends: u32,
    /// Maximum number of records held.
    pub max_records: usize,
    /// Maximum number of this agent's claims at a time, including those with unconfirmed ends.
    pub max_claims: usize,
    /// Maximum size of one stored response in bytes.
    pub max_answer: usize,
    /// Maximum total size of all stored responses in bytes.
    pub max_total: usize,
    /// Whether this is the first start of the service, so that no earlier record can exist.
    pub first_start: bool,
    /// Key of the hash function that selects holders.
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
    /// Returns the delay between the founding of a service and its first grants.
    ///
    /// It is long enough for each present member to ask every other one twice.
    pub(crate) fn founding_delay(&self) -> Duration {
        (self.resend_interval * 2).min(self.settle_delay)
    }

    /// Sets whether this is the first start of the service.
    pub fn with_first_start(mut self, first_start: bool) -> Self {
        self.first_start = first_start;
        self
    }
}
