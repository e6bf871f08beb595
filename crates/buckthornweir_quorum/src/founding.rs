//! Founding a log: decides which control VM may found one, and which must join an existing one.
//!
//! A VM without a log sends its [`Presence`] to all others; a VM with a log sends it to those
//! without one ([`Founder::lacks_log`]). A VM without a log joins as soon as any other VM has one.
//! A new log is founded only by the VM with the lowest listed address, only if its operators allow
//! it, and only while every listed VM has recently reported that it has no log. A VM with an
//! emptied data folder therefore never founds a second log beside an existing one, even if it is
//! partitioned from it.
//!
//! ```
//! use std::time::Duration;
//! use buckthornweir_quorum::prelude::*;
//!
//! let mut founder = Founder::new(5, "192.0.2.1:7000", ["192.0.2.1:7000"]).with_permission(true);
//! let decision = founder.decide(Duration::ZERO, 99);
//! assert!(matches!(decision, Decision::Found(_)));
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use prost::Message as _;
use smol_str::SmolStr;

use crate::bundles::Version;
use crate::core::{Core, Founding};
use crate::entry::{ClusterId, MAX_ADDRESS_BYTES, MAX_MEMBERS, Result, check_size};
use crate::members::{Member, Members, NodeId};

/// Time after which a received presence expires.
pub const PRESENCE_TTL: Duration = Duration::from_secs(5);

/// Time without a newly discovered VM after which discovery from seeds counts as complete.
///
/// VMs that are started together start within 0.3 s and send their presence five times a second.
pub const DISCOVERY_QUIET_PERIOD: Duration = Duration::from_millis(800);

const MAX_PRESENCE_BYTES: usize = (MAX_MEMBERS + 1) * (MAX_ADDRESS_BYTES + 8) + 64;

/// Presence message, by which a control VM reports its state.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Presence {
    /// Identity of the data folder of the VM.
    #[prost(fixed64, tag = "1")]
    pub id: NodeId,
    /// Identifier of the log that the VM belongs to, or zero.
    #[prost(fixed64, tag = "2")]
    pub cluster: ClusterId,
    /// Socket address of the VM, as text.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Sorted addresses of all control VMs in the settings of the VM.
    #[prost(string, repeated, tag = "4")]
    pub listed: Vec<String>,
    /// Newest bundle version known to the VM.
    #[prost(uint64, tag = "5")]
    pub newest: Version,
}

impl Presence {
    /// Returns the encoded presence.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Decodes a presence and checks its size limits.
    ///
    /// # Errors
    ///
    /// Returns an error if `data` is malformed or exceeds a limit.
    pub fn from_bytes(data: Bytes) -> Result<Self> {
        check_size("presence", data.len(), MAX_PRESENCE_BYTES)?;
        let presence = Self::decode(data)?;
        check_size("listed addresses", presence.listed.len(), MAX_MEMBERS)?;
        check_size("address", presence.address.len(), MAX_ADDRESS_BYTES)?;
        Ok(presence)
    }
}

/// Decision of a control VM without a log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Found the log: call [`Core::found`].
    Found(Founding),
    /// Join the existing log: call [`Core::join`].
    Join {
        /// A member of the log.
        via: NodeId,
    },
    /// Wait for the VMs that have not reported whether they have a log, or for discovery to
    /// complete.
    Wait {
        /// Addresses of the VMs without a recent presence.
        silent: Vec<SmolStr>,
    },
    /// Wait for the VM with the lowest address to found the log.
    WaitForFounder {
        /// Address of that VM.
        address: SmolStr,
    },
    /// No VM has a log, and the settings do not allow founding one.
    NotAllowed,
    /// Another VM lists different addresses in its settings.
    ListsDiffer {
        /// Address of that VM.
        address: SmolStr,
    },
    /// Other VMs belong to different logs; operators must empty the data folders of the wrong log.
    LogsDiffer,
}

/// Decides whether a control VM without a log founds or joins one.
#[derive(Debug, Clone)]
pub struct Founder {
    id: NodeId,
    address: SmolStr,
    listed: BTreeSet<SmolStr>,
    may_found: bool,
    is_seeded: bool,
    quiet_until: Duration,
    floor: Version,
    peers: BTreeMap<SmolStr, PeerPresence>,
}

#[derive(Debug, Clone)]
struct PeerPresence {
    presence: Presence,
    received_at: Duration,
}

