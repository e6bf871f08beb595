//! Idempotency records: a request with an `Idempotency-Key` runs at most once.
//!
//! Each key has three holders among the service's agents, in different failure domains if there are
//! enough. The agent that received the request claims the key at the holders and runs the request
//! once a majority of them granted the claim; a holder grants a key to one claim only. The agent
//! reports the end to all holders, and a caller that sends the request again gets the response that
//! they stored. If the holders can't decide with certainty, the request is refused.
//!
//! Records are kept in memory. After a restart, an agent grants no claims until it has pulled the
//! records of the others; see `docs/design/idempotency.md` for the cases that are refused.
//!
//! ```
//! use std::time::Duration;
//! use buckthornweir_requests::idempotency::{KeyAction, Keys, KeysConfig, Member};
//!
//! let config = KeysConfig::default().with_first_start(true);
//! let mut keys = Keys::new(Member::new(1, "a"), config, 7, Duration::ZERO);
//! for second in 0..60 {
//!     keys.tick(Duration::from_secs(second));
//! }
//! let now = Duration::from_secs(60);
//! let (claim, actions) = keys.claim(now, b"order-1", 99, now + Duration::from_secs(2));
//! assert_eq!(actions, [KeyAction::Run { claim }]);
//! ```

mod claiming;
mod config;
mod ending;
mod founding;
mod granting;
mod holders;
mod records;
mod refusing;
mod roster;
mod syncing;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slotmap::{SlotMap, new_key_type};

pub use config::KeysConfig;
pub use holders::holders_of;
pub use records::ClaimId;
pub use roster::Member;

use crate::messages::{RequestBody, Standing, StoredAnswer};
use crate::{NodeId, Refusal};
use claiming::Claim;
use ending::PendingEnd;
use founding::Unfounded;
use records::Records;
use roster::{Instance, Roster};
use syncing::Pull;

new_key_type! {
    /// Key of a claim at the claiming agent.
    pub struct ClaimKey;
}

/// Action that the agent must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyAction {
    /// Send a message to another agent.
    Send {
        /// Id of the other agent.
        to: NodeId,
        /// The message.
        body: RequestBody,
    },
    /// Run the request and report its end with [`Keys::finished`].
    Run {
        /// The claim.
        claim: ClaimKey,
    },
    /// Send the response of the earlier run to the caller.
    Replay {
        /// The claim.
        claim: ClaimKey,
        /// The stored response.
        answer: StoredAnswer,
    },
    /// Refuse the request.
    Refuse {
        /// The claim.
        claim: ClaimKey,
        /// The refusal.
        refusal: Refusal,
    },
}

/// Event counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyCounters {
    /// Claims made by this agent.
    pub claims: u64,
    /// Claims that were granted.
    pub granted: u64,
    /// Claims answered with a stored response.
    pub replayed: u64,
    /// Claims refused because another request with the key was running, had run, may have run or
    /// differed.
    pub conflicts: u64,
    /// Rounds repeated because a request with the key was running.
    pub retries: u64,
    /// Claims refused because too few holders could decide or this agent had too many claims.
    pub unreachable: u64,
    /// Ends of claims that at least one holder never confirmed.
    pub unconfirmed: u64,
    /// Claims on which this agent could not decide as a holder.
    pub not_ready: u64,
}

/// Idempotency records at one agent: its own claims and the records that it holds for all agents.
#[derive(Debug)]
pub struct Keys {
    own: NodeId,
    config: KeysConfig,
    started: Duration,
    instance: Instance,
    rng: ChaCha8Rng,
    roster: Roster,
    standing: Standing,
    /// When this agent first adopted the settled members of another one.
    adopted_at: Option<Duration>,
    pulls: BTreeMap<NodeId, Pull>,
    /// Members that reported that they know no settled member.
    unfounded: BTreeMap<NodeId, Unfounded>,
    /// Earliest time of the first grant after the founding of the service.
    grants_after: Option<Duration>,
    /// Whether another member reported that this instance was present at the founding.
    saw_founding: bool,
    /// Whether this agent founded the service.
    is_founder: bool,
    next_pull: Duration,
    next_token: u64,
    /// Whether this agent was without a majority for long, and no other member has confirmed since
    /// that it is settled.
    was_isolated: bool,
    leaving: bool,
    records: Records,
    claims: SlotMap<ClaimKey, Claim>,
    /// Id of the next round; the first one is random.
    next_claim: ClaimId,
    pending_ends: BTreeMap<ClaimId, PendingEnd>,
    counters: KeyCounters,
}

