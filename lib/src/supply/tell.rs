//! Adds up demand: each daemon tells its data centre, the data centre tells the holders.

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
    /// Counts an attempt that has ended.
    pub(super) fn count(&mut self, report: &AttemptReport) {
        let Some(service) = self.known.set.services.get(&report.service) else { return };
        if !service.supply.managed {
            return;
        }
        let classes = self.own.entry(report.service.clone()).or_default();
        let sum = classes.entry(report.class.clone()).or_default();
        let target = service.target;
        let in_time = report.first_token.is_some_and(|took| took <= target.first_token);
        let tokens = report.generated_tokens.0.max(1) as u32;
        let is_fast = report.generation / tokens <= target.between_tokens;
        if report.end == AttemptEnd::Success {
            sum.latency_per_mille_sum += latency_per_mille(report, &target);
        }
        match report.end {
            AttemptEnd::Success if in_time && is_fast => {
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

    /// Tells the sums of the last interval.
    pub(super) fn tell(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(me) = self.me.clone() else { return };
        for (service, classes) in std::mem::take(&mut self.own) {
            let demand = demand_of(&service, &me.data_centre, DemandScope::Daemon, classes);
            let to = rendezvous::top_ranked_in(
                &self.known.members,
                &me.data_centre,
                &format!("supply/sum/{service}"),
            );
            self.send_or_take(now, to.cloned(), &me.holder.daemon, demand, out);
        }
        self.tell_data_centre(now, out);
    }

    fn tell_data_centre(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(me) = self.me.clone() else { return };
        let services: Vec<ServiceName> = self.local.keys().cloned().collect();
        for service in services {
            let Some(sums) = self.local.get_mut(&service) else { continue };
            let classes = sums.total(now);
            if classes.is_empty() {
                self.local.shift_remove(&service);
                continue;
            }
            let demand = demand_of(&service, &me.data_centre, DemandScope::DataCentre, classes);
            let holders = self.holders_of(&service);
            if holders.is_empty() || self.known.members.is_empty() {
                self.take(now, &me.holder.daemon, demand.clone());
            }
            for holder in holders {
                let to = Some(holder);
                self.send_or_take(now, to, &me.holder.daemon, demand.clone(), out);
            }
        }
    }

    fn send_or_take(
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
            _ => self.take(now, me, demand),
        }
    }

    fn take(&mut self, now: Time, from: &DaemonId, demand: Demand) {
        let Demand { service, data_centre, demand_scope, interval, classes } = demand;
        match demand_scope {
            DemandScope::Daemon => {
                let sums = self.local.entry(service).or_default();
                sums.add(now, from.clone(), interval, classes);
            }
            DemandScope::DataCentre => {
                let state = self.services.entry(service).or_default();
                state.sums.add(now, data_centre, interval, classes);
            }
        }
    }

    /// Takes a message of a peer.
    pub(super) fn heard(&mut self, now: Time, from: &DaemonId, message: Message) {
        match message {
            Message::Demand(demand) => self.take(now, from, demand),
            Message::Refused(pool, wait) => self.market.record_refusal(pool, now + wait),
        }
    }

    /// Returns the other daemons and this one that rendezvous gives the leases of a service.
    pub(super) fn holders_of(&self, service: &ServiceName) -> IndexSet<DaemonId> {
        let offered = self.market.pools().map(|pool| &pool.zone);
        let listed = self.known.hosts.iter().filter(|host| host.service == *service);
        let zones: IndexSet<_> = offered.chain(listed.map(|host| &host.zone)).collect();
        let first = |zone| rendezvous::top_ranked(&self.known.members, &unit_duty(service, zone));
        zones.into_iter().filter_map(first).cloned().collect()
    }
}

/// Returns the latency of an attempt as a part of the target, in thousandths.
fn latency_per_mille(report: &AttemptReport, target: &LatencyTarget) -> u64 {
    let (took, allowed) = if report.generated_tokens.0 > 1 {
        (report.generation / (report.generated_tokens.0 - 1) as u32, target.between_tokens)
    } else {
        (report.first_token.unwrap_or(target.first_token), target.first_token)
    };
    (took.as_micros() as u64 * 1000) / (allowed.as_micros() as u64).max(1)
}

fn demand_of(
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
