//! One node's part of the placement table (design 5.3): no input or output. The owner of a
//! shard settles misses; followers keep copies; lower fences bounce.

use gauge::{Fence, Region, Service, Tick, rank::stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

pub const SHARDS: u16 = 64;
/// Rows over which a node holds no new ones: a bound on memory, not on traffic.
pub const MAX_ROWS: usize = 1 << 20;

/// A user key, hashed: what callers send is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UserKey(pub u64);

impl UserKey {
    pub fn of(tenant: &str, kind: &str, raw: &[u8]) -> Self {
        Self(stable_hash(&[tenant.as_bytes(), kind.as_bytes(), raw]))
    }
    pub fn shard(self, service: &Service) -> u16 {
        (stable_hash(&[&self.0.to_le_bytes(), service.as_str().as_bytes()]) % u64::from(SHARDS)) as u16
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Copy {
    pub key: UserKey,
    pub service: Service,
    pub region: Region,
    pub ver: u64,
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// Nothing is stored, and no pick was offered.
    Empty,
    Held {
        region: Region,
        ver: u64,
        won: bool,
    },
}

#[derive(Clone, Debug)]
struct Row {
    region: Region,
    ver: u64,
    until: Tick,
}

#[derive(Clone, Debug, Default)]
pub struct Tab {
    rows: HashMap<(UserKey, Service), Row>,
    fences: HashMap<u16, Fence>,
    vers: u64,
}

impl Tab {
    /// Remembers the highest fence of a shard; tells the known one where this is lower.
    pub fn fence(&mut self, shard: u16, f: Fence) -> Result<(), Fence> {
        let known = self.fences.entry(shard).or_default();
        if f < *known {
            return Err(*known);
        }
        *known = f;
        Ok(())
    }

    /// The owner's look at an asker's fence. Its own is the floor: a restarted owner counts
    /// versions anew, and must keep them apart from those of its earlier life.
    pub fn admit(&mut self, shard: u16, own: Fence, asked: Fence) -> Result<(), Fence> {
        let _ = self.fence(shard, own);
        self.fence(shard, asked)
    }

    /// The first writer wins. `stale` names the version that the asker found wanting: only that
    /// one may be replaced. A valid use refreshes the time to live.
    pub fn settle(
        &mut self,
        key: UserKey,
        service: &Service,
        stale: Option<u64>,
        pick: Option<Region>,
        ttl_ms: u64,
        now: Tick,
    ) -> Settled {
        let at = (key, service.clone());
        let high = self.fences.get(&key.shard(service)).map(|f| f.0).unwrap_or(0);
        let next = (high << 32) | ((self.vers + 1) & 0xffff_ffff);
        let live = self.rows.get_mut(&at).filter(|r| r.until > now);
        if let Some(r) = live.filter(|r| Some(r.ver) != stale || pick.is_none()) {
            // A row that was inherited goes on under the own fence, so that a late copy from the
            // owner before never stands above it.
            if r.ver >> 32 < high {
                r.ver = next;
                self.vers += 1;
            }
            if Some(r.ver) != stale {
                r.until = now + ttl_ms;
            }
            return Settled::Held { region: r.region.clone(), ver: r.ver, won: false };
        }
        let Some(region) = pick else { return Settled::Empty };
        if self.rows.len() >= MAX_ROWS {
            self.rows.retain(|_, r| r.until > now);
        }
        // Versions differ between owners: the fence's number stands above the count.
        self.vers += 1;
        let ver = next;
        if self.rows.len() < MAX_ROWS {
            self.rows.insert(at, Row { region: region.clone(), ver, until: now + ttl_ms });
        }
        Settled::Held { region, ver, won: true }
    }

    pub fn copy(&mut self, c: Copy, now: Tick) {
        let at = (c.key, c.service);
        let older = self.rows.get(&at).is_none_or(|r| r.ver <= c.ver || r.until <= now);
        if older && self.rows.len() < MAX_ROWS {
            self.rows.insert(at, Row { region: c.region, ver: c.ver, until: now + c.ttl_ms });
        }
    }

    pub fn rows_of(&self, shard: u16, now: Tick) -> Vec<Copy> {
        let mut out: Vec<Copy> = self
            .rows
            .iter()
            .filter(|((k, s), r)| r.until > now && k.shard(s) == shard)
            .map(|((key, s), r)| Copy {
                key: *key,
                service: s.clone(),
                region: r.region.clone(),
                ver: r.ver,
                ttl_ms: r.until.since(now),
            })
            .collect();
        out.sort_by(|a, b| (a.key, &a.service).cmp(&(b.key, &b.service)));
        out
    }

    pub fn one(&self, key: UserKey, service: &Service, now: Tick) -> Option<Copy> {
        self.rows.get(&(key, service.clone())).filter(|r| r.until > now).map(|r| Copy {
            key,
            service: service.clone(),
            region: r.region.clone(),
            ver: r.ver,
            ttl_ms: r.until.since(now),
        })
    }

    pub fn sweep(&mut self, now: Tick) {
        self.rows.retain(|_, r| r.until > now);
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn held(s: Settled) -> (String, u64, bool) {
        match s {
            Settled::Held { region, ver, won } => (region.to_string(), ver, won),
            Settled::Empty => ("-".into(), 0, false),
        }
    }

    /// Design 5.3: racers on one miss all get the first writer's region; a failed placement is
    /// replaced once, by whoever names the version that failed.
    #[test]
    fn racers_agree() {
        let (k, svc) = (UserKey(7), Service::new("m"));
        let mut t = Tab::default();
        let mut ask = |stale, pick: &str, now| {
            held(t.settle(k, &svc, stale, (!pick.is_empty()).then(|| Region::new(pick)), 1000, Tick(now)))
        };
        assert_eq!(ask(None, "", 0).0, "-");
        let (r, v1, won) = ask(None, "north", 1);
        assert!(won && r == "north");
        assert_eq!(ask(None, "south", 2), ("north".into(), v1, false));
        let (r, v2, won) = ask(Some(v1), "south", 3);
        assert!(won && r == "south" && v2 != v1);
        assert_eq!(ask(Some(v1), "east", 4), ("south".into(), v2, false));
        // Valid uses refresh; an entry that nobody uses is gone after its time.
        assert_eq!(ask(None, "", 1003).0, "south");
        assert_eq!(ask(None, "", 2002).0, "south");
        assert_eq!(ask(None, "", 3002).0, "-");
    }

    /// Found by the simulator (seed 653 of the data plane): a copy from the owner before arrived
    /// late and stood above the new owner's row at a follower for good.
    #[test]
    fn an_inherited_row_outranks_late_copies() {
        let (k, svc) = (UserKey(7), Service::new("m"));
        let row = |region: &str, ver| Copy {
            key: k,
            service: svc.clone(),
            region: region.into(),
            ver,
            ttl_ms: 900,
        };
        let (mut owner, mut follower) = (Tab::default(), Tab::default());
        owner.copy(row("north", 24 << 32 | 28), Tick(0));
        follower.copy(row("south", 24 << 32 | 29), Tick(0));
        owner.fence(k.shard(&svc), Fence(26)).unwrap();
        let (region, ver, _) = held(owner.settle(k, &svc, None, None, 900, Tick(1)));
        follower.copy(row(&region, ver), Tick(1));
        assert_eq!(follower.one(k, &svc, Tick(2)).unwrap().region, Region::new("north"));
    }

    #[test]
    fn lower_fences_bounce() {
        let mut t = Tab::default();
        assert!(t.fence(3, Fence(5)).is_ok());
        assert_eq!(t.fence(3, Fence(4)), Err(Fence(5)));
        assert!(t.fence(4, Fence(4)).is_ok());
    }
}
