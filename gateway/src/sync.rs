//! Keeps a gateway in step with the store: lists, watches, and tables that peers relay.

use std::{rc::Rc, time::Duration};

use dogwoodturn::{
    ids::{Revision, UpstreamId},
    units::Time,
};
use tokio::time::{interval, sleep};

use crate::{
    acting,
    gateway::{Gateway, State},
    links,
    store::{CallError, Change, Entry, Kind, MemberRecord, Record, Write},
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
pub(crate) fn counted<T>(
    cx: &Gateway,
    call: &str,
    result: Result<T, CallError>,
) -> Result<T, CallError> {
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
pub(crate) fn take(cx: &Gateway, entry: Entry) {
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
    let settings = cx.settings();
    let member = MemberRecord { daemon: settings.name.clone(), address: settings.peers };
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
        acting::act(&cx);
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
