//! Idempotency records: a request with an `Idempotency-Key` runs at most once.
//!
//! Each key has three holders among the service's agents, in different failure domains where there
//! are as many. The agent that got the request claims the key at the holders and runs the request
//! once more than half of them granted the claim; a holder grants a key to one claim only. The end
//! goes to all holders, and whoever sends the request again gets what they know. Where holders
//! can't tell for certain, the request is refused.
//!
//! Records are kept in memory. An agent that restarted holds nothing until it has the records of
//! the others; see `docs/design/idempotency.md` for the cases that are refused.
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
    /// Key of a claim at the agent that made it.
    pub struct ClaimKey;
}

/// One thing that the agent is to do about a key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyAction {
    /// Send a message to another agent.
    Send {
        /// The other agent.
        to: NodeId,
        /// The message.
        body: RequestBody,
    },
    /// Let the request run and report with [`Keys::finished`] how it ended.
    Run {
        /// The claim.
        claim: ClaimKey,
    },
    /// Answer the caller with what the request gave when it ran.
    Replay {
        /// The claim.
        claim: ClaimKey,
        /// The answer.
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

/// What happened to keys since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyCounters {
    /// Claims made by this agent.
    pub claims: u64,
    /// Claims after which the request ran.
    pub granted: u64,
    /// Claims answered with a stored answer.
    pub replayed: u64,
    /// Claims refused since a request with the key was running, or may have run.
    pub conflicts: u64,
    /// Times that holders were asked again since a request with the key was running.
    pub retries: u64,
    /// Claims refused since too few holders could tell.
    pub unreachable: u64,
    /// Ends of claims that some holder never confirmed.
    pub unconfirmed: u64,
    /// Claims of others that this agent could not decide about.
    pub not_ready: u64,
}

/// The idempotency records at one agent: its own claims and what it holds for others.
#[derive(Debug)]
pub struct Keys {
    own: NodeId,
    config: KeysConfig,
    started: Duration,
    instance: Instance,
    rng: ChaCha8Rng,
    roster: Roster,
    standing: Standing,
    /// When this agent first heard which members count.
    adopted_at: Option<Duration>,
    pulls: BTreeMap<NodeId, Pull>,
    /// Members that said that no member counts yet.
    unfounded: BTreeMap<NodeId, Unfounded>,
    /// Until when nothing is granted since the service was just founded.
    grants_after: Option<Duration>,
    /// Whether this life was there when the service was founded.
    saw_founding: bool,
    /// Whether this agent founded the service.
    is_founder: bool,
    next_pull: Duration,
    next_token: u64,
    /// Whether contact with the others was lost for long and they have not confirmed this agent.
    was_isolated: bool,
    leaving: bool,
    records: Records,
    claims: SlotMap<ClaimKey, Claim>,
    /// Id of the next round of asking; the first is a random one.
    next_claim: ClaimId,
    pending_ends: BTreeMap<ClaimId, PendingEnd>,
    counters: KeyCounters,
}

impl Keys {
    /// Returns the records of an agent that starts.
    ///
    /// `seed` must differ between processes and restarts, since ids of claims come from it.
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
            // Zero marks records that were not asked for.
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

    /// Takes over which other agents of the service are there, in any state.
    pub fn set_members(&mut self, now: Duration, present: &[Member]) -> Vec<KeyAction> {
        self.roster.set_present(now, present);
        self.tick(now)
    }

    /// Takes the members that are there for the whole service.
    ///
    /// This is for operators, after all agents were lost at once: a request that was sent before
    /// may run again.
    pub fn found_service(&mut self, now: Duration) {
        self.roster.settle_present(now);
        self.standing = Standing::Sure;
    }

    /// Handles a message about keys; others are passed over.
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

    /// Acts on everything that is due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<KeyAction> {
        let mut out = Vec::new();
        self.records.expire(now);
        self.tick_roster(now);
        self.tick_sync(now, &mut out);
        self.tick_claims(now, &mut out);
        self.tick_ends(now, &mut out);
        out
    }

    /// Returns when [`Keys::tick`] is to be called next.
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

    /// Returns the number of records that are held.
    pub fn held(&self) -> usize {
        self.records.len()
    }

    /// Returns the counters.
    pub fn counters(&self) -> KeyCounters {
        self.counters
    }
}
