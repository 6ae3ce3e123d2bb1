//! Which requests read long prompts (design 9.5), learned by route from what comes; and whether a
//! service sees both kinds, so that they are kept apart. Pure.

use super::{
    choose::{Part, READS_PER_MS, for_short},
    fleet::Candidate,
};
use gauge::{Region, Service};
use std::collections::HashMap;
use timetable::Route;

/// A prompt is long where reading it stops the streams beside it for this part of a pause that they
/// may make.
const LONG_PART: f64 = 1.0 / 8.0;
/// Either kind counts from this share of the time spent reading.
const COUNTS: f64 = 0.08;
/// How fast the past is forgotten, by request.
const FORGET: f64 = 0.005;

#[derive(Debug, Default)]
pub struct Mix {
    /// Mean tokens of a route's prompts.
    tokens: HashMap<String, f64>,
    /// Time spent reading long prompts, and short ones.
    spent: HashMap<Service, (f64, f64)>,
    /// Load of a service in a region, smoothed, and how many replicas its short prompts use.
    short: HashMap<(Service, Region), (f64, usize)>,
}

impl Mix {
    /// Notes a request, and says to which part of the replicas it belongs.
    pub fn note(&mut self, route: &Route, service: &Service, tokens_in: u32) -> Part {
        let t = f64::from(tokens_in);
        if tokens_in == 0 {
            return Part::Any;
        }
        let mean = match self.tokens.get_mut(&route.name) {
            Some(m) => {
                *m += (t - *m) * 0.02;
                *m
            }
            None => *self.tokens.entry(route.name.clone()).or_insert(t),
        };
        let pause = route.gap_target_ms.unwrap_or(route.target_ms) as f64;
        let long = mean / READS_PER_MS > pause * LONG_PART;
        let (l, s) = self.spent.entry(service.clone()).or_default();
        (*l, *s) = (*l * (1.0 - FORGET), *s * (1.0 - FORGET));
        *(if long { &mut *l } else { &mut *s }) += t;
        match (*l / (*l + *s), long) {
            (share, _) if !(COUNTS..=1.0 - COUNTS).contains(&share) => Part::Any,
            (_, true) => Part::Long,
            (_, false) => Part::Short,
        }
    }

    /// How many of a region's replicas are for short prompts; changes slowly.
    pub fn short_ones(&mut self, service: &Service, region: &Region, cands: &[&Candidate]) -> usize {
        let load: f64 = cands.iter().map(|c| c.load()).sum();
        let (avg, ones) = self.short.entry((service.clone(), region.clone())).or_insert((load, 0));
        *avg += (load - *avg) * 0.05;
        *ones = for_short(cands, *avg, *ones);
        *ones
    }
}
