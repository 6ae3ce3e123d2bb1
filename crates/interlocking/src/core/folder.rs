//! Taking up a data folder (design 2.6).

use crate::{
    change::Holder,
    disk::Found,
    seat::{Image, Seat},
    store::FileStore,
};
use gauge::{Incarnation, jot, settings::Settings};
use std::path::Path;

fn blank(set: &Settings) -> Holder {
    let mix =
        [&gauge::clock::wall_ms().to_le_bytes()[..], set.node.as_bytes(), &std::process::id().to_le_bytes()];
    Holder {
        seat: u8::MAX,
        inc: Incarnation(gauge::rank::stable_hash(&mix) >> 1),
        node: set.node.as_str().into(),
        area: set.area.as_str().into(),
        rail: set.rail(),
        http: set.http_told(),
    }
}

/// Reads the data folder; a damaged one is moved aside, never written over (design 2.6).
pub(super) fn take_up(set: &Settings, dir: &Path) -> eyre::Result<Image> {
    let fresh = Seat::blank_image(&blank(set));
    match FileStore::load(dir)? {
        Found::Nothing => Ok(fresh),
        Found::Image(i) => {
            let foreign = i.formed && i.ledger.cluster != set.cluster;
            eyre::ensure!(
                !foreign,
                "data: {dir:?} belongs to cluster {:?}; allowed: one of {:?}",
                i.ledger.cluster,
                set.cluster
            );
            eyre::ensure!(
                i.me.node.as_str() == set.node,
                "data: {dir:?} belongs to node {}; allowed: one of {}",
                i.me.node,
                set.node
            );
            let me = Holder { seat: i.me.seat, inc: i.me.inc, ..blank(set) };
            Ok(Image { me, ..*i })
        }
        Found::OtherForm => {
            eyre::bail!(
                "data: {dir:?} was written in another form; allowed: a folder of this version, or a blank one"
            )
        }
        Found::Damaged(why) => {
            let aside = dir.with_extension(format!("damaged-{}", gauge::clock::wall_ms()));
            jot!(Error, "data folder", "cause" => why, "moved_to" => aside.display().to_string());
            std::fs::rename(dir, &aside)?;
            Ok(fresh)
        }
    }
}
