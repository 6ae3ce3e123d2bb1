//! Faults of a fleet run, as written on the command line: `SECOND:WHAT:WHOM` (design 7.4).

use std::str::FromStr;

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// SIGKILL; the node's name.
    Kill,
    /// SIGTERM: a planned stop.
    Stop,
    /// Starts a node again with what is on its disk.
    Start,
    /// Starts it with an empty data folder.
    Blank,
    Freeze,
    Thaw,
    /// Cuts a node or area off (`p1`), only outwards (`p1>`), or one link (`s1--s2`).
    Cut,
    Mend,
    Evacuate,
    Restore,
    /// A replica crashes, comes back cold, is drained, or leaves.
    Crash,
    Cold,
    Drain,
    Remove,
    /// A new document with a small change.
    Apply,
    /// Two documents at once.
    Race,
    /// All processes of an area at once.
    KillArea,
    StartArea,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub second: f64,
    pub what: What,
    pub whom: String,
}

const NAMES: &[(&str, What)] = &[
    ("kill", What::Kill),
    ("stop", What::Stop),
    ("start", What::Start),
    ("blank", What::Blank),
    ("freeze", What::Freeze),
    ("thaw", What::Thaw),
    ("cut", What::Cut),
    ("mend", What::Mend),
    ("evacuate", What::Evacuate),
    ("restore", What::Restore),
    ("crash", What::Crash),
    ("cold", What::Cold),
    ("drain", What::Drain),
    ("remove", What::Remove),
    ("apply", What::Apply),
    ("race", What::Race),
    ("kill-area", What::KillArea),
    ("start-area", What::StartArea),
];

impl FromStr for Fault {
    type Err = String;
    fn from_str(s: &str) -> Result<Self, String> {
        let mut parts = s.splitn(3, ':');
        let second = parts.next().and_then(|p| p.parse().ok()).filter(|v: &f64| *v >= 0.0);
        let what = parts.next().and_then(|p| NAMES.iter().find(|(n, _)| *n == p)).map(|n| n.1.clone());
        match (second, what) {
            (Some(second), Some(what)) => {
                Ok(Fault { second, what, whom: parts.next().unwrap_or("").to_string() })
            }
            _ => {
                let names: Vec<_> = NAMES.iter().map(|n| n.0).collect();
                Err(format!("{s:?}; allowed: SECOND:WHAT:WHOM, where WHAT is one of {}", names.join(", ")))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_are_read_or_refused() {
        let f: Fault = "20:kill:s1".parse().unwrap();
        assert_eq!((f.second, f.what, f.whom.as_str()), (20.0, What::Kill, "s1"));
        for bad in ["", "x:kill:s1", "1:melt:s1", "-1:kill:s1"] {
            assert!(bad.parse::<Fault>().unwrap_err().contains("allowed"), "{bad}");
        }
    }
}
