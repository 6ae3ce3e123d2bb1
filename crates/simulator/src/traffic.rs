//! Sends a deployment's traffic to a fleet while faults happen (design 7.2, 7.4).

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

/// What happened in a run.
pub struct RunRecord {
    /// All requests with their answers.
    pub responses: Vec<CallResult>,
    /// The faults that were carried out.
    pub actions: Vec<Action>,
    /// When the traffic began.
    pub began: Instant,
}

/// A user whose requests share a prompt prefix.
#[derive(Clone)]
struct User {
    name: String,
    tenant: &'static str,
    home: Option<&'static str>,
    region: &'static str,
}

/// Users over all tenants.
const USERS: usize = 160;

/// Draws the tenant of each user by the tenants' shares.
fn draw_users(deployment: &Deployment, rng: &mut SmallRng) -> Vec<User> {
    let regions = deployment.regions();
    (0..USERS)
        .map(|n| {
            let mut rest: f64 = rng.random();
            let tenant = deployment.tenants.iter().find(|tenant| {
                rest -= tenant.1;
                rest < 0.0
            });
            let tenant = tenant.unwrap_or(&deployment.tenants[0]);
            User {
                name: format!("u{n}"),
                tenant: tenant.0,
                home: tenant.2,
                region: regions[n % regions.len()],
            }
        })
        .collect()
}

/// The regions that may serve this kind of request of this user.
fn homes(deployment: &Deployment, kind: &RequestKind, user: &User) -> Vec<&'static str> {
    deployment
        .regions()
        .into_iter()
        .filter(|r| kind.homes.is_none_or(|h| h == *r) && user.home.is_none_or(|h| h == *r))
        .collect()
}

/// Traffic alternates between long prompts and long answers: by how many times each is longer now.
fn length_factors(now: f64) -> (usize, usize) {
    match (now / 10.0) as u64 % 3 {
        0 => (1, 1),
        1 => (4, 1),
        _ => (1, 3),
    }
}

/// Whether a user is using another region: a fifth of them at any time, for 15 s each.
fn is_away(user: &User, now: f64) -> bool {
    let n: u64 = user.name[1..].parse().unwrap_or(0);
    n % 5 == (now / 15.0) as u64 % 5
}

/// The request with this number.
fn make_call(
    deployment: &Deployment,
    kind: &RequestKind,
    user: &User,
    number: u64,
    seed: u64,
    (prompt_factor, answer_factor): (usize, usize),
) -> Call {
    let request_id = format!("j{seed}-{}-{number}", kind.entry);
    let body = if kind.prefix > 0 {
        let history = format!("{} ", user.name).repeat(prompt_factor * kind.prefix / (user.name.len() + 1));
        format!("{{\"{}\":\"{}\",\"prompt\":\"{history}\",\"ask\":{number}}}", kind.user_field, user.name)
    } else {
        String::new()
    };
    let path = if kind.method == "GET" { format!("{}{number}", kind.path) } else { kind.path.to_string() };
    Call {
        request_id,
        entry: kind.entry,
        service: deployment.replicas[usize::from(kind.prefix == 0)].0,
        method: kind.method.parse().unwrap_or_default(),
        path,
        tenant: user.tenant,
        once: kind.once,
        tokens: kind.tokens * if kind.once { answer_factor } else { 1 },
        body,
        homes: homes(deployment, kind, user),
    }
}

/// Open-loop traffic: requests are sent at their rate, however many are unanswered.
#[derive(Clone, Debug)]
pub struct Load {
    /// Seconds of traffic.
    pub seconds: f64,
    /// Traffic, as a multiple of the deployment's own.
    pub rate: f64,
    /// Seed of the traffic.
    pub seed: u64,
    /// Region that all callers without a home region use, instead of being spread evenly.
    pub crowd: Option<String>,
}

