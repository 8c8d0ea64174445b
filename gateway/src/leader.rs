//! Duties of the leader: usage reports, states of moves, host orders and removal of lost daemons.

use std::{iter, rc::Rc, time::Duration};

use dogwoodturn::{ids::DaemonId, units::Time};
use indexmap::IndexSet;
use tokio::time::sleep;

use crate::{
    autoscaler::HostPool,
    gateway::{Gateway, State, wall_clock},
    link_budget,
    objects::apply_entry,
    store::{CallError, CloudRequest, Kind, Permit, Record, RunCounts, UsageWindow, Write},
    sync::{record_call, record_store_call},
    usage::Run,
};

/// Time after the end of a usage window before it is closed, in addition to the silence timeout of
/// a peer.
const CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// Pause between the removals of two daemons, which are not urgent.
const MEMBER_REMOVAL_INTERVAL: Duration = Duration::from_secs(2);
/// Share of the usage delay after which a window is closed at the latest; the rest is for the
/// report, which may have to be repeated.
const CLOSE_DELAY_SHARE: f64 = 0.6;

/// Runs the duties that are due and allowed under the lease.
pub fn run_duties(cx: &Rc<Gateway>) {
    if !cx.is_draining() {
        read_lease(cx);
        renew_lease(cx);
    }
    close_usage(cx);
    advance_moves(cx);
    order_hosts(cx);
    remove_lost_members(cx);
}

/// Reads the lease while no leader sends heartbeats.
fn read_lease(cx: &Rc<Gateway>) {
    if !cx.state.borrow_mut().lease.poll_read(cx.now()) {
        return;
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let Ok(listing) = record_store_call(&cx, "read-lease", (cx.store.list)(Kind::Leases).await)
        else {
            return;
        };
        if listing.entries.is_empty() {
            cx.state.borrow_mut().lease.apply_absence(listing.at.era);
        }
        for entry in listing.entries {
            apply_entry(&cx, entry);
        }
    });
}

/// Acquires or renews the lease, with the counts of open windows.
fn renew_lease(cx: &Rc<Gateway>) {
    let now = cx.now();
    let write = {
        let mut state = cx.state.borrow_mut();
        let open_window =
            state.usage.window_number(state.peer_table.agreed_time(now, wall_clock()));
        state.lease.set_open_window(open_window);
        state.lease.next_write(now)
    };
    let Some(mut write) = write else { return };
    write.record.open_counts = open_counts(cx, now);
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let had_fence = cx.state.borrow().lease.fence(cx.now()).is_some();
        let call = (cx.store.write)(Write::Lease(write.expected_revision, write.record.clone()));
        match record_store_call(&cx, "lease", call.await) {
            Ok(revision) => {
                let (fence, closed) = (write.record.fence, write.record.closed_windows.clone());
                cx.state.borrow_mut().lease.confirm_write(cx.now(), revision, write);
                if !had_fence {
                    log::info!(event = "lease-taken", fence; "");
                }
                for window in closed {
                    report_usage(&cx, window);
                }
            }
            Err(error) => {
                let mut state = cx.state.borrow_mut();
                state.lease.record_write_failure(&write);
                if let CallError::Conflict(Some(entry)) = error
                    && let Ok(Record::Lease(record)) = entry.record
                {
                    state.lease.apply_record(cx.now(), entry.revision, record);
                }
            }
        }
    });
}

/// Returns the usage counts that the lease holds.
fn open_counts(cx: &Gateway, now: Time) -> Vec<RunCounts> {
    let state = cx.state.borrow();
    let messages = state.peer_table.live_messages(now);
    let reporting: IndexSet<Run> =
        messages.map(|message| (message.daemon.clone(), message.incarnation)).collect();
    let counts = state.usage.open_counts(
        &cx.run(),
        state.lease.first_open_window(),
        |run| reporting.contains(run),
        link_budget::max_lease_bytes(cx.settings().link),
    );
    cx.metrics.lease_count_bytes.set(counts.bytes.cast_signed() as i64);
    let had_left_out = cx.metrics.unstored_runs.set(counts.left_out.cast_signed() as i64) > 0;
    if counts.left_out > 0 && !had_left_out {
        log::warn!(event = "counts-not-stored", runs = counts.left_out, stored = counts.runs.len(), bytes = counts.bytes; "the link bears no longer lease; usage of some daemons is lost if all are lost at once");
    }
    counts.runs
}

