//! Table of the records held by one agent, bounded in number and bytes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use prost::Message as _;

use crate::messages::{KeyEnd, KeyRecord, KeyVerdict, StoredAnswer};

/// Id of a claim; each process starts at a random id, so that ids differ between processes.
pub type ClaimId = u64;

/// Maximum number of additional claims stored per key.
const MAX_OTHER_CLAIMS: usize = 8;

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq)]
enum State {
    /// The request may be running before `until`, and may have run after that.
    Claimed { until: Duration },
    /// The request ran.
    Done { answer: Option<StoredAnswer> },
}

#[derive(Clone, Debug)]
struct Record {
    digest: u64,
    claim: ClaimId,
    state: State,
    expires: Duration,
    /// Additional claims of the key that were received from other agents.
    ///
    /// At most one claim of a key runs, but this agent doesn't know which one.
    other_claims: Vec<OtherClaim>,
}

/// An additional claim of a key.
#[derive(Clone, Copy, Debug)]
struct OtherClaim {
    digest: u64,
    claim: ClaimId,
    until: Duration,
    expires: Duration,
}

#[derive(Clone, Debug)]
struct Expiry {
    at: Duration,
    claim: ClaimId,
    key: Vec<u8>,
}

/// Records by key.
#[derive(Clone, Debug)]
pub(crate) struct Records {
    record_ttl: Duration,
    max_records: usize,
    max_answer: usize,
    max_total: usize,
    answer_bytes: usize,
    by_key: BTreeMap<Vec<u8>, Record>,
    /// At least one entry per record, ordered by time.
    expiries: VecDeque<Expiry>,
}

