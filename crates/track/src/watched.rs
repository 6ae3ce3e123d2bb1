//! What a home makes of one replica's checks (design 5.4): no input or output.

use gauge::Tick;

/// What a home remembers of one replica between checks.
#[derive(Clone, Debug, Default)]
pub struct Watched {
    pub fails: u32,
    pub healthy: bool,
    pub capacity: f64,
    pub consumption: f64,
    /// Nothing listened there at the last check: whatever comes back comes back cold.
    pub absent: bool,
    /// When it last came up; its concurrency ramps from there.
    pub warm_since: Option<Tick>,
}

/// What came of one check.
#[derive(Debug, PartialEq)]
pub enum Checked {
    Told(Report),
    Silent,
    /// The connection was refused: the process is not there, and its cache is gone.
    Refused,
}

/// A report, read tolerantly: what is absent or unknown is left alone.
#[derive(Debug, Default, PartialEq)]
pub struct Report {
    pub healthy: Option<bool>,
    pub capacity: Option<f64>,
    pub consumption: Option<f64>,
}

impl Report {
    pub fn read(b: &[u8], model: &str) -> Option<Report> {
        let v: serde_json::Value = serde_json::from_slice(b).ok()?;
        let of_model = v.get("models").and_then(|m| m.as_array()).and_then(|m| {
            let mine = m.iter().find(|x| x.get("name").and_then(|n| n.as_str()) == Some(model));
            mine.and_then(|x| x.get("payload").or(Some(x)).cloned())
        });
        let at = of_model.unwrap_or(v);
        let num = |k: &str| at.get(k).and_then(|x| x.as_f64()).filter(|x| x.is_finite() && *x >= 0.0);
        Some(Report {
            healthy: at.get("healthy").and_then(|x| x.as_bool()),
            capacity: num("capacity"),
            consumption: num("consumption"),
        })
    }
}

impl Watched {
    /// Folds one check in.
    pub fn check(&mut self, found: Checked, fails: u32, slots: f64, now: Tick) {
        match found {
            Checked::Told(r) if r.healthy != Some(false) => {
                self.fails = 0;
                if !self.healthy || self.absent {
                    self.warm_since = Some(now);
                }
                (self.healthy, self.absent) = (true, false);
                self.capacity = r.capacity.unwrap_or(slots);
                self.consumption = r.consumption.unwrap_or(0.0);
            }
            // What says itself that it is unwell is believed at once.
            Checked::Told(_) => (self.healthy, self.fails) = (false, fails),
            Checked::Silent | Checked::Refused => {
                self.absent |= found == Checked::Refused;
                self.fails = (self.fails + 1).min(fails);
                if self.fails >= fails {
                    self.healthy = false;
                }
            }
        }
    }

    /// The ramp: a tenth of the capacity at first, all of it after `warm_ms`.
    pub fn allowance(&self, warm_ms: u64, now: Tick) -> Option<u32> {
        if gauge::ground::broken("cold-is-warm") {
            return None;
        }
        let up = now.since(self.warm_since?);
        (up < warm_ms).then(|| {
            let part = (up as f64 / warm_ms as f64).max(0.1);
            (self.capacity * part).max(1.0) as u32
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn rep(healthy: Option<bool>, capacity: Option<f64>, consumption: Option<f64>) -> Option<Report> {
        Some(Report { healthy, capacity, consumption })
    }

    /// Conformance, design 5.4: absent and unknown fields are left alone, and the source's own
    /// shape of a report is read too.
    #[rstest]
    #[case::plain(
        r#"{"healthy":true,"capacity":8,"consumption":2.5}"#,
        rep(Some(true), Some(8.0), Some(2.5))
    )]
    #[case::unknown_fields(r#"{"capacity":8,"colour":"red"}"#, rep(None, Some(8.0), None))]
    #[case::wrong_types(r#"{"capacity":"much","consumption":-1}"#, rep(None, None, None))]
    #[case::of_models(
        r#"{"models":[{"name":"x","payload":{"capacity":1}},{"name":"m","payload":{"healthy":false,"capacity":9}}]}"#,
        rep(Some(false), Some(9.0), None)
    )]
    #[case::not_json("fine", None)]
    fn reports_are_read_tolerantly(#[case] body: &str, #[case] want: Option<Report>) {
        assert_eq!(Report::read(body.as_bytes(), "m"), want);
    }

    #[test]
    fn down_after_three_and_cold_when_back() {
        let mut w = Watched::default();
        let well = || Checked::Told(rep(None, Some(10.0), Some(1.0)).unwrap());
        w.check(well(), 3, 4.0, Tick(1_000));
        assert!(w.healthy);
        let ramp: Vec<_> =
            [0, 500, 2_500, 5_000, 9_999, 10_000].map(|t| w.allowance(10_000, Tick(1_000 + t))).into();
        assert_eq!(ramp, [Some(1), Some(1), Some(2), Some(5), Some(9), None]);
        (0..2).for_each(|n| w.check(Checked::Silent, 3, 4.0, Tick(20_000 + n)));
        assert!(w.healthy, "two failed checks are not three");
        w.check(Checked::Silent, 3, 4.0, Tick(20_003));
        assert!(!w.healthy);
        w.check(well(), 3, 4.0, Tick(30_000));
        assert_eq!(w.allowance(10_000, Tick(30_001)), Some(1));
        w.check(Checked::Told(rep(Some(false), None, None).unwrap()), 3, 4.0, Tick(31_000));
        assert!(!w.healthy, "what says itself that it is unwell is believed at once");
    }

    /// Found by the world (seed 4): a replica that was away for less than three checks came back
    /// cold and got its full share at once. What refuses a connection is not there any more.
    #[test]
    fn what_was_absent_is_cold_when_back_however_soon() {
        let mut w = Watched::default();
        let well = || Checked::Told(rep(None, Some(10.0), Some(1.0)).unwrap());
        w.check(well(), 3, 4.0, Tick(1_000));
        w.check(Checked::Silent, 3, 4.0, Tick(21_000));
        w.check(well(), 3, 4.0, Tick(22_000));
        assert_eq!(w.allowance(10_000, Tick(22_001)), None, "one check without an answer is no restart");
        w.check(Checked::Refused, 3, 4.0, Tick(23_000));
        assert!(w.healthy);
        w.check(well(), 3, 4.0, Tick(24_000));
        assert_eq!(w.allowance(10_000, Tick(24_001)), Some(1));
    }
}