/// Closes the windows that have ended, so that any later holder reports the same counts.
fn close_usage(cx: &Rc<Gateway>) {
    let now = cx.now();
    let settings = cx.settings();
    if !settings.reports_usage {
        return;
    }
    let delay = settings.bounds.usage_delay;
    let mut state = cx.state.borrow_mut();
    let wall = state.peer_table.agreed_time(now, wall_clock());
    if state.lease.fence(now).is_none() {
        return;
    }
    let current = state.usage.window_number(wall);
    for number in [current.saturating_sub(2), current.saturating_sub(1)] {
        let since_end = state.usage.time_since_end(number, wall).unwrap_or_default();
        let is_closed = state.lease.is_closed(number);
        let close_delay = (CLOSE_DELAY + state.peer_table.silence_timeout())
            .min(delay.mul_f64(CLOSE_DELAY_SHARE));
        if since_end >= close_delay && since_end < delay && !is_closed {
            let window = state.usage.window_total(number);
            let total: u64 = window.counts.values().sum();
            log::info!(event = "window-closed", window = number, total; "");
            state.lease.close_window(window);
        }
    }
}

/// Reports a closed window under the fence. An exact repetition is harmless.
fn report_usage(cx: &Rc<Gateway>, window: UsageWindow) {
    let state = cx.state.borrow();
    let wall = state.peer_table.agreed_time(cx.now(), wall_clock());
    let since_end = state.usage.time_since_end(window.number, wall).unwrap_or_default();
    let Some(permit) = state.lease.permit(cx.now()) else { return };
    if since_end > cx.settings().bounds.usage_delay
        || !cx.reported.borrow_mut().insert(window.number)
    {
        return;
    }
    drop(state);
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let number = window.number;
        let total: u64 = window.counts.values().sum();
        match record_call(
            &cx,
            "usage",
            (cx.store.send_cloud_request)(permit, CloudRequest::Usage(window)).await,
        ) {
            Ok(()) => log::info!(event = "usage-reported", window = number, total; ""),
            Err(_) => {
                cx.reported.borrow_mut().shift_remove(&number);
            }
        }
    });
}

/// Advances the moves on every daemon; only the leader records their states.
fn advance_moves(cx: &Rc<Gateway>) {
    let now = cx.now();
    let services = cx.state.borrow().rollouts.services();
    for service in services {
        let target = cx.state.borrow().rollouts.target(&service).cloned();
        let Some(target) = target else { continue };
        let is_idle = cx.has_no_requests_besides(&service, &target);
        let due = {
            let mut state = cx.state.borrow_mut();
            let is_up = state.directory.has_version(&service, &target);
            let State { rollouts, peer_table, lease, .. } = &mut *state;
            let before = (rollouts.share(&service), rollouts.blocked_versions().len());
            let due = rollouts.advance(now, &service, peer_table.tallies(&service), is_idle, is_up);
            let after = (rollouts.share(&service), rollouts.blocked_versions().len());
            if before != after {
                log::info!(event = "move-step", service:%, target:%, share = after.0.unwrap_or(0.0), holds = after.1; "");
            }
            due.filter(|_| lease.fence(now).is_some())
        };
        let Some(due) = due else { continue };
        if !cx.recording.borrow_mut().insert(service.clone()) {
            continue;
        }
        let cx = cx.clone();
        actix_rt::spawn(async move {
            let write = Write::MoveState(due.revision, due.record.clone(), due.state);
            let result = record_store_call(&cx, "move-state", (cx.store.write)(write).await);
            let mut state = cx.state.borrow_mut();
            match result {
                Ok(revision) => {
                    log::info!(event = "move-recorded", service:%, state:? = due.state; "");
                    let mut record = due.record;
                    record.state = Some(due.state);
                    state.rollouts.apply_move(cx.now(), revision, record);
                }
                Err(CallError::Conflict(Some(entry))) => {
                    if let Ok(Record::Move(record)) = entry.record {
                        state.rollouts.apply_move(cx.now(), entry.revision, record);
                    }
                }
                Err(_) => {}
            }
            drop(state);
            cx.recording.borrow_mut().shift_remove(&service);
        });
    }
}

