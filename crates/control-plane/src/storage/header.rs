//! Headers of slots, logs and records, and the numbers of records.

use std::ops::Range;

/// First bytes of every header; the last two digits are the version of the format.
pub(super) const MAGIC: &[u8; 8] = b"fshunt06";
/// Length of [`MAGIC`] without the version, in bytes.
const MAGIC_NAME_BYTES: usize = 6;
/// Length of a header, in bytes.
pub(super) const HEADER_BYTES: usize = 32;

/// Precedes a snapshot, log or record: magic bytes, two numbers, and checksums of the body and of the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Header {
    /// Sequence number of the slot, of the slot that the log follows, or the record's number ([`record_number`]).
    pub sequence: u64,
    /// Length of the slot's or record's body, in bytes; for a log, how many of its records are known to be synced.
    pub number: u64,
    /// CRC-32 of the body.
    pub body_crc: u32,
}

pub(super) const SEQUENCE: Range<usize> = 8..16;
const NUMBER: Range<usize> = 16..24;
const BODY_CRC: Range<usize> = 24..28;
const HEADER_CRC: Range<usize> = 28..32;

impl Header {
    /// The header of a body.
    pub fn new(sequence: u64, number: u64, body: &[u8]) -> Self {
        Self { sequence, number, body_crc: crc32fast::hash(body) }
    }

    /// Encodes the header.
    pub fn to_bytes(self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0u8; HEADER_BYTES];
        bytes[..MAGIC.len()].copy_from_slice(MAGIC);
        bytes[SEQUENCE].copy_from_slice(&self.sequence.to_le_bytes());
        bytes[NUMBER].copy_from_slice(&self.number.to_le_bytes());
        bytes[BODY_CRC].copy_from_slice(&self.body_crc.to_le_bytes());
        let crc = crc32fast::hash(&bytes[..HEADER_CRC.start]);
        bytes[HEADER_CRC].copy_from_slice(&crc.to_le_bytes());
        bytes
    }

    /// Decodes a header; `None` if the magic bytes or the header's checksum don't match.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let number = |range: Range<usize>| bytes.get(range)?.try_into().ok().map(u64::from_le_bytes);
        let checksum = |range: Range<usize>| bytes.get(range)?.try_into().ok().map(u32::from_le_bytes);
        let own_crc = crc32fast::hash(bytes.get(..HEADER_CRC.start)?);
        if !bytes.starts_with(MAGIC) || checksum(HEADER_CRC)? != own_crc {
            return None;
        }
        Some(Self { sequence: number(SEQUENCE)?, number: number(NUMBER)?, body_crc: checksum(BODY_CRC)? })
    }
}

/// Whether a header is that of another version of the format. If its checksum is right once the version is replaced by this
/// one, it was written by this version, and its version bytes are damaged.
pub(super) fn is_other_format(header: &[u8]) -> bool {
    if !header.starts_with(&MAGIC[..MAGIC_NAME_BYTES]) || header.starts_with(MAGIC) {
        return false;
    }
    let mut of_this_version = header.to_vec();
    of_this_version.truncate(HEADER_BYTES);
    let length = MAGIC.len().min(of_this_version.len());
    of_this_version[..length].copy_from_slice(&MAGIC[..length]);
    Header::parse(&of_this_version).is_none()
}

/// The low bits of a record's number are its position in the log; the others are those of the slot's sequence number.
const POSITION_BITS: u32 = 32;

/// The number of a record: the sequence number of the slot that its log follows, and its position in the log. Records
/// of an older log in the same file have other numbers, so they are recognized if a crash left some of them there.
pub(super) fn record_number(slot: u64, position: u64) -> u64 {
    (slot << POSITION_BITS) | position
}

/// A record's position, if its number is of that slot's log. An earlier release wrote numbers without a slot.
pub(super) fn record_position(slot: u64, number: u64) -> Option<u64> {
    let named_slot = number >> POSITION_BITS;
    let position = number & ((1 << POSITION_BITS) - 1);
    (named_slot == 0 || named_slot == slot & (u64::MAX >> POSITION_BITS)).then_some(position)
}
