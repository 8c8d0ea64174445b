//! Keeps a gateway in step with the store, and does the work of the lease's holder.

use std::{rc::Rc, time::Duration};

use dogwoodturn::{
    ids::{Revision, UpstreamId},
    units::Time,
};
use tokio::time::{interval, sleep};

use crate::{
    gateway::{Gateway, State, wall_clock},
    links,
    store::{CallError, Change, Entry, Kind, MemberRecord, Order, Record, UpstreamRecord, Write},
    supply::Place,
};

/// How long one watch waits; each costs a call, and probes of the connection show sooner when it
/// has gone silent.
const WATCH_FOR: Duration = Duration::from_secs(25);
/// The pause after a watch has told something, for each daemon that watches: changes come in
/// series, and each wakes all daemons, which share the store's rates.
const PAUSE_PER_DAEMON: Duration = Duration::from_millis(6);
/// The longest such pause; what is in force must be so within seconds.
const LONGEST_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// The pause for the list of members, which is needed for limits only.
const MEMBERS_PAUSE: Duration = Duration::from_millis(1000);
/// The pause after a failed call, at first and at most.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// How often decisions that depend on time are looked at.
const TICK: Duration = Duration::from_millis(200);
/// How long after its end a usage window is closed, besides the time in which every peer is heard.
const CLOSE_AFTER: Duration = Duration::from_millis(1500);
/// How long after its end a window may still be reported.
const REPORT_WITHIN: Duration = Duration::from_secs(10);
/// How long a peer's newer table is left to the store's watch before it is fetched.
const RELAY_AFTER: Duration = Duration::from_millis(300);

/// Starts all that follows the store.
pub fn start(cx: &Rc<Gateway>) {
    for kind in [Kind::Declarations, Kind::Upstreams, Kind::Moves, Kind::Members] {
        actix_rt::spawn(follow(cx.clone(), kind));
    }
    actix_rt::spawn(register(cx.clone()));
    actix_rt::spawn(tick(cx.clone()));
    actix_rt::spawn(relay_tables(cx.clone()));
}

/// Counts a call and says whether it succeeded.
fn counted<T>(cx: &Gateway, call: &str, result: Result<T, CallError>) -> Result<T, CallError> {
    cx.metrics.store_calls.inc();
    if let Err(error) = &result {
        cx.metrics.store_failures.inc();
        log::warn!(event = "store-call-failed", call, error:%; "");
    }
    result
}

