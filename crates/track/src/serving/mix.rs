//! Which routes send long prompts (design 9.5), learned from what comes. Pure.

use super::choose::READS_PER_MS;
use std::collections::HashMap;
use timetable::Route;

/// A prompt is long where reading it takes this part of a pause that streams may make.
const LONG_PART: f64 = 1.0 / 8.0;
/// What a new prompt weighs in its route's mean.
const NEW: f64 = 0.02;

/// Mean tokens of each route's prompts.
#[derive(Debug, Default)]
pub struct Mix(HashMap<String, f64>);

impl Mix {
    /// Notes a request, and says whether its route's prompts are long.
    pub fn long(&mut self, route: &Route, tokens_in: u32) -> bool {
        let t = f64::from(tokens_in);
        let mean = self.0.entry(route.name.clone()).or_insert(t);
        *mean += (t - *mean) * NEW;
        let pause = route.gap_target_ms.unwrap_or(route.target_ms) as f64;
        *mean / READS_PER_MS > pause * LONG_PART
    }
}
