//! Reconciles the units whose leases this daemon holds.

use indexmap::{IndexMap, IndexSet};

use crate::{
    declaration::Service,
    ids::{CallId, HostId, ServiceName, ZoneName},
    moves::share::Share,
    peer::Recipient,
    store::{CallError, Reply},
    supply::{
        CallPurpose, Effect, Supply, UnitKey, cloud, lease,
        loads::MoveView,
        message::Message,
        orders::{self, OrderOutcome},
        rendezvous, status,
        unit::{self, Steps, Unit, View},
        unit_duty,
    },
    units::{Time, WallTime},
    upstream::{HostRecord, HostState},
};

/// How long a move that has started must have a share of zero until it counts as aborted or rolled
/// back.
const ZERO_SHARE_TIMEOUT: std::time::Duration = std::time::Duration::from_mins(2);

impl Supply {
    /// Updates the leases, polls the cloud and reconciles every managed service.
    pub(super) fn reconcile(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        self.update_units(now, out);
        self.poll_cloud(now, out);
        let managed: Vec<Service> =
            self.cluster.set.services.values().filter(|s| s.supply.managed).cloned().collect();
        for service in &managed {
            self.reconcile_service(now, wall, service, out);
        }
        self.report_status(now, out);
    }

    /// Requests the leases that rendezvous assigns to this daemon and releases the others.
    fn update_units(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(identity) = self.identity.clone() else { return };
        let desired: IndexSet<UnitKey> = self
            .all_units()
            .into_iter()
            .filter(|(service, zone)| {
                let assigned =
                    rendezvous::top_ranked(&self.cluster.members, &unit_duty(service, zone));
                assigned.is_none_or(|daemon| *daemon == identity.holder.daemon)
            })
            .collect();
        for (service, zone) in &desired {
            let key = (service.clone(), zone.clone());
            let times = self.times;
            let new = || Unit::new(service, zone, &identity.holder, times);
            self.units.entry(key).or_insert_with(new);
        }
        for (key, unit) in &mut self.units {
            let mut effects = Vec::new();
            let event = lease::Event::SetDesired(desired.contains(key));
            unit.lease.handle(now, event, &mut effects);
            push_lease_calls(&mut self.last_call, &mut self.calls, key, effects, out);
        }
        self.units.retain(|_, unit| !unit.lease.is_idle());
        self.apply_lease_changes(now, out);
    }

    fn all_units(&self) -> IndexSet<UnitKey> {
        let mut units = IndexSet::new();
        for service in self.cluster.set.services.values().filter(|s| s.supply.managed) {
            let offered = self.market.pools().map(|pool| &pool.zone);
            let listed = self.cluster.hosts.iter().filter(|host| host.service == service.name);
            for zone in offered.chain(listed.map(|host| &host.zone)) {
                units.insert((service.name.clone(), zone.clone()));
            }
        }
        units
    }

    /// Wakes the leases and handles those that were acquired or lost.
    pub(super) fn wake_leases(&mut self, now: Time, out: &mut Vec<Effect>) {
        for (key, unit) in &mut self.units {
            let mut effects = Vec::new();
            unit.lease.handle(now, lease::Event::Woken, &mut effects);
            push_lease_calls(&mut self.last_call, &mut self.calls, key, effects, out);
        }
        self.apply_lease_changes(now, out);
    }

    pub(super) fn lease_call_ended(
        &mut self,
        now: Time,
        key: &UnitKey,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        let Some(unit) = self.units.get_mut(key) else { return };
        let mut effects = Vec::new();
        unit.lease.handle(now, lease::Event::CallEnded(call, result), &mut effects);
        push_lease_calls(&mut self.last_call, &mut self.calls, key, effects, out);
        self.apply_lease_changes(now, out);
    }

    fn apply_lease_changes(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut changed = Vec::new();
        for (key, unit) in &mut self.units {
            let held = unit.lease.current_term(now).map(|term| term.fencing);
            if held == unit.acquired {
                continue;
            }
            unit.acquired = held;
            let event = held.map_or(cloud::Event::Lost, cloud::Event::Acquired);
            changed.push((key.clone(), event));
        }
        for (key, event) in changed {
            let action = match &event {
                cloud::Event::Acquired(fencing) => format!("lease taken, fencing={fencing}"),
                _ => "lease lost or given up".into(),
            };
            let object = format!("lease {}/{}", key.0, key.1).into();
            out.push(Effect::Recorded { object, action: action.into() });
            self.handle_hosts(now, &key, event, out);
        }
    }

