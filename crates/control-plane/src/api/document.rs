//! The document: shown, applied whole, changed in parts (design 4.1, 4.2, 4.7).

use super::{Call, Early, Res, early, no};
use crate::{
    Document, MAX_DOC,
    change::{ApplyOutcome, Change},
    cluster_state::ClusterState,
    patch::{self, Patch},
};
use common::{
    Revision, Service, Zone,
    http::{json, text},
};
use hyper::StatusCode;
use serde_json::json as j;

impl Call<'_> {
    pub(super) async fn show(&self) -> Early<Res> {
        let l = self.state().await?;
        let Some(doc) = l.text else {
            return early(no(StatusCode::NOT_FOUND, "no document was accepted yet; base revision 0"));
        };
        let mut r = text(StatusCode::OK, doc.to_string());
        if let Ok(v) = format!("\"{}\"", l.revision).parse() {
            r.headers_mut().insert("etag", v);
        }
        Ok(r)
    }

    fn base(&self) -> Early<Revision> {
        let raw = self.base.clone().unwrap_or_default();
        match raw.trim().trim_matches('"').parse() {
            Ok(n) => Ok(Revision(n)),
            Err(_) => early(no(
                StatusCode::PRECONDITION_REQUIRED,
                format!(
                    "If-Match: {raw:?}; allowed: the revision that this change is based on, such as \"7\" (\"0\" for the first)"
                ),
            )),
        }
    }

    pub(super) async fn put(&self, bytes: &[u8]) -> Early<Res> {
        let base = self.base()?;
        let Ok(src) = std::str::from_utf8(bytes) else {
            return early(no(StatusCode::UNPROCESSABLE_ENTITY, "the document is not UTF-8"));
        };
        let text = Document::from(src);
        // A patch may lengthen what it changes.
        if !text.fits() {
            return early(no(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!(
                    "the document: {} bytes, packed {}; allowed: {MAX_DOC}, packed a quarter",
                    text.len(),
                    text.packed_len()
                ),
            ));
        }
        let l = self.state().await?;
        if l.outcome(&self.op).is_none() {
            self.check(src, &l)?;
        }
        self.propose(Change::Apply { op: self.op.clone(), base, text }).await
    }

    /// All flaws at once; nothing was logged, so nothing can take effect (design 4.2).
    fn check(&self, src: &str, l: &ClusterState) -> Early<()> {
        let flaws = flaws(&self.core.set.cluster, src, l);
        if flaws.is_empty() {
            return Ok(());
        }
        early(json(StatusCode::UNPROCESSABLE_ENTITY, &j!({"outcome": "refused", "flaws": flaws})))
    }

    pub(super) async fn patch(&self, bytes: &[u8]) -> Early<Res> {
        let base = self.base()?;
        let p: Patch = match serde_json::from_slice(bytes) {
            Ok(p) => p,
            Err(e) => return early(no(StatusCode::BAD_REQUEST, format!("body: {e}"))),
        };
        let l = self.state().await?;
        if let Some(v) = l.outcome(&self.op) {
            return Ok(self.told(&v));
        }
        if base != l.revision {
            return Ok(self.told(&ApplyOutcome::Conflict { current: l.revision }));
        }
        let src = match patch::apply(l.text.as_deref().unwrap_or(""), &p) {
            Ok(s) => s,
            Err(e) => return early(no(StatusCode::UNPROCESSABLE_ENTITY, e)),
        };
        self.put(src.as_bytes()).await
    }
}

/// Why a document is not to be logged, seen from the state as it is.
pub fn flaws(cluster: &str, src: &str, l: &ClusterState) -> Vec<configuration::Flaw> {
    let listed: Vec<(Service, Zone)> =
        l.replicas.values().filter(|r| !r.draining).map(|r| (r.service.clone(), r.zone.clone())).collect();
    match configuration::compile(src) {
        Ok(t) if t.cluster != cluster => vec![configuration::Flaw {
            line: 1,
            column: 1,
            message: format!("cluster: {:?}; allowed: {:?}", t.cluster, cluster),
        }],
        Ok(t) => {
            let old = l.members.values().filter(|m| m.info.lang < t.lang).map(|m| configuration::Flaw {
                line: 1,
                column: 1,
                message: format!(
                    "{} reads language version {}; this document needs {}",
                    m.info.node, m.info.lang, t.lang
                ),
            });
            configuration::check_fleet(src, &t, &listed).into_iter().chain(old).collect()
        }
        Err(f) => f,
    }
}
