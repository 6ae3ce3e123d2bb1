//! Operations on the document, in any format, and on zones (design 4.9): replace, amend, read and evacuate. Each may be
//! retried, at any control node.
//!
//! A document contains its own version; a change names the version that it is based on. The operation's id is a hash of
//! the request, so a retry has the outcome of the first attempt. The base version is compared with the newest committed
//! state, and the change is logged with that state's revision as its base: of two changes that were compared with the
//! same state, only one can be applied.

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

/// Timeout of an operation, in milliseconds. Callers try another node after a second, or later after a long request.
const TIMEOUT_MS: u64 = 800;
/// The timeout is a millisecond longer for each of these many bytes of the body.
const BYTES_PER_MS: u64 = 2_048;

/// Handles operators' operations at one control node.
pub struct OperatorService {
    node: Arc<ControlNode>,
    document_format: Arc<dyn DocumentFormat>,
    /// Zones that are known even if no node is in them now.
    zones: BTreeSet<Zone>,
}

fn deadline_in(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

fn invalid(message: impl Into<String>) -> OperationOutcome {
    OperationOutcome::Invalid(vec![Diagnostic { line: 1, column: 1, message: message.into() }])
}

/// Id of the operation: the same for the same request at each node and in each version of the program.
fn operation_id(kind: &str, base_version: u64, body: &str) -> OpId {
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
    /// The service at `node`, for documents in this format.
    pub fn new(
        node: Arc<ControlNode>,
        document_format: Arc<dyn DocumentFormat>,
        zones: BTreeSet<Zone>,
    ) -> Self {
        Self { node, document_format, zones }
    }

    /// Replaces the document; the text is stored byte for byte. `base_version` is 0 if there is no document yet.
    pub async fn replace(&self, base_version: u64, text: &str) -> OperationOutcome {
        let op = operation_id("replace", base_version, text);
        self.submit(op, base_version, text, |_| Ok(text.into())).await
    }

    /// Changes named items of the document.
    pub async fn amend(&self, base_version: u64, change: &str) -> OperationOutcome {
        let op = operation_id("amend", base_version, change);
        self.submit(op, base_version, change, |current| self.document_format.amend(current, change)).await
    }

    /// Returns the newest committed document and its version.
    ///
    /// # Errors
    /// See [`ServiceError`].
    pub async fn read(&self) -> Result<Option<(u64, Document)>, ServiceError> {
        let state = self.newest_state(deadline_in(TIMEOUT_MS)).await?;
        let version = self.version(&state)?;
        Ok(state.text.map(|text| (version, text)))
    }

    /// Begins or ends the evacuation of a zone, during which its replicas get no new requests.
    pub async fn evacuate(&self, zone: &str, on: bool) -> OperationOutcome {
        if !is_valid_name(zone) {
            return invalid(format!("area: {NAME_RULE}"));
        }
        let zone = Zone::new(zone);
        let deadline = deadline_in(TIMEOUT_MS);
        before(deadline, async {
            loop {
                let outcome = self.evacuate_once(&zone, on, deadline).await;
                // Another evacuation was committed in between: retry on top of the newer state.
                if !matches!(outcome, OperationOutcome::Conflict { .. }) {
                    return outcome;
                }
            }
        })
        .await
    }

    /// Proposes the evacuation on top of the newest state, so that a delayed proposal can't undo a later one.
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

    /// Confirms an accepted operation that is retried: logs it again without content, which keeps its outcome, so that
    /// it is acknowledged only once a majority of the members have it (design 3.7).
    async fn confirm(&self, op: OpId, deadline: Instant) -> OperationOutcome {
        let empty_change = Change::Apply { op, base: Revision(u64::MAX), text: "".into() };
        match self.propose(empty_change, deadline).await {
            // The outcome of the first attempt was dropped in the meantime.
            OperationOutcome::Conflict { .. } => OperationOutcome::Undetermined,
            outcome => outcome,
        }
    }

    /// Makes the document to log on top of this state.
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

    /// Version of the current document; 0 if there is none yet.
    fn version(&self, state: &ClusterState) -> Result<u64, ServiceError> {
        let Some(text) = &state.text else { return Ok(0) };
        self.document_format.read(text).map(|routes| routes.version).map_err(ServiceError::Unparsable)
    }

    async fn propose(&self, change: Change, deadline: Instant) -> OperationOutcome {
        // The process may have been suspended since the state was read.
        if Instant::now() >= deadline {
            return OperationOutcome::Unavailable("the call timed out before anything was proposed".into());
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

    /// Reads the newest state. Each operation does so before it proposes anything, so an error means that nothing was
    /// logged.
    async fn newest_state(&self, deadline: Instant) -> Result<ClusterState, ServiceError> {
        match tokio::time::timeout_at(deadline, self.node.newest_state()).await {
            Ok(state) => state.map_err(ServiceError::Read),
            Err(_) => Err(ServiceError::TimedOut),
        }
    }
}
