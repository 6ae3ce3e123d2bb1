//! One router's part of the placement table (design 5.3), without input or output. The owner of a shard decides where a
//! user is placed, its followers keep copies, and requests with a lower fencing token are rejected.

use common::{FencingToken, Region, Service, Tick, rendezvous::stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Number of shards of the table.
pub const SHARDS: u16 = 64;
/// A full table takes no new rows. This bounds memory, not traffic.
pub const MAX_ROWS: usize = 1 << 20;

/// Hash of what identifies a user in a request; the value itself is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UserKey(pub u64);

impl UserKey {
    /// The key of a value: `kind` says in which part of the request it was found.
    pub fn of(tenant: &str, kind: &str, raw: &[u8]) -> Self {
        Self(stable_hash(&[tenant.as_bytes(), kind.as_bytes(), raw]))
    }

    /// The shard that holds the user's placement for a service.
    pub fn shard(self, service: &Service) -> u16 {
        (stable_hash(&[&self.0.to_le_bytes(), service.as_str().as_bytes()]) % u64::from(SHARDS)) as u16
    }
}

/// A placement as it is copied between routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRow {
    /// The user.
    pub key: UserKey,
    /// The service.
    pub service: Service,
    /// The region in which the user is placed.
    pub region: Region,
    /// Version of the placement.
    #[serde(rename = "ver")]
    pub version: u64,
    /// Remaining time to live, in milliseconds.
    pub ttl_ms: u64,
}

/// The owner's answer on where a user is placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementOutcome {
    /// Nothing is stored, and the request proposed no region.
    Empty,
    /// The placement that is stored now.
    Held {
        /// Its region.
        region: Region,
        /// Its version.
        #[serde(rename = "ver")]
        version: u64,
        /// Whether the region that the request proposed was stored by it.
        won: bool,
    },
}

#[derive(Clone, Debug)]
struct StoredPlacement {
    region: Region,
    version: u64,
    until: Tick,
}

/// The placements that one router holds, as owner or follower.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    rows: HashMap<(UserKey, Service), StoredPlacement>,
    fencing_tokens: HashMap<u16, FencingToken>,
    version_count: u64,
}

impl PlacementTable {
    /// Records the highest fencing token of a shard; fails with the known one where this is lower.
    pub fn check_fencing_token(&mut self, shard: u16, token: FencingToken) -> Result<(), FencingToken> {
        let known = self.fencing_tokens.entry(shard).or_default();
        if token < *known {
            return Err(*known);
        }
        *known = token;
        Ok(())
    }

    /// Checks the fencing token of a request to this owner. The owner's own token is the lower bound: after a restart
    /// it counts versions from the start, and they must differ from those that it gave before.
    pub fn admit(
        &mut self,
        shard: u16,
        own: FencingToken,
        requested: FencingToken,
    ) -> Result<(), FencingToken> {
        let _ = self.check_fencing_token(shard, own);
        self.check_fencing_token(shard, requested)
    }

    /// Decides where a user is placed: the first writer wins. `stale` is the version that the requester found
    /// ineligible, and only that version may be replaced. A valid use extends the time to live.
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
        // Versions of different owners differ, since the upper half is the fencing token.
        let token = self.fencing_tokens.get(&key.shard(service)).map(|f| f.0).unwrap_or(0);
        let next = (token << 32) | ((self.version_count + 1) & 0xffff_ffff);
        let live = self.rows.get_mut(&at).filter(|row| row.until > now);
        if let Some(row) = live.filter(|row| Some(row.version) != stale || pick.is_none()) {
            // A row of the previous owner gets a version under the current fencing token. Otherwise a late copy from
            // the previous owner could outrank it at a follower.
            if row.version >> 32 < token {
                row.version = next;
                self.version_count += 1;
            }
            if Some(row.version) != stale {
                row.until = now + ttl_ms;
            }
            return PlacementOutcome::Held { region: row.region.clone(), version: row.version, won: false };
        }
        let Some(region) = pick else { return PlacementOutcome::Empty };
        if self.rows.len() >= MAX_ROWS {
            self.rows.retain(|_, row| row.until > now);
        }
        self.version_count += 1;
        let version = next;
        if self.rows.len() < MAX_ROWS {
            self.rows.insert(at, StoredPlacement { region: region.clone(), version, until: now + ttl_ms });
        }
        PlacementOutcome::Held { region, version, won: true }
    }

    /// Stores a copy from another router, unless a newer version is held.
    pub fn install_row(&mut self, row: PlacementRow, now: Tick) {
        let at = (row.key, row.service);
        let newer = self.rows.get(&at).is_none_or(|held| held.version <= row.version || held.until <= now);
        if newer && self.rows.len() < MAX_ROWS {
            let until = now + row.ttl_ms;
            self.rows.insert(at, StoredPlacement { region: row.region, version: row.version, until });
        }
    }

    /// All live rows of a shard, ordered by user and service.
    pub fn rows_of_shard(&self, shard: u16, now: Tick) -> Vec<PlacementRow> {
        let mut out: Vec<PlacementRow> = self
            .rows
            .iter()
            .filter(|((key, service), row)| row.until > now && key.shard(service) == shard)
            .map(|((key, service), row)| PlacementRow {
                key: *key,
                service: service.clone(),
                region: row.region.clone(),
                version: row.version,
                ttl_ms: row.until.since(now),
            })
            .collect();
        out.sort_by(|a, b| (a.key, &a.service).cmp(&(b.key, &b.service)));
        out
    }

    /// The live row of a user for a service.
    pub fn row(&self, key: UserKey, service: &Service, now: Tick) -> Option<PlacementRow> {
        self.rows.get(&(key, service.clone())).filter(|row| row.until > now).map(|row| PlacementRow {
            key,
            service: service.clone(),
            region: row.region.clone(),
            version: row.version,
            ttl_ms: row.until.since(now),
        })
    }

    /// Drops rows that have expired.
    pub fn sweep(&mut self, now: Tick) {
        self.rows.retain(|_, row| row.until > now);
    }

    /// Number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there is no row.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
