//! An entry's bytes: a head with its number, names, lengths and checksums, and then the values. The head has a checksum
//! of its own, so that a damaged value is known by its name.

use std::ops::Range;

/// The first byte of each entry; 0 is what has not been written yet.
pub const FORMAT: u8 = 2;
/// Format, lengths of head and values, number, count of records.
const FIXED: usize = 1 + 4 + 4 + 8 + 2;

#[derive(Debug, PartialEq)]
pub struct Part {
    pub name: String,
    /// Where the value stands, from the start of the entry.
    pub at: Range<usize>,
    pub sound: bool,
}

/// An entry whose head is sound.
#[derive(Debug, PartialEq)]
pub struct Frame {
    pub number: u64,
    pub parts: Vec<Part>,
    pub length: usize,
}

pub fn write<'a>(
    number: u64,
    records: impl ExactSizeIterator<Item = (&'a str, &'a [u8])> + Clone,
) -> Vec<u8> {
    let heads: usize = records.clone().map(|(name, _)| 1 + name.len() + 8).sum();
    let values: usize = records.clone().map(|(_, value)| value.len()).sum();
    let mut bytes = vec![FORMAT];
    bytes.extend(((FIXED + heads + 4) as u32).to_le_bytes());
    bytes.extend((values as u32).to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend((records.len() as u16).to_le_bytes());
    for (name, value) in records.clone() {
        bytes.push(name.len() as u8);
        bytes.extend(name.as_bytes());
        bytes.extend((value.len() as u32).to_le_bytes());
        bytes.extend(sum_of(value).to_le_bytes());
    }
    bytes.extend(sum_of(&bytes).to_le_bytes());
    records.for_each(|(_, value)| bytes.extend(value));
    bytes
}

impl Frame {
    /// None if the head is not sound. A value that the bytes do not reach is not sound.
    pub fn read(bytes: &[u8]) -> Option<Frame> {
        let (&format, rest) = bytes.split_first()?;
        let (head, rest) = rest.split_first_chunk::<4>()?;
        let (_, rest) = rest.split_first_chunk::<4>()?;
        let (number, rest) = rest.split_first_chunk::<8>()?;
        let (count, mut rest) = rest.split_first_chunk::<2>()?;
        let head = u32::from_le_bytes(*head) as usize;
        let (body, sum) = bytes.get(..head)?.split_last_chunk::<4>()?;
        if format != FORMAT || head < FIXED + 4 || sum_of(body) != u32::from_le_bytes(*sum) {
            return None;
        }
        let (mut parts, mut at) = (Vec::new(), head);
        for _ in 0..u16::from_le_bytes(*count) {
            let (&length, after) = rest.split_first()?;
            let name = String::from_utf8(after.get(..usize::from(length))?.to_vec()).ok()?;
            let after = &after[usize::from(length)..];
            let (length, after) = after.split_first_chunk::<4>()?;
            let (sum, after) = after.split_first_chunk::<4>()?;
            let place = at..at + u32::from_le_bytes(*length) as usize;
            let sound = bytes
                .get(place.clone())
                .is_some_and(|v| sum_of(v) == u32::from_le_bytes(*sum));
            at = place.end;
            parts.push(Part {
                name,
                at: place,
                sound,
            });
            rest = after;
        }
        Some(Frame {
            number: u64::from_le_bytes(*number),
            parts,
            length: at,
        })
    }

    /// The next entry with a sound head from a place on, numbered above `above`.
    pub fn find(bytes: &[u8], from: usize, above: u64) -> Option<(usize, Frame)> {
        let starts = (from..bytes.len()).filter(|&at| bytes[at] == FORMAT);
        let mut frames = starts.filter_map(|at| Some((at, Frame::read(&bytes[at..])?)));
        frames.find(|(_, frame)| frame.number > above)
    }
}

/// CRC-32C.
pub fn sum_of(bytes: &[u8]) -> u32 {
    crc32c::crc32c(bytes)
}
