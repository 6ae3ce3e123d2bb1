//! The replicas that requests may be sent to now, and the load of each region by their reports (design 5.4).

use crate::{
    load::{Candidate, LoadReport, RegionLoad, loads_by_region},
    router::{Router, lock},
};
use common::{Region, Service, Tick};
use configuration::RoutingTable;
use std::{collections::BTreeMap, sync::atomic::Ordering};

impl Router {
    /// Usable replicas of a service in this node's own region.
    pub fn own_replicas(&self, table: &RoutingTable, service: &Service) -> Vec<Candidate> {
        let own = self.own_region(table);
        self.usable_replicas(service)
            .into_iter()
            .filter(|c| table.region_of(&c.zone) == own.as_ref())
            .collect()
    }

    /// Replicas that requests may be sent to now: listed, not draining, zone not evacuated, and healthy by a fresh
    /// load report.
    pub fn usable_replicas(&self, service: &Service) -> Vec<Candidate> {
        let state = self.cluster_state();
        let max_age_ms = self.settings.timing.report_max_age_ms();
        self.load_view.replicas(service, self.now(), max_age_ms, &|load, zone| {
            if common::mutation::enabled("departed-still-used") {
                return true;
            }
            !state.evacuated.contains(zone)
                && state
                    .replicas
                    .get(&load.id)
                    .is_some_and(|r| !r.draining && r.addr == load.addr && r.service == *service)
        })
    }

    /// Load by region for one service. Requests forwarded from here since the last load report are added.
    pub fn region_loads(&self, table: &RoutingTable, service: &Service) -> BTreeMap<Region, RegionLoad> {
        let mut loads =
            loads_by_region(&self.usable_replicas(service), &|zone| table.region_of(zone).cloned());
        let own = self.own_region(table);
        for (region, load) in loads.iter_mut().filter(|(r, _)| Some(*r) != own.as_ref()) {
            let local = self.load_view.local(&forward_load_id(region, service));
            let since_report = local.open.load(Ordering::Relaxed) - local.counted.load(Ordering::Relaxed);
            load.consumption += since_report.max(0) as f64;
        }
        loads
    }

    /// Installs a load report; its age counts from `requested_at`, when it was requested.
    pub fn install_load_report(&self, report: LoadReport, requested_at: Tick) {
        let (service, zone) = (report.service.clone(), report.zone.clone());
        if self.load_view.install(report, requested_at, self.now())
            && let Some(configuration) = self.configuration.load().as_ref()
            && let Some(region) = configuration.table.region_of(&zone)
        {
            let local = self.load_view.local(&forward_load_id(region, &service));
            local.counted.store(local.open.load(Ordering::Relaxed), Ordering::Relaxed);
            lock(&self.request_queue).wake_all();
        }
    }
}

/// The id under which requests forwarded from here to a region are counted.
pub fn forward_load_id(region: &Region, service: &Service) -> common::ReplicaId {
    common::ReplicaId::new(format!("hop/{region}/{service}"))
}