    /// Passes an event to a unit's hosts and carries out the resulting effects.
    pub(super) fn handle_hosts(
        &mut self,
        now: Time,
        key: &UnitKey,
        event: cloud::Event,
        out: &mut Vec<Effect>,
    ) {
        let Some(unit) = self.units.get_mut(key) else { return };
        let mut effects = Vec::new();
        unit.hosts.handle(now, event, &mut effects);
        for effect in effects {
            match effect {
                cloud::Effect::Call(call, priority, operation) => {
                    self.call(CallPurpose::Hosts(key.clone(), call), priority, operation, out);
                }
                cloud::Effect::List => self.schedule.list = now,
                cloud::Effect::Refused(pool, reason) => {
                    let object = format!("pool {pool}").into();
                    let action = format!("start refused by the cloud: {reason}").into();
                    out.push(Effect::Recorded { object, action });
                    self.broadcast_refusal(now, key, &pool, out);
                }
                cloud::Effect::Running(pool, span) => self.market.record_start(&pool.class, span),
                cloud::Effect::Vanished(pool) => {
                    let object = format!("pool {pool}").into();
                    out.push(Effect::Recorded { object, action: "a host is gone".into() });
                }
                cloud::Effect::Recorded(action) => {
                    let object = format!("hosts {}/{}", key.0, key.1).into();
                    out.push(Effect::Recorded { object, action });
                }
            }
        }
    }

    /// Notifies the lease holders of the service that a pool is refused, so that they plan without
    /// it.
    fn broadcast_refusal(
        &mut self,
        now: Time,
        key: &UnitKey,
        pool: &crate::supply::plan::Pool,
        out: &mut Vec<Effect>,
    ) {
        let Some(unit) = self.units.get(key) else { return };
        let Some(until) = unit.hosts.refused_until(pool) else { return };
        self.market.record_refusal(pool.clone(), until);
        let wait = until.since(now);
        for daemon in self.holders_of(&key.0) {
            let message = Message::Refused(pool.clone(), wait);
            out.push(Effect::Send(Recipient::Daemon(daemon), message));
        }
    }

    fn reconcile_service(
        &mut self,
        now: Time,
        wall: WallTime,
        service: &Service,
        out: &mut Vec<Effect>,
    ) {
        let keys: Vec<UnitKey> = self
            .units
            .iter()
            .filter(|(key, unit)| key.0 == service.name && unit.lease.current_term(now).is_some())
            .map(|(key, _)| key.clone())
            .collect();
        if keys.is_empty() {
            return;
        }
        let present = self.count_present(&service.name);
        let state = self.services.entry(service.name.clone()).or_default();
        state.observe(now, &self.cluster.hosts, &service.name);
        state.update_plan(now, &self.market, &present, service);
        for key in keys {
            let steps = self.decide(now, wall, service, &key);
            self.carry_out(now, &key, service, steps, out);
        }
    }

    fn count_present(&self, service: &ServiceName) -> IndexMap<crate::supply::plan::Pool, u32> {
        let mut present = IndexMap::new();
        let own: IndexSet<&ZoneName> = self
            .units
            .values()
            .filter(|unit| unit.service == *service && unit.hosts.has_host_list())
            .map(|unit| &unit.zone)
            .collect();
        let serving = |host: &&HostRecord| {
            host.service == *service && host.state == HostState::Live && !own.contains(&host.zone)
        };
        for host in self.cluster.hosts.iter().filter(serving) {
            *present.entry(unit::pool_of(host)).or_insert(0) += 1;
        }
        for unit in self.units.values().filter(|unit| unit.service == *service) {
            if own.contains(&unit.zone) {
                present.extend(unit.present(&self.cluster.hosts));
            }
        }
        present
    }

    fn decide(&mut self, now: Time, wall: WallTime, service: &Service, key: &UnitKey) -> Steps {
        self.track_zero_share(now, wall, &service.name);
        let current_move = self.move_view(now, &service.name);
        let routes = self.cluster.set.routes.values().filter(|route| route.service == service.name);
        let drain = crate::supply::service::drain_time(routes.map(|route| route.deadline));
        let Some(state) = self.services.get(&service.name) else { return Steps::default() };
        let view = View {
            now,
            wall,
            generation: self.cluster.generation,
            service,
            state,
            listed: &self.cluster.hosts,
            current_move: current_move.as_ref(),
            drain,
        };
        match self.units.get_mut(key) {
            Some(unit) if unit.hosts.has_host_list() => unit.decide(&view),
            _ => Steps::default(),
        }
    }

