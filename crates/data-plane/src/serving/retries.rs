//! Further tries (design 9.6): what all routers may send beyond each request's first arrival, cut
//! into parts that need no talk. Pure but for one lock.

use common::Service;
use std::{collections::HashMap, sync::Mutex};

/// Share of the bound that is used.
const USED: f64 = 0.8;

#[derive(Debug, Default)]
pub struct Retries(Mutex<HashMap<Service, f64>>);

impl Retries {
    fn with<T>(&self, svc: &Service, f: impl FnOnce(&mut f64) -> T) -> T {
        let mut g = self.0.lock().unwrap_or_else(|e| e.into_inner());
        f(g.entry(svc.clone()).or_insert(1.0))
    }

    /// A request for the service came; `cap` is this router's part of the surplus.
    pub fn earn(&self, svc: &Service, ratio: f64, cap: f64) {
        self.with(svc, |v| *v = (*v + ratio * USED).min((cap * USED).max(1.0)));
    }

    pub fn spend(&self, svc: &Service) -> bool {
        self.with(svc, |v| {
            let ok = *v >= 1.0;
            if ok {
                *v -= 1.0;
            }
            ok
        })
    }

    /// A try that was paid for and reached nobody.
    pub fn give_back(&self, svc: &Service) {
        self.with(svc, |v| *v += 1.0);
    }
}
