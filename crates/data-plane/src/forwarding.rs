//! The forwarded request between regions (design 5.6): signed by a member, checked by the region that is
//! asked, which has the last word.

use crate::{
    capacity_grant::GrantUse,
    placement_table::UserKey,
    router::{Router, lock},
};
use common::{Epoch, NodeId, Region, RequestId, Revision, Service, Tenant, rendezvous::stable_hash, wire};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hasher;

pub const HEADER: &str = "foldshunt-hop";

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    #[serde(rename = "job")]
    pub request_id: RequestId,
    /// The sender, its membership, and the number of the forwarded request within that.
    pub from: NodeId,
    pub epoch: Epoch,
    pub number: u64,
    /// Who is asked, and its membership: no other router takes it, nor this one after a restart.
    pub to: NodeId,
    pub to_epoch: Epoch,
    pub revision: Revision,
    pub entry: String,
    pub tenant: Option<Tenant>,
    pub service: Service,
    pub region: Region,
    pub key: Option<UserKey>,
    /// A stored placement needs no pass.
    pub spent: Option<GrantUse>,
    pub left_ms: u64,
}

fn mac(secret: u128, b: &[u8]) -> u128 {
    let mut h = SipHasher24::new_with_keys(secret as u64, (secret >> 64) as u64);
    h.write(b);
    h.finish128().as_u128()
}

fn hex(b: &[u8]) -> String {
    b.iter().map(|x| format!("{x:02x}")).collect()
}

fn unhex(s: &str) -> Option<Vec<u8>> {
    let pair = |n: usize| s.get(n..n + 2).and_then(|p| u8::from_str_radix(p, 16).ok());
    (s.len().is_multiple_of(2) && s.is_ascii()).then(|| (0..s.len()).step_by(2).map(pair).collect()).flatten()
}

pub fn sign(secret: u128, h: &ForwardedRequest) -> std::io::Result<String> {
    let b = wire::encode(h)?;
    Ok(format!("{}.{:032x}", hex(&b), mac(secret, &b)))
}

pub fn verify(secret: u128, s: &str) -> Option<ForwardedRequest> {
    let (body, sig) = s.split_once('.')?;
    let b = unhex(body)?;
    let told = u128::from_str_radix(sig, 16).ok()?;
    (told == mac(secret, &b)).then(|| wire::decode(&b).ok()).flatten()
}

/// Why a forwarded request is rejected; the names stand in metrics and in `foldshunt-reason`.
pub async fn check(r: &Router, h: &ForwardedRequest) -> Result<(), &'static str> {
    let g = r.configuration.load_full().ok_or("no configuration")?;
    let own = r.own_region(&g.table).ok_or("area unknown")?;
    if h.region != own {
        return Err("wrong region");
    }
    if h.revision < g.revision {
        return Err("outdated revision");
    }
    if h.revision > g.revision {
        return Err("revision not here yet");
    }
    if r.cluster_state().evacuated.contains(r.zone()) {
        return Err("evacuated");
    }
    let e = g.table.entries.iter().find(|e| e.name == h.entry).ok_or("no such entry")?;
    if !g.table.homes(e, h.tenant.as_ref()).contains(&own) {
        return Err("outside homes");
    }
    check_replay(r, h)?;
    match &h.spent {
        Some(s) if s.region == own => r.redeem(s).await,
        Some(_) => Err("pass of another region"),
        None => Ok(()),
    }
}

/// A forwarded request that was captured and is sent again must not run again: it counts as used from here on,
/// whatever comes of it.
fn check_replay(r: &Router, h: &ForwardedRequest) -> Result<(), &'static str> {
    if h.to != *r.node() || h.to_epoch != r.member.lease().epoch {
        return Err("hop for another router");
    }
    let l = r.cluster_state();
    let member = |n: &NodeId| l.members.get(n).map(|m| m.epoch);
    lock(&r.replay_guard).take(&h.from, h.epoch, h.number, &member)
}

/// Bounced over a change that has reached one side only: no reason to avoid the region.
pub fn is_transient(why: &str) -> bool {
    matches!(
        why,
        "outdated revision" | "revision not here yet" | "sender not a member here" | "hop for another router"
    )
}

/// A request's name: unique over nodes, restarts and time.
pub fn new_request_id(r: &Router, n: u64) -> RequestId {
    let incarnation = r.member.info.incarnation.0;
    RequestId::new(format!("{}-{:x}-{n:x}", r.node(), stable_hash(&[&incarnation.to_le_bytes()]) >> 32))
}
