//! Documents that operators submit during a run, and the outcome of each (design 7.4).

use crate::{actions::Action, fault::Fault, operator::Operator};
use tokio::time::Instant;

/// What became of a document.
#[derive(Clone, Debug, PartialEq)]
pub enum DocumentOutcome {
    /// Accepted as this revision.
    Accepted(u64),
    /// It will never take effect.
    Refused,
    /// There was no answer, or none that said whether it was accepted.
    Undetermined,
}

/// A document that an operator submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Operation id.
    pub op: String,
    /// The document.
    pub text: String,
    /// What became of it, as far as the operator knows.
    pub outcome: DocumentOutcome,
    /// When the operator learned its outcome.
    pub at: Instant,
}

impl Submission {
    fn new(op: &str, text: &str, answer: &Option<(u16, serde_json::Value)>) -> Submission {
        let outcome = match answer {
            Some((200, body)) => body["revision"]
                .as_u64()
                .map(DocumentOutcome::Accepted)
                .unwrap_or(DocumentOutcome::Undetermined),
            Some((412 | 422, _)) => DocumentOutcome::Refused,
            _ => DocumentOutcome::Undetermined,
        };
        Submission { op: op.into(), text: text.into(), outcome, at: Instant::now() }
    }
}

/// The document with a comment added, so that each submission differs.
fn with_comment(document: &str, fault: &Fault, tag: u32) -> String {
    format!("{document}\n# change at {} number {tag}\n", fault.second)
}

/// Applies a changed document, and waits until all nodes use it.
pub async fn apply(operator: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    let Some((document, base)) = operator.document_and_revision().await else {
        action.ok = false;
        return;
    };
    let text = with_comment(&document, fault, 0);
    let at = Instant::now();
    let name = format!("apply-{seed}-{}", fault.second);
    let answer = operator.apply_waiting(&text, base, &name).await;
    action.ok = answer.as_ref().is_some_and(|r| r.0 == 200 && r.1["governs"] == true);
    action.in_force_ms = Some(at.elapsed().as_millis() as u64);
    action.submissions.push(Submission::new(&name, &text, &answer));
}

/// Applies three documents in quick succession.
pub async fn burst(operator: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    for n in 1..=3 {
        let Some((document, base)) = operator.document_and_revision().await else {
            action.ok = false;
            return;
        };
        let (text, name) = (with_comment(&document, fault, n), format!("burst-{seed}-{}-{n}", fault.second));
        let answer = operator.apply(&text, base, &name).await;
        action.ok &= matches!(answer, Some((200, _)));
        action.submissions.push(Submission::new(&name, &text, &answer));
    }
}

/// Two operators apply on the same base revision: one must be accepted, the other refused.
pub async fn race(operator: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    let Some((document, base)) = operator.document_and_revision().await else {
        action.ok = false;
        return;
    };
    let texts: Vec<String> = (1..=2).map(|n| with_comment(&document, fault, n)).collect();
    let names: Vec<String> = (1..=2).map(|n| format!("race-{seed}-{}-{n}", fault.second)).collect();
    let other = operator.with_rotated_voters();
    let (a, b) =
        tokio::join!(operator.apply(&texts[0], base, &names[0]), other.apply(&texts[1], base, &names[1]));
    let codes: Vec<u16> = [&a, &b].iter().filter_map(|r| r.as_ref().map(|r| r.0)).collect();
    action.ok = codes.contains(&200) && codes.contains(&412);
    for (n, r) in [a, b].iter().enumerate() {
        action.submissions.push(Submission::new(&names[n], &texts[n], r));
    }
}

/// One operator evacuates a zone while another patches the document.
pub async fn evacuate_and_patch(operator: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    let Some((document, base)) = operator.document_and_revision().await else {
        action.ok = false;
        return;
    };
    let other = operator.with_rotated_voters();
    let with = format!("slots = 4 # patched at {}", fault.second);
    let body = serde_json::json!({"replace": [{"find": "slots = 4", "with": with}]}).to_string();
    let name = format!("patch-{seed}-{}", fault.second);
    let (base, line) =
        (base.to_string(), document.lines().find(|l| l.starts_with("slots = 4")).map(str::to_string));
    let headers = [("if-match", base.as_str()), ("foldshunt-op", name.as_str())];
    let (evacuated, answer) = tokio::join!(
        operator.evacuate(&fault.target, true),
        other.ask(hyper::Method::PATCH, "/v1/timetable", &headers, &body)
    );
    action.ok = evacuated;
    let text = line.map(|l| document.replacen(&l, &l.replacen("slots = 4", &with, 1), 1)).unwrap_or_default();
    let answer = answer.map(|(c, b)| (c, serde_json::from_slice(&b).unwrap_or_default()));
    action.submissions.push(Submission::new(&name, &text, &answer));
}

/// Asks for the outcome of each undetermined submission by its operation id. The audit must know which documents may
/// be read back at the end.
pub async fn resolve_undetermined(operator: &Operator, actions: &mut [Action]) {
    for submission in actions
        .iter_mut()
        .flat_map(|a| a.submissions.iter_mut())
        .filter(|submission| submission.outcome == DocumentOutcome::Undetermined)
    {
        let answer = operator.ask(hyper::Method::GET, &format!("/v1/ops/{}", submission.op), &[], "").await;
        let status: serde_json::Value =
            answer.and_then(|(_, b)| serde_json::from_slice(&b).ok()).unwrap_or_default();
        submission.outcome = match status["outcome"].as_str() {
            Some("accepted") => status["revision"]
                .as_u64()
                .map(DocumentOutcome::Accepted)
                .unwrap_or(DocumentOutcome::Undetermined),
            Some("refused") => DocumentOutcome::Refused,
            _ => DocumentOutcome::Undetermined,
        };
        submission.at = Instant::now();
    }
}

/// The newest accepted document of all submissions; without any, the first document.
pub fn newest_accepted(actions: &[Action], first: &str) -> String {
    let submissions = actions.iter().flat_map(|a| &a.submissions);
    let accepted = submissions.filter_map(|submission| match submission.outcome {
        DocumentOutcome::Accepted(r) => Some((r, submission.text.as_str())),
        _ => None,
    });
    accepted.max_by_key(|a| a.0).map_or(first, |a| a.1).to_string()
}