impl Founder {
    /// Creates a founder for the VM at `address`, whose settings list the addresses `listed`.
    #[must_use]
    pub fn new<A: Into<SmolStr>>(
        id: NodeId,
        address: impl Into<SmolStr>,
        listed: impl IntoIterator<Item = A>,
    ) -> Self {
        let address = address.into();
        let mut listed: BTreeSet<_> = listed.into_iter().map(Into::into).collect();
        listed.insert(address.clone());
        Self {
            id,
            address,
            listed,
            may_found: false,
            is_seeded: false,
            quiet_until: Duration::ZERO,
            floor: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Creates a founder for the VM at `address`, whose settings list only the seeds.
    ///
    /// The seed with the lowest address founds the log together with all VMs discovered so far,
    /// once every seed has reported its presence and no further VM was discovered for
    /// [`DISCOVERY_QUIET_PERIOD`].
    #[must_use]
    pub fn from_seeds<A: Into<SmolStr>>(
        id: NodeId,
        address: impl Into<SmolStr>,
        seeds: impl IntoIterator<Item = A>,
    ) -> Self {
        Self {
            listed: seeds.into_iter().map(Into::into).collect(),
            is_seeded: true,
            quiet_until: DISCOVERY_QUIET_PERIOD,
            ..Self::new(id, address, std::iter::empty::<SmolStr>())
        }
    }

    /// Sets whether the settings allow this VM to found a log.
    #[must_use]
    pub fn with_permission(mut self, allowed: bool) -> Self {
        self.may_found = allowed;
        self
    }

    /// Records a bundle version that a process holds; a new log accepts only higher versions.
    pub fn note_version(&mut self, version: Version) {
        self.floor = self.floor.max(version);
    }

    /// Records the presence of another control VM.
    pub fn note_presence(&mut self, now: Duration, presence: Presence) {
        let address = SmolStr::from(presence.address.as_str());
        let is_expected = self.is_seeded || self.listed.contains(&address);
        if address == self.address || !is_expected {
            return;
        }
        let is_known = self.peers.contains_key(&address);
        if !is_known && self.peers.len() >= MAX_MEMBERS {
            // VMs that were replaced must not keep out the ones in their place.
            self.peers.retain(|_, p| now < p.received_at + PRESENCE_TTL);
            if self.peers.len() >= MAX_MEMBERS {
                return;
            }
        }
        self.note_version(presence.newest);
        if !is_known {
            self.quiet_until = now + DISCOVERY_QUIET_PERIOD;
        }
        self.peers.insert(
            address,
            PeerPresence {
                presence,
                received_at: now,
            },
        );
    }

    /// Returns whether the VM at `address` has recently reported that it has no log.
    #[must_use]
    pub fn lacks_log(&self, now: Duration, address: &str) -> bool {
        let peer = self.peers.get(address);
        peer.is_some_and(|p| now < p.received_at + PRESENCE_TTL && p.presence.cluster == 0)
    }

    /// Returns the presence of this VM.
    #[must_use]
    pub fn presence(&self, core: &Core) -> Presence {
        Presence {
            id: self.id,
            cluster: core.cluster(),
            address: self.address.to_string(),
            listed: self.listed.iter().map(ToString::to_string).collect(),
            newest: self.floor.max(core.bundles().newest_version()),
        }
    }

    /// Returns the current decision; `cluster` is a random, nonzero identifier for a log to be
    /// founded.
    #[must_use]
    pub fn decide(&self, now: Duration, cluster: ClusterId) -> Decision {
        if let Some(decision) = self.find_log(now) {
            return decision;
        }
        let silent: Vec<_> = self.missing_peers(now).cloned().collect();
        if !silent.is_empty() || (self.is_seeded && now < self.quiet_until) {
            return Decision::Wait { silent };
        }
        if let Some(address) = self.differing_list() {
            return Decision::ListsDiffer { address };
        }
        match self.listed.first() {
            None => Decision::NotAllowed,
            Some(first) if *first != self.address => Decision::WaitForFounder {
                address: first.clone(),
            },
            _ if !self.may_found => Decision::NotAllowed,
            _ => Decision::Found(self.founding(now, cluster)),
        }
    }

    fn find_log(&self, now: Duration) -> Option<Decision> {
        let mut members = self.live_peers(now).filter(|p| p.presence.cluster != 0);
        let first = members.next()?;
        let cluster = first.presence.cluster;
        if members.any(|p| p.presence.cluster != cluster) {
            return Some(Decision::LogsDiffer);
        }
        Some(Decision::Join {
            via: first.presence.id,
        })
    }

    fn live_peers(&self, now: Duration) -> impl Iterator<Item = &PeerPresence> {
        self.peers
            .values()
            .filter(move |p| now < p.received_at + PRESENCE_TTL)
    }

    fn missing_peers(&self, now: Duration) -> impl Iterator<Item = &SmolStr> {
        let is_live = move |address: &SmolStr| {
            self.peers
                .get(address)
                .is_some_and(|p| now < p.received_at + PRESENCE_TTL)
        };
        self.listed
            .iter()
            .filter(move |a| **a != self.address && !is_live(a))
    }

    /// Returns the address of a VM that lists different addresses in its settings.
    fn differing_list(&self) -> Option<SmolStr> {
        let differs = |p: &&PeerPresence| !p.presence.listed.iter().eq(self.listed.iter());
        let other = self.peers.values().find(differs)?;
        Some(SmolStr::from(other.presence.address.as_str()))
    }

    fn founding(&self, now: Duration, cluster: ClusterId) -> Founding {
        let own = Member::voter(self.id, self.address.clone());
        let others = self
            .live_peers(now)
            .map(|p| Member::voter(p.presence.id, p.presence.address.as_str()));
        let members = Members::new(others.chain([own]));
        Founding {
            cluster,
            members,
            floor: self.floor,
        }
    }
}
