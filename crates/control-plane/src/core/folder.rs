//! Taking up a data folder (design 2.6).

use crate::{
    change::Holder,
    disk::Found,
    seat::{Image, Seat},
    store::FileStore,
};
use common::{Incarnation, jot, settings::Settings};
use std::path::Path;

/// The holder that a blank folder begins: its incarnation is drawn, so that no two are alike.
pub fn blank(set: &Settings) -> Holder {
    Holder {
        seat: u8::MAX,
        inc: Incarnation(common::ground::draw::<u64>() >> 1),
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
            let aside = dir.with_extension(format!("damaged-{}", common::clock::wall_ms()));
            jot!(Error, "data folder", "cause" => why, "moved_to" => aside.display().to_string());
            std::fs::rename(dir, &aside)?;
            Ok(fresh)
        }
    }
}
