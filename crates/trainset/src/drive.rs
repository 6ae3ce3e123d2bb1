//! Drives a fleet with a deployment's traffic while faults happen (design 7.2, 7.4).

use crate::{
    caller::{Call, Heard, Told, call},
    deployment::{Deployment, Kind},
    fault::{Fault, What},
    fleet::Fleet,
};
use eyre::Result;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// What operators did and saw during the run.
#[derive(Clone, Debug)]
pub struct Act {
    pub at: Instant,
    pub what: String,
    pub fault: Fault,
    pub ok: bool,
    /// For documents: how long until all nodes said that it governs.
    pub governs_ms: Option<u64>,
    /// For documents: its text, if it was accepted.
    pub text: Option<String>,
}

pub struct Ride {
    pub heard: Vec<Heard>,
    pub acts: Vec<Act>,
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

fn homes(d: &Deployment, k: &Kind, u: &User) -> Vec<&'static str> {
    d.regions()
        .into_iter()
        .filter(|r| k.homes.is_none_or(|h| h == *r) && u.home.is_none_or(|h| h == *r))
        .collect()
}

fn make(d: &Deployment, k: &Kind, u: &User, n: u64, seed: u64) -> Call {
    let job = format!("j{seed}-{}-{n}", k.entry);
    let body = if k.prefix > 0 {
        let history = format!("{} ", u.name).repeat(k.prefix / (u.name.len() + 1));
        format!("{{\"{}\":\"{}\",\"prompt\":\"{history}\",\"ask\":{n}}}", k.user_field, u.name)
    } else {
        String::new()
    };
    let path = if k.method == "GET" { format!("{}{n}", k.path) } else { k.path.to_string() };
    Call {
        job,
        entry: k.entry,
        method: k.method.parse().unwrap_or_default(),
        path,
        tenant: u.tenant,
        once: k.once,
        tokens: k.tokens,
        body,
        homes: homes(d, k, u),
    }
}

