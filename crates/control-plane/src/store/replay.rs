//! Reading the log that follows a snapshot (design 2.6).

use super::{
    Bad,
    raw::{HEAD, MAGIC, PIECE, body, parse, piece, record_of},
};
use crate::{
    consensus::{DurableState, Record},
    disk::LoadResult,
};
use common::wire;
use std::{fs::File, io, path::Path};

/// The record of that number at a place of the log of a slot, and where it ends; `None` where it is not
/// whole, or is left over from an older log.
fn record_at(log: &File, at: u64, slot: u64, n: u64) -> io::Result<Option<(u64, Result<Record, Bad>)>> {
    let Some((seq, len, crc)) = parse(&piece(log, at, HEAD)?) else { return Ok(None) };
    if record_of(slot, seq) != Some(n) {
        return Ok(None);
    }
    let Some(body) = body(log, at + HEAD as u64, len, crc)? else { return Ok(None) };
    Ok(Some((at + HEAD as u64 + len, wire::decode::<Record>(&body).map_err(|_| Bad::IncompatibleFormat))))
}

/// Brings an image forward by the log that follows it.
pub(super) fn replay(path: &Path, seq: u64, marked: u64, mut image: DurableState) -> io::Result<LoadResult> {
    let log = File::open(path)?;
    let (mut n, mut at) = (0, HEAD as u64);
    while let Some((next, record)) = record_at(&log, at, seq, n)? {
        let Ok(record) = record else { return Ok(LoadResult::IncompatibleFormat) };
        if !image.leads_to(&record) {
            return Ok(LoadResult::Corrupt(format!("record {n} of log {seq} does not follow its slot")));
        }
        image.replay(record);
        (n, at) = (n + 1, next);
    }
    if n < marked || later(&log, at, seq, n)? {
        return Ok(LoadResult::Corrupt(format!(
            "log {seq} is damaged after record {n}, before its synced end"
        )));
    }
    Ok(LoadResult::DurableState(Box::new(image)))
}

/// Whether the header of a record after the `n`th stands anywhere from a place on.
fn later(log: &File, mut at: u64, slot: u64, n: u64) -> io::Result<bool> {
    loop {
        let b = piece(log, at, PIECE)?;
        let found = b.windows(HEAD).any(|w| {
            w[..8] == MAGIC[..]
                && parse(w).and_then(|h| record_of(slot, h.0)).is_some_and(|m| m > n && m < n + (1 << 20))
        });
        if found || b.len() < PIECE {
            return Ok(found);
        }
        // A header may stand across the end of a piece.
        at += (PIECE - HEAD + 1) as u64;
    }
}
