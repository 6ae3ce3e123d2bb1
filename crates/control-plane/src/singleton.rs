//! Duties cut by key over the live nodes, each under a fencing token (design 3.2).

use crate::cluster_state::{ClusterState, Member};
use common::{FencingToken, Zone, rendezvous::ranked};
use std::collections::HashMap;

/// The node that does a singleton role now, and the fencing token under which it does so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SingletonRole {
    pub holder: Member,
    pub fencing_token: FencingToken,
}

/// Cuts `key` over the routers, within one zone where that is asked for. The fencing token is the
/// number of the whole membership: any join or expire raises it.
pub fn holder_of(l: &ClusterState, key: &str, zone: Option<&Zone>) -> Option<SingletonRole> {
    ranked_holders(l, key, zone)
        .into_iter()
        .next()
        .map(|holder| SingletonRole { holder, fencing_token: FencingToken(l.epoch.0) })
}

/// All claimants in order; the second and third serve as followers.
pub fn ranked_holders(l: &ClusterState, key: &str, zone: Option<&Zone>) -> Vec<Member> {
    let live: Vec<Member> =
        l.routers().into_iter().filter(|m| zone.is_none_or(|a| m.info.zone == *a)).cloned().collect();
    ranked(key, &live, |m| m.info.node.as_str()).into_iter().cloned().collect()
}

/// A receiver's memory of fences: the highest seen wins for good.
#[derive(Clone, Debug, Default)]
pub struct FencingTokens(HashMap<String, FencingToken>);

impl FencingTokens {
    pub fn check(&mut self, key: &str, f: FencingToken) -> Result<(), FencingToken> {
        let known = self.0.entry(key.to_string()).or_default();
        if f < *known {
            return Err(*known);
        }
        *known = f;
        Ok(())
    }
}
