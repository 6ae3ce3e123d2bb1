//! Operations on the document and on zones, in any notation (design 4.9): replaced, amended, read back,
//! evacuated. Each may be sent again, to any control node.
//!
//! A document carries its own version; a change names the version that it builds on. The name of an operation is the
//! hash of what was sent, so the same sent again has the outcome of the first. The version is compared with the
//! newest committed state, and the change is logged on top of that state's revision, so that applying it decides
//! between two that were compared with the same state.

use super::{
    api::random_operation_id,
    outcome::{OperationOutcome, ServiceError},
};
use crate::{
    control_node::ControlNode,
    rpc::ProposalOutcome,
    state_machine::{ClusterState, OperationStatus, operation_status},
    types::{ApplyOutcome, Change, Document, MAX_DOCUMENT_BYTES},
};
use common::{NAME_RULE, OpId, Revision, Zone, is_valid_name};
use configuration::{Diagnostic, DocumentFormat};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::{collections::BTreeSet, hash::Hasher, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Callers ask another node after a second, or somewhat more where they sent much.
const TIMEOUT_MS: u64 = 800;
/// Bytes of a body for which a call has a millisecond more.
const BYTES_PER_MS: u64 = 2_048;

/// Carries out operators' operations at one control node.
pub struct OperatorService {
    node: Arc<ControlNode>,
    document_format: Arc<dyn DocumentFormat>,
    /// Zones that exist whether or not a node is in them now.
    zones: BTreeSet<Zone>,
}

fn deadline_in(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

fn invalid(message: impl Into<String>) -> OperationOutcome {
    OperationOutcome::Invalid(vec![Diagnostic { line: 1, column: 1, message: message.into() }])
}

/// The operation's name: the same for the same call on each node and in each version.
fn name_operation(kind: &str, base_version: u64, body: &str) -> OpId {
    let mut hasher = SipHasher13::new();
    hasher.write(kind.as_bytes());
    hasher.write(&base_version.to_le_bytes());
    hasher.write(body.as_bytes());
    OpId::new(format!("{kind}-{:032x}", hasher.finish128().as_u128()))
}

async fn before(deadline: Instant, operation: impl Future<Output = OperationOutcome>) -> OperationOutcome {
    tokio::time::timeout_at(deadline, operation).await.unwrap_or(OperationOutcome::Undetermined)
}

impl OperatorService {
    /// The service of one node, for documents in one notation.
    pub fn new(
        node: Arc<ControlNode>,
        document_format: Arc<dyn DocumentFormat>,
        zones: BTreeSet<Zone>,
    ) -> Self {
        Self { node, document_format, zones }
    }

    /// Replaces the document, which is kept byte for byte. `base_version` is 0 where there is none yet.
    pub async fn replace(&self, base_version: u64, text: &str) -> OperationOutcome {
        let op = name_operation("replace", base_version, text);
        self.submit(op, base_version, text, |_| Ok(text.into())).await
    }

    /// Changes named items of the document.
    pub async fn amend(&self, base_version: u64, change: &str) -> OperationOutcome {
        let op = name_operation("amend", base_version, change);
        self.submit(op, base_version, change, |current| self.document_format.amend(current, change)).await
    }

    /// The newest committed document and its version.
    ///
    /// # Errors
    /// See [`ServiceError`].
    pub async fn read(&self) -> Result<Option<(u64, Document)>, ServiceError> {
        let state = self.newest_state(deadline_in(TIMEOUT_MS)).await?;
        let version = self.version(&state)?;
        Ok(state.text.map(|text| (version, text)))
    }

    /// Begins or ends the evacuation of a zone: nothing new goes to its replicas.
    pub async fn evacuate(&self, zone: &str, on: bool) -> OperationOutcome {
        if !is_valid_name(zone) {
            return invalid(format!("area: {NAME_RULE}"));
        }
        let zone = Zone::new(zone);
        let deadline = deadline_in(TIMEOUT_MS);
        before(deadline, async {
            loop {
                let outcome = self.evacuate_once(&zone, on, deadline).await;
                // Another operator's order came between: this one is decided anew.
                if !matches!(outcome, OperationOutcome::Conflict { .. }) {
                    return outcome;
                }
            }
        })
        .await
    }

    /// On top of the newest state: an order that is late on its way does not undo what came after it.
    async fn evacuate_once(&self, zone: &Zone, on: bool, deadline: Instant) -> OperationOutcome {
        let state = match self.newest_state(deadline).await {
            Ok(state) => state,
            Err(why) => return why.into(),
        };
        if !self.zones.contains(zone) && !state.knows_zone(zone) {
            return invalid(format!("area: {zone} is known to no node"));
        }
        let change =
            Change::Evacuate { op: random_operation_id(), zone: zone.clone(), on, seen: state.index };
        self.propose(change, deadline).await
    }

    async fn submit(
        &self,
        op: OpId,
        base_version: u64,
        body: &str,
        make: impl FnOnce(&str) -> Result<String, Vec<Diagnostic>>,
    ) -> OperationOutcome {
        if body.len() > MAX_DOCUMENT_BYTES {
            return OperationOutcome::TooLarge;
        }
        let deadline = deadline_in(TIMEOUT_MS + body.len() as u64 / BYTES_PER_MS);
        before(deadline, async {
            match self.decide(op, base_version, make, deadline).await {
                Ok(outcome) => outcome,
                Err(why) => why.into(),
            }
        })
        .await
    }

    async fn decide(
        &self,
        op: OpId,
        base_version: u64,
        make: impl FnOnce(&str) -> Result<String, Vec<Diagnostic>>,
        deadline: Instant,
    ) -> Result<OperationOutcome, ServiceError> {
        let state = self.newest_state(deadline).await?;
        let current = self.version(&state)?;
        Ok(match operation_status(&state, &op, base_version, current) {
            OperationStatus::Decided(ApplyOutcome::Accepted { .. }) => self.confirm(op, deadline).await,
            OperationStatus::Decided(ApplyOutcome::Rejected { reason }) => invalid(reason),
            OperationStatus::Decided(ApplyOutcome::Conflict { .. }) | OperationStatus::Superseded => {
                OperationOutcome::Conflict { current: Some(current) }
            }
            OperationStatus::Forgotten => OperationOutcome::Undetermined,
            OperationStatus::Open => match self.new_document(&state, current, make) {
                Ok(text) => self.propose(Change::Apply { op, base: state.revision, text }, deadline).await,
                Err(outcome) => outcome,
            },
        })
    }

    /// Logs an accepted operation once more with nothing in it: its outcome stays, and it is acknowledged again only
    /// once most of the members hold it (design 3.7).
    async fn confirm(&self, op: OpId, deadline: Instant) -> OperationOutcome {
        let nothing = Change::Apply { op, base: Revision(u64::MAX), text: "".into() };
        match self.propose(nothing, deadline).await {
            // Its outcome was forgotten on the way.
            OperationOutcome::Conflict { .. } => OperationOutcome::Undetermined,
            outcome => outcome,
        }
    }

    /// The document to be logged on top of this state.
    fn new_document(
        &self,
        state: &ClusterState,
        current: u64,
        make: impl FnOnce(&str) -> Result<String, Vec<Diagnostic>>,
    ) -> Result<Document, OperationOutcome> {
        let text = make(state.text.as_deref().unwrap_or("")).map_err(OperationOutcome::Invalid)?;
        let text = Document::from(text);
        if !text.fits() {
            return Err(OperationOutcome::TooLarge);
        }
        let version = self.document_format.read(&text).map_err(OperationOutcome::Invalid)?.version;
        if version <= current {
            return Err(invalid(format!("version: {version}; allowed: above {current}, the current one")));
        }
        Ok(text)
    }

    /// The version of the document in force; 0 where there is none yet.
    fn version(&self, state: &ClusterState) -> Result<u64, ServiceError> {
        let Some(text) = &state.text else { return Ok(0) };
        self.document_format.read(text).map(|routes| routes.version).map_err(ServiceError::Unparsable)
    }

    async fn propose(&self, change: Change, deadline: Instant) -> OperationOutcome {
        // The process may have stood still since the state was read.
        if Instant::now() >= deadline {
            return OperationOutcome::Unavailable("the time for this call is over".into());
        }
        let timeout_ms = deadline.duration_since(Instant::now()).as_millis() as u64;
        match self.node.propose(change, timeout_ms).await {
            ProposalOutcome::Committed { outcome, .. } => self.committed(outcome).await,
            ProposalOutcome::NotLogged { why, .. } => OperationOutcome::Unavailable(why),
            ProposalOutcome::Undetermined => OperationOutcome::Undetermined,
        }
    }

    async fn committed(&self, outcome: ApplyOutcome) -> OperationOutcome {
        match outcome {
            ApplyOutcome::Accepted { .. } => OperationOutcome::Accepted,
            ApplyOutcome::Rejected { reason } => invalid(reason),
            ApplyOutcome::Conflict { .. } => {
                let state = self.node.newest_state().await.ok();
                OperationOutcome::Conflict { current: state.and_then(|state| self.version(&state).ok()) }
            }
        }
    }

    /// Nothing is proposed before the newest state is known: without it, nothing was.
    async fn newest_state(&self, deadline: Instant) -> Result<ClusterState, ServiceError> {
        match tokio::time::timeout_at(deadline, self.node.newest_state()).await {
            Ok(state) => state.map_err(ServiceError::Read),
            Err(_) => Err(ServiceError::TimedOut),
        }
    }
}
