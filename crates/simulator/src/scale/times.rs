//! How long it takes, on the virtual clock, until a change governs everywhere and a loss is known.

use super::{hollow::Hollow, layout::Layout};
use crate::operator::Operator;
use serde::Serialize;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two looks at all nodes.
const LOOK: Duration = Duration::from_millis(5);
/// Nothing that is waited for takes longer.
const LONGEST: Duration = Duration::from_secs(20);

/// Milliseconds over all nodes, and over all changes or losses.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Span {
    pub samples: usize,
    pub median: u64,
    pub p99: u64,
    pub most: u64,
    /// Not there when the wait ended.
    pub never: usize,
}

impl Span {
    pub fn of(mut ms: Vec<u64>, never: usize) -> Span {
        ms.sort();
        let at = |q: f64| ms.get(((ms.len() as f64 * q) as usize).min(ms.len().saturating_sub(1))).copied();
        Span {
            samples: ms.len(),
            median: at(0.5).unwrap_or(0),
            p99: at(0.99).unwrap_or(0),
            most: ms.last().copied().unwrap_or(0),
            never,
        }
    }
}

/// Looks until `there` holds at each node; how long it took at each, and how many never got there.
pub async fn until(nodes: &[Hollow], from: Instant, there: impl Fn(&Hollow) -> bool) -> (Vec<u64>, usize) {
    let mut open: Vec<&Hollow> = nodes.iter().collect();
    let mut ms = Vec::new();
    while !open.is_empty() && from.elapsed() < LONGEST {
        let had = open.len();
        open.retain(|n| !there(n));
        let now = from.elapsed().as_millis() as u64;
        ms.extend((open.len()..had).map(|_| now));
        sleep(LOOK).await;
    }
    (ms, open.len())
}

/// Governing times of changes made one after the other, `gap` apart, from the call on.
pub async fn changes(
    op: &Operator,
    lay: &Layout,
    nodes: &[Hollow],
    gap: Duration,
    span: Duration,
) -> (Span, usize) {
    let (began, mut n, mut made) = (Instant::now(), 0u32, 0);
    let (mut all, mut never) = (Vec::new(), 0);
    while gap * n < span {
        tokio::time::sleep_until(began + gap * n).await;
        n += 1;
        let Some((_, base)) = op.shown_at().await else { continue };
        let (at, text, id) = (Instant::now(), lay.document(base as usize), format!("change-{n}"));
        let told = async {
            let res = op.apply(&text, base, &id).await;
            res.is_some_and(|r| r.0 == 200)
        };
        let governs = until(nodes, at, |h| {
            h.router.member.revision_in_force.load(std::sync::atomic::Ordering::Acquire) > base
        });
        let (ok, (ms, out)) = tokio::join!(told, governs);
        made += usize::from(ok);
        all.extend(ms);
        never += out;
    }
    tokio::time::sleep_until(began + span).await;
    (Span::of(all, never), made)
}

/// The machines named lose their power: when the others know of all of them.
pub async fn lost(gone: &[&Hollow], left: &[Hollow]) -> Span {
    let at = Instant::now();
    gone.iter().for_each(|h| h.host.power_off());
    let names: Vec<common::NodeId> = gone.iter().map(|h| h.name.as_str().into()).collect();
    let (ms, never) = until(left, at, |h| {
        let l = h.router.member.cluster_state.load();
        names.iter().all(|n| !l.members.contains_key(n))
    })
    .await;
    Span::of(ms, never)
}