/// Lists and watches one kind for ever.
async fn follow(cx: Rc<Gateway>, kind: Kind) {
    let mut pause = FIRST_PAUSE;
    let mut at: Option<Revision> = None;
    let mut is_lost = false;
    loop {
        let result = match at {
            None => list(&cx, kind).await,
            Some(at) => watch(&cx, kind, at).await,
        };
        match result {
            Ok(next) => {
                if std::mem::take(&mut is_lost) {
                    log::info!(event = "store-regained", kind:? = kind; "");
                }
                if kind == Kind::Upstreams {
                    cx.state.borrow_mut().directory.store_regained(cx.now());
                }
                at = Some(next);
                pause = FIRST_PAUSE;
                let daemons = cx.state.borrow().mesh.size();
                sleep(watch_pause(kind, daemons)).await;
            }
            Err(CallError::HistoryGone) => at = None,
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(event = "store-lost", kind:? = kind, error:%; "");
                }
                if kind == Kind::Upstreams {
                    cx.state.borrow_mut().directory.store_lost();
                }
                let jitter = f64::from((cx.now().0 % 512) as u32) / 1024.0;
                sleep(pause.mul_f64(0.75 + jitter)).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Returns how long changes of a kind gather before they are asked for.
fn watch_pause(kind: Kind, daemons: u32) -> Duration {
    match kind {
        Kind::Members => MEMBERS_PAUSE,
        Kind::Declarations | Kind::Upstreams | Kind::Moves | Kind::Leases => {
            (PAUSE_PER_DAEMON * daemons).min(LONGEST_WATCH_PAUSE)
        }
    }
}

async fn list(cx: &Gateway, kind: Kind) -> Result<Revision, CallError> {
    let listing = counted(cx, "list", (cx.store.list)(kind).await)?;
    if kind == Kind::Upstreams {
        let listed: Vec<UpstreamId> =
            listing.entries.iter().filter_map(|entry| entry.name.parse().ok()).collect();
        let mut state = cx.state.borrow_mut();
        state.directory.retain_listed(cx.now(), &listed);
        state.has_upstreams = true;
    }
    if kind == Kind::Members {
        cx.state.borrow_mut().has_members = true;
    }
    for entry in listing.entries {
        take(cx, entry);
    }
    Ok(listing.at)
}

async fn watch(cx: &Gateway, kind: Kind, at: Revision) -> Result<Revision, CallError> {
    cx.metrics.store_calls.inc();
    let changes = (cx.store.watch)(kind, at, WATCH_FOR).await?;
    for change in changes.changes {
        match change {
            Change::Set(entry) => take(cx, entry),
            Change::Removed(name) => removed(cx, kind, &name),
        }
    }
    Ok(changes.at)
}

/// Takes an object as the store has it.
fn take(cx: &Gateway, entry: Entry) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    match entry.record {
        Ok(Record::Table(table)) => {
            let version = table.version;
            if state.take_table(*table) {
                log::info!(event = "table", version, source = "store"; "");
            }
        }
        Ok(Record::Upstream(record)) => {
            let (id, draining) = (record.id.clone(), record.draining);
            let was_draining = state.directory.get(&id).is_some_and(|known| known.record.draining);
            if state.directory.set(record) {
                log::info!(event = "upstream", upstream:% = id, draining; "");
                state.forget_upstream(&id);
                cx.pool.borrow_mut().forget(&id);
            } else if draining && !was_draining {
                log::info!(event = "upstream-leaving", upstream:% = id; "");
            }
        }
        Ok(Record::Move(record)) => {
            log::info!(event = "move", service:% = record.service, target:% = record.target, state:? = record.state; "");
            state.rollouts.seen(now, entry.revision, record);
        }
        Ok(Record::Member(record)) => state.mesh.listed(now, record),
        Ok(Record::Lease(record)) => {
            state.usage.kept(&cx.run(), &record.counted);
            state.lease.seen(now, entry.revision, record);
        }
        Err(error) => {
            cx.metrics.unreadable.inc();
            log::warn!(event = "unreadable-object", name = &*entry.name, error:%; "");
        }
    }
}

fn removed(cx: &Gateway, kind: Kind, name: &str) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    match kind {
        Kind::Upstreams => {
            log::info!(event = "upstream-gone", upstream = name; "");
            state.directory.vanished(now, name);
        }
        Kind::Moves => state.rollouts.removed(name),
        Kind::Members => state.mesh.unlisted(name),
        Kind::Declarations | Kind::Leases => {
            log::warn!(event = "object-removed", kind:? = kind, name; "");
        }
    }
}

