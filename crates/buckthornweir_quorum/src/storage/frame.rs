//! Frames around the records on disk: mark, size, checksum and start of the batch.

/// Size of a frame's header, in bytes.
pub const FRAME_HEADER: usize = 20;

const MARK: [u8; 4] = *b"bqr1";

/// A frame whose checksum is right.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Position of the first frame of the batch, in bytes; all before it was synced.
    pub batch: u64,
    /// The framed bytes.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Returns the size of the frame with its header, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        FRAME_HEADER + self.payload.len()
    }
}

/// Returns the frame at the beginning of `data`, if it is whole and its checksum is right.
#[must_use]
pub fn next_frame(data: &[u8]) -> Option<Frame<'_>> {
    let (mark, rest) = data.split_first_chunk::<4>()?;
    let (size, rest) = rest.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let (batch, rest) = rest.split_first_chunk::<8>()?;
    let payload = rest.get(..usize::try_from(u32::from_le_bytes(*size)).ok()?)?;
    let matches = *mark == MARK && u32::from_le_bytes(*sum) == checksum(*size, *batch, payload);
    matches.then(|| Frame {
        batch: u64::from_le_bytes(*batch),
        payload,
    })
}

/// Appends a frame around `payload` to `data`.
///
/// Payloads are bounded far below 4 GiB by the limits of entries and snapshots.
pub(super) fn encode(batch: u64, payload: &[u8], data: &mut Vec<u8>) {
    let size = (payload.len() as u32).to_le_bytes();
    let batch = batch.to_le_bytes();
    data.extend_from_slice(&MARK);
    data.extend_from_slice(&size);
    data.extend_from_slice(&checksum(size, batch, payload).to_le_bytes());
    data.extend_from_slice(&batch);
    data.extend_from_slice(payload);
}

/// Returns the position of the first whole frame at or after `start` whose batch begins after
/// `start`: proof that the bytes at `start` were synced.
pub(super) fn later_batch(data: &[u8], start: usize) -> Option<usize> {
    let rest = data.get(start..)?;
    let marks = rest
        .windows(MARK.len())
        .enumerate()
        .filter(|(_, bytes)| *bytes == MARK);
    marks.map(|(offset, _)| start + offset).find(|at| {
        let frame = data.get(*at..).and_then(next_frame);
        frame.is_some_and(|f| f.batch > start as u64 && f.batch <= *at as u64)
    })
}

fn checksum(size: [u8; 4], batch: [u8; 8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&size);
    hasher.update(&batch);
    hasher.update(payload);
    hasher.finalize()
}
