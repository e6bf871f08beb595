//! Records of processes.

use std::net::SocketAddr;

use quick_error::quick_error;
use smol_str::SmolStr;

use crate::messages::Fingerprint;
use crate::table::hash;

/// Identifies a process across restarts, for as long as its identity exists.
pub type NodeId = u64;

/// Orders the rumours about one node. Only the node itself increments it.
pub type Incarnation = u64;

/// Distinguishes the starts of one node. Chosen at random at each start.
pub type Instance = u32;

/// Matches any instance of a node. No process uses it as its own.
pub(crate) const ANY_INSTANCE: Instance = 0;

/// The maximum length of a name, domain or service in bytes.
pub const MAX_TEXT_BYTES: usize = 64;

/// The highest weight step, that of a fully warmed-up member.
pub const MAX_WEIGHT: u8 = 16;

/// The highest accepted incarnation, limited so that a node can always exceed it.
pub const MAX_INCARNATION: Incarnation = 1 << 62;

/// The result of checking a record.
pub type Result<T> = std::result::Result<T, RecordError>;

quick_error! {
    /// The reason why a record is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RecordError {
        /// A text field is longer than [`MAX_TEXT_BYTES`] bytes.
        TextTooLong(length: usize) {
            display("text of {length} bytes exceeds {MAX_TEXT_BYTES} bytes")
        }
        /// The weight is above [`MAX_WEIGHT`].
        WeightTooHigh(weight: u64) {
            display("weight {weight} exceeds {MAX_WEIGHT}")
        }
        /// The incarnation is above [`MAX_INCARNATION`].
        IncarnationTooHigh(incarnation: Incarnation) {
            display("incarnation {incarnation} exceeds {MAX_INCARNATION}")
        }
    }
}

/// The set of roles that a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Roles(u8);

impl Roles {
    /// No role.
    pub const NONE: Self = Self(0);
    /// Forwards packets of callers to agents.
    pub const BALANCER: Self = Self(1);
    /// Owns flows beside a backend server.
    pub const AGENT: Self = Self(2);
    /// Participates in the replicated log of bundles.
    pub const CONTROL: Self = Self(4);

    const ALL_BITS: u8 = 7;

    /// Returns the bits of the set, one per role.
    pub const fn bits(self) -> u8 {
        self.0
    }

    /// Returns the set with these bits, or `None` when a bit is not assigned to a role.
    pub const fn from_bits(bits: u8) -> Option<Self> {
        if bits & !Self::ALL_BITS == 0 {
            Some(Self(bits))
        } else {
            None
        }
    }

    /// Returns whether the set contains all roles of `other`.
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }

    /// Returns the union of both sets.
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }
}

impl std::ops::BitOr for Roles {
    type Output = Self;

    fn bitor(self, other: Self) -> Self {
        self.union(other)
    }
}

/// The readiness that a member announces for itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum MemberState {
    /// Started, receives little load.
    #[default]
    Cold,
    /// Receives load according to its weight.
    Ready,
    /// Accepts no new work.
    Draining,
    /// Stopped on purpose.
    Left,
}

/// The health of a member, as seen by the other members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// Answers probes.
    Alive,
    /// Missed a probe and can still refute the suspicion.
    Suspect,
    /// Was declared dead, or left.
    Dead,
}

/// Identifies the content of a bundle. Version 0 means no bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct BundleStamp {
    /// The bundle's version.
    pub version: u64,
    /// The SHA-256 digest of the bundle's canonical form.
    pub digest: [u8; 32],
}

/// The record of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The node that the record describes.
    pub node: NodeId,
    /// The name shown to operators.
    pub name: SmolStr,
    /// Orders the versions of the record.
    pub incarnation: Incarnation,
    /// The roles of the process.
    pub roles: Roles,
    /// The failure domain of the process.
    pub domain: SmolStr,
    /// The service of an agent, empty for other roles.
    pub service: SmolStr,
    /// The readiness that the node announced.
    pub state: MemberState,
    /// The weight step, from 0 to [`MAX_WEIGHT`].
    pub weight: u8,
    /// Free slots of the backend server, rounded down to a power of two.
    pub free: u32,
    /// The UDP address for membership.
    pub gossip: SocketAddr,
    /// The UDP address for forwarded packets.
    pub flows: SocketAddr,
    /// The TCP address for links.
    pub control: SocketAddr,
    /// The bundle in force at the node, according to its last direct message.
    pub bundle: BundleStamp,
}

impl Record {
    /// Creates the record of a cold node without roles that uses `gossip` for all its addresses.
    pub fn new(node: NodeId, name: &str, gossip: SocketAddr) -> Self {
        Self {
            node,
            name: name.into(),
            incarnation: 1,
            roles: Roles::NONE,
            domain: SmolStr::default(),
            service: SmolStr::default(),
            state: MemberState::Cold,
            weight: 0,
            free: 0,
            gossip,
            flows: gossip,
            control: gossip,
            bundle: BundleStamp::default(),
        }
    }

    /// Sets the incarnation at start.
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the roles.
    pub fn with_roles(mut self, roles: Roles) -> Self {
        self.roles = roles;
        self
    }

    /// Sets the failure domain.
    pub fn with_domain(mut self, domain: &str) -> Self {
        self.domain = domain.into();
        self
    }

    /// Sets the service of an agent.
    pub fn with_service(mut self, service: &str) -> Self {
        self.service = service.into();
        self
    }

    /// Sets the state at start.
    pub fn with_state(mut self, state: MemberState) -> Self {
        self.state = state;
        self
    }

    /// Sets the weight step at start.
    pub fn with_weight(mut self, weight: u8) -> Self {
        self.weight = weight;
        self
    }

    /// Returns a hash of the node and its incarnation.
    pub fn fingerprint(&self) -> Fingerprint {
        hash([self.node, self.incarnation]) as Fingerprint
    }

    /// Checks that other nodes accept the record.
    ///
    /// # Errors
    ///
    /// Returns an error when a text, the weight or the incarnation exceeds its limit.
    pub fn check(&self) -> Result<()> {
        for text in [&self.name, &self.domain, &self.service] {
            check_text(text)?;
        }
        check_weight(u64::from(self.weight))?;
        check_incarnation(self.incarnation)
    }
}

pub(crate) fn check_text(text: &str) -> Result<()> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(RecordError::TextTooLong(text.len()));
    }
    Ok(())
}

pub(crate) fn check_weight(weight: u64) -> Result<()> {
    if weight > u64::from(MAX_WEIGHT) {
        return Err(RecordError::WeightTooHigh(weight));
    }
    Ok(())
}

pub(crate) fn check_incarnation(incarnation: Incarnation) -> Result<()> {
    if incarnation > MAX_INCARNATION {
        return Err(RecordError::IncarnationTooHigh(incarnation));
    }
    Ok(())
}

/// Returns the free slots rounded down to a power of two.
pub(crate) fn coarse_free(free: u32) -> u32 {
    match free.checked_ilog2() {
        Some(power) => 1 << power,
        None => 0,
    }
}
