//! Frames of the records on disk: magic number, size, checksum, and the length synced before.

/// Size of a frame header, in bytes.
pub const FRAME_HEADER_BYTES: usize = 20;

const MAGIC: [u8; 4] = *b"bqr1";

/// A frame with a valid checksum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Length of the file that was synced before this frame was written, in bytes.
    pub synced: u64,
    /// Payload of the frame.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Returns the size of the frame including its header, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        FRAME_HEADER_BYTES + self.payload.len()
    }
}

/// Decodes the frame at the start of `data`; returns `None` if it is incomplete or its checksum is
/// wrong.
#[must_use]
pub fn decode_frame(data: &[u8]) -> Option<Frame<'_>> {
    let (magic, rest) = data.split_first_chunk::<4>()?;
    let (size, rest) = rest.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let (synced, rest) = rest.split_first_chunk::<8>()?;
    let payload = rest.get(..usize::try_from(u32::from_le_bytes(*size)).ok()?)?;
    let matches = *magic == MAGIC && u32::from_le_bytes(*sum) == checksum(*size, *synced, payload);
    matches.then(|| Frame {
        synced: u64::from_le_bytes(*synced),
        payload,
    })
}

/// Appends a frame around `payload` to `data`.
///
/// The limits of entries and snapshots keep payloads far below 4 GiB, so the size fits a `u32`.
pub(super) fn encode(synced: u64, payload: &[u8], data: &mut Vec<u8>) {
    let size = (payload.len() as u32).to_le_bytes();
    let synced = synced.to_le_bytes();
    data.extend_from_slice(&MAGIC);
    data.extend_from_slice(&size);
    data.extend_from_slice(&checksum(size, synced, payload).to_le_bytes());
    data.extend_from_slice(&synced);
    data.extend_from_slice(payload);
}

/// Returns the position of the first intact frame at or after `start` that was written after the
/// bytes at `start` were synced.
///
/// Such a frame proves that an invalid record at `start` is damaged rather than torn by a crash.
pub(super) fn find_synced_frame(data: &[u8], start: usize) -> Option<usize> {
    let rest = data.get(start..)?;
    let candidates = rest
        .windows(MAGIC.len())
        .enumerate()
        .filter(|(_, bytes)| *bytes == MAGIC);
    candidates.map(|(offset, _)| start + offset).find(|at| {
        let frame = data.get(*at..).and_then(decode_frame);
        frame.is_some_and(|f| f.synced > start as u64 && f.synced <= *at as u64)
    })
}

fn checksum(size: [u8; 4], synced: [u8; 8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&size);
    hasher.update(&synced);
    hasher.update(payload);
    hasher.finalize()
}
