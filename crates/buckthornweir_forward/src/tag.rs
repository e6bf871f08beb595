//! Tags that processes of the system write to packets: four bytes that both ends of a flow ignore
//! and that a backend server includes in returned packets.

/// Marks a valid tag, to tell it apart from other content that a caller wrote there.
const MAGIC: u32 = 0xb7 << 24;
const MAGIC_MASK: u32 = 0xff << 24;
const ASIDE: u32 = 1 << 8;
const PROBE: u32 = 1 << 9;
const HEDGED: u32 = 1 << 10;
const HOPS_MASK: u32 = 0xff;

/// A tag on a packet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tag {
    /// Number of agents that passed the packet on.
    pub hops: u8,
    /// Whether the packet went to another agent than placement selects for its flow.
    pub aside: bool,
    /// Whether the packet is a probe: a copy by which another agent finds out whether the backend
    /// server holds the flow.
    pub probe: bool,
    /// Whether the packet is a balancer's copy of a SYN that may have opened its flow elsewhere, so
    /// that it must not cause a reset. Earlier releases ignore it.
    pub hedged: bool,
}

impl Tag {
    /// Decodes the tag of a packet. Any other content yields the default tag.
    #[must_use]
    pub fn read(word: u32) -> Self {
        if word & MAGIC_MASK != MAGIC {
            return Self::default();
        }
        Self {
            hops: (word & HOPS_MASK) as u8,
            aside: word & ASIDE != 0,
            probe: word & PROBE != 0,
            hedged: word & HEDGED != 0,
        }
    }

    /// Encodes the tag.
    #[must_use]
    pub fn word(self) -> u32 {
        let aside = if self.aside { ASIDE } else { 0 };
        let probe = if self.probe { PROBE } else { 0 };
        let hedged = if self.hedged { HEDGED } else { 0 };
        MAGIC | aside | probe | hedged | u32::from(self.hops)
    }

    /// Returns the tag for passing the packet on by one more hop.
    #[must_use]
    pub fn passed_on(self) -> Self {
        Self {
            hops: self.hops.saturating_add(1),
            aside: true,
            probe: false,
            hedged: self.hedged,
        }
    }

    /// Returns the tag of a probe to another agent's backend server.
    #[must_use]
    pub fn probing(self) -> Self {
        Self {
            probe: true,
            ..self.passed_on()
        }
    }
}