/// Makes this daemon known to the others.
async fn register(cx: Rc<Gateway>) {
    let member = MemberRecord { daemon: cx.settings.name.clone(), address: cx.settings.peers };
    let mut pause = FIRST_PAUSE;
    while counted(&cx, "register", (cx.store.write)(Write::Member(member.clone())).await).is_err() {
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Fetches a newer table from a peer while the store does not tell this daemon.
async fn relay_tables(cx: Rc<Gateway>) {
    let mut behind_since: Option<Time> = None;
    let mut ticks = interval(TICK / 2);
    loop {
        ticks.tick().await;
        let now = cx.now();
        let peer = {
            let state = cx.state.borrow();
            let version = state.table.as_ref().map_or(0, |table| table.version);
            state.mesh.newer_table(now, version)
        };
        let Some(peer) = peer else {
            behind_since = None;
            continue;
        };
        if now.since(*behind_since.get_or_insert(now)) < RELAY_AFTER {
            continue;
        }
        match links::fetch_table(peer).await {
            Ok(document) => match (cx.store.read_table)(document) {
                Ok(table) => {
                    let version = table.version;
                    if cx.state.borrow_mut().take_table(table) {
                        log::info!(event = "table", version, source = "peer", peer:%; "");
                    }
                }
                Err(error) => log::warn!(event = "unreadable-table", peer:%, error:%; ""),
            },
            Err(error) => log::warn!(event = "table-not-fetched", peer:%, error:%; ""),
        }
    }
}

/// Looks at what depends on time.
async fn tick(cx: Rc<Gateway>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let now = cx.now();
        let gone = {
            let mut state = cx.state.borrow_mut();
            let rank = state.mesh.rank(now);
            let heard_for = state.mesh.heard_for();
            state.lease.set_line(rank, heard_for);
            inherit_quotas(&mut state);
            state.directory.forget_gone(now)
        };
        {
            let mut pool = cx.pool.borrow_mut();
            pool.sweep(now);
            for upstream in &gone {
                pool.forget(upstream);
                cx.state.borrow_mut().forget_upstream(upstream);
            }
        }
        if !cx.is_draining() {
            read_lease(&cx);
            renew_lease(&cx);
        }
        close_usage(&cx);
        advance_moves(&cx);
        order_hosts(&cx);
    }
}

/// Takes the parts of the customers' bursts as used that an earlier run of this daemon had.
fn inherit_quotas(state: &mut State) {
    let Some(table) = state.table_in_force().cloned() else { return };
    let daemons = state.mesh.size();
    for customer in table.customers.values() {
        if let Some(quota) = customer.quota {
            state.quotas.inherit(&customer.name, quota, daemons);
        }
    }
}

/// Reads the lease while nobody says that it acts.
fn read_lease(cx: &Rc<Gateway>) {
    if !cx.state.borrow_mut().lease.must_read(cx.now()) {
        return;
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let Ok(listing) = counted(&cx, "read-lease", (cx.store.list)(Kind::Leases).await) else {
            return;
        };
        if listing.entries.is_empty() {
            cx.state.borrow_mut().lease.missing();
        }
        for entry in listing.entries {
            take(&cx, entry);
        }
    });
}

fn renew_lease(cx: &Rc<Gateway>) {
    let now = cx.now();
    let Some(mut write) = cx.state.borrow_mut().lease.due(now) else { return };
    {
        let state = cx.state.borrow();
        let first_open = state.lease.first_open();
        write.record.counted = state.usage.runs(&cx.run(), first_open);
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let had_fence = cx.state.borrow().lease.fence(cx.now()).is_some();
        let call = (cx.store.write)(Write::Lease(write.replaces, write.record.clone()));
        match counted(&cx, "lease", call.await) {
            Ok(revision) => {
                let (fence, closed) = (write.record.fence, write.record.closed.clone());
                cx.state.borrow_mut().lease.written(cx.now(), revision, write);
                if !had_fence {
                    log::info!(event = "lease-taken", fence; "");
                }
                for window in closed {
                    report(&cx, window);
                }
            }
            Err(error) => {
                let mut state = cx.state.borrow_mut();
                state.lease.failed();
                if let CallError::Conflict(Some(entry)) = error
                    && let Ok(Record::Lease(record)) = entry.record
                {
                    state.lease.seen(cx.now(), entry.revision, record);
                }
            }
        }
    });
}

/// Closes the window that has just ended, so that any later holder reports the same counts.
fn close_usage(cx: &Rc<Gateway>) {
    let now = cx.now();
    if !cx.settings.reports_usage {
        return;
    }
    let mut state = cx.state.borrow_mut();
    let wall = state.mesh.agreed_time(now, wall_clock());
    if state.lease.fence(now).is_none() {
        return;
    }
    let current = state.usage.number(wall);
    for number in [current.saturating_sub(2), current.saturating_sub(1)] {
        let ended = state.usage.ended(number, wall).unwrap_or_default();
        let is_closed = state.lease.closed().iter().any(|window| window.number >= number);
        if ended >= CLOSE_AFTER + state.mesh.heard_for() && ended < REPORT_WITHIN && !is_closed {
            let window = state.usage.sum(number);
            state.lease.close(window);
        }
    }
}

/// Reports a closed window under the fence; an exact repeat does no harm.
fn report(cx: &Rc<Gateway>, window: crate::store::UsageWindow) {
    let state = cx.state.borrow();
    let wall = state.mesh.agreed_time(cx.now(), wall_clock());
    let ended = state.usage.ended(window.number, wall).unwrap_or_default();
    let Some(fence) = state.lease.fence(cx.now()) else { return };
    if ended > REPORT_WITHIN || !cx.reported.borrow_mut().insert(window.number) {
        return;
    }
    drop(state);
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let number = window.number;
        let total: u64 = window.counts.values().sum();
        match counted(&cx, "usage", (cx.store.order)(fence, Order::Usage(window)).await) {
            Ok(()) => log::info!(event = "usage-reported", window = number, total; ""),
            Err(_) => {
                cx.reported.borrow_mut().shift_remove(&number);
            }
        }
    });
}