/// Sends traffic to a fleet while the faults happen.
pub async fn drive(fleet: &mut Fleet, load: &Load, faults: &[Fault]) -> Result<RunRecord> {
    let deployment = fleet.deployment.clone();
    let routers: Vec<(SocketAddr, &'static str)> = fleet
        .nodes
        .iter()
        .filter(|n| !n.is_control)
        .map(|n| (n.http(), deployment.region_of(n.zone)))
        .collect();
    let (net, began) = (fleet.net, Instant::now());
    // Traffic goes on while a fault takes its time, such as a process that stops.
    let (responses, actions) = tokio::join!(
        send_traffic(deployment, routers, net, began, load),
        inject_faults(fleet, load.seed, began, faults)
    );
    Ok(RunRecord { responses, actions, began })
}

/// Carries out each fault at its time.
async fn inject_faults(fleet: &mut Fleet, seed: u64, began: Instant, faults: &[Fault]) -> Vec<Action> {
    let mut due: Vec<Fault> = faults.to_vec();
    due.sort_by(|a, b| a.second.total_cmp(&b.second));
    let mut actions = Vec::new();
    for fault in due {
        tokio::time::sleep_until(began + Duration::from_secs_f64(fault.second)).await;
        actions.push(perform(fleet, &fault, seed).await);
    }
    actions
}

/// Sends the traffic, and waits for all answers.
async fn send_traffic(
    deployment: Deployment,
    routers: Vec<(SocketAddr, &'static str)>,
    net: u8,
    began: Instant,
    load: &Load,
) -> Vec<CallResult> {
    let Load { seconds, rate, seed, crowd } = load.clone();
    let mut rng = SmallRng::seed_from_u64(seed);
    let users = draw_users(&deployment, &mut rng);
    let mut calls: JoinSet<CallResult> = JoinSet::new();
    let mut due_times: Vec<f64> = deployment.kinds.iter().map(|_| 0.0).collect();
    let (mut number, mut responses) = (0u64, Vec::new());
    loop {
        let now = began.elapsed().as_secs_f64();
        if now >= seconds {
            break;
        }
        for (kind, due) in deployment.kinds.iter().zip(due_times.iter_mut()) {
            while *due <= now {
                let gap: f64 = -(1.0 - rng.random::<f64>()).ln() / (kind.rate * rate);
                *due += gap;
                number += 1;
                let mut user = users[rng.random_range(0..users.len())].clone();
                // Callers don't send requests that no home region of their tenant may serve.
                while homes(&deployment, kind, &user).is_empty() {
                    user = users[rng.random_range(0..users.len())].clone();
                }
                // Some callers use another region for a while, and 2 % of requests arrive at any region.
                let away = is_away(&user, now) || rng.random_bool(0.02);
                let region = if away { deployment.regions()[number as usize % 2] } else { user.region };
                let region = crowd.as_deref().filter(|_| user.home.is_none()).unwrap_or(region);
                // Routers of other regions are tried last.
                let (near, far): (Vec<_>, Vec<_>) = routers.iter().copied().partition(|r| r.1 == region);
                let first = rng.random_range(0..near.len());
                let mut candidates: Vec<SocketAddr> = near.iter().map(|r| r.0).collect();
                candidates.rotate_left(first);
                candidates.extend(far.iter().map(|r| r.0));
                let call_to_send = make_call(&deployment, kind, &user, number, seed, length_factors(now));
                // Several source addresses, since each has a limited number of ports.
                let ip = crate::fleet::ip(net, 200, 1 + (number % 40) as u8);
                calls.spawn(async move {
                    // Without a connection nothing was sent, so the caller tries the next router.
                    let mut last = None;
                    for router in candidates {
                        let result = call(ip, router, call_to_send.clone(), Duration::from_secs(90)).await;
                        let done = result.outcome != CallOutcome::NotAsked;
                        last = Some(result);
                        if done {
                            break;
                        }
                    }
                    last.expect("each region has routers")
                });
            }
        }
        while let Some(result) = calls.try_join_next() {
            responses.extend(result);
        }
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    while let Some(result) = calls.join_next().await {
        responses.extend(result);
    }
    responses
}
