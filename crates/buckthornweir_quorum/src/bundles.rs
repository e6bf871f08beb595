//! The replicated state machine, which maps each version to a bundle.
//!
//! A push is a compare-and-set on the version: it is accepted only if its version is above the
//! newest one. A repeated push of the same version and digest succeeds again. A push of an accepted
//! version with another digest is a conflict, and the result names the winning digest.
//!
//! ```
//! use buckthornweir_quorum::prelude::*;
//!
//! let mut bundles = Bundles::default();
//! let push = Command::Push(Bundle { version: 1, digest: [7; 32], bytes: b"text".to_vec() });
//! assert_eq!(bundles.apply(1, &push), PushResult::Accepted { version: 1 });
//! assert_eq!(bundles.apply(2, &push), PushResult::Same { version: 1 });
//! ```

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use prost::Message as _;
use smol_str::SmolStr;

use crate::entry::{BundleRecord, DecodeError, Index, Result, decode_digest};

/// Version of a bundle, chosen by operators; only higher versions are accepted.
pub type Version = u64;
/// SHA-256 digest of the canonical form of a bundle.
pub type Digest = [u8; 32];

/// Maximum number of accepted versions whose digests are kept.
pub const MAX_HISTORY_VERSIONS: usize = 1024;
/// Number of newest bundles whose contents are kept.
pub const KEPT_BUNDLES: usize = 2;

/// Maximum number of failure domains in the list of those taken out and in the list of those brought
/// back.
pub const MAX_DOMAINS: usize = 256;
/// Maximum length of the name of a failure domain, in bytes.
pub const MAX_DOMAIN_NAME_BYTES: usize = 64;

/// A bundle as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Bundle {
    /// Version, chosen by the operator.
    pub version: Version,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Signed text of the bundle, at most [`MAX_BUNDLE_BYTES`](crate::MAX_BUNDLE_BYTES) bytes.
    pub bytes: Vec<u8>,
}

/// A command for the state machine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Makes a bundle the newest one, by compare-and-set on its version.
    Push(Bundle),
    /// Makes a bundle the newest one if its version is the highest; otherwise does nothing.
    Replace(Bundle),
    /// Takes a failure domain out of service, or brings it back.
    Domain {
        /// Name of the failure domain.
        name: SmolStr,
        /// Whether the failure domain is out after this command.
        out: bool,
    },
}

impl Command {
    /// Returns the size of the variable part of the command, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Push(bundle) | Self::Replace(bundle) => bundle.bytes.len(),
            Self::Domain { name, .. } => name.len(),
        }
    }
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PushResult {
    /// The bundle became the newest one.
    Accepted {
        /// The accepted version.
        version: Version,
    },
    /// The same bundle was accepted before; the sender treats this as accepted.
    Same {
        /// The accepted version.
        version: Version,
    },
    /// Another bundle was accepted under this version.
    Conflict {
        /// The contested version.
        version: Version,
        /// Digest of the accepted bundle.
        winner: Digest,
    },
    /// The version is below the newest one, and no digest is kept for it.
    Stale {
        /// The newest version.
        newest: Version,
    },
    /// A bundle of this or a higher version is in force; the sender treats this as accepted.
    Overtaken {
        /// The newest version.
        newest: Version,
    },
    /// The failure domain is in the requested state.
    Domain {
        /// Whether the command changed its state.
        changed: bool,
    },
    /// As many failure domains are out as the list holds, so that no further one is taken out.
    Full {
        /// Maximum number of failure domains that are out.
        limit: usize,
    },
}

