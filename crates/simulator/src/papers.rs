//! Documents that operators send during a run, and what they were told of each (design 7.4).

use crate::{acts::Act, fault::Fault, operator::Operator};
use tokio::time::Instant;

#[derive(Clone, Debug, PartialEq)]
pub enum DocumentOutcome {
    Accepted(u64),
    /// Never to take effect.
    Refused,
    /// No final answer, or one that left it open.
    Doubt,
}

#[derive(Clone, Debug)]
pub struct Paper {
    pub op: String,
    pub text: String,
    pub told: DocumentOutcome,
    /// When its outcome was told.
    pub at: Instant,
}

impl Paper {
    fn of(op: &str, text: &str, res: &Option<(u16, serde_json::Value)>) -> Paper {
        let told = match res {
            Some((200, v)) => {
                v["revision"].as_u64().map(DocumentOutcome::Accepted).unwrap_or(DocumentOutcome::Doubt)
            }
            Some((412 | 422, _)) => DocumentOutcome::Refused,
            _ => DocumentOutcome::Doubt,
        };
        Paper { op: op.into(), text: text.into(), told, at: Instant::now() }
    }
}

fn changed(doc: &str, x: &Fault, tag: u32) -> String {
    format!("{doc}\n# change at {} number {tag}\n", x.second)
}

pub async fn apply(op: &Operator, x: &Fault, seed: u64, out: &mut Act) {
    let Some((doc, base)) = op.shown_at().await else {
        out.ok = false;
        return;
    };
    let text = changed(&doc, x, 0);
    let at = Instant::now();
    let name = format!("apply-{seed}-{}", x.second);
    let res = op.apply_waiting(&text, base, &name).await;
    out.ok = res.as_ref().is_some_and(|r| r.0 == 200 && r.1["governs"] == true);
    out.governs_ms = Some(at.elapsed().as_millis() as u64);
    out.papers.push(Paper::of(&name, &text, &res));
}

pub async fn burst(op: &Operator, x: &Fault, seed: u64, out: &mut Act) {
    for n in 1..=3 {
        let Some((doc, base)) = op.shown_at().await else {
            out.ok = false;
            return;
        };
        let (text, name) = (changed(&doc, x, n), format!("burst-{seed}-{}-{n}", x.second));
        let res = op.apply(&text, base, &name).await;
        out.ok &= matches!(res, Some((200, _)));
        out.papers.push(Paper::of(&name, &text, &res));
    }
}

pub async fn race(op: &Operator, x: &Fault, seed: u64, out: &mut Act) {
    let Some((doc, base)) = op.shown_at().await else {
        out.ok = false;
        return;
    };
    let texts: Vec<String> = (1..=2).map(|n| changed(&doc, x, n)).collect();
    let names: Vec<String> = (1..=2).map(|n| format!("race-{seed}-{}-{n}", x.second)).collect();
    let other = op.turned();
    let (a, b) = tokio::join!(op.apply(&texts[0], base, &names[0]), other.apply(&texts[1], base, &names[1]));
    let codes: Vec<u16> = [&a, &b].iter().filter_map(|r| r.as_ref().map(|r| r.0)).collect();
    out.ok = codes.contains(&200) && codes.contains(&412);
    for (n, r) in [a, b].iter().enumerate() {
        out.papers.push(Paper::of(&names[n], &texts[n], r));
    }
}

/// One evacuates while the other changes a value of the document.
pub async fn evacuate_and_patch(op: &Operator, x: &Fault, seed: u64, out: &mut Act) {
    let Some((doc, base)) = op.shown_at().await else {
        out.ok = false;
        return;
    };
    let other = op.turned();
    let with = format!("slots = 4 # patched at {}", x.second);
    let body = serde_json::json!({"replace": [{"find": "slots = 4", "with": with}]}).to_string();
    let name = format!("patch-{seed}-{}", x.second);
    let (base, line) =
        (base.to_string(), doc.lines().find(|l| l.starts_with("slots = 4")).map(str::to_string));
    let headers = [("if-match", base.as_str()), ("foldshunt-op", name.as_str())];
    let (gone, res) = tokio::join!(
        op.evacuate(&x.whom, true),
        other.ask(hyper::Method::PATCH, "/v1/timetable", &headers, &body)
    );
    out.ok = gone;
    let text = line.map(|l| doc.replacen(&l, &l.replacen("slots = 4", &with, 1), 1)).unwrap_or_default();
    let res = res.map(|(c, b)| (c, serde_json::from_slice(&b).unwrap_or_default()));
    out.papers.push(Paper::of(&name, &text, &res));
}

/// What must be read back at the end, and what must not: doubts are asked for by their operation.
pub async fn settle(op: &Operator, acts: &mut [Act]) {
    for p in acts.iter_mut().flat_map(|a| a.papers.iter_mut()).filter(|p| p.told == DocumentOutcome::Doubt) {
        let res = op.ask(hyper::Method::GET, &format!("/v1/ops/{}", p.op), &[], "").await;
        let v: serde_json::Value = res.and_then(|(_, b)| serde_json::from_slice(&b).ok()).unwrap_or_default();
        p.told = match v["outcome"].as_str() {
            Some("accepted") => {
                v["revision"].as_u64().map(DocumentOutcome::Accepted).unwrap_or(DocumentOutcome::Doubt)
            }
            Some("refused") => DocumentOutcome::Refused,
            _ => DocumentOutcome::Doubt,
        };
        p.at = Instant::now();
    }
}

/// The newest accepted text, of all papers and the first document.
pub fn newest(acts: &[Act], first: &str) -> String {
    let papers = acts.iter().flat_map(|a| &a.papers);
    let accepted = papers.filter_map(|p| match p.told {
        DocumentOutcome::Accepted(r) => Some((r, p.text.as_str())),
        _ => None,
    });
    accepted.max_by_key(|a| a.0).map_or(first, |a| a.1).to_string()
}
