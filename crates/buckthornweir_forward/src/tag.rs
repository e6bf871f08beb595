//! What processes of the system note on a packet: four bytes that both ends of the flow ignore, and that
//! a backend server gives back with a returned packet.

/// Marks a tag, so that what a caller wrote there is not taken for one.
const MAGIC: u32 = 0xb7 << 24;
const MAGIC_MASK: u32 = 0xff << 24;
const ASIDE: u32 = 1 << 8;
const PROBE: u32 = 1 << 9;
const HOPS_MASK: u32 = 0xff;

/// A note on a packet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tag {
    /// How many agents passed the packet on.
    pub hops: u8,
    /// Whether the packet went to another agent than the one that placement names for its flow.
    pub aside: bool,
    /// Whether the packet is a copy by which another agent asks the backend server for its flow.
    pub probe: bool,
}

impl Tag {
    /// Returns the tag that a packet carries; any other content is no tag.
    #[must_use]
    pub fn read(word: u32) -> Self {
        if word & MAGIC_MASK != MAGIC {
            return Self::default();
        }
        Self {
            hops: (word & HOPS_MASK) as u8,
            aside: word & ASIDE != 0,
            probe: word & PROBE != 0,
        }
    }

    /// Returns the bytes of the tag as one number.
    #[must_use]
    pub fn word(self) -> u32 {
        let aside = if self.aside { ASIDE } else { 0 };
        let probe = if self.probe { PROBE } else { 0 };
        MAGIC | aside | probe | u32::from(self.hops)
    }

    /// Returns the tag after one more agent passed the packet on.
    #[must_use]
    pub fn passed_on(self) -> Self {
        Self {
            hops: self.hops.saturating_add(1),
            aside: true,
            probe: false,
        }
    }

    /// Returns the tag of a copy that asks another agent's backend server.
    #[must_use]
    pub fn probing(self) -> Self {
        Self {
            probe: true,
            ..self.passed_on()
        }
    }
}
