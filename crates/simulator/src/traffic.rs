//! Drives a fleet with a deployment's traffic while faults happen (design 7.2, 7.4).

use crate::{
    actions::{Action, perform},
    caller::{Call, CallOutcome, CallResult, call},
    deployment::{Deployment, RequestKind},
    fault::Fault,
    fleet::Fleet,
};
use eyre::Result;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, time::Duration};
use tokio::task::JoinSet;
use tokio::time::Instant;

pub struct RunRecord {
    pub responses: Vec<CallResult>,
    pub actions: Vec<Action>,
    pub began: Instant,
}

#[derive(Clone)]
struct User {
    name: String,
    tenant: &'static str,
    home: Option<&'static str>,
    region: &'static str,
}

const USERS: usize = 160;

fn users(d: &Deployment, rng: &mut SmallRng) -> Vec<User> {
    let regions = d.regions();
    (0..USERS)
        .map(|n| {
            let mut x: f64 = rng.random();
            let t = d.tenants.iter().find(|t| {
                x -= t.1;
                x < 0.0
            });
            let t = t.unwrap_or(&d.tenants[0]);
            User { name: format!("u{n}"), tenant: t.0, home: t.2, region: regions[n % regions.len()] }
        })
        .collect()
}

fn homes(d: &Deployment, k: &RequestKind, u: &User) -> Vec<&'static str> {
    d.regions()
        .into_iter()
        .filter(|r| k.homes.is_none_or(|h| h == *r) && u.home.is_none_or(|h| h == *r))
        .collect()
}

/// Traffic swings between long prompts and long answers: by how much each is longer now.
fn length_factors(now: f64) -> (usize, usize) {
    match (now / 10.0) as u64 % 3 {
        0 => (1, 1),
        1 => (4, 1),
        _ => (1, 3),
    }
}

fn is_away(u: &User, now: f64) -> bool {
    let n: u64 = u.name[1..].parse().unwrap_or(0);
    n % 5 == (now / 15.0) as u64 % 5
}

fn make_call(
    d: &Deployment,
    k: &RequestKind,
    u: &User,
    n: u64,
    seed: u64,
    (longer, more): (usize, usize),
) -> Call {
    let job = format!("j{seed}-{}-{n}", k.entry);
    let body = if k.prefix > 0 {
        let history = format!("{} ", u.name).repeat(longer * k.prefix / (u.name.len() + 1));
        format!("{{\"{}\":\"{}\",\"prompt\":\"{history}\",\"ask\":{n}}}", k.user_field, u.name)
    } else {
        String::new()
    };
    let path = if k.method == "GET" { format!("{}{n}", k.path) } else { k.path.to_string() };
    Call {
        job,
        entry: k.entry,
        service: d.replicas[usize::from(k.prefix == 0)].0,
        method: k.method.parse().unwrap_or_default(),
        path,
        tenant: u.tenant,
        once: k.once,
        tokens: k.tokens * if k.once { more } else { 1 },
        body,
        homes: homes(d, k, u),
    }
}

/// Open-loop traffic.
#[derive(Clone, Debug)]
pub struct Load {
    pub secs: f64,
    /// As a multiple of the deployment's own.
    pub rate: f64,
    pub seed: u64,
    /// Region at which all callers without a home arrive, instead of being spread evenly.
    pub crowd: Option<String>,
}

pub async fn drive(f: &mut Fleet, load: &Load, faults: &[Fault]) -> Result<RunRecord> {
    let deployment = f.deployment.clone();
    let routers: Vec<(SocketAddr, &'static str)> =
        f.nodes.iter().filter(|n| !n.is_control).map(|n| (n.http(), deployment.region_of(n.zone))).collect();
    let (net, begin) = (f.net, Instant::now());
    // Traffic goes on while an operator waits or a process takes its time to stop.
    let (responses, actions) = tokio::join!(
        send_traffic(deployment, routers, net, begin, load),
        inject_faults(f, load.seed, begin, faults)
    );
    Ok(RunRecord { responses, actions, began: begin })
}

async fn inject_faults(f: &mut Fleet, seed: u64, begin: Instant, faults: &[Fault]) -> Vec<Action> {
    let mut due: Vec<Fault> = faults.to_vec();
    due.sort_by(|a, b| a.second.total_cmp(&b.second));
    let mut actions = Vec::new();
    for fault in due {
        tokio::time::sleep_until(begin + Duration::from_secs_f64(fault.second)).await;
        actions.push(perform(f, &fault, seed).await);
    }
    actions
}

async fn send_traffic(
    deployment: Deployment,
    routers: Vec<(SocketAddr, &'static str)>,
    net: u8,
    begin: Instant,
    load: &Load,
) -> Vec<CallResult> {
    let Load { secs, rate, seed, crowd } = load.clone();
    let mut rng = SmallRng::seed_from_u64(seed);
    let us = users(&deployment, &mut rng);
    let mut jobs: JoinSet<CallResult> = JoinSet::new();
    let mut next: Vec<f64> = deployment.kinds.iter().map(|_| 0.0).collect();
    let (mut n, mut responses) = (0u64, Vec::new());
    loop {
        let now = begin.elapsed().as_secs_f64();
        if now >= secs {
            break;
        }
        for (k, at) in deployment.kinds.iter().zip(next.iter_mut()) {
            while *at <= now {
                let gap: f64 = -(1.0 - rng.random::<f64>()).ln() / (k.rate * rate);
                *at += gap;
                n += 1;
                let mut u = us[rng.random_range(0..us.len())].clone();
                // No caller sends what its tenant's homes rule out.
                while homes(&deployment, k, &u).is_empty() {
                    u = us[rng.random_range(0..us.len())].clone();
                }
                // Clients move between regions for a while, and some are always astray.
                let away = is_away(&u, now) || rng.random_bool(0.02);
                let region = if away { deployment.regions()[n as usize % 2] } else { u.region };
                let region = crowd.as_deref().filter(|_| u.home.is_none()).unwrap_or(region);
                // Who finds nobody near asks further off.
                let (near, far): (Vec<_>, Vec<_>) = routers.iter().copied().partition(|r| r.1 == region);
                let first = rng.random_range(0..near.len());
                let mut near: Vec<SocketAddr> = near.iter().map(|r| r.0).collect();
                near.rotate_left(first);
                near.extend(far.iter().map(|r| r.0));
                let c = make_call(&deployment, k, &u, n, seed, length_factors(now));
                // One address has only so many ports.
                let ip = crate::fleet::ip(net, 200, 1 + (n % 40) as u8);
                jobs.spawn(async move {
                    // A caller that gets no connection has asked nothing: it tries the next one.
                    let mut last = None;
                    for at in near {
                        let h = call(ip, at, c.clone(), Duration::from_secs(90)).await;
                        let done = h.outcome != CallOutcome::NotAsked;
                        last = Some(h);
                        if done {
                            break;
                        }
                    }
                    last.expect("each region has routers")
                });
            }
        }
        while let Some(r) = jobs.try_join_next() {
            responses.extend(r);
        }
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    while let Some(r) = jobs.join_next().await {
        responses.extend(r);
    }
    responses
}
