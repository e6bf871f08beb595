//! Tags that processes of the system write to packets: four bytes that both ends of a flow ignore
//! and that a backend server includes in returned packets.

use std::time::Duration;

/// Marks a valid tag, to tell it apart from other content that a caller wrote there.
const MAGIC: u32 = 0xb7 << 24;
const MAGIC_MASK: u32 = 0xff << 24;
const ASIDE: u32 = 1 << 8;
const PROBE: u32 = 1 << 9;
const HEDGED: u32 = 1 << 10;
const HEDGEABLE: u32 = 1 << 11;
const HOPS_MASK: u32 = 0xff;
const AGE_KNOWN: u32 = 1 << 12;
const AGE_SHIFT: u32 = 16;
const AGE_MASK: u32 = 0xff << AGE_SHIFT;

/// Unit of [`Tag::age`].
const AGE_UNIT: Duration = Duration::from_millis(8);

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
    /// Whether a balancer may send a hedged SYN of the flow to another agent. Agents can't derive this
    /// from the plan, since a balancer may have a limit of its own. Earlier releases ignore it.
    pub hedgeable: bool,
    /// Whether all agents that passed the packet on keep the age and `hedgeable`. Agents of earlier
    /// releases clear all three.
    pub age_known: bool,
    /// How long the SYN waited at agents that passed it on, in units of 8 ms. Earlier releases
    /// ignore it.
    pub age: u8,
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
            hedgeable: word & HEDGEABLE != 0,
            age_known: word & AGE_KNOWN != 0,
            age: ((word & AGE_MASK) >> AGE_SHIFT) as u8,
        }
    }

    /// Encodes the tag.
    #[must_use]
    pub fn word(self) -> u32 {
        let aside = if self.aside { ASIDE } else { 0 };
        let probe = if self.probe { PROBE } else { 0 };
        let hedged = if self.hedged { HEDGED } else { 0 };
        let hedgeable = if self.hedgeable { HEDGEABLE } else { 0 };
        let age_known = if self.age_known { AGE_KNOWN } else { 0 };
        let age = u32::from(self.age) << AGE_SHIFT;
        MAGIC | age | age_known | aside | probe | hedged | hedgeable | u32::from(self.hops)
    }

    /// Returns the tag for passing the packet on by one more hop.
    #[must_use]
    pub fn passed_on(self) -> Self {
        Self {
            hops: self.hops.saturating_add(1),
            aside: true,
            probe: false,
            hedged: self.hedged,
            hedgeable: self.hedgeable,
            age_known: self.hops == 0 || self.age_known,
            age: self.age,
        }
    }

    /// Returns the tag of a SYN that waited for `time` at an agent before it is passed on.
    #[must_use]
    pub fn aged(self, time: Duration) -> Self {
        let units = time.as_millis().div_ceil(AGE_UNIT.as_millis());
        let units = u8::try_from(units).unwrap_or(u8::MAX);
        Self {
            age: self.age.saturating_add(units),
            ..self
        }
    }

    /// Returns how long the SYN waited at agents that passed it on.
    #[must_use]
    pub fn waited(self) -> Duration {
        AGE_UNIT * u32::from(self.age)
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
