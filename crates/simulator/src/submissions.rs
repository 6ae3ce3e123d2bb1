//! Documents that operators send during a run, and what they were told of each (design 7.4).

use crate::{actions::Action, fault::Fault, operator::Operator};
use tokio::time::Instant;

#[derive(Clone, Debug, PartialEq)]
pub enum DocumentOutcome {
    Accepted(u64),
    /// Never to take effect.
    Refused,
    /// No final answer, or one that left it open.
    Undetermined,
}

#[derive(Clone, Debug)]
pub struct Submission {
    pub op: String,
    pub text: String,
    pub outcome: DocumentOutcome,
    /// When its outcome was told.
    pub at: Instant,
}

impl Submission {
    fn new(op: &str, text: &str, res: &Option<(u16, serde_json::Value)>) -> Submission {
        let outcome = match res {
            Some((200, v)) => {
                v["revision"].as_u64().map(DocumentOutcome::Accepted).unwrap_or(DocumentOutcome::Undetermined)
            }
            Some((412 | 422, _)) => DocumentOutcome::Refused,
            _ => DocumentOutcome::Undetermined,
        };
        Submission { op: op.into(), text: text.into(), outcome, at: Instant::now() }
    }
}

fn with_comment(doc: &str, fault: &Fault, tag: u32) -> String {
    format!("{doc}\n# change at {} number {tag}\n", fault.second)
}

pub async fn apply(op: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    let Some((doc, base)) = op.document_and_revision().await else {
        action.ok = false;
        return;
    };
    let text = with_comment(&doc, fault, 0);
    let at = Instant::now();
    let name = format!("apply-{seed}-{}", fault.second);
    let res = op.apply_waiting(&text, base, &name).await;
    action.ok = res.as_ref().is_some_and(|r| r.0 == 200 && r.1["governs"] == true);
    action.in_force_ms = Some(at.elapsed().as_millis() as u64);
    action.submissions.push(Submission::new(&name, &text, &res));
}

pub async fn burst(op: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    for n in 1..=3 {
        let Some((doc, base)) = op.document_and_revision().await else {
            action.ok = false;
            return;
        };
        let (text, name) = (with_comment(&doc, fault, n), format!("burst-{seed}-{}-{n}", fault.second));
        let res = op.apply(&text, base, &name).await;
        action.ok &= matches!(res, Some((200, _)));
        action.submissions.push(Submission::new(&name, &text, &res));
    }
}

pub async fn race(op: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    let Some((doc, base)) = op.document_and_revision().await else {
        action.ok = false;
        return;
    };
    let texts: Vec<String> = (1..=2).map(|n| with_comment(&doc, fault, n)).collect();
    let names: Vec<String> = (1..=2).map(|n| format!("race-{seed}-{}-{n}", fault.second)).collect();
    let other = op.with_rotated_voters();
    let (a, b) = tokio::join!(op.apply(&texts[0], base, &names[0]), other.apply(&texts[1], base, &names[1]));
    let codes: Vec<u16> = [&a, &b].iter().filter_map(|r| r.as_ref().map(|r| r.0)).collect();
    action.ok = codes.contains(&200) && codes.contains(&412);
    for (n, r) in [a, b].iter().enumerate() {
        action.submissions.push(Submission::new(&names[n], &texts[n], r));
    }
}

/// One evacuates while the other changes a value of the document.
pub async fn evacuate_and_patch(op: &Operator, fault: &Fault, seed: u64, action: &mut Action) {
    let Some((doc, base)) = op.document_and_revision().await else {
        action.ok = false;
        return;
    };
    let other = op.with_rotated_voters();
    let with = format!("slots = 4 # patched at {}", fault.second);
    let body = serde_json::json!({"replace": [{"find": "slots = 4", "with": with}]}).to_string();
    let name = format!("patch-{seed}-{}", fault.second);
    let (base, line) =
        (base.to_string(), doc.lines().find(|l| l.starts_with("slots = 4")).map(str::to_string));
    let headers = [("if-match", base.as_str()), ("foldshunt-op", name.as_str())];
    let (evacuated, res) = tokio::join!(
        op.evacuate(&fault.target, true),
        other.ask(hyper::Method::PATCH, "/v1/timetable", &headers, &body)
    );
    action.ok = evacuated;
    let text = line.map(|l| doc.replacen(&l, &l.replacen("slots = 4", &with, 1), 1)).unwrap_or_default();
    let res = res.map(|(c, b)| (c, serde_json::from_slice(&b).unwrap_or_default()));
    action.submissions.push(Submission::new(&name, &text, &res));
}

/// What must be read back at the end, and what must not: doubts are asked for by their operation.
pub async fn resolve_undetermined(op: &Operator, actions: &mut [Action]) {
    for p in actions
        .iter_mut()
        .flat_map(|a| a.submissions.iter_mut())
        .filter(|p| p.outcome == DocumentOutcome::Undetermined)
    {
        let res = op.ask(hyper::Method::GET, &format!("/v1/ops/{}", p.op), &[], "").await;
        let v: serde_json::Value = res.and_then(|(_, b)| serde_json::from_slice(&b).ok()).unwrap_or_default();
        p.outcome = match v["outcome"].as_str() {
            Some("accepted") => {
                v["revision"].as_u64().map(DocumentOutcome::Accepted).unwrap_or(DocumentOutcome::Undetermined)
            }
            Some("refused") => DocumentOutcome::Refused,
            _ => DocumentOutcome::Undetermined,
        };
        p.at = Instant::now();
    }
}

/// The newest accepted text, of all papers and the first document.
pub fn newest_accepted(actions: &[Action], first: &str) -> String {
    let submissions = actions.iter().flat_map(|a| &a.submissions);
    let accepted = submissions.filter_map(|p| match p.outcome {
        DocumentOutcome::Accepted(r) => Some((r, p.text.as_str())),
        _ => None,
    });
    accepted.max_by_key(|a| a.0).map_or(first, |a| a.1).to_string()
}
