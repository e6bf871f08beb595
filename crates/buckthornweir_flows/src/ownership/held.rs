//! Packets that wait until it is known who owns their flow.

use crate::messages::Forward;

/// Number of packets that are held for one flow.
const MAX_PACKETS: usize = 3;

/// Longest packet that is held, in bytes.
const MAX_PACKET_BYTES: usize = 2 * 1024;

/// Packets that wait until it is known who owns their flow.
#[derive(Debug, Default)]
pub(super) struct Held(Vec<Forward>);

impl Held {
    /// Keeps a packet, unless it is long or there are enough, and returns whether it did.
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
