//! Hollow nodes: the routers' own code on hosts of a world, without the listener for callers. They
//! hold memberships, follow the state updates, take part in figures, singleton roles, passes and placements.

use super::layout::Layout;
use crate::node::Node;
use common::{
    Clock, Incarnation, RequestId,
    runtime::{Host, Simulation, bind, random, random_in},
    settings::Settings,
};
use control_plane::{Role, membership::Member, types::NodeInfo};
use data_plane::{placement_table::UserKey, plan::Plan, router::Router};
use eyre::{Result, WrapErr};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Users that take turns, for each request a second: each asks every few minutes.
const USERS: f64 = 240.0;

pub struct Hollow {
    pub name: String,
    pub zone: &'static str,
    pub host: Arc<Host>,
    pub router: Arc<Router>,
}

impl Hollow {
    pub async fn start(w: &Arc<Simulation>, n: &Node, lay: &Layout) -> Result<Hollow> {
        let (tell, told) = oneshot::channel();
        let (set, lay) = (n.settings(), *lay);
        let host = w.host(n.ip);
        host.spawn(async move {
            let Ok(rpc_addr) = bind(set.rpc_addr).await else { return };
            let router = stand(set, rpc_addr);
            let _ = tell.send(router.clone());
            place_users(router, lay).await;
        });
        let router = told.await.wrap_err_with(|| format!("{} did not start", n.name))?;
        Ok(Hollow { name: n.name.clone(), zone: n.zone, host, router })
    }
}

/// As `data_plane::daemon::run` does it, up to the listener for callers.
fn stand(set: Settings, rpc_addr: common::runtime::Listener) -> Arc<Router> {
    let info = NodeInfo::of(&set, Role::Router, Incarnation(random::<u64>() >> 1));
    let clock = Clock::default();
    let member = Member::new(set.clone(), info, clock.clone());
    let router = Router::new(set.clone(), member, clock);
    router.start(&set, rpc_addr);
    router
}

/// Places users at this router's part of the requests; nothing is carried.
async fn place_users(r: Arc<Router>, lay: Layout) {
    let rate = lay.requests / lay.routers() as f64;
    if rate <= 0.0 {
        return;
    }
    let users = (lay.requests * USERS) as usize + 1;
    loop {
        let gap = -(1.0 - random::<f64>()).ln() / rate;
        tokio::time::sleep(Duration::from_secs_f64(gap)).await;
        let Some(governing) = r.governing.load_full() else { continue };
        let n = random_in(0..governing.table.entries.len());
        let entry = governing.table.entries[n].clone();
        let key = Some(UserKey::of("t0", "header", &random_in(0..users).to_le_bytes()));
        let homes = governing.table.homes(&entry, None);
        let (job, deadline) = (RequestId::new("scale"), r.now() + entry.deadline_ms);
        let plan =
            Plan { request_id: job, governing, entry, tenant: None, homes, key, deadline, inner: false };
        let me = r.clone();
        common::runtime::spawn(async move {
            let _ = me.place(&plan, &BTreeSet::new()).await;
        });
    }
}
