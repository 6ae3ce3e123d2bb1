//! Choice of a replica within the own region (design 5.4).

use crate::{
    pressure::{Candidate, Own},
    router::Router,
    tab::UserKey,
};
use gauge::{Region, Service, rank::stable_hash};
use interlocking::Ledger;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
};
use timetable::{Kind, Table};

/// A replica that was picked; while this lives the job counts as open there.
pub struct Picked {
    pub addr: SocketAddr,
    pub id: gauge::ReplicaId,
    pub capacity: f64,
    pub own: Arc<Own>,
    router: Arc<Router>,
}

impl Drop for Picked {
    fn drop(&mut self) {
        self.own.open.fetch_sub(1, Ordering::AcqRel);
        self.router.free();
    }
}

/// This router's part of what a warming replica may have open in all.
fn cold_share(l: &Ledger, t: &Table, region: &Region, me: &str, id: &str, allowance: u32) -> i64 {
    let line: Vec<_> = l
        .routers()
        .into_iter()
        .filter(|m| t.region_of(&m.card.area) == Some(region) && !l.evacuated.contains(&m.card.area))
        .collect();
    let ranked = gauge::rank::ranked(id, &line, |m| m.card.node.as_str());
    let n = ranked.len().max(1) as u32;
    let place = ranked.iter().position(|m| m.card.node.as_str() == me).unwrap_or(usize::MAX);
    i64::from(allowance / n) + i64::from((place as u64) < u64::from(allowance % n))
}

impl Router {
    fn has_room(&self, c: &Candidate, l: &Ledger, t: &Table, region: &Region) -> bool {
        let open = c.own.open.load(Ordering::Relaxed);
        match c.gauge.allowance {
            Some(a) => open < cold_share(l, t, region, self.node().as_str(), c.gauge.id.as_str(), a),
            None => c.consumption() + 1.0 <= c.gauge.capacity.max(1.0),
        }
    }

    /// Picks a replica with room and counts the job there at once. `Err(true)`: there are
    /// replicas, but none has room; `Err(false)`: there are none.
    pub fn pick(
        self: &Arc<Self>,
        t: &Table,
        svc: &Service,
        kind: Kind,
        key: Option<UserKey>,
        tried: &[gauge::ReplicaId],
    ) -> Result<Picked, bool> {
        let region = self.own_region(t).ok_or(false)?;
        let l = self.ledger();
        let now = self.now();
        let mut all: Vec<Candidate> = self
            .usable(svc)
            .into_iter()
            .filter(|c| t.region_of(&c.area) == Some(&region) && !tried.contains(&c.gauge.id))
            .collect();
        if all.is_empty() {
            return Err(false);
        }
        // Those that failed here lately come last, and only where there is nothing else.
        let shunned = |c: &Candidate| c.own.shun.load(Ordering::Relaxed) > now.0;
        if all.iter().any(|c| !shunned(c)) {
            all.retain(|c| !shunned(c));
        }
        all.retain(|c| self.has_room(c, &l, t, &region));
        let ratio = |c: &Candidate| c.consumption() / c.gauge.capacity.max(1.0);
        let best = match (kind, key) {
            // The same user's prefixes stay on the same replica while it has room.
            (Kind::Model, Some(k)) => all
                .into_iter()
                .max_by_key(|c| stable_hash(&[&k.0.to_le_bytes(), c.gauge.id.as_str().as_bytes()])),
            (Kind::Model, None) => all.into_iter().min_by(|a, b| ratio(a).total_cmp(&ratio(b))),
            (Kind::Application, _) => all.into_iter().min_by(|a, b| {
                let far = |c: &Candidate| c.area != *self.area();
                far(a).cmp(&far(b)).then(ratio(a).total_cmp(&ratio(b)))
            }),
        };
        let c = best.ok_or(true)?;
        c.own.open.fetch_add(1, Ordering::AcqRel);
        Ok(Picked {
            addr: c.gauge.addr,
            id: c.gauge.id,
            capacity: c.gauge.capacity,
            own: c.own,
            router: self.clone(),
        })
    }
}