/// Open-loop traffic for `secs`, at `rate` times the deployment's own.
pub async fn ride(f: &mut Fleet, secs: f64, rate: f64, seed: u64, faults: &[Fault]) -> Result<Ride> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let dep = f.dep.clone();
    let us = users(&dep, &mut rng);
    let routers: Vec<(SocketAddr, &'static str)> =
        f.nodes.iter().filter(|n| !n.core).map(|n| (n.http(), dep.region_of(n.area))).collect();
    let net = f.net;
    let begin = Instant::now();
    let mut jobs: JoinSet<Heard> = JoinSet::new();
    let mut acts = Vec::new();
    let mut due: Vec<Fault> = faults.to_vec();
    due.sort_by(|a, b| a.second.total_cmp(&b.second));
    let mut next: Vec<f64> = dep.kinds.iter().map(|_| 0.0).collect();
    let (mut n, mut heard) = (0u64, Vec::new());
    loop {
        let now = begin.elapsed().as_secs_f64();
        if now >= secs && due.is_empty() {
            break;
        }
        while due.first().is_some_and(|x| x.second <= now) {
            let x = due.remove(0);
            acts.push(act(f, &x, seed).await);
        }
        for (k, at) in dep.kinds.iter().zip(next.iter_mut()) {
            while *at <= now && now < secs {
                let gap: f64 = -(1.0 - rng.random::<f64>()).ln() / (k.rate * rate);
                *at = at.max(now - 1.0) + gap;
                n += 1;
                let u = us[rng.random_range(0..us.len())].clone();
                let region = if rng.random_bool(0.02) { dep.regions()[n as usize % 2] } else { u.region };
                let near: Vec<_> = routers.iter().filter(|r| r.1 == region).map(|r| r.0).collect();
                let c = make(&dep, k, &u, n, seed);
                let first = rng.random_range(0..near.len());
                // One address has only so many ports.
                let ip = crate::fleet::ip(net, 200, 1 + (n % 40) as u8);
                jobs.spawn(async move {
                    // A caller that gets no connection has asked nothing: it tries the next one.
                    let mut last = None;
                    for t in 0..near.len() {
                        let h = call(ip, near[(first + t) % near.len()], c.clone(), Duration::from_secs(90))
                            .await;
                        let done = h.told != Told::NotAsked;
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
            heard.extend(r);
        }
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    while let Some(r) = jobs.join_next().await {
        heard.extend(r);
    }
    Ok(Ride { heard, acts })
}

async fn act(f: &mut Fleet, x: &Fault, seed: u64) -> Act {
    let at = Instant::now();
    let what = format!("{}:{:?}:{}", x.second, x.what, x.whom);
    let mut out = Act { at, what, fault: x.clone(), ok: true, governs_ms: None, text: None };
    let op = f.operator();
    let whom = x.whom.as_str();
    let area: Vec<String> = f.nodes.iter().filter(|n| n.area == whom).map(|n| n.name.clone()).collect();
    let res: Result<bool> = async {
        match x.what {
            What::Kill => f.node(whom)?.kill().await?,
            What::Stop => drop(f.node(whom)?.stop().await?),
            What::Start => f.start_node(whom)?,
            What::Blank => {
                f.node(whom)?.wipe()?;
                f.start_node(whom)?;
            }
            What::Freeze => f.node(whom)?.signal(Signal::SIGSTOP)?,
            What::Thaw => f.node(whom)?.signal(Signal::SIGCONT)?,
            What::Cut => f.relays.cut(f.pairs(whom)),
            What::Mend => f.relays.mend(&f.pairs(whom)),
            What::KillArea => {
                for n in &area {
                    f.node(n)?.kill().await?;
                }
                f.backs.iter().filter(|b| b.shape.area == whom).for_each(|b| b.crash());
            }
            What::StartArea => {
                for n in &area {
                    f.start_node(n)?;
                }
                for b in f.backs.iter().filter(|b| b.shape.area == whom) {
                    b.start().await?;
                }
            }
            What::Evacuate => return Ok(op.evacuate(whom, true).await),
            What::Restore => return Ok(op.evacuate(whom, false).await),
            What::Crash => f.back(whom)?.crash(),
            What::Cold => f.back(whom)?.start().await?,
            What::Drain => {
                let path = format!("/v1/replicas/{whom}/drain");
                return Ok(matches!(op.ask(hyper::Method::POST, &path, &[], "").await, Some((200, _))));
            }
            What::Remove => {
                let path = format!("/v1/replicas/{whom}");
                return Ok(matches!(op.ask(hyper::Method::DELETE, &path, &[], "").await, Some((200, _))));
            }
            What::Apply | What::Race => return Ok(false),
        }
        Ok(true)
    }
    .await;
    match x.what {
        What::Apply => apply(&op, x, seed, &mut out).await,
        What::Race => race(&op, x, seed, &mut out).await,
        _ => out.ok = res.unwrap_or(false),
    }
    out
}

fn changed(doc: &str, x: &Fault, tag: u32) -> String {
    format!("{doc}\n# change at {} number {tag}\n", x.second)
}

async fn apply(op: &crate::operator::Operator, x: &Fault, seed: u64, out: &mut Act) {
    let (Some(doc), Some(st)) = (op.shown().await, op.status().await) else {
        out.ok = false;
        return;
    };
    let base = st["revision"].as_u64().unwrap_or(0);
    let text = changed(&doc, x, 0);
    let at = Instant::now();
    let name = format!("apply-{seed}-{}", x.second);
    let res = op.apply_waiting(&text, base, &name).await;
    out.ok = res.as_ref().is_some_and(|r| r.0 == 200 && r.1["governs"] == true);
    out.governs_ms = Some(at.elapsed().as_millis() as u64);
    out.text = res.filter(|r| r.0 == 200).map(|_| text);
}

async fn race(op: &crate::operator::Operator, x: &Fault, seed: u64, out: &mut Act) {
    let (Some(doc), Some(st)) = (op.shown().await, op.status().await) else {
        out.ok = false;
        return;
    };
    let base = st["revision"].as_u64().unwrap_or(0);
    let texts: Vec<String> = (1..=2).map(|n| changed(&doc, x, n)).collect();
    let names: Vec<String> = (1..=2).map(|n| format!("race-{seed}-{}-{n}", x.second)).collect();
    let (a, b) = tokio::join!(op.apply(&texts[0], base, &names[0]), op.apply(&texts[1], base, &names[1]));
    let codes: Vec<u16> = [&a, &b].iter().filter_map(|r| r.as_ref().map(|r| r.0)).collect();
    out.ok = codes.contains(&200) && codes.contains(&412);
    let won = if matches!(a, Some((200, _))) { 0 } else { 1 };
    out.text = codes.contains(&200).then(|| texts[won].clone());
}