impl Keys {
    /// Creates the records of an agent that starts.
    ///
    /// `seed` must differ between processes and restarts, since claim ids are derived from it.
    pub fn new(own: Member, config: KeysConfig, seed: u64, now: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            own: own.node,
            started: now,
            instance: rng.next_u64() | 1,
            roster: Roster::new(own, &config, now),
            standing: Standing::New,
            adopted_at: None,
            pulls: BTreeMap::new(),
            unfounded: BTreeMap::new(),
            grants_after: None,
            saw_founding: false,
            is_founder: false,
            next_pull: now,
            // Zero marks records that are sent unasked.
            next_token: rng.next_u64() | 1,
            was_isolated: false,
            leaving: false,
            records: Records::new(&config),
            claims: SlotMap::with_key(),
            next_claim: rng.next_u64(),
            pending_ends: BTreeMap::new(),
            counters: KeyCounters::default(),
            config,
            rng,
        }
    }

    /// Updates which other agents of the service are present, in any state.
    pub fn set_members(&mut self, now: Duration, present: &[Member]) -> Vec<KeyAction> {
        self.roster.set_present(now, present);
        self.tick(now)
    }

    /// Founds the service anew with exactly the present members.
    ///
    /// Only for operators, after all agents were lost at once: a request sent before that may run
    /// again.
    pub fn found_service(&mut self, now: Duration) {
        self.roster.settle_present(now);
        self.standing = Standing::Sure;
    }

    /// Handles a message about keys and ignores other messages.
    pub fn received(&mut self, now: Duration, from: NodeId, body: RequestBody) -> Vec<KeyAction> {
        let mut out = Vec::new();
        match body {
            RequestBody::KeyClaim(claim) => self.claim_requested(now, from, &claim, &mut out),
            RequestBody::KeyAnswer(answer) => self.claim_answered(now, from, answer, &mut out),
            RequestBody::KeyDone(done) => self.end_reported(now, from, done, &mut out),
            RequestBody::KeyStored(stored) => self.end_confirmed(from, stored.claim),
            RequestBody::KeySync(sync) => self.sync_requested(now, from, sync.token, &mut out),
            RequestBody::KeyRecords(records) => self.records_received(now, from, &records),
            _ => {}
        }
        out
    }

    /// Runs the timers that are due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<KeyAction> {
        let mut out = Vec::new();
        self.records.expire(now);
        self.tick_roster(now);
        self.tick_sync(now, &mut out);
        self.tick_claims(now, &mut out);
        self.tick_ends(now, &mut out);
        out
    }

    /// Returns when [`Keys::tick`] must be called next.
    pub fn next_wake(&self, now: Duration) -> Duration {
        let claims = self.claims.values().map(Claim::next_due);
        let pending_ends = self.pending_ends.values().map(PendingEnd::next_due);
        let regular = now + self.config.resend_interval;
        claims.chain(pending_ends).fold(regular, Duration::min)
    }

    /// Returns whether this agent grants claims.
    pub fn is_ready(&self) -> bool {
        self.standing == Standing::Sure && !self.leaving && self.roster.has_majority()
    }

    /// Returns the number of records held by this agent.
    pub fn held(&self) -> usize {
        self.records.len()
    }

    /// Returns the counters.
    pub fn counters(&self) -> KeyCounters {
        self.counters
    }
}
