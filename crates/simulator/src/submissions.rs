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
    /// There was no answer, or the answer did not say whether it was accepted.
    Undetermined,
}

/// A document that an operator submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Operation id.
    pub operation: String,
    /// The document.
    pub text: String,
    /// What became of it, as far as the operator knows.
    pub outcome: DocumentOutcome,
    /// When the operator learned its outcome.
    pub resolved_at: Instant,
}

impl Submission {
    fn new(operation: &str, text: &str, answer: &Option<(u16, serde_json::Value)>) -> Submission {
        let outcome = match answer {
            Some((200, body)) => body["revision"]
                .as_u64()
                .map(DocumentOutcome::Accepted)
                .unwrap_or(DocumentOutcome::Undetermined),
            Some((412 | 422, _)) => DocumentOutcome::Refused,
            _ => DocumentOutcome::Undetermined,
        };
        Submission { operation: operation.into(), text: text.into(), outcome, resolved_at: Instant::now() }
    }
}

/// The document with a comment added, so that each submission differs.
fn with_comment(document: &str, fault: &Fault, tag: u32) -> String {
    format!("{document}\n# change at {} number {tag}\n", fault.second)
}

/// Applies a changed document, and waits until all nodes use it.
pub async fn apply(operator: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    let Some((document, base)) = operator.document_and_revision().await else {
        action.succeeded = false;
        return;
    };
    let text = with_comment(&document, fault, 0);
    let submitted_at = Instant::now();
    let name = format!("apply-{seed}-{}", fault.second);
    let answer = operator.apply_waiting(&text, base, &name).await;
    action.succeeded = answer.as_ref().is_some_and(|(code, body)| *code == 200 && body["governs"] == true);
    action.in_force_ms = Some(submitted_at.elapsed().as_millis() as u64);
    action.submissions.push(Submission::new(&name, &text, &answer));
}

/// Applies three documents in quick succession.
pub async fn burst(operator: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    for number in 1..=3 {
        let Some((document, base)) = operator.document_and_revision().await else {
            action.succeeded = false;
            return;
        };
        let (text, name) =
            (with_comment(&document, fault, number), format!("burst-{seed}-{}-{number}", fault.second));
        let answer = operator.apply(&text, base, &name).await;
        action.succeeded &= matches!(answer, Some((200, _)));
        action.submissions.push(Submission::new(&name, &text, &answer));
    }
}

/// Two operators apply on the same base revision: one must be accepted, the other refused.
pub async fn race(operator: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    let Some((document, base)) = operator.document_and_revision().await else {
        action.succeeded = false;
        return;
    };
    let texts: Vec<String> = (1..=2).map(|n| with_comment(&document, fault, n)).collect();
    let names: Vec<String> = (1..=2).map(|n| format!("race-{seed}-{}-{n}", fault.second)).collect();
    let other = operator.with_rotated_voters();
    let (first, second) =
        tokio::join!(operator.apply(&texts[0], base, &names[0]), other.apply(&texts[1], base, &names[1]));
    let codes: Vec<u16> =
        [&first, &second].iter().filter_map(|answer| answer.as_ref().map(|(code, _)| *code)).collect();
    action.succeeded = codes.contains(&200) && codes.contains(&412);
    for (index, answer) in [first, second].iter().enumerate() {
        action.submissions.push(Submission::new(&names[index], &texts[index], answer));
    }
}

/// One operator evacuates a zone while another patches the document.
pub async fn evacuate_and_patch(operator: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    let Some((document, base)) = operator.document_and_revision().await else {
        action.succeeded = false;
        return;
    };
    let other = operator.with_rotated_voters();
    let with = format!("slots = 4 # patched at {}", fault.second);
    let body = serde_json::json!({"replace": [{"find": "slots = 4", "with": with}]}).to_string();
    let name = format!("patch-{seed}-{}", fault.second);
    let (base, line) =
        (base.to_string(), document.lines().find(|line| line.starts_with("slots = 4")).map(str::to_string));
    let headers = [("if-match", base.as_str()), ("foldshunt-op", name.as_str())];
    let (evacuated, answer) = tokio::join!(
        operator.evacuate(&fault.target, true),
        other.ask(hyper::Method::PATCH, "/v1/timetable", &headers, &body)
    );
    action.succeeded = evacuated;
    let text = line
        .map(|line| document.replacen(&line, &line.replacen("slots = 4", &with, 1), 1))
        .unwrap_or_default();
    let answer = answer.map(|(code, body)| (code, serde_json::from_slice(&body).unwrap_or_default()));
    action.submissions.push(Submission::new(&name, &text, &answer));
}

/// Asks for the outcome of each undetermined submission by its operation id. The audit must know which documents may
/// be read back at the end.
pub async fn resolve_undetermined(operator: &Operator, actions: &mut [Action]) {
    for submission in actions
        .iter_mut()
        .flat_map(|action| action.submissions.iter_mut())
        .filter(|submission| submission.outcome == DocumentOutcome::Undetermined)
    {
        let answer =
            operator.ask(hyper::Method::GET, &format!("/v1/ops/{}", submission.operation), &[], "").await;
        let status: serde_json::Value =
            answer.and_then(|(_, body)| serde_json::from_slice(&body).ok()).unwrap_or_default();
        submission.outcome = match status["outcome"].as_str() {
            Some("accepted") => status["revision"]
                .as_u64()
                .map(DocumentOutcome::Accepted)
                .unwrap_or(DocumentOutcome::Undetermined),
            Some("refused") => DocumentOutcome::Refused,
            _ => DocumentOutcome::Undetermined,
        };
        submission.resolved_at = Instant::now();
    }
}

/// The newest accepted document of all submissions; without any, the first document.
pub fn newest_accepted(actions: &[Action], first: &str) -> String {
    let submissions = actions.iter().flat_map(|action| &action.submissions);
    let accepted = submissions.filter_map(|submission| match submission.outcome {
        DocumentOutcome::Accepted(revision) => Some((revision, submission.text.as_str())),
        _ => None,
    });
    accepted.max_by_key(|(revision, _)| *revision).map_or(first, |(_, text)| text).to_string()
}
