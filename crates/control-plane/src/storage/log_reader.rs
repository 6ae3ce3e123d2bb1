//! Reads the short log that follows a snapshot (design 2.6).

use super::{
    Corruption, LoadResult,
    file_store::Unreadable,
    header::{HEADER_BYTES, Header, MAGIC, record_position},
    layout::{PIECE_BYTES, read_body, read_piece},
};
use crate::consensus::{DurableState, Record};
use common::wire;
use std::{fs::File, io, path::Path};

/// A header counts as one of a later record of the same log if its position is ahead by less than this.
const MAX_POSITION_JUMP: u64 = 1 << 20;

/// A record with valid checksums, and the offset of its end.
struct ReadRecord {
    record: Result<Record, Unreadable>,
    end: u64,
}

/// Reads the record with that position in a slot's log; `None` if a checksum doesn't match or the record is left over
/// from an older log.
fn read_record(log: &File, offset: u64, slot: u64, position: u64) -> io::Result<Option<ReadRecord>> {
    let Some(header) = Header::parse(&read_piece(log, offset, HEADER_BYTES)?) else { return Ok(None) };
    if record_position(slot, header.sequence) != Some(position) {
        return Ok(None);
    }
    let Some(body) = read_body(log, offset, &header)? else { return Ok(None) };
    let record = wire::decode::<Record>(&body).map_err(|_| Unreadable::IncompatibleFormat);
    Ok(Some(ReadRecord { record, end: offset + HEADER_BYTES as u64 + header.number }))
}

/// Applies the records of a log to the snapshot that it follows.
pub(super) fn replay_log(
    path: &Path,
    slot: u64,
    synced_records: u64,
    mut state: DurableState,
) -> io::Result<LoadResult> {
    let log = File::open(path)?;
    let (mut position, mut offset) = (0, HEADER_BYTES as u64);
    while let Some(read) = read_record(&log, offset, slot, position)? {
        let Ok(record) = read.record else { return Ok(LoadResult::IncompatibleFormat) };
        if !state.can_precede(&record) {
            return Ok(LoadResult::Corrupt(Corruption::Gap { record: position, slot }));
        }
        state.replay(record);
        (position, offset) = (position + 1, read.end);
    }
    if position < synced_records || has_later_record(&log, offset, slot, position)? {
        return Ok(LoadResult::Corrupt(Corruption::DamagedLog { record: position, slot }));
    }
    Ok(LoadResult::State(Box::new(state)))
}

/// Whether the header of a record with a position after `position` is found anywhere from an offset on. Then the
/// record at `position` is damaged, rather than the last one and written in part.
fn has_later_record(log: &File, from: u64, slot: u64, position: u64) -> io::Result<bool> {
    let later = |bytes: &[u8]| {
        let header = bytes.starts_with(MAGIC).then(|| Header::parse(bytes)).flatten();
        let found = header.and_then(|header| record_position(slot, header.sequence));
        found.is_some_and(|found| found > position && found < position + MAX_POSITION_JUMP)
    };
    let mut offset = from;
    loop {
        let piece = read_piece(log, offset, PIECE_BYTES)?;
        let found = piece.windows(HEADER_BYTES).any(later);
        if found || piece.len() < PIECE_BYTES {
            return Ok(found);
        }
        // A header may extend across the end of a piece, so the pieces overlap.
        offset += (PIECE_BYTES - HEADER_BYTES + 1) as u64;
    }
}
