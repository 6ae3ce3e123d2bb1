//! The operator's operator service (design 4.9): a document in any notation, replaced, amended and read back, and
//! zones emptied and taken back, by sendings that may be repeated at any control node.
//!
//! A document carries its own version; a change names the version that it builds on. The name of an
//! operation is the hash of what was sent, so a sending that is repeated has the outcome of the first.
//! The version is compared with the newest accepted state, and the change is logged on top of that
//! state's revision, so that the fold decides between two that were compared with the same.

use crate::{
    change::{ApplyOutcome, Change},
    cluster_state::ClusterState,
    core::Core,
    document::Document,
    operations::{OperationStatus, standing},
    rpc::ProposalOutcome,
};
use common::{OpId, Revision, Zone, is_valid_name};
use configuration::{Flaw, Notation};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::{collections::BTreeSet, hash::Hasher, sync::Arc, time::Duration};
use tokio::time::Instant;

pub use crate::document::MAX_DOC;

/// Callers ask elsewhere after a second, or somewhat more where they sent much.
const WAIT_MS: u64 = 800;
const BYTES_A_MS: u64 = 2_048;

/// What the operator is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Accepted,
    /// Built on another version than the current one; it never takes effect.
    Conflict {
        current: Option<u64>,
    },
    /// Nothing was logged, and sending it again would not help.
    Invalid(Vec<Flaw>),
    TooLarge,
    /// Nothing was logged; it may be sent again.
    Unavailable(String),
    /// It may take effect or not; sending it again tells.
    Undetermined,
}

pub struct OperatorService {
    core: Arc<Core>,
    notation: Arc<dyn Notation>,
    /// Zones that exist whether or not a node stands in them now.
    zones: BTreeSet<Zone>,
}