impl PushResult {
    /// Returns whether the command succeeded, so that the sender need not act further.
    #[must_use]
    pub fn is_accepted(&self) -> bool {
        !matches!(
            self,
            Self::Conflict { .. } | Self::Stale { .. } | Self::Full { .. }
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Accepted {
    version: Version,
    digest: Digest,
    index: Index,
}

/// The accepted bundles and the state of the failure domains.
///
/// Digests are kept for the last [`MAX_HISTORY_VERSIONS`] versions, contents for the newest
/// [`KEPT_BUNDLES`] bundles.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Bundles {
    floor: Version,
    history: VecDeque<Accepted>,
    kept: VecDeque<Bundle>,
    out: BTreeSet<SmolStr>,
    back: BTreeMap<SmolStr, Index>,
    revision: Index,
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
        match command {
            Command::Push(bundle) => self.apply_push(index, bundle),
            Command::Replace(bundle) => self.apply_replace(index, bundle),
            Command::Domain { name, out } => self.apply_domain(index, name, *out),
        }
    }

    fn apply_push(&mut self, index: Index, bundle: &Bundle) -> PushResult {
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

    fn apply_replace(&mut self, index: Index, bundle: &Bundle) -> PushResult {
        let newest = self.newest_version();
        if bundle.version <= newest {
            return PushResult::Overtaken { newest };
        }
        self.accept(index, bundle);
        PushResult::Accepted {
            version: bundle.version,
        }
    }

    fn apply_domain(&mut self, index: Index, name: &SmolStr, out: bool) -> PushResult {
        // A snapshot with more of them is not read back.
        if out && self.out.len() >= MAX_DOMAINS && !self.out.contains(name) {
            return PushResult::Full { limit: MAX_DOMAINS };
        }
        let changed = match out {
            true => self.out.insert(name.clone()),
            false => self.out.remove(name),
        };
        if !out {
            self.record_domain_back(index, name);
        }
        if changed || !out {
            self.revision = index;
        }
        PushResult::Domain { changed }
    }

    /// Records that a failure domain was brought back, even if it was not out: its backend servers
    /// may have become cold.
    fn record_domain_back(&mut self, index: Index, name: &SmolStr) {
        self.back.insert(name.clone(), index);
        if self.back.len() > MAX_DOMAINS {
            let oldest = self.back.iter().min_by_key(|(_, index)| **index);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.back.remove(&oldest);
            }
        }
    }

    /// Returns the failure domains that were brought back, each with the index of its last such
    /// command.
    pub fn domains_back(&self) -> impl Iterator<Item = (&SmolStr, Index)> {
        self.back.iter().map(|(name, index)| (name, *index))
    }

    /// Returns the failure domains that operators took out, sorted by name.
    pub fn domains_out(&self) -> impl Iterator<Item = &SmolStr> {
        self.out.iter()
    }

    /// Returns the index of the last entry that changed the newest bundle or a failure domain, or
    /// brought a failure domain back.
    #[must_use]
    pub fn revision(&self) -> Index {
        self.revision
    }

    /// Returns the newest accepted bundle.
    #[must_use]
    pub fn newest(&self) -> Option<&Bundle> {
        self.kept.back()
    }

    /// Returns the newest kept bundle that was accepted by an entry before `index`.
    #[must_use]
    pub(crate) fn newest_before(&self, index: Index) -> Option<&Bundle> {
        let kept = self.kept.iter().rev().zip(self.history.iter().rev());
        let mut before = kept.filter(|(_, accepted)| accepted.index < index);
        before.next().map(|(bundle, _)| bundle)
    }

    /// Returns the version that a push must exceed.
    #[must_use]
    pub fn newest_version(&self) -> Version {
        self.history.back().map_or(self.floor, |a| a.version)
    }

    /// Returns the digest of the bundle accepted under `version`, if it is still kept.
    #[must_use]
    pub fn digest_of(&self, version: Version) -> Option<Digest> {
        let position = self
            .history
            .binary_search_by_key(&version, |a| a.version)
            .ok()?;
        self.history.get(position).map(|a| a.digest)
    }

    /// Returns the kept versions with their digests, oldest first.
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
            out: self.out.iter().map(ToString::to_string).collect(),
            revision: self.revision,
            back: self.back.iter().map(|(n, i)| (n.to_string(), *i)).collect(),
        };
        record.encode_to_vec().into()
    }

    /// Decodes a state machine.
    ///
    /// # Errors
    ///
    /// Returns an error if `data` is malformed, exceeds a limit, or its versions are not
    /// increasing.
    pub fn decode(data: Bytes) -> Result<Self> {
        let record = BundlesRecord::decode(data)?;
        crate::entry::check_size("history", record.history.len(), MAX_HISTORY_VERSIONS)?;
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
        crate::entry::check_size("failure domains", record.out.len(), MAX_DOMAINS)?;
        bundles.out = record.out.into_iter().map(SmolStr::from).collect();
        bundles.revision = record.revision;
        crate::entry::check_size("failure domains", record.back.len(), MAX_DOMAINS)?;
        let back = record.back.into_iter();
        bundles.back = back.map(|(name, index)| (name.into(), index)).collect();
        Ok(bundles)
    }

    fn check_kept(&self) -> Result<()> {
        let expected = self.history.len().min(KEPT_BUNDLES);
        let newest = self.history.iter().skip(self.history.len() - expected);
        let newest_ids = newest.map(|a| (a.version, a.digest));
        if !newest_ids.eq(self.kept.iter().map(|b| (b.version, b.digest))) {
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
        self.revision = index;
        if self.history.len() > MAX_HISTORY_VERSIONS {
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
    #[prost(string, repeated, tag = "4")]
    out: Vec<String>,
    #[prost(uint64, tag = "5")]
    revision: u64,
    #[prost(btree_map = "string, uint64", tag = "6")]
    back: BTreeMap<String, u64>,
}