    fn share(&self, service: &ServiceName) -> Share {
        let split = self.cluster.traffic_splits.get(service);
        split.map_or(Share::NONE, |split| split.share)
    }

    /// Records since when a move that has started has had a share of zero.
    ///
    /// A daemon that lacks the state of its peers for a short time has a share of zero too; hosts
    /// must not be ordered back to the old version because of that.
    fn track_zero_share(&mut self, now: Time, wall: WallTime, service: &ServiceName) {
        let has_started = self.cluster.set.move_of(service).is_some_and(|m| m.start < wall);
        if has_started && self.share(service) == Share::NONE {
            self.zero_share_since.entry(service.clone()).or_insert(now);
        } else {
            self.zero_share_since.shift_remove(service);
        }
    }

    fn move_view(&self, now: Time, service: &ServiceName) -> Option<MoveView> {
        let m = self.cluster.set.move_of(service)?;
        let share = self.share(service);
        let is_stopped = self
            .zero_share_since
            .get(service)
            .is_some_and(|at| now.since(*at) > ZERO_SHARE_TIMEOUT);
        Some(MoveView {
            from: m.from.clone(),
            to: m.to.clone(),
            start: m.start,
            finish_by: m.finish_by,
            watch: m.watch,
            share,
            is_stopped,
        })
    }

    fn carry_out(
        &mut self,
        now: Time,
        key: &UnitKey,
        service: &Service,
        steps: Steps,
        out: &mut Vec<Effect>,
    ) {
        for (host, at) in steps.leaving {
            self.announce_leaving(now, &host, at, out);
        }
        for event in steps.hosts {
            self.handle_hosts(now, key, event, out);
        }
        self.handle_orders(now, key, service, orders::Event::SetDesired(steps.orders), out);
    }

    pub(super) fn announce_leaving(
        &mut self,
        now: Time,
        host: &HostId,
        at: WallTime,
        out: &mut Vec<Effect>,
    ) {
        if self.announced_leaving.insert(host.clone()) {
            out.push(Effect::Leaving(host.clone(), at));
            self.mark_leaving(now, host);
        }
    }

    fn handle_orders(
        &mut self,
        now: Time,
        key: &UnitKey,
        service: &Service,
        event: orders::Event,
        out: &mut Vec<Effect>,
    ) {
        let Some(unit) = self.units.get_mut(key) else { return };
        let permit = unit.lease.order_permit(now, service.checks_fencing);
        let mut effects = Vec::new();
        unit.orders.handle(now, permit, event, &mut effects);
        for effect in effects {
            match effect {
                orders::Effect::Order(order) => {
                    unit.lease.record_order(order.not_after);
                    out.push(Effect::Order(order));
                }
                orders::Effect::Stale(_) => unit.lease.invalidate(now),
                orders::Effect::Recorded(action) => {
                    let object = format!("engines {}/{}", key.0, key.1).into();
                    out.push(Effect::Recorded { object, action });
                }
            }
        }
        if !unit.orders.is_outstanding() {
            unit.lease.record_no_outstanding_orders(now);
        }
    }

    pub(super) fn order_ended(
        &mut self,
        now: Time,
        id: &str,
        outcome: &OrderOutcome,
        out: &mut Vec<Effect>,
    ) {
        let set = self.cluster.set.clone();
        let keys: Vec<UnitKey> = self.units.keys().cloned().collect();
        for key in keys {
            let Some(service) = set.services.get(&key.0) else { continue };
            let event = orders::Event::Ended(id.into(), outcome.clone());
            self.handle_orders(now, &key, service, event, out);
        }
    }

    fn report_status(&mut self, now: Time, out: &mut Vec<Effect>) {
        let status = status::service_statuses(self, now);
        if *status != *self.status {
            self.status = status.into();
            out.push(Effect::Status(self.status.clone()));
        }
    }
}

fn push_lease_calls(
    last_call: &mut CallId,
    calls: &mut IndexMap<CallId, CallPurpose>,
    key: &UnitKey,
    effects: Vec<lease::Effect>,
    out: &mut Vec<Effect>,
) {
    for lease::Effect::Call(call, priority, operation) in effects {
        *last_call = last_call.next();
        calls.insert(*last_call, CallPurpose::Lease(key.clone(), call));
        out.push(Effect::Call(*last_call, priority, operation));
    }
}
