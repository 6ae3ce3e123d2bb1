//! Singleton roles (design 3.2): work that one router does at a time. Holders are chosen by rendezvous
//! hashing over the members, and each acts under a fencing token.

use super::ClusterState;
use crate::types::Member;
use common::{FencingToken, Zone, rendezvous::ranked};
use std::collections::HashMap;

/// The node that holds a role now, and the fencing token under which it acts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SingletonRole {
    /// Who holds it.
    pub holder: Member,
    /// Receivers refuse what comes under a lower token than they have seen.
    pub fencing_token: FencingToken,
}

/// The holder of the role `key` among the routers, or among those of one zone. The token is the number of
/// the whole membership: any join or expiry raises it.
pub fn holder_of(state: &ClusterState, key: &str, zone: Option<&Zone>) -> Option<SingletonRole> {
    let holder = ranked_holders(state, key, zone).into_iter().next()?;
    Some(SingletonRole { holder, fencing_token: FencingToken(state.epoch.0) })
}

/// All candidates for the role in their order; the second and third serve as its followers.
pub fn ranked_holders(state: &ClusterState, key: &str, zone: Option<&Zone>) -> Vec<Member> {
    let in_zone = |member: &&Member| zone.is_none_or(|zone| member.info.zone == *zone);
    let candidates: Vec<Member> = state.routers().into_iter().filter(in_zone).cloned().collect();
    ranked(key, &candidates, |member| member.info.node.as_str()).into_iter().cloned().collect()
}

/// A receiver's memory of fencing tokens: the highest one seen for each role.
#[derive(Clone, Debug, Default)]
pub struct FencingTokens(HashMap<String, FencingToken>);

impl FencingTokens {
    /// Accepts a token unless a higher one was seen; the error is that one.
    pub fn check(&mut self, key: &str, token: FencingToken) -> Result<(), FencingToken> {
        let known = self.0.entry(key.to_string()).or_default();
        if token < *known {
            return Err(*known);
        }
        *known = token;
        Ok(())
    }
}
