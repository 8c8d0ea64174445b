//! Synchronizes a gateway with the store: lists and watches objects, and registers the gateway as a
//! member.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    catch_up,
    gateway::Gateway,
    hubs, maintenance, objects,
    store::{CallError, Kind, MemberRecord, StoreRevision, Write},
};

/// Time-out of a watch whose changes also arrive from other daemons, just below the maximum that the store accepts.
/// Each watch costs a call.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(29);
/// Lower limit of the time-out of a watch, for deployments with short bounds.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out of a watch that checks whether the store answers.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum share by which a time-out is shortened at random.
const WATCH_JITTER: f64 = 0.4;
/// Part of the bounds that is reserved for the time-out of the call and for a list.
const REPEATED_WATCH_MARGIN: Duration = Duration::from_millis(2000);
/// Pause after each successful list or watch, per daemon in the system. Changes tend to come in
/// quick succession, and each ends the watches of all daemons, which share the store's rate limits.
const WATCH_PAUSE_PER_DAEMON: Duration = Duration::from_millis(6);
/// Limit on this pause for kinds that hubs watch on behalf of all daemons.
const MAX_HUB_WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Limit on this pause for declarations, which must take effect within seconds.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Pause between watches of the members, which are needed only for limits.
const MEMBERS_WATCH_PAUSE: Duration = Duration::from_millis(1000);
/// Time for which a newer table of another daemon may not have been fetched before this daemon watches the
/// declarations itself.
const MAX_TABLE_DELAY: Duration = Duration::from_millis(1000);
/// Pause after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after a failed call in a system without hubs.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Longest pause after a failed call with hubs: many daemons call, and one that succeeds informs
/// all.
const MAX_BACKOFF_WITH_HUBS: Duration = Duration::from_millis(2000);
/// Pause after the first failed call with hubs.
const INITIAL_BACKOFF_WITH_HUBS: Duration = Duration::from_millis(600);
/// Time after a restore of the store within which operators write their objects again.
const REWRITE_TIME: Duration = Duration::from_millis(3000);
/// Interval at which a daemon checks whether it has become a hub.
const HUB_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the tasks that synchronize the gateway.
pub fn start(cx: &Rc<Gateway>) {
    for kind in [Kind::Declarations, Kind::Upstreams, Kind::Moves, Kind::Members, Kind::Evacuations]
    {
        actix_rt::spawn(sync_kind(cx.clone(), kind));
    }
    actix_rt::spawn(register(cx.clone()));
    catch_up::start(cx);
    actix_rt::spawn(maintenance::run(cx.clone()));
}

/// Counts a call to the store or the cloud, and logs and counts its failure.
pub(crate) fn record_call<T>(
    cx: &Gateway,
    call: &str,
    result: Result<T, CallError>,
) -> Result<T, CallError> {
    cx.metrics.store_calls.inc();
    cx.observe_era((cx.store.era)());
    if let Err(error) = &result {
        cx.metrics.store_failures.inc();
        log::warn!(event = "store-call-failed", call, error:%; "call to the store or the cloud failed");
    }
    result
}

/// As [`record_call`], for calls to the store. If one has no answer, watches may not get one either.
pub(crate) fn record_store_call<T>(
    cx: &Gateway,
    call: &str,
    result: Result<T, CallError>,
) -> Result<T, CallError> {
    let result = record_call(cx, call, result);
    if let Err(error) = &result {
        cx.suspect_watches(error);
    }
    result
}

