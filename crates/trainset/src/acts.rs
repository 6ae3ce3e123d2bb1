//! What happens to a fleet during a run: faults, and what operators do (design 7.4).

use crate::{
    fault::{Fault, What},
    fleet::Fleet,
};
use eyre::Result;
use tokio::time::Instant;

/// What operators did and saw during the run.
#[derive(Clone, Debug)]
pub struct Act {
    pub at: Instant,
    pub what: String,
    pub fault: Fault,
    pub ok: bool,
    /// For documents: how long until all nodes said that it governs.
    pub governs_ms: Option<u64>,
    /// For documents: its text, if it was accepted.
    pub text: Option<String>,
}

pub async fn act(f: &mut Fleet, x: &Fault, seed: u64) -> Act {
    let at = Instant::now();
    let what = format!("{}:{:?}:{}", x.second, x.what, x.whom);
    let mut out = Act { at, what, fault: x.clone(), ok: true, governs_ms: None, text: None };
    let op = f.operator();
    let whom = x.whom.as_str();
    let area: Vec<String> = f.nodes.iter().filter(|n| n.area == whom).map(|n| n.name.clone()).collect();
    let res: Result<bool> = async {
        match x.what {
            What::Kill => f.node(whom)?.kill().await?,
            What::Stop => drop(f.node(whom)?.stop().await?),
            What::Start => f.start_node(whom)?,
            What::Blank => {
                f.node(whom)?.wipe()?;
                f.start_node(whom)?;
            }
            What::Freeze => f.node(whom)?.freeze()?,
            What::Thaw => f.node(whom)?.thaw()?,
            What::Cut => f.cut(whom),
            What::Mend => f.mend(whom),
            What::KillArea => {
                for n in &area {
                    f.node(n)?.kill().await?;
                }
                f.backs.iter().filter(|b| b.shape.area == whom).for_each(|b| b.crash());
            }
            What::StartArea => {
                for n in &area {
                    f.start_node(n)?;
                }
                for b in f.backs.iter().filter(|b| b.shape.area == whom) {
                    b.start().await?;
                }
            }
            What::Evacuate => return Ok(op.evacuate(whom, true).await),
            What::Restore => return Ok(op.evacuate(whom, false).await),
            What::Crash => f.back(whom)?.crash(),
            What::Cold => f.back(whom)?.start().await?,
            What::Drain => {
                let path = format!("/v1/replicas/{whom}/drain");
                return Ok(matches!(op.ask(hyper::Method::POST, &path, &[], "").await, Some((200, _))));
            }
            What::Remove => {
                let path = format!("/v1/replicas/{whom}");
                return Ok(matches!(op.ask(hyper::Method::DELETE, &path, &[], "").await, Some((200, _))));
            }
            What::Apply | What::Race => return Ok(false),
        }
        Ok(true)
    }
    .await;
    match x.what {
        What::Apply => apply(&op, x, seed, &mut out).await,
        What::Race => race(&op, x, seed, &mut out).await,
        _ => out.ok = res.unwrap_or(false),
    }
    out
}

fn changed(doc: &str, x: &Fault, tag: u32) -> String {
    format!("{doc}\n# change at {} number {tag}\n", x.second)
}

async fn apply(op: &crate::operator::Operator, x: &Fault, seed: u64, out: &mut Act) {
    let (Some(doc), Some(st)) = (op.shown().await, op.status().await) else {
        out.ok = false;
        return;
    };
    let base = st["revision"].as_u64().unwrap_or(0);
    let text = changed(&doc, x, 0);
    let at = Instant::now();
    let name = format!("apply-{seed}-{}", x.second);
    let res = op.apply_waiting(&text, base, &name).await;
    out.ok = res.as_ref().is_some_and(|r| r.0 == 200 && r.1["governs"] == true);
    out.governs_ms = Some(at.elapsed().as_millis() as u64);
    out.text = res.filter(|r| r.0 == 200).map(|_| text);
}

async fn race(op: &crate::operator::Operator, x: &Fault, seed: u64, out: &mut Act) {
    let (Some(doc), Some(st)) = (op.shown().await, op.status().await) else {
        out.ok = false;
        return;
    };
    let base = st["revision"].as_u64().unwrap_or(0);
    let texts: Vec<String> = (1..=2).map(|n| changed(&doc, x, n)).collect();
    let names: Vec<String> = (1..=2).map(|n| format!("race-{seed}-{}-{n}", x.second)).collect();
    let (a, b) = tokio::join!(op.apply(&texts[0], base, &names[0]), op.apply(&texts[1], base, &names[1]));
    let codes: Vec<u16> = [&a, &b].iter().filter_map(|r| r.as_ref().map(|r| r.0)).collect();
    out.ok = codes.contains(&200) && codes.contains(&412);
    let won = if matches!(a, Some((200, _))) { 0 } else { 1 };
    out.text = codes.contains(&200).then(|| texts[won].clone());
}
