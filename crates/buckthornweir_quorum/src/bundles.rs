//! The replicated state machine: which bundle holds each version.
//!
//! A push is a compare-and-set on the version: it is accepted only above the newest version.
//! The same version and digest again is accepted again; the same version with another digest
//! names the winner.
//!
//! ```
//! use buckthornweir_quorum::prelude::*;
//!
//! let mut bundles = Bundles::default();
//! let push = Command::Push(Bundle { version: 1, digest: [7; 32], bytes: b"text".to_vec() });
//! assert_eq!(bundles.apply(1, &push), PushResult::Accepted { version: 1 });
//! assert_eq!(bundles.apply(2, &push), PushResult::Same { version: 1 });
//! ```

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message as _;

use crate::entry::{BundleRecord, DecodeError, Index, Result, decode_digest};

/// Number that operators give a bundle; only higher ones are accepted.
pub type Version = u64;
/// SHA-256 of a bundle's canonical form.
pub type Digest = [u8; 32];

/// Number of accepted versions whose digests are remembered.
pub const HISTORY_LIMIT: usize = 1024;
/// Number of newest bundles whose bytes are kept.
pub const KEPT_BUNDLES: usize = 2;

/// A bundle as the log sees it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Bundle {
    /// Version, chosen by the operator.
    pub version: Version,
    /// Digest of the bundle.
    pub digest: Digest,
    /// The signed bundle, at most [`BUNDLE_LIMIT`](crate::BUNDLE_LIMIT) bytes.
    pub bytes: Vec<u8>,
}

/// A command for the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Makes a bundle the newest one.
    Push(Bundle),
}

/// Answer to a push.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PushResult {
    /// The bundle is the newest one from now on.
    Accepted {
        /// The accepted version.
        version: Version,
    },
    /// This bundle was accepted before; to the sender this is an acceptance too.
    Same {
        /// The accepted version.
        version: Version,
    },
    /// Another bundle holds this version.
    Conflict {
        /// The version that both wanted.
        version: Version,
        /// Digest of the bundle that holds it.
        winner: Digest,
    },
    /// The version is below the newest one and is remembered for no bundle.
    Stale {
        /// The newest version.
        newest: Version,
    },
}

impl PushResult {
    /// Tells whether the pushed bundle holds its version.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted { .. } | Self::Same { .. })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Accepted {
    version: Version,
    digest: Digest,
    index: Index,
}

/// The accepted bundles: digests of the last [`HISTORY_LIMIT`], bytes of the newest
/// [`KEPT_BUNDLES`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Bundles {
    floor: Version,
    history: VecDeque<Accepted>,
    kept: VecDeque<Bundle>,
}

impl Bundles {
    /// Returns a state machine that accepts only versions above `floor`.
    #[must_use]
    pub fn with_floor(floor: Version) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

    /// Applies the command of the entry at `index`.
    pub fn apply(&mut self, index: Index, command: &Command) -> PushResult {
        let Command::Push(bundle) = command;
        let version = bundle.version;
        if let Some(winner) = self.digest_of(version) {
            return match winner == bundle.digest {
                true => PushResult::Same { version },
                false => PushResult::Conflict { version, winner },
            };
        }
        let newest = self.newest_version();
        if version <= newest {
            return PushResult::Stale { newest };
        }
        self.accept(index, bundle);
        PushResult::Accepted { version }
    }

    /// Returns the newest accepted bundle.
    #[must_use]
    pub fn newest(&self) -> Option<&Bundle> {
        self.kept.back()
    }

    /// Returns the newest of the kept bundles that an entry before `index` made the newest one.
    #[must_use]
    pub(crate) fn kept_before(&self, index: Index) -> Option<&Bundle> {
        let kept = self.kept.iter().rev().zip(self.history.iter().rev());
        let mut before = kept.filter(|(_, accepted)| accepted.index < index);
        before.next().map(|(bundle, _)| bundle)
    }

    /// Returns the version that a push must exceed.
    #[must_use]
    pub fn newest_version(&self) -> Version {
        self.history.back().map_or(self.floor, |a| a.version)
    }

    /// Returns the digest of the bundle that holds `version`, if it is remembered.
    #[must_use]
    pub fn digest_of(&self, version: Version) -> Option<Digest> {
        let at = self
            .history
            .binary_search_by_key(&version, |a| a.version)
            .ok()?;
        self.history.get(at).map(|a| a.digest)
    }

    /// Returns the remembered versions with their digests, oldest first.
    pub fn history(&self) -> impl Iterator<Item = (Version, Digest)> + '_ {
        self.history.iter().map(|a| (a.version, a.digest))
    }

    /// Returns the encoded state machine.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let history = self.history.iter().map(|a| AcceptedRecord {
            version: a.version,
            digest: Bytes::copy_from_slice(&a.digest),
            index: a.index,
        });
        let record = BundlesRecord {
            floor: self.floor,
            history: history.collect(),
            kept: self.kept.iter().map(BundleRecord::from).collect(),
        };
        record.encode_to_vec().into()
    }

    /// Returns the state machine that `data` holds.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are malformed, above a limit, or versions don't grow.
    pub fn decode(data: Bytes) -> Result<Self> {
        let record = BundlesRecord::decode(data)?;
        crate::entry::check_size("history", record.history.len(), HISTORY_LIMIT)?;
        crate::entry::check_size("kept bundles", record.kept.len(), KEPT_BUNDLES)?;
        let mut bundles = Self::with_floor(record.floor);
        for accepted in record.history {
            if accepted.version <= bundles.newest_version() {
                return Err(DecodeError::OutOfRange("version", accepted.version));
            }
            bundles.history.push_back(Accepted {
                version: accepted.version,
                digest: decode_digest(&accepted.digest)?,
                index: accepted.index,
            });
        }
        for kept in record.kept {
            bundles.kept.push_back(kept.try_into()?);
        }
        bundles.check_kept()?;
        Ok(bundles)
    }

    fn check_kept(&self) -> Result<()> {
        let expected = self.history.len().min(KEPT_BUNDLES);
        let newest = self.history.iter().skip(self.history.len() - expected);
        let matches = newest.map(|a| (a.version, a.digest));
        if !matches.eq(self.kept.iter().map(|b| (b.version, b.digest))) {
            return Err(DecodeError::Missing("bytes of a newest bundle"));
        }
        Ok(())
    }

    fn accept(&mut self, index: Index, bundle: &Bundle) {
        let accepted = Accepted {
            version: bundle.version,
            digest: bundle.digest,
            index,
        };
        self.history.push_back(accepted);
        if self.history.len() > HISTORY_LIMIT {
            self.history.pop_front();
        }
        self.kept.push_back(bundle.clone());
        if self.kept.len() > KEPT_BUNDLES {
            self.kept.pop_front();
        }
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct AcceptedRecord {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    digest: Bytes,
    #[prost(uint64, tag = "3")]
    index: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct BundlesRecord {
    #[prost(uint64, tag = "1")]
    floor: u64,
    #[prost(message, repeated, tag = "2")]
    history: Vec<AcceptedRecord>,
    #[prost(message, repeated, tag = "3")]
    kept: Vec<BundleRecord>,
}
