//! Faults of a fleet run, as written on the command line: `SECOND:WHAT:WHOM` (design 7.4).

use std::str::FromStr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// SIGKILL; a node's name.
    Kill,
    /// SIGTERM: a planned stop.
    Stop,
    /// Starts a node again with what is on its disk.
    Start,
    /// Starts it with an empty data folder.
    Blank,
    Freeze,
    Thaw,
    /// The machine loses its power: nothing is closed, nothing answers until it is started.
    Dark,
    /// Cuts a node, a zone or `core` off (`p1`), only outwards (`p1>`), or one link (`s1--s2`).
    Cut,
    Mend,
    /// All control nodes at once.
    KillCore,
    StartCore,
    /// An empty machine at a new address takes this voter's place; the old one is started later.
    Replace,
    /// A voter's disk turns slow, stalls, or fails at its next write; then it is well again.
    SlowDisk,
    StallDisk,
    FailDisk,
    WellDisk,
    Evacuate,
    Restore,
    /// Two operators at once: one evacuates, the other patches the document.
    EvacuateAndPatch,
    /// A replica crashes, comes back cold, is drained, or leaves the list.
    Crash,
    Cold,
    Drain,
    Remove,
    /// A replica goes dark without a close, and is back.
    Mute,
    Unmute,
    /// Lost for good: it crashes, and the platform takes it from the list a second later.
    Lose,
    /// Taken away at short notice: drained, and gone two seconds later.
    Take,
    /// Replaced: another one is listed, then this one is drained and removed.
    Swap,
    /// Every replica says that it is unwell, until it is over.
    BrownOut,
    BrownOver,
    /// Every replica answers 503 to each job, and reports itself as well, until it is over.
    Sour,
    Sweet,
    /// A new document with a small change.
    Apply,
    /// Two documents at once.
    Race,
    /// Three documents in quick succession.
    Burst,
    /// All processes and replicas of a zone at once.
    KillArea,
    StartArea,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub second: f64,
    pub kind: FaultKind,
    pub target: String,
}

const NAMES: &[(&str, FaultKind)] = &[
    ("kill", FaultKind::Kill),
    ("stop", FaultKind::Stop),
    ("start", FaultKind::Start),
    ("blank", FaultKind::Blank),
    ("freeze", FaultKind::Freeze),
    ("thaw", FaultKind::Thaw),
    ("dark", FaultKind::Dark),
    ("cut", FaultKind::Cut),
    ("mend", FaultKind::Mend),
    ("kill-core", FaultKind::KillCore),
    ("start-core", FaultKind::StartCore),
    ("replace", FaultKind::Replace),
    ("slow-disk", FaultKind::SlowDisk),
    ("stall-disk", FaultKind::StallDisk),
    ("fail-disk", FaultKind::FailDisk),
    ("well-disk", FaultKind::WellDisk),
    ("evacuate", FaultKind::Evacuate),
    ("restore", FaultKind::Restore),
    ("evacuate-and-patch", FaultKind::EvacuateAndPatch),
    ("crash", FaultKind::Crash),
    ("cold", FaultKind::Cold),
    ("drain", FaultKind::Drain),
    ("remove", FaultKind::Remove),
    ("mute", FaultKind::Mute),
    ("unmute", FaultKind::Unmute),
    ("lose", FaultKind::Lose),
    ("take", FaultKind::Take),
    ("swap", FaultKind::Swap),
    ("brown-out", FaultKind::BrownOut),
    ("brown-over", FaultKind::BrownOver),
    ("sour", FaultKind::Sour),
    ("sweet", FaultKind::Sweet),
    ("apply", FaultKind::Apply),
    ("race", FaultKind::Race),
    ("burst", FaultKind::Burst),
    ("kill-area", FaultKind::KillArea),
    ("start-area", FaultKind::StartArea),
];

impl FaultKind {
    /// Part of planned work: nothing that was read may be dropped by it.
    pub fn planned(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            Stop | Start
                | Evacuate
                | Restore
                | EvacuateAndPatch
                | Drain
                | Remove
                | Swap
                | Apply
                | Race
                | Burst
        )
    }
}

impl FromStr for Fault {
    type Err = String;
    fn from_str(s: &str) -> Result<Self, String> {
        let mut parts = s.splitn(3, ':');
        let second = parts.next().and_then(|p| p.parse().ok()).filter(|v: &f64| *v >= 0.0);
        let kind = parts.next().and_then(|p| NAMES.iter().find(|(n, _)| *n == p)).map(|n| n.1);
        match (second, kind) {
            (Some(second), Some(kind)) => {
                Ok(Fault { second, kind, target: parts.next().unwrap_or("").to_string() })
            }
            _ => {
                let names: Vec<_> = NAMES.iter().map(|n| n.0).collect();
                Err(format!("{s:?}; allowed: SECOND:WHAT:WHOM, where WHAT is one of {}", names.join(", ")))
            }
        }
    }
}
