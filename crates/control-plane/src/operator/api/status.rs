//! Readiness, metrics and status of a control node.

use super::{ApiResponse, Call};
use crate::{
    control_node::Status,
    types::{Member, VoterInfo},
};
use common::{http::json, metrics::Metrics};
use hyper::StatusCode;
use serde_json::{Value, json as j};

impl Call<'_> {
    pub(super) fn ready(&self) -> ApiResponse {
        let status = self.node.status();
        let ready = status.voting && status.leader.is_some();
        let code = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let leader = status.leader.map(|leader| leader.node);
        json(code, &j!({"formed": status.initialized, "voting": status.voting, "leader": leader}))
    }

    pub(super) fn metrics(&self) -> String {
        let status = self.node.status();
        let state = &status.cluster_state;
        let metrics = Metrics::default();
        let gauges = [
            ("term", "Number of the term that this voter takes part in", status.term as i64),
            ("view", "Deprecated name of foldshunt_term", status.term as i64),
            ("commit_index", "Index of the newest committed change", state.index.0 as i64),
            ("accepted_index", "Deprecated name of foldshunt_commit_index", state.index.0 as i64),
            ("revision", "Newest accepted document", state.revision.0 as i64),
            ("voting", "1 while this voter votes", i64::from(status.voting)),
            ("members", "Nodes that hold a lease", state.members.len() as i64),
        ];
        for (name, help, value) in gauges {
            metrics.gauge(name, help, &[]).with_label_values::<&str>(&[]).set(value);
        }
        metrics.text()
    }

    pub(super) fn status(&self) -> Value {
        let status = self.node.status();
        let state = &status.cluster_state;
        // Members renew their leases at the leader, so only the leader knows which revision is active on each.
        let leads = status.leader.as_ref().is_some_and(|leader| leader.node == status.identity.node);
        let members: Vec<Value> =
            state.members.values().map(|member| show_member(&status, member, leads)).collect();
        let leader = status.leader.as_ref().map(|leader| leader.node.clone());
        let mut shown = j!({
            "cluster": self.node.settings.cluster,
            "voter": show_voter(&status.identity),
            "term": status.term,
            "leader": leader,
            "initialized": status.initialized,
            "voting": status.voting,
            "index": state.index,
            "revision": state.revision,
            "evacuated": state.evacuated,
            "voters": state.voters.iter().map(show_voter).collect::<Vec<Value>>(),
            "lost": state.lost,
            "members": members,
            "replicas": state.replicas,
        });
        // Names of earlier releases.
        shown["seat"] = j!(status.identity);
        shown["view"] = j!(status.term);
        shown["formed"] = j!(status.initialized);
        shown["idx"] = j!(state.index);
        shown["roster"] = j!(state.voters);
        shown
    }
}

fn show_voter(voter: &VoterInfo) -> Value {
    j!({"number": voter.number, "incarnation": voter.incarnation, "node": voter.node, "zone": voter.zone,
        "rpc": voter.rpc_addr, "http": voter.http})
}

fn show_member(status: &Status, member: &Member, leads: bool) -> Value {
    let state = &status.cluster_state;
    let report = status.reports.get(&member.info.node);
    let behind = report.is_none_or(|(index, revision)| *index < state.index || *revision < state.revision);
    let index = report.map(|(index, _)| index);
    let mut shown = j!({
        "node": member.info.node,
        "zone": member.info.zone,
        "role": member.info.role,
        "lang": member.info.lang,
        "rpc": member.info.rpc_addr,
        "http": member.info.http,
        "epoch": member.epoch,
        "index": index,
        "revision": report.map(|(_, revision)| revision),
        "lags": leads.then_some(behind),
    });
    // Names of earlier releases.
    shown["area"] = j!(member.info.zone);
    shown["rail"] = j!(member.info.rpc_addr);
    shown["idx"] = j!(index);
    shown
}