fn within(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

fn invalid(message: impl Into<String>) -> Told {
    Told::Invalid(vec![Flaw { line: 1, column: 1, message: message.into() }])
}

/// The same for the same sending on each node and in each version.
fn name(kind: &str, expected_voters: u64, body: &str) -> OpId {
    let mut h = SipHasher13::new();
    h.write(kind.as_bytes());
    h.write(&expected_voters.to_le_bytes());
    h.write(body.as_bytes());
    OpId::new(format!("{kind}-{:032x}", h.finish128().as_u128()))
}

impl OperatorService {
    pub fn new(core: Arc<Core>, notation: Arc<dyn Notation>, zones: BTreeSet<Zone>) -> Self {
        Self { core, notation, zones }
    }

    /// A whole document, kept byte for byte; `expected_voters` is 0 where there is none yet.
    pub async fn replace(&self, expected_voters: u64, text: &str) -> Told {
        let op = name("replace", expected_voters, text);
        self.submit(op, expected_voters, text, |_| Ok(text.into())).await
    }

    /// A change of named items; the document that comes of it is kept.
    pub async fn amend(&self, expected_voters: u64, change: &str) -> Told {
        let op = name("amend", expected_voters, change);
        self.submit(op, expected_voters, change, |now| self.notation.amend(now, change)).await
    }

    /// The newest accepted document and its version.
    pub async fn read(&self) -> Result<Option<(u64, Document)>, String> {
        let l = self.newest(within(WAIT_MS)).await?;
        let version = self.version(&l)?;
        Ok(l.text.map(|t| (version, t)))
    }

    /// Asks that nothing more go to a zone's replicas, or takes that back.
    pub async fn evacuate(&self, zone: &str, on: bool) -> Told {
        if !is_valid_name(zone) {
            return invalid("area: allowed: 1 to 64 letters, digits, '-', '_' or '.'");
        }
        let zone = Zone::new(zone);
        let until = within(WAIT_MS);
        self.told_by(until, async {
            loop {
                let told = self.evacuate_once(&zone, on, until).await;
                // Another operator's order came between: this one is decided anew.
                if !matches!(told, Told::Conflict { .. }) {
                    return told;
                }
            }
        })
        .await
    }

    /// On top of the newest state: an order that is late on its way doesn't undo what came after it.
    async fn evacuate_once(&self, zone: &Zone, on: bool, until: Instant) -> Told {
        let l = match self.newest(until).await {
            Ok(l) => l,
            Err(why) => return Told::Unavailable(why),
        };
        if !self.zones.contains(zone) && !stands_in(&l, zone) {
            return invalid(format!("area: {zone} is known to no node"));
        }
        let op = OpId::new(crate::api::drawn_op());
        self.log(Change::Evacuate { op, zone: zone.clone(), on, seen: l.index }, until).await
    }

    async fn submit(
        &self,
        op: OpId,
        expected_voters: u64,
        body: &str,
        make: impl FnOnce(&str) -> Result<String, Vec<Flaw>>,
    ) -> Told {
        if body.len() > MAX_DOC {
            return Told::TooLarge;
        }
        let until = within(WAIT_MS + body.len() as u64 / BYTES_A_MS);
        self.told_by(until, async {
            let l = match self.newest(until).await {
                Ok(l) => l,
                Err(why) => return Told::Unavailable(why),
            };
            let current = match self.version(&l) {
                Ok(version) => version,
                Err(why) => return Told::Unavailable(why),
            };
            match standing(&l, &op, expected_voters, current) {
                OperationStatus::Decided(ApplyOutcome::Accepted { .. }) => self.confirm(op, until).await,
                OperationStatus::Decided(ApplyOutcome::Rejected { reason }) => invalid(reason),
                OperationStatus::Decided(ApplyOutcome::Conflict { .. }) | OperationStatus::Superseded => {
                    Told::Conflict { current: Some(current) }
                }
                OperationStatus::Forgotten => Told::Undetermined,
                OperationStatus::Open => match self.checked(&l, current, make) {
                    Ok(text) => self.log(Change::Apply { op, base: l.revision, text }, until).await,
                    Err(told) => told,
                },
            }
        })
        .await
    }

    /// Logs an accepted order once more with nothing in it: its outcome stays, and it is told again
    /// only once most of the members hold it (design 3.7).
    async fn confirm(&self, op: OpId, until: Instant) -> Told {
        let nothing = Change::Apply { op, base: Revision(u64::MAX), text: "".into() };
        match self.log(nothing, until).await {
            // Its outcome was forgotten on the way.
            Told::Conflict { .. } => Told::Undetermined,
            told => told,
        }
    }

    /// The document to be logged on top of this state.
    fn checked(
        &self,
        l: &ClusterState,
        current: u64,
        make: impl FnOnce(&str) -> Result<String, Vec<Flaw>>,
    ) -> Result<Document, Told> {
        let text = Document::from(make(l.text.as_deref().unwrap_or("")).map_err(Told::Invalid)?);
        if !text.fits() {
            return Err(Told::TooLarge);
        }
        let version = self.notation.read(&text).map_err(Told::Invalid)?.version;
        if version <= current {
            return Err(invalid(format!("version: {version}; allowed: above {current}, the current one")));
        }
        Ok(text)
    }

    /// 0 where there is no document yet.
    fn version(&self, l: &ClusterState) -> Result<u64, String> {
        let Some(text) = &l.text else { return Ok(0) };
        let read = self.notation.read(text).map(|m| m.version);
        read.map_err(|f| format!("the current document can't be read: {f:?}"))
    }

    async fn log(&self, ch: Change, until: Instant) -> Told {
        // The process may have stood still since the state was read.
        if Instant::now() >= until {
            return Told::Unavailable("the time for this call is over".into());
        }
        let ms = until.duration_since(Instant::now()).as_millis() as u64;
        match self.core.propose(ch, ms).await {
            ProposalOutcome::Committed { outcome: ApplyOutcome::Accepted { .. }, .. } => Told::Accepted,
            ProposalOutcome::Committed { outcome: ApplyOutcome::Conflict { .. }, .. } => {
                let current = self.core.state().await.ok().and_then(|l| self.version(&l).ok());
                Told::Conflict { current }
            }
            ProposalOutcome::Committed { outcome: ApplyOutcome::Rejected { reason }, .. } => invalid(reason),
            ProposalOutcome::NotLogged { why, .. } => Told::Unavailable(why),
            ProposalOutcome::Undetermined => Told::Undetermined,
        }
    }

    /// Nothing is sent for logging before the newest state is known: without it, nothing was.
    async fn newest(&self, until: Instant) -> Result<ClusterState, String> {
        let state = tokio::time::timeout_at(until, self.core.state()).await;
        state.unwrap_or_else(|_| Err("no leader answered in time".into()))
    }

    async fn told_by(&self, until: Instant, fut: impl Future<Output = Told>) -> Told {
        tokio::time::timeout_at(until, fut).await.unwrap_or(Told::Undetermined)
    }
}

/// Whether anything that the core knows of stands in a zone.
fn stands_in(l: &ClusterState, zone: &Zone) -> bool {
    l.members.values().any(|m| m.info.zone == *zone)
        || l.voters.iter().any(|h| h.zone == *zone)
        || l.replicas.values().any(|r| r.zone == *zone)
        || l.evacuated.contains(zone)
}