/// Lists and watches one kind, while that is the task of this daemon.
async fn sync_kind(cx: Rc<Gateway>, kind: Kind) {
    let mut backoff = INITIAL_BACKOFF;
    let mut must_list = false;
    let mut is_lost = false;
    let mut is_suspect = false;
    loop {
        if !should_sync(&cx, kind) {
            sleep(HUB_POLL_INTERVAL).await;
            continue;
        }
        let began = cx.now();
        let revision = cx.state.borrow().views.synced_revision(kind).filter(|_| !must_list);
        let result = match revision {
            None => list(&cx, kind).await.map(|()| Watched::Answered),
            Some(at) => watch(&cx, kind, at, is_suspect).await,
        };
        match result {
            Ok(Watched::Suspect) => is_suspect = true,
            Ok(Watched::Answered) => {
                is_suspect = false;
                must_list = false;
                if std::mem::take(&mut is_lost) {
                    log::info!(event = "store-regained", kind:? = kind; "synchronization with the store resumed");
                }
                backoff = INITIAL_BACKOFF;
                let daemons = {
                    let mut state = cx.state.borrow_mut();
                    state.directory.record_store_regained(cx.now());
                    if kind == Kind::Upstreams {
                        state.hubs.record_store_contact(cx.now());
                    }
                    state.peer_table.size()
                };
                sleep(watch_pause(kind, daemons)).await;
            }
            Err(CallError::HistoryGone) => must_list = true,
            Err(error) => {
                is_suspect = true;
                cx.suspect_watches(&error);
                if !std::mem::replace(&mut is_lost, true) {
                    log::warn!(event = "store-lost", kind:? = kind, error:%; "synchronization with the store failed; retrying");
                }
                let daemons = {
                    let mut state = cx.state.borrow_mut();
                    if kind == Kind::Upstreams && !state.hubs.has_others(cx.now()) {
                        state.directory.record_store_lost(began);
                    }
                    state.peer_table.size()
                };
                let max_backoff = if daemons > hubs::MAX_DAEMONS_WITHOUT_HUBS {
                    backoff = backoff.max(INITIAL_BACKOFF_WITH_HUBS);
                    MAX_BACKOFF_WITH_HUBS
                } else {
                    MAX_BACKOFF
                };
                let jitter = f64::from((cx.now().0 % 512) as u32) / 1024.0;
                sleep(backoff.mul_f64(0.75 + jitter)).await;
                backoff = (backoff * 2).min(max_backoff);
            }
        }
    }
}

/// Reports whether this daemon reads a kind from the store.
fn should_sync(cx: &Gateway, kind: Kind) -> bool {
    let now = cx.now();
    let table_behind_since = cx.table_behind_since();
    let mut state = cx.state.borrow_mut();
    match kind {
        Kind::Leases => true,
        // Deployments without evacuations are not to pay for the calls. Hubs broadcast all evacuations, so
        // the others need not list them.
        Kind::Evacuations => {
            cx.settings().bounds.evacuation.is_some()
                && state.decide_hub(now)
                && (state.peer_table.size() <= hubs::MAX_DAEMONS_WITHOUT_HUBS
                    || state.hubs.has_store_contact(now))
        }
        // Every daemon lists every kind once: after a start callers are waiting, and all hubs may
        // have started at the same time.
        _ if state.views.synced_revision(kind).is_none() => true,
        Kind::Declarations | Kind::Upstreams | Kind::Moves
            if cx.startup.is_discovering(now, state.peer_table.size()) =>
        {
            false
        }
        Kind::Declarations => {
            let is_left_to_hubs = state.hubs.follows_tables(now)
                || cx.startup.is_electing_hubs(now, state.peer_table.size());
            let is_late = |since| now.since(since) >= MAX_TABLE_DELAY;
            state.decide_hub(now) || !is_left_to_hubs || table_behind_since.is_some_and(is_late)
        }
        Kind::Upstreams => state.decide_hub(now),
        // One kind suffices for a hub to detect that it cannot reach the store.
        Kind::Members | Kind::Moves => {
            state.decide_hub(now)
                && (state.peer_table.size() <= hubs::MAX_DAEMONS_WITHOUT_HUBS
                    || state.hubs.has_store_contact(now))
        }
    }
}

/// Returns how long changes of a kind accumulate before the next watch.
fn watch_pause(kind: Kind, daemons: u32) -> Duration {
    match kind {
        Kind::Members => MEMBERS_WATCH_PAUSE,
        Kind::Declarations => (WATCH_PAUSE_PER_DAEMON * daemons).min(MAX_WATCH_PAUSE),
        Kind::Upstreams | Kind::Moves | Kind::Leases | Kind::Evacuations => {
            (WATCH_PAUSE_PER_DAEMON * daemons).min(MAX_HUB_WATCH_PAUSE)
        }
    }
}

