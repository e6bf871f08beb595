//! Authentication of messages by a shared key.

use blake3::Hash;

use crate::fault::{Result, WireError};

/// The length in bytes of the tag before each message.
pub const TAG_BYTES: usize = 16;

/// The key that all processes share, from their settings.
#[derive(Clone)]
pub struct ClusterKey {
    bytes: [u8; 32],
}

impl ClusterKey {
    /// Returns the key with these bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self { bytes }
    }

    /// Returns a key for another purpose, which tells nothing about this one.
    #[must_use]
    pub fn derive(&self, purpose: &str) -> [u8; 32] {
        *blake3::keyed_hash(&self.bytes, purpose.as_bytes()).as_bytes()
    }

    /// Returns the tag of `parts`, as if they stood in one piece.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let hash = keyed(&self.bytes, parts);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Returns the key of one link, made from the random numbers of both its ends.
    pub(crate) fn for_link(&self, dialer: &[u8], acceptor: &[u8]) -> Self {
        let hash = keyed(&self.bytes, &[b"link", dialer, acceptor]);
        Self {
            bytes: *hash.as_bytes(),
        }
    }

    /// Checks the tag at the start of `bytes` and returns what follows it.
    pub(crate) fn check<'a>(&self, prefix: &[u8], bytes: &'a [u8]) -> Result<&'a [u8]> {
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

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClusterKey")
    }
}

fn keyed(key: &[u8; 32], parts: &[&[u8]]) -> Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}

fn constant_time_equal(a: &[u8], b: &[u8]) -> bool {
    let differing = a.iter().zip(b).fold(0, |seen, (x, y)| seen | (x ^ y));
    a.len() == b.len() && differing == 0
}
