//! Packets held until the owner of their flow is known.

use crate::messages::Forward;

/// Maximum number of held packets per flow.
const MAX_PACKETS: usize = 3;

/// Largest packet that is held, in bytes.
const MAX_PACKET_BYTES: usize = 2 * 1024;

/// Packets held until the owner of their flow is known.
#[derive(Debug, Default)]
pub(super) struct Held(Vec<Forward>);

impl Held {
    /// Holds a packet unless it exceeds the limits, and returns whether it was held.
    pub(super) fn push(&mut self, forward: &Forward) -> bool {
        let has_room = self.0.len() < MAX_PACKETS && forward.packet.len() <= MAX_PACKET_BYTES;
        if has_room {
            self.0.push(forward.clone());
        }
        has_room
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Forward> {
        self.0.iter()
    }

    pub(super) fn into_inner(self) -> Vec<Forward> {
        self.0
    }
}