pub(crate) async fn list(cx: &Rc<Gateway>, kind: Kind) -> Result<(), CallError> {
    let listing = record_store_call(cx, "list", (cx.store.list)(kind).await)?;
    let is_from_copy = cx.state.borrow().views.is_of_earlier_era(kind);
    objects::process_listing(cx, kind, listing);
    if is_from_copy && matches!(kind, Kind::Moves | Kind::Evacuations) {
        let cx = cx.clone();
        actix_rt::spawn(async move {
            sleep(REWRITE_TIME).await;
            cx.missed_kinds.borrow_mut().insert(kind);
        });
    }
    Ok(())
}

/// How a watch ended.
enum Watched {
    Answered,
    /// It was cancelled, since another call to the store had no answer.
    Suspect,
}

/// Watches a kind. After a suspect watch, the next one is short, to check whether the store answers.
async fn watch(
    cx: &Gateway,
    kind: Kind,
    at: StoreRevision,
    is_suspect: bool,
) -> Result<Watched, CallError> {
    cx.metrics.store_calls.inc();
    let wait = watch_timeout(cx, kind);
    let wait = if is_suspect { wait.min(CHECK_TIMEOUT) } else { wait };
    let answer = tokio::select! {
        answer = (cx.store.watch)(kind, at, wait) => answer,
        () = cx.watches_suspect.notified(), if !is_suspect => return Ok(Watched::Suspect),
        // A restored store may have dropped the watch.
        () = cx.era_changed.notified() => Err(CallError::HistoryGone),
    };
    cx.observe_era((cx.store.era)());
    let changes = answer?;
    objects::process_changes(cx, kind, changes);
    Ok(Watched::Answered)
}

/// Returns how long a watch waits for changes.
///
/// A store that does not respond for a while never answers the watches that it received in that time. Without
/// hubs, a watch is therefore repeated early enough for the daemon to meet its bounds again after such an
/// outage. Hubs detect it by their short watches of the upstreams, and replicate changes to each other.
fn watch_timeout(cx: &Gateway, kind: Kind) -> Duration {
    let state = cx.state.borrow();
    let has_hubs = state.peer_table.size() > hubs::MAX_DAEMONS_WITHOUT_HUBS;
    let longest = match kind {
        Kind::Upstreams if has_hubs => return state.hubs.next_watch_timeout(cx.now()),
        _ if has_hubs => MAX_WATCH_TIMEOUT,
        // Members also announce themselves by their messages.
        Kind::Members => MAX_WATCH_TIMEOUT,
        Kind::Declarations | Kind::Upstreams | Kind::Moves | Kind::Leases | Kind::Evacuations => {
            let bounds = &cx.settings().bounds;
            (bounds.contact + bounds.drain).saturating_sub(REPEATED_WATCH_MARGIN)
        }
    };
    // A change ends the watches of all daemons at once. Jitter keeps the next ones from ending together.
    let hash = xxh3_64_with_seed(cx.settings().name.as_str().as_bytes(), cx.now().0);
    let jitter = WATCH_JITTER * (hash % 1000) as f64 / 1000.0;
    longest.mul_f64(1.0 - jitter).clamp(MIN_WATCH_TIMEOUT, MAX_WATCH_TIMEOUT)
}

/// Writes the member entry of this daemon to the store, so that the other daemons find it, whenever the
/// store has begun an era and does not list it.
async fn register(cx: Rc<Gateway>) {
    let settings = cx.settings();
    let member = MemberRecord { daemon: settings.name.clone(), address: settings.peers };
    loop {
        while cx.state.borrow().views.synced_revision(Kind::Members).is_none() {
            sleep(HUB_POLL_INTERVAL).await;
        }
        let era = cx.state.borrow().views.era();
        // The entry of an earlier run of this daemon is still valid.
        if cx.state.borrow().peer_table.own_address() != Some(member.address) {
            write_member(&cx, &member).await;
        }
        while cx.state.borrow().views.era() == era {
            cx.era_changed.notified().await;
        }
    }
}

async fn write_member(cx: &Gateway, member: &MemberRecord) {
    let mut backoff = INITIAL_BACKOFF;
    while record_store_call(cx, "register", (cx.store.write)(Write::Member(member.clone())).await)
        .is_err()
    {
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
