//! Authentication of messages with a shared key.

use std::fmt;

use blake3::Hash;

use crate::fault::{Result, WireError};

/// The length in bytes of the authentication tag in front of each message.
pub const TAG_BYTES: usize = 16;

/// The derivation context of the datagram key.
const DATAGRAM_CONTEXT: &str = "datagrams";

/// The key that all processes share, read from their settings.
///
/// It never tags a message itself; a separate key is derived from it for each purpose.
#[derive(Clone)]
pub struct ClusterKey {
    bytes: [u8; 32],
    datagram_key: TagKey,
}

/// A key that authenticates messages of one kind.
#[derive(Clone)]
pub(crate) struct TagKey {
    bytes: [u8; 32],
}

impl ClusterKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        let datagram_key = keyed_hash(&bytes, &[DATAGRAM_CONTEXT.as_bytes()]).into();
        Self {
            bytes,
            datagram_key,
        }
    }

    /// Derives a key for another purpose. The derived key reveals nothing about this one.
    #[must_use]
    pub fn derive(&self, purpose: &str) -> [u8; 32] {
        *keyed_hash(&self.bytes, &[purpose.as_bytes()]).as_bytes()
    }

    /// Returns the key that authenticates datagrams.
    pub(crate) fn datagram_key(&self) -> &TagKey {
        &self.datagram_key
    }

    /// Derives the key of a link from the nonces of both ends.
    pub(crate) fn link_key(&self, dialer: &[u8], acceptor: &[u8]) -> TagKey {
        keyed_hash(&self.bytes, &[b"link", dialer, acceptor]).into()
    }
}

impl TagKey {
    /// Returns the tag of the concatenation of `parts`.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let hash = keyed_hash(&self.bytes, parts);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Verifies the tag at the start of `bytes` and returns the bytes after it.
    ///
    /// The tag covers `prefix`, which is not part of `bytes`, followed by the returned bytes.
    pub(crate) fn verify<'a>(&self, prefix: &[u8], bytes: &'a [u8]) -> Result<&'a [u8]> {
        let Some((tag, rest)) = bytes.split_at_checked(TAG_BYTES) else {
            return Err(WireError::Short {
                length: bytes.len(),
            });
        };
        let expected = self.tag(&[prefix, rest]);
        if constant_time_equal(&expected, tag) {
            Ok(rest)
        } else {
            Err(WireError::Forged)
        }
    }
}

impl From<Hash> for TagKey {
    fn from(hash: Hash) -> Self {
        Self {
            bytes: *hash.as_bytes(),
        }
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey")
    }
}

impl fmt::Debug for TagKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TagKey")
    }
}

fn keyed_hash(key: &[u8; 32], parts: &[&[u8]]) -> Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}

fn constant_time_equal(a: &[u8], b: &[u8]) -> bool {
    let difference = a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y));
    a.len() == b.len() && difference == 0
}
