//! Faults of a fleet run, written on the command line as `SECOND:WHAT:WHOM` (design 7.4).

use std::str::FromStr;

/// A fault, or what an operator or the platform does to the fleet. `NAMES` has the name of each on the command line.
///
/// The order matters: from `Evacuate` on, the kinds concern replicas, zones and documents; those before it concern
/// machines, links and disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// Kills a node with SIGKILL.
    Kill,
    /// Stops a node with SIGTERM, as in planned work.
    Stop,
    /// Starts a node again with what is on its disk.
    Start,
    /// Starts a node with an empty data folder.
    Blank,
    /// Suspends a node's process (SIGSTOP).
    Freeze,
    /// Resumes a suspended process (SIGCONT).
    Thaw,
    /// The machine loses power: no connection is closed, and nothing answers until it is started.
    PowerOff,
    /// Cuts off a node, a zone or `core` (`p1`), only its outgoing traffic (`p1>`), or one link (`s1--s2`).
    Cut,
    /// Restores the links of a cut.
    Heal,
    /// Kills all control nodes at once.
    KillCore,
    /// Starts all control nodes.
    StartCore,
    /// An empty machine at a new address takes this voter's place; the old one is started later.
    Replace,
    /// A control node's disk becomes slow.
    SlowDisk,
    /// A control node's disk completes no write.
    StallDisk,
    /// A control node's disk fails at its next write.
    FailDisk,
    /// A control node's disk is healthy again.
    HealDisk,
    /// Evacuates a zone.
    Evacuate,
    /// Ends the evacuation of a zone.
    Restore,
    /// Two operators at once: one evacuates a zone, the other patches the document.
    EvacuateAndPatch,
    /// A replica crashes.
    Crash,
    /// A crashed replica starts again with an empty cache.
    Cold,
    /// A replica is drained.
    Drain,
    /// A replica is removed from the list.
    Remove,
    /// A replica stops answering without closing its connections.
    Mute,
    /// A replica that stopped answering is back.
    Unmute,
    /// A replica is lost for good: it crashes, and the platform removes it from the list a second later.
    Lose,
    /// A replica is taken away at short notice: drained, and gone two seconds later.
    Take,
    /// A replica is replaced: another one is listed, then this one is drained and removed.
    Swap,
    /// Every replica reports itself as unhealthy, until `BrownOver`.
    BrownOut,
    /// Every replica reports itself as healthy again.
    BrownOver,
    /// Every replica answers each request with 503 but still reports itself as healthy, until `AcceptAll`.
    RejectAll,
    /// Every replica serves requests again.
    AcceptAll,
    /// Applies a new document with a small change.
    Apply,
    /// Applies two documents at once, on the same base revision.
    Race,
    /// Applies three documents in quick succession.
    Burst,
    /// Kills all processes and replicas of a zone at once.
    KillZone,
    /// Starts all processes and replicas of a zone.
    StartZone,
}

/// One fault of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// When it happens, in seconds after the traffic began.
    pub second: f64,
    /// What happens.
    pub kind: FaultKind,
    /// The node, replica, zone or link concerned; empty where the kind needs none.
    pub target: String,
}

/// Each kind with its name on the command line.
const NAMES: &[(&str, FaultKind)] = &[
    ("kill", FaultKind::Kill),
    ("stop", FaultKind::Stop),
    ("start", FaultKind::Start),
    ("blank", FaultKind::Blank),
    ("freeze", FaultKind::Freeze),
    ("thaw", FaultKind::Thaw),
    ("dark", FaultKind::PowerOff),
    ("cut", FaultKind::Cut),
    ("mend", FaultKind::Heal),
    ("kill-core", FaultKind::KillCore),
    ("start-core", FaultKind::StartCore),
    ("replace", FaultKind::Replace),
    ("slow-disk", FaultKind::SlowDisk),
    ("stall-disk", FaultKind::StallDisk),
    ("fail-disk", FaultKind::FailDisk),
    ("well-disk", FaultKind::HealDisk),
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
    ("sour", FaultKind::RejectAll),
    ("sweet", FaultKind::AcceptAll),
    ("apply", FaultKind::Apply),
    ("race", FaultKind::Race),
    ("burst", FaultKind::Burst),
    ("kill-area", FaultKind::KillZone),
    ("start-area", FaultKind::StartZone),
];

impl FaultKind {
    /// Whether this is planned work, which must not make any accepted request fail.
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
    fn from_str(text: &str) -> Result<Self, String> {
        let mut parts = text.splitn(3, ':');
        let second = parts.next().and_then(|part| part.parse().ok()).filter(|second: &f64| *second >= 0.0);
        let kind =
            parts.next().and_then(|part| NAMES.iter().find(|(name, _)| *name == part)).map(|(_, kind)| *kind);
        match (second, kind) {
            (Some(second), Some(kind)) => {
                Ok(Fault { second, kind, target: parts.next().unwrap_or("").to_string() })
            }
            _ => {
                let names: Vec<_> = NAMES.iter().map(|(name, _)| *name).collect();
                Err(format!("{text:?}; allowed: SECOND:WHAT:WHOM, where WHAT is one of {}", names.join(", ")))
            }
        }
    }
}
