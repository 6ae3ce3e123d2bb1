//! Singleton roles: work that only one router does at a time. The holder is chosen by rendezvous hashing over the
//! members, and acts with a fencing token (design 3.2).

use super::ClusterState;
use crate::types::Member;
use common::{
    FencingToken, Zone,
    rendezvous::{first_ranked, ranked},
};
use std::collections::HashMap;

/// The holder of a role, and the fencing token with which it acts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SingletonRole {
    /// The member that holds the role.
    pub holder: Member,
    /// Receivers refuse requests with a lower token than one that they have seen.
    pub fencing_token: FencingToken,
}

/// The routers of a zone, or all of them.
fn candidates<'a>(state: &'a ClusterState, zone: Option<&Zone>) -> impl Iterator<Item = &'a Member> {
    let in_zone = move |member: &&Member| zone.is_none_or(|zone| member.info.zone == *zone);
    state.routers().into_iter().filter(in_zone)
}

/// The holder of the role `key` among all routers, or among those of `zone`. The token is the epoch of the
/// membership, which any join or expiry raises.
pub fn holder_of(state: &ClusterState, key: &str, zone: Option<&Zone>) -> Option<SingletonRole> {
    let holder = first_ranked(key, candidates(state, zone), |member| member.info.node.as_str())?;
    Some(SingletonRole { holder: holder.clone(), fencing_token: FencingToken(state.epoch.0) })
}

/// All candidates for the role `key` in their rendezvous order. The first holds it; the second and third serve as its
/// followers.
pub fn ranked_holders(state: &ClusterState, key: &str, zone: Option<&Zone>) -> Vec<Member> {
    let candidates: Vec<Member> = candidates(state, zone).cloned().collect();
    ranked(key, &candidates, |member| member.info.node.as_str()).into_iter().cloned().collect()
}

/// The highest fencing token that a receiver has seen for each role.
#[derive(Clone, Debug, Default)]
pub struct FencingTokens(HashMap<String, FencingToken>);

impl FencingTokens {
    /// Accepts and records a token, unless a higher one was seen for the role `key`.
    ///
    /// # Errors
    /// The higher token.
    pub fn check(&mut self, key: &str, token: FencingToken) -> Result<(), FencingToken> {
        let known = self.0.entry(key.to_string()).or_default();
        if token < *known {
            return Err(*known);
        }
        *known = token;
        Ok(())
    }
}