/// Advances the moves; the holder records how far they are.
fn advance_moves(cx: &Rc<Gateway>) {
    let now = cx.now();
    let services = cx.state.borrow().rollouts.services();
    for service in services {
        let target = cx.state.borrow().rollouts.target(&service).cloned();
        let Some(target) = target else { continue };
        let is_idle = cx.is_idle_besides(&service, &target);
        let due = {
            let mut state = cx.state.borrow_mut();
            let is_up = state.directory.has_version(&service, &target);
            let mut rollouts = std::mem::take(&mut state.rollouts);
            let before = (rollouts.share(&service), rollouts.holds().len());
            let due = rollouts.advance(now, &service, state.mesh.tallies(&service), is_idle, is_up);
            let after = (rollouts.share(&service), rollouts.holds().len());
            if before != after {
                log::info!(event = "move-step", service:%, target:%, share = after.0.unwrap_or(0.0), holds = after.1; "");
            }
            state.rollouts = rollouts;
            due.filter(|_| state.lease.fence(now).is_some())
        };
        let Some(due) = due else { continue };
        if !cx.recording.borrow_mut().insert(service.clone()) {
            continue;
        }
        let cx = cx.clone();
        actix_rt::spawn(async move {
            let write = Write::MoveState(due.revision, due.record.clone(), due.state);
            let result = counted(&cx, "move-state", (cx.store.write)(write).await);
            let mut state = cx.state.borrow_mut();
            match result {
                Ok(revision) => {
                    log::info!(event = "move-recorded", service:%, state:? = due.state; "");
                    let mut record = due.record;
                    record.state = Some(due.state);
                    state.rollouts.seen(cx.now(), revision, record);
                }
                Err(CallError::Conflict(Some(entry))) => {
                    if let Ok(Record::Move(record)) = entry.record {
                        state.rollouts.seen(cx.now(), entry.revision, record);
                    }
                }
                Err(_) => {}
            }
            drop(state);
            cx.recording.borrow_mut().shift_remove(&service);
        });
    }
}

/// Orders hosts for the services that may have them.
fn order_hosts(cx: &Rc<Gateway>) {
    let now = cx.now();
    if !cx.settings.orders_hosts {
        return;
    }
    let mut orders = Vec::new();
    let fence = {
        let mut state = cx.state.borrow_mut();
        let Some(fence) = state.lease.fence(now) else {
            state.supply.forget();
            return;
        };
        let Some(table) = state.table_in_force().cloned() else { return };
        let mut supply = std::mem::take(&mut state.supply);
        for service in table.services.values() {
            let Some(bounds) = &service.hosts else { continue };
            let own = state.placement.demands(now);
            let own = own.iter().find(|(name, _)| *name == service.name);
            let own = own.map_or(0.0, |(_, demand)| f64::from(*demand) / 1000.0);
            let demand = own + state.mesh.demand(now, &service.name);
            let of_service =
                |record: &&UpstreamRecord| record.service == service.name && !record.draining;
            let present: Vec<_> = state.directory.listed().filter(of_service).collect();
            for order in supply.due(now, &service.name, bounds, demand, &present) {
                log::info!(event = "order", service:% = order.service, data_centre:% = order.place.data_centre, reclaimable = order.place.reclaimable, count = order.count, demand, present = present.len(), fence = fence.number; "");
                orders.push(order);
            }
        }
        state.supply = supply;
        fence
    };
    if orders.is_empty() {
        return;
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        for order in orders {
            let Place { data_centre, reclaimable } = order.place.clone();
            let (service, count) = (order.service.clone(), order.count);
            let hosts = Order::Hosts { service, data_centre, count, reclaimable };
            let result = counted(&cx, "order", (cx.store.order)(fence.clone(), hosts).await);
            cx.state.borrow_mut().supply.answered(cx.now(), &order, result.is_ok());
        }
    });
}
