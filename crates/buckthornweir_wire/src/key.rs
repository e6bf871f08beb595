//! Authentication of messages by a shared key.

use std::fmt;

use blake3::Hash;

use crate::fault::{Result, WireError};

/// The length in bytes of the tag before each message.
pub const TAG_BYTES: usize = 16;

/// The purpose of the key that tags datagrams.
const DATAGRAMS: &str = "datagrams";

/// The key that all processes share, from their settings. It tags nothing itself: each purpose has
/// a key of its own that is made from it.
#[derive(Clone)]
pub struct ClusterKey {
    bytes: [u8; 32],
    datagrams: TagKey,
}

/// A key that tags messages of one kind.
#[derive(Clone)]
pub(crate) struct TagKey {
    bytes: [u8; 32],
}

impl ClusterKey {
    /// Returns the key with these bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        let datagrams = keyed(&bytes, &[DATAGRAMS.as_bytes()]).into();
        Self { bytes, datagrams }
    }

    /// Returns a key for another purpose, which tells nothing about this one.
    #[must_use]
    pub fn derive(&self, purpose: &str) -> [u8; 32] {
        *keyed(&self.bytes, &[purpose.as_bytes()]).as_bytes()
    }

    /// Returns the key that tags datagrams.
    pub(crate) fn for_datagrams(&self) -> &TagKey {
        &self.datagrams
    }

    /// Returns the key of one link, made from the random numbers of both its ends.
    pub(crate) fn for_link(&self, dialer: &[u8], acceptor: &[u8]) -> TagKey {
        keyed(&self.bytes, &[b"link", dialer, acceptor]).into()
    }
}

impl TagKey {
    /// Returns the tag of `parts`, as if they stood in one piece.
    pub(crate) fn tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let hash = keyed(&self.bytes, parts);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
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