/// Removes lost daemons from the store's list, one at a time.
fn remove_lost_members(cx: &Rc<Gateway>) {
    let now = cx.now();
    let write = {
        let state = cx.state.borrow();
        if state.lease.fence(now).is_none() || cx.is_removing_member.get() {
            return;
        }
        let listed = |daemon: DaemonId| {
            let revision = state.views.revision(Kind::Members, daemon.as_str())?;
            Some(Write::Forget(revision, daemon))
        };
        state.peer_table.silent_peers(now, cx.settings().forget_after).into_iter().find_map(listed)
    };
    let Some(write) = write else { return };
    cx.is_removing_member.set(true);
    let cx = cx.clone();
    actix_rt::spawn(async move {
        log::info!(event = "member-forgotten", write:?; "");
        // `record_store_call` logs a failure. A daemon that is still listed is found again.
        let _ = record_store_call(&cx, "forget", (cx.store.write)(write).await);
        sleep(MEMBER_REMOVAL_INTERVAL).await;
        cx.is_removing_member.set(false);
    });
}

/// Orders hosts for the services that allow it.
fn order_hosts(cx: &Rc<Gateway>) {
    let now = cx.now();
    if !cx.settings().orders_hosts {
        return;
    }
    let mut orders = Vec::new();
    let fence = {
        let mut state = cx.state.borrow_mut();
        let Some(Permit { fence, .. }) = state.lease.permit(now) else {
            state.autoscaler.reset();
            return;
        };
        let Some(table) = state.active_table().cloned() else { return };
        let State { autoscaler, placement, peer_table, directory, .. } = &mut *state;
        for service in table.services.values() {
            let Some(bounds) = &service.hosts else { continue };
            let own = placement.demands(now);
            let own = own.iter().find(|(name, _)| *name == service.name);
            let own = own.map_or(0.0, |(_, demand)| f64::from(*demand) / 1000.0);
            let demand = own + peer_table.demand(now, &service.name);
            let evacuated = directory.evacuated();
            let present: Vec<_> = directory.staying(&service.name).collect();
            for order in
                autoscaler.plan_orders(now, &service.name, bounds, demand, &present, evacuated)
            {
                log::info!(event = "order", service:% = order.service, data_centre:% = order.pool.data_centre, reclaimable = order.pool.reclaimable, count = order.count, demand, present = present.len(), fence = fence.number; "");
                orders.push(order);
            }
        }
        fence
    };
    if orders.is_empty() {
        return;
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let mut orders = orders.into_iter();
        while let Some(order) = orders.next() {
            let HostPool { data_centre, reclaimable } = order.pool.clone();
            let (service, count) = (order.service.clone(), order.count);
            let hosts = CloudRequest::Hosts { service, data_centre, count, reclaimable };
            // Earlier orders may have taken until the end of the term in which this one was planned.
            let permit = cx.state.borrow().lease.permit(cx.now());
            let Some(permit) = permit.filter(|permit| permit.fence == fence) else {
                log::info!(event = "order-dropped", service:% = order.service, data_centre:% = order.pool.data_centre, fence = fence.number; "the lease ended before the order could be sent");
                let autoscaler = &mut cx.state.borrow_mut().autoscaler;
                iter::once(order).chain(orders).for_each(|order| autoscaler.withdraw(&order));
                return;
            };
            let call = (cx.store.send_cloud_request)(permit, hosts).await;
            let result = record_call(&cx, "order", call);
            cx.state.borrow_mut().autoscaler.record_reply(cx.now(), &order, result.is_ok());
        }
    });
}
