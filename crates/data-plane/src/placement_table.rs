//! One node's part of the placement table (design 5.3): no input or output. The owner of a
//! shard settles misses; followers keep copies; lower fences reject.

use common::{FencingToken, Region, Service, Tick, rendezvous::stable_hash};
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
pub struct PlacementRow {
    pub key: UserKey,
    pub service: Service,
    pub region: Region,
    #[serde(rename = "ver")]
    pub version: u64,
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementOutcome {
    /// Nothing is stored, and no pick was offered.
    Empty,
    Held {
        region: Region,
        #[serde(rename = "ver")]
        version: u64,
        won: bool,
    },
}

#[derive(Clone, Debug)]
struct StoredPlacement {
    region: Region,
    version: u64,
    until: Tick,
}

#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    rows: HashMap<(UserKey, Service), StoredPlacement>,
    fencing_tokens: HashMap<u16, FencingToken>,
    vers: u64,
}

impl PlacementTable {
    /// Remembers the highest fencing token of a shard; tells the known one where this is lower.
    pub fn check_fencing_token(&mut self, shard: u16, f: FencingToken) -> Result<(), FencingToken> {
        let known = self.fencing_tokens.entry(shard).or_default();
        if f < *known {
            return Err(*known);
        }
        *known = f;
        Ok(())
    }

    /// The owner's look at an asker's fencing token. Its own is the floor: a restarted owner counts
    /// versions anew, and must keep them apart from those of its earlier life.
    pub fn admit(&mut self, shard: u16, own: FencingToken, asked: FencingToken) -> Result<(), FencingToken> {
        let _ = self.check_fencing_token(shard, own);
        self.check_fencing_token(shard, asked)
    }

    /// The first writer wins. `stale` names the version that the asker found wanting: only that
    /// one may be replaced. A valid use refreshes the time to live.
    pub fn resolve(
        &mut self,
        key: UserKey,
        service: &Service,
        stale: Option<u64>,
        pick: Option<Region>,
        ttl_ms: u64,
        now: Tick,
    ) -> PlacementOutcome {
        let at = (key, service.clone());
        let high = self.fencing_tokens.get(&key.shard(service)).map(|f| f.0).unwrap_or(0);
        let next = (high << 32) | ((self.vers + 1) & 0xffff_ffff);
        let live = self.rows.get_mut(&at).filter(|r| r.until > now);
        if let Some(r) = live.filter(|r| Some(r.version) != stale || pick.is_none()) {
            // A row that was inherited goes on under the own fencing token, so that a late copy from the
            // owner before never stands above it.
            if r.version >> 32 < high {
                r.version = next;
                self.vers += 1;
            }
            if Some(r.version) != stale {
                r.until = now + ttl_ms;
            }
            return PlacementOutcome::Held { region: r.region.clone(), version: r.version, won: false };
        }
        let Some(region) = pick else { return PlacementOutcome::Empty };
        if self.rows.len() >= MAX_ROWS {
            self.rows.retain(|_, r| r.until > now);
        }
        // Versions differ between owners: the fencing token's number stands above the count.
        self.vers += 1;
        let version = next;
        if self.rows.len() < MAX_ROWS {
            self.rows.insert(at, StoredPlacement { region: region.clone(), version, until: now + ttl_ms });
        }
        PlacementOutcome::Held { region, version, won: true }
    }

    pub fn install_row(&mut self, c: PlacementRow, now: Tick) {
        let at = (c.key, c.service);
        let older = self.rows.get(&at).is_none_or(|r| r.version <= c.version || r.until <= now);
        if older && self.rows.len() < MAX_ROWS {
            self.rows
                .insert(at, StoredPlacement { region: c.region, version: c.version, until: now + c.ttl_ms });
        }
    }

    pub fn rows_of_shard(&self, shard: u16, now: Tick) -> Vec<PlacementRow> {
        let mut out: Vec<PlacementRow> = self
            .rows
            .iter()
            .filter(|((k, s), r)| r.until > now && k.shard(s) == shard)
            .map(|((key, s), r)| PlacementRow {
                key: *key,
                service: s.clone(),
                region: r.region.clone(),
                version: r.version,
                ttl_ms: r.until.since(now),
            })
            .collect();
        out.sort_by(|a, b| (a.key, &a.service).cmp(&(b.key, &b.service)));
        out
    }

    pub fn row(&self, key: UserKey, service: &Service, now: Tick) -> Option<PlacementRow> {
        self.rows.get(&(key, service.clone())).filter(|r| r.until > now).map(|r| PlacementRow {
            key,
            service: service.clone(),
            region: r.region.clone(),
            version: r.version,
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
