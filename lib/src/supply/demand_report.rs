//! Aggregates demand: each daemon reports to one daemon of its data centre, which reports the data
//! centre's sum to the lease holders.

use indexmap::{IndexMap, IndexSet};

use crate::{
    declaration::LatencyTarget,
    ids::{ClassName, DaemonId, DataCentre, ServiceName},
    node::report::{AttemptEnd, AttemptReport},
    peer::Recipient,
    supply::{
        Effect, Supply,
        demand::REPORT_INTERVAL,
        message::{ClassTotals, Demand, DemandScope, Message},
        rate::Work,
        rendezvous, unit_duty,
    },
    units::Time,
};

impl Supply {
    /// Adds an attempt that has ended to the totals of the current interval.
    pub(super) fn count_attempt(&mut self, report: &AttemptReport) {
        let Some(service) = self.cluster.set.services.get(&report.service) else { return };
        if !service.supply.managed {
            return;
        }
        let classes = self.local_totals.entry(report.service.clone()).or_default();
        let sum = classes.entry(report.class.clone()).or_default();
        let target = service.target;
        let is_first_token_in_time =
            report.first_token.is_some_and(|latency| latency <= target.first_token);
        let tokens = report.generated_tokens.0.max(1) as u32;
        let is_generation_in_time = report.generation / tokens <= target.between_tokens;
        if report.end == AttemptEnd::Success {
            sum.latency_per_mille_sum += latency_per_mille(report, &target);
        }
        match report.end {
            AttemptEnd::Success if is_first_token_in_time && is_generation_in_time => {
                sum.work = sum.work + Work::of(report);
                sum.within_target += 1;
            }
            AttemptEnd::Success => {
                sum.work = sum.work + Work::of(report);
                sum.outside_target += 1;
            }
            AttemptEnd::Refused | AttemptEnd::TimedOut => sum.outside_target += 1,
            AttemptEnd::Failure | AttemptEnd::ConnectionLost | AttemptEnd::Abandoned => {
                sum.work = sum.work + Work::of(report);
            }
        }
    }

    /// Reports the totals of the last interval.
    pub(super) fn report_demand(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(identity) = self.identity.clone() else { return };
        for (service, classes) in std::mem::take(&mut self.local_totals) {
            let demand = new_demand(&service, &identity.data_centre, DemandScope::Daemon, classes);
            let to = rendezvous::top_ranked_in(
                &self.cluster.members,
                &identity.data_centre,
                &format!("supply/sum/{service}"),
            );
            self.send_or_record(now, to.cloned(), &identity.holder.daemon, demand, out);
        }
        self.report_data_centre(now, out);
    }

    fn report_data_centre(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(identity) = self.identity.clone() else { return };
        let services: Vec<ServiceName> = self.data_centre_sums.keys().cloned().collect();
        for service in services {
            let Some(sums) = self.data_centre_sums.get_mut(&service) else { continue };
            let classes = sums.total(now);
            if classes.is_empty() {
                self.data_centre_sums.shift_remove(&service);
                continue;
            }
            let demand =
                new_demand(&service, &identity.data_centre, DemandScope::DataCentre, classes);
            let holders = self.holders_of(&service);
            if holders.is_empty() || self.cluster.members.is_empty() {
                self.record_demand(now, &identity.holder.daemon, demand.clone());
            }
            for holder in holders {
                let to = Some(holder);
                self.send_or_record(now, to, &identity.holder.daemon, demand.clone(), out);
            }
        }
    }

    fn send_or_record(
        &mut self,
        now: Time,
        to: Option<DaemonId>,
        me: &DaemonId,
        demand: Demand,
        out: &mut Vec<Effect>,
    ) {
        match to {
            Some(to) if to != *me => {
                out.push(Effect::Send(Recipient::Daemon(to), Message::Demand(demand)));
            }
            _ => self.record_demand(now, me, demand),
        }
    }

    fn record_demand(&mut self, now: Time, from: &DaemonId, demand: Demand) {
        let Demand { service, data_centre, demand_scope, interval, classes } = demand;
        match demand_scope {
            DemandScope::Daemon => {
                let sums = self.data_centre_sums.entry(service).or_default();
                sums.add(now, from.clone(), interval, classes);
            }
            DemandScope::DataCentre => {
                let state = self.services.entry(service).or_default();
                state.sums.add(now, data_centre, interval, classes);
            }
        }
    }

    /// Handles a message from a peer.
    pub(super) fn receive(&mut self, now: Time, from: &DaemonId, message: Message) {
        match message {
            Message::Demand(demand) => self.record_demand(now, from, demand),
            Message::Refused(pool, wait) => self.market.record_refusal(pool, now + wait),
        }
    }

    /// Returns the daemons to which rendezvous assigns the leases of a service, which may include
    /// this one.
    pub(super) fn holders_of(&self, service: &ServiceName) -> IndexSet<DaemonId> {
        let offered = self.market.pools().map(|pool| &pool.zone);
        let listed = self.cluster.hosts.iter().filter(|host| host.service == *service);
        let zones: IndexSet<_> = offered.chain(listed.map(|host| &host.zone)).collect();
        let assigned =
            |zone| rendezvous::top_ranked(&self.cluster.members, &unit_duty(service, zone));
        zones.into_iter().filter_map(assigned).cloned().collect()
    }
}

/// Returns the latency of an attempt in thousandths of the target: of the time between tokens if it
/// generated more than one, else of the time to the first token.
fn latency_per_mille(report: &AttemptReport, target: &LatencyTarget) -> u64 {
    let (latency, target_latency) = if report.generated_tokens.0 > 1 {
        (report.generation / (report.generated_tokens.0 - 1) as u32, target.between_tokens)
    } else {
        (report.first_token.unwrap_or(target.first_token), target.first_token)
    };
    (latency.as_micros() as u64 * 1000) / (target_latency.as_micros() as u64).max(1)
}

fn new_demand(
    service: &ServiceName,
    data_centre: &DataCentre,
    demand_scope: DemandScope,
    classes: IndexMap<ClassName, ClassTotals>,
) -> Demand {
    Demand {
        service: service.clone(),
        data_centre: data_centre.clone(),
        demand_scope,
        interval: REPORT_INTERVAL,
        classes: classes.into_iter().collect(),
    }
}
