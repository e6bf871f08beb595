//! The records that one agent holds, bounded in number and bytes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use prost::Message as _;

use crate::messages::{KeyEnd, KeyRecord, KeyVerdict, StoredAnswer};

/// Id of a claim; it differs between processes.
pub type ClaimId = u64;

/// What is known of the request of a claim.
#[derive(Clone, Debug, PartialEq)]
enum State {
    /// It may be running until this time; after that it may have run.
    Claimed { until: Duration },
    /// It ran.
    Done { answer: Option<StoredAnswer> },
}

#[derive(Clone, Debug)]
struct Record {
    digest: u64,
    claim: ClaimId,
    state: State,
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
    keep: Duration,
    most: usize,
    answer_most: usize,
    answers_most: usize,
    answer_bytes: usize,
    all: BTreeMap<Vec<u8>, Record>,
    /// One entry for each record, in the order of time.
    expiries: VecDeque<Expiry>,
}

impl Records {
    pub(crate) fn new(config: &super::KeysConfig) -> Self {
        Self {
            keep: config.keep,
            most: config.records,
            answer_most: config.answer_most,
            answers_most: config.answers_most,
            answer_bytes: 0,
            all: BTreeMap::new(),
            expiries: VecDeque::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns what is known of a key, if anything, and the stored answer.
    pub(crate) fn look_up(
        &self,
        now: Duration,
        key: &[u8],
        digest: u64,
        claim: ClaimId,
    ) -> Option<(KeyVerdict, Option<StoredAnswer>)> {
        let record = self.all.get(key).filter(|r| r.expires > now)?;
        if record.digest != digest {
            return Some((KeyVerdict::Mismatch, None));
        }
        let verdict = match &record.state {
            State::Done { answer } => return Some((KeyVerdict::Done, answer.clone())),
            State::Claimed { .. } if record.claim == claim => KeyVerdict::Granted,
            State::Claimed { until } if now < *until => KeyVerdict::Running,
            State::Claimed { .. } => KeyVerdict::Unknown,
        };
        Some((verdict, None))
    }

    /// Records a claim of a key that has no record; returns false where there is no room.
    pub(crate) fn claim(
        &mut self,
        now: Duration,
        key: &[u8],
        digest: u64,
        claim: ClaimId,
        until: Duration,
    ) -> bool {
        self.expire(now);
        if self.all.len() >= self.most {
            return false;
        }
        let expires = now.max(until) + self.keep;
        self.put(
            key,
            Record {
                digest,
                claim,
                state: State::Claimed { until },
                expires,
            },
        );
        true
    }

    /// Notes how a claimed request ended.
    ///
    /// That a request ran outweighs every other record. Returns false where there is no room.
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
        let found = self.all.get(key);
        let is_done = found.is_some_and(|r| matches!(r.state, State::Done { .. }));
        let is_own = found.is_some_and(|r| r.claim == claim);
        if is_done || (end != KeyEnd::Done && found.is_some() && !is_own) {
            return true;
        }
        if end == KeyEnd::NotRun {
            self.remove(key);
            return true;
        }
        if found.is_none() && self.all.len() >= self.most {
            return false;
        }
        let state = match end {
            KeyEnd::Done => State::Done {
                answer: self.bounded(answer),
            },
            _ => State::Claimed { until: now },
        };
        self.put(
            key,
            Record {
                digest,
                claim,
                state,
                expires: now + self.keep,
            },
        );
        true
    }

    /// Takes over a record of another holder; what is known here stays unless it says less.
    pub(crate) fn merge(&mut self, now: Duration, other: &KeyRecord) -> bool {
        let expires = now + Duration::from_micros(other.keep_us).min(self.keep * 2);
        let until = now + Duration::from_micros(other.remaining_us).min(self.keep);
        let state = match other.done {
            true => State::Done { answer: None },
            false => State::Claimed { until },
        };
        let is_better = match self.all.get(&other.key) {
            None => self.all.len() < self.most,
            Some(found) => other.done && matches!(found.state, State::Claimed { .. }),
        };
        if is_better {
            let (digest, claim) = (other.digest, other.claim);
            self.put(
                &other.key,
                Record {
                    digest,
                    claim,
                    state,
                    expires,
                },
            );
        }
        is_better || self.all.contains_key(&other.key)
    }

    /// Returns all records for another holder, without the stored answers.
    pub(crate) fn export(&self, now: Duration) -> Vec<KeyRecord> {
        let kept = self.all.iter().filter(|(_, r)| r.expires > now);
        kept.map(|(key, record)| {
            let until = match record.state {
                State::Claimed { until } => until,
                State::Done { .. } => now,
            };
            KeyRecord {
                key: key.clone(),
                digest: record.digest,
                claim: record.claim,
                done: matches!(record.state, State::Done { .. }),
                remaining_us: micros(until.saturating_sub(now)),
                keep_us: micros(record.expires - now),
            }
        })
        .collect()
    }

    /// Removes the records that are due.
    pub(crate) fn expire(&mut self, now: Duration) {
        while let Some(due) = self.expiries.pop_front_if(|e| e.at <= now) {
            let record = self.all.get(&due.key).filter(|r| r.claim == due.claim);
            match record.map(|r| r.expires) {
                Some(at) if at > now => self.note_expiry(Expiry { at, ..due }),
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
        let earlier = self.all.insert(key.to_vec(), record);
        self.answer_bytes -= earlier.as_ref().map_or(0, Record::answer_size);
        if earlier.is_none_or(|e| e.claim != expiry.claim) {
            self.note_expiry(expiry);
        }
    }

    fn note_expiry(&mut self, expiry: Expiry) {
        let position = self.expiries.partition_point(|e| e.at <= expiry.at);
        self.expiries.insert(position, expiry);
    }

    fn remove(&mut self, key: &[u8]) {
        if let Some(record) = self.all.remove(key) {
            self.answer_bytes -= record.answer_size();
        }
    }

    fn bounded(&self, answer: Option<StoredAnswer>) -> Option<StoredAnswer> {
        // A part of an answer must never be taken for the whole.
        let answer = answer.filter(|a| !a.body_dropped);
        let size = answer.as_ref()?.encoded_len();
        let fits = size <= self.answer_most && self.answer_bytes + size <= self.answers_most;
        answer.filter(|_| fits)
    }
}

impl Record {
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
