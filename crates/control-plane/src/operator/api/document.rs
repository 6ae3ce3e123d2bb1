//! Calls that show, replace and patch the document (design 4.1, 4.2, 4.7).

use super::{ApiResponse, Call, Early, early, error};
use crate::{
    operator::patch::{self, Patch},
    state_machine::ClusterState,
    types::{ApplyOutcome, Change, Document, MAX_DOCUMENT_BYTES},
};
use bytes::Bytes;
use common::{
    Revision, Service, Zone,
    http::{json, text},
};
use configuration::{Diagnostic, RoutingTable};
use hyper::StatusCode;
use serde_json::json as j;

impl Call<'_> {
    pub(super) async fn show_document(&self) -> Early<ApiResponse> {
        let state = self.newest_state().await?;
        let Some(document) = state.text else {
            return early(error(
                StatusCode::NOT_FOUND,
                "no document was accepted yet; the base revision is 0",
            ));
        };
        let mut response = text(StatusCode::OK, document.to_string());
        if let Ok(tag) = format!("\"{}\"", state.revision).parse() {
            response.headers_mut().insert("etag", tag);
        }
        Ok(response)
    }

    /// The revision that the change is based on, from `If-Match`.
    fn base_revision(&self) -> Early<Revision> {
        let raw = self.base.clone().unwrap_or_default();
        match raw.trim().trim_matches('"').parse() {
            Ok(revision) => Ok(Revision(revision)),
            Err(_) => early(error(
                StatusCode::PRECONDITION_REQUIRED,
                format!(
                    "If-Match: {raw:?}; allowed: the revision that this change is based on, such as \"7\" (\"0\" for the first)"
                ),
            )),
        }
    }

    pub(super) async fn replace_document(&self, body: &[u8]) -> Early<ApiResponse> {
        let base = self.base_revision()?;
        let Ok(source) = std::str::from_utf8(body) else {
            return early(error(StatusCode::UNPROCESSABLE_ENTITY, "the document is not UTF-8"));
        };
        let text = Document::from(source);
        // The limit on the body does not cover this: a patch may make the document longer.
        if !text.fits() {
            return early(error(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!(
                    "the document: {} bytes, compressed {}; allowed: {MAX_DOCUMENT_BYTES}, compressed a quarter",
                    text.len(),
                    text.packed_len()
                ),
            ));
        }
        let state = self.newest_state().await?;
        if state.outcome(&self.op).is_none() {
            self.refuse_invalid(source, &state)?;
        }
        self.propose(Change::Apply { op: self.op.clone(), base, text }).await
    }

    /// Refuses an invalid document with all its diagnostics. Nothing was logged, so nothing can take effect (design
    /// 4.2).
    fn refuse_invalid(&self, source: &str, state: &ClusterState) -> Early<()> {
        let diagnostics = check_document(&self.node.settings.cluster, source, state);
        if diagnostics.is_empty() {
            return Ok(());
        }
        early(json(StatusCode::UNPROCESSABLE_ENTITY, &j!({"outcome": "refused", "flaws": diagnostics})))
    }

    pub(super) async fn patch_document(&self, body: &Bytes) -> Early<ApiResponse> {
        let base = self.base_revision()?;
        let patch: Patch = super::parse(body)?;
        let state = self.newest_state().await?;
        if let Some(outcome) = state.outcome(&self.op) {
            return Ok(self.answer(&outcome));
        }
        if base != state.revision {
            return Ok(self.answer(&ApplyOutcome::Conflict { current: state.revision }));
        }
        let current = state.text.as_deref().unwrap_or("");
        match patch::apply(current, &patch) {
            Ok(source) => self.replace_document(source.as_bytes()).await,
            Err(why) => early(error(StatusCode::UNPROCESSABLE_ENTITY, why.to_string())),
        }
    }
}

/// Returns the reasons why a document must not be logged on top of this state; none if it may be.
pub fn check_document(cluster: &str, source: &str, state: &ClusterState) -> Vec<Diagnostic> {
    let table = match configuration::compile(source) {
        Ok(table) => table,
        Err(diagnostics) => return diagnostics,
    };
    if table.cluster != cluster {
        let message = format!("cluster: {:?}; allowed: {cluster:?}", table.cluster);
        return vec![Diagnostic { line: 1, column: 1, message }];
    }
    let replicas = state.replicas.values().filter(|replica| !replica.draining);
    let listed: Vec<(Service, Zone)> =
        replicas.map(|replica| (replica.service.clone(), replica.zone.clone())).collect();
    let mut diagnostics = configuration::check_fleet(source, &table, &listed);
    diagnostics.extend(outdated_members(&table, state));
    diagnostics
}

/// Reports the members that can't compile the document.
fn outdated_members(table: &RoutingTable, state: &ClusterState) -> impl Iterator<Item = Diagnostic> {
    let outdated = state.members.values().filter(|member| member.info.lang < table.language_version);
    outdated.map(|member| Diagnostic {
        line: 1,
        column: 1,
        message: format!(
            "{} reads language version {}; this document needs {}",
            member.info.node, member.info.lang, table.language_version
        ),
    })
}
