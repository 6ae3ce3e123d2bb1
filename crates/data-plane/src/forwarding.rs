//! Requests that are forwarded between regions (design 5.6): signed by the member that sends them, and checked by the
//! router that receives them.

use crate::{
    capacity_grant::GrantUse,
    placement_table::UserKey,
    router::{Router, lock},
};
use common::{Epoch, NodeId, Region, RequestId, Revision, Service, Tenant, rendezvous::stable_hash, wire};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hasher;

/// Header that carries the signed [`ForwardedRequest`].
pub const HEADER: &str = "foldshunt-hop";

/// What the sender says of a request that it forwards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Id of the request.
    #[serde(rename = "job")]
    pub request_id: RequestId,
    /// The sender.
    pub from: NodeId,
    /// Epoch of the sender's membership.
    pub epoch: Epoch,
    /// Number of the forwarded request within that membership.
    pub number: u64,
    /// The receiver; no other router accepts the request.
    pub to: NodeId,
    /// Epoch of the receiver's membership: after a restart the receiver doesn't accept the request either.
    pub to_epoch: Epoch,
    /// Revision of the sender's configuration.
    pub revision: Revision,
    /// The configuration's entry that matches the request.
    pub entry: String,
    /// The tenant that sent it.
    pub tenant: Option<Tenant>,
    /// The service that it is for.
    pub service: Service,
    /// The region in which it is to run.
    pub region: Region,
    /// The user that sent it, where that is known.
    pub key: Option<UserKey>,
    /// The capacity grant that it uses; none where the user is placed in that region.
    pub spent: Option<GrantUse>,
    /// Time until its deadline, in milliseconds.
    pub left_ms: u64,
}

fn mac(secret: u128, bytes: &[u8]) -> u128 {
    let mut hasher = SipHasher24::new_with_keys(secret as u64, (secret >> 64) as u64);
    hasher.write(bytes);
    hasher.finish128().as_u128()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let byte_at = |n: usize| text.get(n..n + 2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
    (text.len().is_multiple_of(2) && text.is_ascii())
        .then(|| (0..text.len()).step_by(2).map(byte_at).collect())
        .flatten()
}

/// Signs a forwarded request with the secret that all members share.
pub fn sign(secret: u128, request: &ForwardedRequest) -> std::io::Result<String> {
    let bytes = wire::encode(request)?;
    Ok(format!("{}.{:032x}", hex(&bytes), mac(secret, &bytes)))
}

/// Reads a signed request; `None` unless the signature is valid.
pub fn verify(secret: u128, signed: &str) -> Option<ForwardedRequest> {
    let (body, signature) = signed.split_once('.')?;
    let bytes = unhex(body)?;
    let signature = u128::from_str_radix(signature, 16).ok()?;
    (signature == mac(secret, &bytes)).then(|| wire::decode(&bytes).ok()).flatten()
}

/// Checks a forwarded request before it is accepted. The reasons for a rejection appear in metrics and in
/// `foldshunt-reason`.
pub async fn check(router: &Router, request: &ForwardedRequest) -> Result<(), &'static str> {
    let configuration = router.configuration.load_full().ok_or("no configuration")?;
    let table = &configuration.table;
    let own = router.own_region(table).ok_or("area unknown")?;
    if request.region != own {
        return Err("wrong region");
    }
    if request.revision < configuration.revision {
        return Err("outdated revision");
    }
    if request.revision > configuration.revision {
        return Err("revision not here yet");
    }
    if router.cluster_state().evacuated.contains(router.zone()) {
        return Err("evacuated");
    }
    let entry = table.entries.iter().find(|e| e.name == request.entry).ok_or("no such entry")?;
    if !table.homes(entry, request.tenant.as_ref()).contains(&own) {
        return Err("outside homes");
    }
    check_replay(router, request)?;
    match &request.spent {
        Some(spent) if spent.region == own => router.redeem(spent).await,
        Some(_) => Err("pass of another region"),
        None => Ok(()),
    }
}

/// Rejects a forwarded request that was captured and sent again. The number counts as used from here on, whatever
/// becomes of the request.
fn check_replay(router: &Router, request: &ForwardedRequest) -> Result<(), &'static str> {
    if request.to != *router.node() || request.to_epoch != router.member.lease().epoch {
        return Err("hop for another router");
    }
    let state = router.cluster_state();
    let epoch_of = |node: &NodeId| state.members.get(node).map(|m| m.epoch);
    lock(&router.replay_guard).take(&request.from, request.epoch, request.number, &epoch_of)
}

/// Whether a rejection is due to a change that has not reached both sides yet, and so no reason to avoid the region.
pub fn is_transient(reason: &str) -> bool {
    matches!(
        reason,
        "outdated revision" | "revision not here yet" | "sender not a member here" | "hop for another router"
    )
}

/// A request id that is unique over nodes, restarts and time.
pub fn new_request_id(router: &Router, serial: u64) -> RequestId {
    let incarnation = router.member.info.incarnation.0;
    let start = stable_hash(&[&incarnation.to_le_bytes()]) >> 32;
    RequestId::new(format!("{}-{start:x}-{serial:x}", router.node()))
}