impl Records {
    pub(crate) fn new(config: &super::KeysConfig) -> Self {
        Self {
            record_ttl: config.record_ttl,
            max_records: config.max_records,
            max_answer: config.max_answer,
            max_total: config.max_total,
            answer_bytes: 0,
            by_key: BTreeMap::new(),
            expiries: VecDeque::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the state of a key as a verdict on the claim, with the stored response if any.
    pub(crate) fn look_up(
        &self,
        now: Duration,
        key: &[u8],
        digest: u64,
        claim: ClaimId,
    ) -> Option<(KeyVerdict, Option<StoredAnswer>)> {
        let record = self.by_key.get(key).filter(|r| r.expires > now)?;
        if !record.has_digest(digest) {
            return Some((KeyVerdict::Mismatch, None));
        }
        let verdict = match &record.state {
            State::Done { answer } => return Some((KeyVerdict::Done, answer.clone())),
            State::Claimed { .. } if record.claim == claim => KeyVerdict::Granted,
            State::Claimed { until } if now < record.latest_until(*until) => KeyVerdict::Running,
            State::Claimed { .. } => KeyVerdict::Unknown,
        };
        Some((verdict, None))
    }

    /// Adds a record for a key that has none; returns `false` if the table is full.
    pub(crate) fn claim(
        &mut self,
        now: Duration,
        key: &[u8],
        digest: u64,
        claim: ClaimId,
        until: Duration,
    ) -> bool {
        self.expire(now);
        if self.by_key.len() >= self.max_records {
            return false;
        }
        let expires = now.max(until) + self.record_ttl;
        self.put(
            key,
            Record::new(digest, claim, State::Claimed { until }, expires),
        );
        true
    }

    /// Stores how a claimed request ended.
    ///
    /// A request that ran takes precedence over every other state. Returns `false` if the table is
    /// full.
    pub(crate) fn end(
        &mut self,
        now: Duration,
        key: &[u8],
        digest: u64,
        claim: ClaimId,
        end: KeyEnd,
        answer: Option<StoredAnswer>,
    ) -> bool {
        self.expire(now);
        let existing = self.by_key.get(key);
        if existing.is_some_and(Record::is_done) {
            return true;
        }
        let expires = now + self.record_ttl;
        match end {
            KeyEnd::NotRun => self.withdraw(key, claim),
            KeyEnd::Done => {
                if existing.is_none() && self.by_key.len() >= self.max_records {
                    return false;
                }
                let answer = self.storable(answer);
                let state = State::Done { answer };
                self.put(key, Record::new(digest, claim, state, expires));
            }
            KeyEnd::Unknown => {
                let until = now;
                let other_claim = OtherClaim {
                    digest,
                    claim,
                    until,
                    expires,
                };
                return self.add_claim(key, other_claim);
            }
        }
        true
    }

    /// Removes a claim whose request certainly did not run.
    fn withdraw(&mut self, key: &[u8], claim: ClaimId) {
        let Some(record) = self.by_key.get_mut(key) else {
            return;
        };
        if record.claim != claim {
            record.other_claims.retain(|r| r.claim != claim);
            return;
        }
        let mut other_claims = std::mem::take(&mut record.other_claims);
        let Some(next) = other_claims.pop() else {
            return self.remove(key);
        };
        let expires = record.expires;
        let state = State::Claimed { until: next.until };
        let record = Record::new(next.digest, next.claim, state, expires);
        self.put(
            key,
            Record {
                other_claims,
                ..record
            },
        );
    }

    /// Adds a claim to the known claims of a key; returns `false` if the table or the key's list is
    /// full.
    fn add_claim(&mut self, key: &[u8], new: OtherClaim) -> bool {
        let Some(record) = self.by_key.get_mut(key) else {
            if self.by_key.len() >= self.max_records {
                return false;
            }
            let state = State::Claimed { until: new.until };
            let record = Record::new(new.digest, new.claim, state, new.expires);
            self.put(key, record);
            return true;
        };
        record.expires = record.expires.max(new.expires);
        let State::Claimed { until } = &mut record.state else {
            return true;
        };
        if record.claim == new.claim {
            *until = new.until;
            return true;
        }
        record.other_claims.retain(|r| r.claim != new.claim);
        let has_room = record.other_claims.len() < MAX_OTHER_CLAIMS;
        if has_room {
            record.other_claims.push(new);
        }
        has_room
    }

    /// Merges a record from another holder; returns `false` if there is no room for it.
    ///
    /// Existing information is kept unless the record is more definite.
    pub(crate) fn merge(&mut self, now: Duration, other: &KeyRecord) -> bool {
        let expires = now + Duration::from_micros(other.keep_us).min(self.record_ttl * 2);
        let until = now + Duration::from_micros(other.remaining_us).min(self.record_ttl);
        let (digest, claim) = (other.digest, other.claim);
        let existing = self.by_key.get(&other.key);
        if existing.is_some_and(|r| r.is_done() || (!other.done && r.has_claim(claim))) {
            return true;
        }
        if !other.done {
            let other_claim = OtherClaim {
                digest,
                claim,
                until,
                expires,
            };
            return self.add_claim(&other.key, other_claim);
        }
        if existing.is_none() && self.by_key.len() >= self.max_records {
            return false;
        }
        let state = State::Done { answer: None };
        self.put(&other.key, Record::new(digest, claim, state, expires));
        true
    }

    /// Returns all records for another holder, without the stored responses.
    pub(crate) fn export(&self, now: Duration) -> Vec<KeyRecord> {
        let unexpired = self.by_key.iter().filter(|(_, r)| r.expires > now);
        unexpired
            .flat_map(|(key, record)| {
                let claims = record.claims(now);
                claims.map(move |(done, other_claim)| KeyRecord {
                    key: key.clone(),
                    digest: other_claim.digest,
                    claim: other_claim.claim,
                    done,
                    remaining_us: micros(other_claim.until.saturating_sub(now)),
                    keep_us: micros(other_claim.expires.saturating_sub(now)),
                })
            })
            .collect()
    }

    /// Removes the expired records.
    pub(crate) fn expire(&mut self, now: Duration) {
        while let Some(due) = self.expiries.pop_front_if(|e| e.at <= now) {
            let record = self.by_key.get(&due.key).filter(|r| r.claim == due.claim);
            match record.map(|r| r.expires) {
                Some(at) if at > now => self.schedule_expiry(Expiry { at, ..due }),
                Some(_) => self.remove(&due.key),
                None => {}
            }
        }
    }

    fn put(&mut self, key: &[u8], record: Record) {
        let expiry = Expiry {
            at: record.expires,
            claim: record.claim,
            key: key.to_vec(),
        };
        self.answer_bytes += record.answer_size();
        let previous = self.by_key.insert(key.to_vec(), record);
        self.answer_bytes -= previous.as_ref().map_or(0, Record::answer_size);
        if previous.is_none_or(|e| e.claim != expiry.claim) {
            self.schedule_expiry(expiry);
        }
    }

    fn schedule_expiry(&mut self, expiry: Expiry) {
        let position = self.expiries.partition_point(|e| e.at <= expiry.at);
        self.expiries.insert(position, expiry);
    }

    fn remove(&mut self, key: &[u8]) {
        if let Some(record) = self.by_key.remove(key) {
            self.answer_bytes -= record.answer_size();
        }
    }

    fn storable(&self, answer: Option<StoredAnswer>) -> Option<StoredAnswer> {
        // A truncated response must never be replayed as a complete one.
        let answer = answer.filter(|a| !a.body_dropped);
        let size = answer.as_ref()?.encoded_len();
        let fits = size <= self.max_answer && self.answer_bytes + size <= self.max_total;
        answer.filter(|_| fits)
    }
}

impl Record {
    fn new(digest: u64, claim: ClaimId, state: State, expires: Duration) -> Self {
        Self {
            digest,
            claim,
            state,
            expires,
            other_claims: Vec::new(),
        }
    }

    fn is_done(&self) -> bool {
        matches!(self.state, State::Done { .. })
    }

    fn has_claim(&self, claim: ClaimId) -> bool {
        self.claim == claim || self.other_claims.iter().any(|r| r.claim == claim)
    }

    fn has_digest(&self, digest: u64) -> bool {
        self.digest == digest || self.other_claims.iter().any(|r| r.digest == digest)
    }

    /// Returns the latest time until which any claim of the key may be running.
    fn latest_until(&self, until: Duration) -> Duration {
        let other_claims = self.other_claims.iter().map(|r| r.until);
        other_claims.fold(until, Duration::max)
    }

    /// Returns all claims of the key, each with whether its request ran.
    fn claims(&self, now: Duration) -> impl Iterator<Item = (bool, OtherClaim)> {
        let until = match self.state {
            State::Claimed { until } => until,
            State::Done { .. } => now,
        };
        let first = OtherClaim {
            digest: self.digest,
            claim: self.claim,
            until,
            expires: self.expires,
        };
        let other_claims = self
            .other_claims
            .iter()
            .map(|&other_claim| (false, other_claim));
        std::iter::once((self.is_done(), first)).chain(other_claims)
    }

    fn answer_size(&self) -> usize {
        match &self.state {
            State::Done {
                answer: Some(answer),
            } => answer.encoded_len(),
            _ => 0,
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
