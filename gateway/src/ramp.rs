//! Limits what upstreams get that have just started or recovered; see [`dogwoodturn::limit::ramp`].
//!
//! Load pattern: an upstream that returns looks idle to all daemons at once. Here the events that begin a
//! ramp, the responses and the peers' reports are passed on to the decision, and the upstreams whose
//! windows are full are left out of the choice.

use std::time::Duration;

use dogwoodturn::{
    edge::change_log,
    ids::{DaemonId, UpstreamId},
    limit::ramp::{Cause, Goal, RampStart, Ramps, Report, ReportWire, View},
    units::Time,
};
use indexmap::IndexMap;

use crate::{
    directory::Upstream,
    gateway::State,
    peers::PeerTable,
    placement::{Placement, SelectionCriteria},
    store::UpstreamRecord,
};

/// The interval at which reports that no ramp can have are logged.
const MALFORMED_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The ramps, and when a report was last ignored.
#[derive(Debug, Default)]
pub struct UpstreamRamps {
    pub ramps: Ramps,
    malformed_logged_at: Option<Time>,
}

impl UpstreamRamps {
    pub fn new(start: Option<RampStart>) -> Self {
        Self { ramps: Ramps::new(start), malformed_logged_at: None }
    }

    /// Counts a request, and removes the upstreams whose windows allow none now. If that leaves none that
    /// may run the request, the one that it fills least stays, since capacity that ramps up is better than
    /// a refusal.
    pub fn retain_for_choice(
        &mut self,
        peers: &PeerTable,
        placement: &Placement,
        now: Time,
        live: &mut Vec<&Upstream>,
        criteria: &SelectionCriteria<'_>,
    ) {
        if criteria.tried.is_empty() {
            self.ramps.record_request(now, criteria.service);
        }
        let mut full = self.retain_with_window(peers, placement, now, live);
        full.retain(|(upstream, _)| criteria.allows(upstream));
        if full.is_empty() || live.iter().any(|upstream| criteria.allows(upstream)) {
            return;
        }
        let position = |id: &UpstreamId| peers.position(id.as_str());
        let fill = |(upstream, view): &(&Upstream, View)| {
            self.ramps.fill(now, &upstream.record.id, *view, position)
        };
        let fills: Vec<_> = full.iter().map(fill).collect();
        let least = (0..full.len())
            .min_by(|a, b| fills[*a].0.total_cmp(&fills[*b].0).then(fills[*a].1.cmp(&fills[*b].1)));
        live.extend(least.map(|index| full[index].0));
    }

    /// Removes and returns the upstreams whose windows allow no request now.
    pub fn retain_with_window<'a>(
        &mut self,
        peers: &PeerTable,
        placement: &Placement,
        now: Time,
        live: &mut Vec<&'a Upstream>,
    ) -> Vec<(&'a Upstream, View)> {
        let mut full = Vec::new();
        if self.ramps.is_empty() {
            return full;
        }
        let hears_peers = peers.live_count(now) * 2 >= peers.size() - 1;
        let report_age = peers.work_report_age();
        live.retain(|upstream| {
            let id = &upstream.record.id;
            if !self.ramps.is_ramping(id) {
                return true;
            }
            let occupancy = placement.occupancy(now, upstream);
            let view = View { occupancy, report_age, hears_peers };
            let may_send = self.ramps.may_send(now, id, view, |id| peers.position(id.as_str()));
            if !may_send {
                full.push((*upstream, view));
            }
            may_send
        });
        full
    }

    /// Returns what this daemon has observed, for its peers.
    pub fn reports(&self, now: Time) -> Vec<ReportWire> {
        self.ramps.reports(now).into_iter().map(Into::into).collect()
    }
}

impl State {
    /// Returns why a ramp begins if the directory gets this record of an upstream.
    ///
    /// An upstream at which peers have more requests than a ramp begins with is new to this daemon only.
    pub fn ramp_cause(&self, now: Time, record: &UpstreamRecord) -> Option<Cause> {
        if record.draining || !self.ramps.ramps.is_on() {
            return None;
        }
        match self.directory.get(&record.id) {
            None => {
                let peers_use_it = self.placement.work(&record.id).requests
                    > self.ramps.ramps.start().map_or(0, RampStart::requests);
                let is_needed = self.ramps.ramps.has_traffic(now, &record.service);
                (is_needed && !peers_use_it).then_some(Cause::New)
            }
            Some(known) if known.record.started != record.started => Some(Cause::Restarted),
            Some(known) => {
                let was_away = !known.is_leaving() && !self.directory.is_live(now, known);
                was_away.then_some(Cause::Returned)
            }
        }
    }

    /// Begins the ramp of an upstream that the directory knows.
    pub fn begin_ramp(&mut self, now: Time, upstream: &UpstreamId, cause: Cause) {
        if let Some(known) = self.directory.get(upstream) {
            self.ramps.ramps.begin(now, upstream, &known.record.service, cause);
        }
    }

    /// Applies a peer's reports of ramps. Reports that no ramp can have are ignored.
    pub fn merge_ramps(&mut self, now: Time, daemon: &DaemonId, reports: &[ReportWire]) {
        if reports.is_empty() || !self.ramps.ramps.is_on() {
            return;
        }
        let report_age = self.peer_table.work_report_age();
        let directory = &self.directory;
        let service = |id: &UpstreamId| directory.get(id).map(|known| known.record.service.clone());
        for wire in reports {
            match Report::try_from(wire.clone()) {
                Ok(report) => {
                    self.ramps.ramps.merge(now, daemon, [report], report_age, service);
                }
                Err(error) => {
                    let logged_at = &mut self.ramps.malformed_logged_at;
                    if logged_at.is_none_or(|at| now.since(at) >= MALFORMED_LOG_INTERVAL) {
                        *logged_at = Some(now);
                        log::warn!(event = "malformed-ramp", daemon:%, upstream:% = wire.0, error:%; "a peer's report is ignored");
                    }
                }
            }
        }
    }

    /// Ends the ramps that have reached their goals, logs changes, and returns the number of ramps.
    pub fn update_ramps(&mut self, now: Time) -> u32 {
        let ramps = &mut self.ramps.ramps;
        let mut mean_work = IndexMap::new();
        for service in ramps.services() {
            let others = self.directory.live(now, service);
            let others = others.iter().filter(|upstream| !ramps.is_ramping(&upstream.record.id));
            let work = others.map(|upstream| self.placement.work(&upstream.record.id).requests);
            let (count, sum) = work.fold((0, 0.0), |(n, sum), work| (n + 1, sum + f64::from(work)));
            if count > 0 {
                mean_work.insert(service.clone(), sum / f64::from(count));
            }
        }
        ramps.update(now, |id| {
            let record = &self.directory.get(id)?.record;
            let slots = record.slots.max(1);
            Some(Goal { slots, mean_work: mean_work.get(&record.service).copied() })
        });
        ramps.take_changes().iter().for_each(change_log::log_ramp);
        ramps.len() as u32
    }
}
