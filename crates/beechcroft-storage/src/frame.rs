//! The encoding of log entries and snapshots: a head with the number and each record's name, length and checksum, then
//! the values.
//!
//! The head has its own checksum, so that the name of a corrupt value is still known.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | [`FORMAT`] |
//! | 4 | length of the head in bytes, including its checksum |
//! | 4 | length of all values in bytes |
//! | 8 | number of the entry |
//! | 2 | count of records |
//! | for each record: 1, n, 4, 4 | length of the name, name, length of the value, checksum of the value |
//! | 4 | checksum of the head up to here |
//! | | the values, in the order of their records |
//!
//! Integers are little endian; checksums are CRC-32C.

use std::ops::Range;

/// The first byte of each frame. It must not be 0, which is what preallocated space contains.
pub(crate) const FORMAT: u8 = 2;
/// Length of the fixed part of a head in bytes: format, two lengths, number, count.
const FIXED_HEAD_BYTES: usize = 1 + 4 + 4 + 8 + 2;
/// Length of a checksum in bytes.
const CHECKSUM_BYTES: usize = 4;

/// A record of a frame.
#[derive(Debug, PartialEq)]
pub(crate) struct FramedRecord {
    pub(crate) name: String,
    /// The byte range of the value, relative to the start of the frame.
    pub(crate) range: Range<usize>,
    /// Whether the value matches its checksum.
    pub(crate) is_intact: bool,
}

/// A frame whose head is intact.
#[derive(Debug, PartialEq)]
pub(crate) struct Frame {
    pub(crate) number: u64,
    pub(crate) records: Vec<FramedRecord>,
    /// Length of head and values in bytes.
    pub(crate) length: usize,
}

/// Encodes a frame with this number and these records.
pub(crate) fn encode<'a>(
    number: u64,
    records: impl ExactSizeIterator<Item = (&'a str, &'a [u8])> + Clone,
) -> Vec<u8> {
    let record_heads: usize = records
        .clone()
        .map(|(name, _)| 1 + name.len() + 4 + CHECKSUM_BYTES)
        .sum();
    let value_bytes: usize = records.clone().map(|(_, value)| value.len()).sum();
    let head_bytes = FIXED_HEAD_BYTES + record_heads + CHECKSUM_BYTES;
    let mut bytes = vec![FORMAT];
    bytes.extend((head_bytes as u32).to_le_bytes());
    bytes.extend((value_bytes as u32).to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend((records.len() as u16).to_le_bytes());
    for (name, value) in records.clone() {
        bytes.push(name.len() as u8);
        bytes.extend(name.as_bytes());
        bytes.extend((value.len() as u32).to_le_bytes());
        bytes.extend(checksum(value).to_le_bytes());
    }
    bytes.extend(checksum(&bytes).to_le_bytes());
    records.for_each(|(_, value)| bytes.extend(value));
    bytes
}

impl Frame {
    /// Decodes the frame at the start of `bytes`. `None` if its head is corrupt. A truncated value is not intact.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Frame> {
        let (&format, rest) = bytes.split_first()?;
        let (head_bytes, rest) = rest.split_first_chunk::<4>()?;
        let (_, rest) = rest.split_first_chunk::<4>()?;
        let (number, rest) = rest.split_first_chunk::<8>()?;
        let (count, mut rest) = rest.split_first_chunk::<2>()?;
        let head_bytes = u32::from_le_bytes(*head_bytes) as usize;
        let (head, sum) = bytes
            .get(..head_bytes)?
            .split_last_chunk::<CHECKSUM_BYTES>()?;
        let is_intact = checksum(head) == u32::from_le_bytes(*sum);
        if format != FORMAT || head_bytes < FIXED_HEAD_BYTES + CHECKSUM_BYTES || !is_intact {
            return None;
        }
        let (mut records, mut end) = (Vec::new(), head_bytes);
        for _ in 0..u16::from_le_bytes(*count) {
            let (&name_length, tail) = rest.split_first()?;
            let (name, tail) = tail.split_at_checked(usize::from(name_length))?;
            let (value_length, tail) = tail.split_first_chunk::<4>()?;
            let (sum, tail) = tail.split_first_chunk::<CHECKSUM_BYTES>()?;
            let range = end..end + u32::from_le_bytes(*value_length) as usize;
            let value = bytes.get(range.clone());
            records.push(FramedRecord {
                name: String::from_utf8(name.to_vec()).ok()?,
                range: range.clone(),
                is_intact: value.is_some_and(|v| checksum(v) == u32::from_le_bytes(*sum)),
            });
            end = range.end;
            rest = tail;
        }
        Some(Frame {
            number: u64::from_le_bytes(*number),
            records,
            length: end,
        })
    }

    /// Finds the first frame at or after offset `from` with an intact head and a number above `above`, and returns it
    /// with its offset.
    pub(crate) fn find(bytes: &[u8], from: usize, above: u64) -> Option<(usize, Frame)> {
        let starts = (from..bytes.len()).filter(|&at| bytes[at] == FORMAT);
        let mut frames = starts.filter_map(|at| Some((at, Frame::decode(&bytes[at..])?)));
        frames.find(|(_, frame)| frame.number > above)
    }
}

/// CRC-32C.
pub(crate) fn checksum(bytes: &[u8]) -> u32 {
    crc32c::crc32c(bytes)
}
