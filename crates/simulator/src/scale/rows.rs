//! What was counted, by role: one JSON object for each.

use super::hollow::Hollow;
use common::{
    runtime::{CallKind, Calls, Traffic},
    wire::encode,
};
use serde::Serialize;
use std::{collections::BTreeMap, net::IpAddr};

/// A second at one node of a role; calls are a question and an answer each.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Rate {
    pub calls_from: f64,
    pub calls_to: f64,
    pub failed_from: f64,
    /// Payload of questions and answers, both ways, frames apart.
    pub bytes: f64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct RoleRow {
    pub role: String,
    pub holders: usize,
    /// Messages a second: two for each call, asked or answered here.
    pub messages: f64,
    pub messages_most: f64,
    /// All bytes a second, of which calls' payload is a part.
    pub sent: f64,
    pub received: f64,
    pub sent_most: f64,
    pub kinds: BTreeMap<String, Rate>,
}

/// Mean and most over the holders of a role.
pub fn role(name: &str, ips: &[IpAddr], t: &Traffic, secs: f64) -> RoleRow {
    let mut out = RoleRow { role: name.into(), holders: ips.len(), ..RoleRow::default() };
    let part = 1.0 / secs / ips.len().max(1) as f64;
    for ip in ips {
        let mut mine = 0;
        for (side, from) in [(&t.from, true), (&t.to, false)] {
            let none: CallKind = ("", "");
            for ((_, k), c) in side.range((*ip, none)..).take_while(|((i, _), _)| i == ip) {
                mine += 2 * c.calls - c.failed;
                note(out.kinds.entry(format!("{}.{}", k.0, k.1)).or_default(), c, from, part);
            }
        }
        let (sent, received) = t.bytes.get(ip).copied().unwrap_or_default();
        out.messages += mine as f64 * part;
        out.messages_most = out.messages_most.max(mine as f64 / secs);
        out.sent += sent as f64 * part;
        out.received += received as f64 * part;
        out.sent_most = out.sent_most.max(sent as f64 / secs);
    }
    out
}

fn note(r: &mut Rate, c: &Calls, from: bool, part: f64) {
    let calls = c.calls as f64 * part;
    if from {
        r.calls_from += calls;
    } else {
        r.calls_to += calls;
    }
    r.failed_from += if from { c.failed as f64 * part } else { 0.0 };
    r.bytes += (c.request_bytes + c.response_bytes) as f64 * part;
}

/// What one singleton role is asked, a second: homes are asked for figures, owners settle, lenders grant.
#[derive(Clone, Debug, Serialize)]
pub struct DutyRow {
    #[serde(rename = "duty")]
    pub singleton: &'static str,
    pub count: usize,
    pub holders: usize,
    pub most_held: usize,
    pub calls: f64,
    pub bytes: f64,
}

pub fn singletons(nodes: &[Hollow], t: &Traffic, secs: f64) -> Vec<DutyRow> {
    let Some(r) = nodes.first().map(|h| &h.router) else { return vec![] };
    let Some(g) = r.governing.load_full() else { return vec![] };
    let l = r.cluster_state();
    let homes = g.table.zones.keys().flat_map(|a| g.table.services.keys().map(move |s| (a, s)));
    let homes: Vec<String> =
        homes.filter_map(|(a, s)| r.home_of(&g.table, s, a)).map(|m| m.info.node.to_string()).collect();
    let lenders: Vec<String> = g
        .table
        .regions()
        .iter()
        .filter_map(|x| r.issuer_for(&g.table, x))
        .map(|m| m.info.node.to_string())
        .collect();
    let shards = (0..data_plane::placement_table::SHARDS)
        .filter_map(|n| control_plane::state_machine::singleton::holder_of(&l, &format!("shard/{n}"), None))
        .map(|d| d.holder.info.node.to_string())
        .collect();
    [
        ("home", "watch load", homes),
        ("shard owner", "resolve placement", shards),
        ("lender", "request grant", lenders),
    ]
    .into_iter()
    .map(|(singleton, step, held)| {
        let mut by: BTreeMap<&str, usize> = BTreeMap::new();
        held.iter().for_each(|n| *by.entry(n).or_default() += 1);
        let served = t.to.iter().filter(|((_, k), _)| *k == (data_plane::rpc::SERVICE, step)).map(|(_, c)| c);
        let (calls, bytes) =
            served.fold((0, 0), |a, c| (a.0 + c.calls, a.1 + c.request_bytes + c.response_bytes));
        let part = 1.0 / secs / held.len().max(1) as f64;
        DutyRow {
            singleton,
            count: held.len(),
            holders: by.len(),
            most_held: by.values().copied().max().unwrap_or(0),
            calls: calls as f64 * part,
            bytes: bytes as f64 * part,
        }
    })
    .collect()
}

/// Encoded bytes of what a router holds; the mean over all.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StateRow {
    #[serde(rename = "ledger")]
    pub cluster_state: f64,
    pub document: f64,
    pub figures: f64,
    pub signs_of_life: f64,
    pub placements: f64,
    pub placement_rows: f64,
    pub whole: f64,
}

pub fn state(nodes: &[Hollow]) -> StateRow {
    let mut s = StateRow::default();
    let part = 1.0 / nodes.len().max(1) as f64;
    for h in nodes {
        let r = &h.router;
        let l = r.cluster_state();
        let size = |b: std::io::Result<Vec<u8>>| b.map_or(0, |b| b.len()) as f64 * part;
        s.cluster_state += size(encode(&*l));
        s.document += l.text.as_ref().map_or(0, |t| t.len()) as f64 * part;
        s.figures += r.load_view.board().seen.values().map(|x| size(encode(&x.fig))).sum::<f64>();
        let heard: Vec<_> =
            data_plane::router::lock(&r.last_contacts).iter().map(|(n, t)| (n.clone(), *t)).collect();
        s.signs_of_life += size(encode(&heard));
        let (rows, cached) =
            (data_plane::router::lock(&r.placements).len(), data_plane::router::lock(&r.cache).len());
        s.placement_rows += rows as f64 * part;
        s.placements += ((rows + cached) * A_ROW) as f64 * part;
    }
    s.whole = s.cluster_state + s.figures + s.signs_of_life + s.placements;
    s
}

/// Encoded bytes of a placement with names of this layout's length; a test holds it to that.
pub const A_ROW: usize = 60;
