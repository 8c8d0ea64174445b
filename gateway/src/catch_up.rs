//! Fetches from other daemons what this daemon has missed.

use std::{rc::Rc, time::Duration};

use tokio::time::{interval, sleep};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{gateway::Gateway, links, objects, sync};

const TICK: Duration = Duration::from_millis(100);
/// Longest delay before missed changes are listed from the store. The delays differ, so that
/// daemons that missed the same changes do not all call the store at the same time.
const MAX_LIST_DELAY: Duration = Duration::from_millis(400);
/// The same for fetching them from another daemon, whose link may be narrow.
const MAX_FETCH_DELAY: Duration = Duration::from_millis(3000);
/// Time after its start after which a daemon without upstreams is presumed to be refused by the
/// store.
const STORE_REFUSAL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for which a peer's newer table is left to the store's watch before it is fetched.
const PEER_TABLE_DELAY: Duration = Duration::from_millis(300);
/// The longest delay before a hub's newer table is fetched, so that not all daemons do so at once.
const MAX_TABLE_FETCH_DELAY: Duration = Duration::from_millis(300);

/// Starts the tasks that fetch missed tables and objects.
pub fn start(cx: &Rc<Gateway>) {
    actix_rt::spawn(catch_up_tables(cx.clone()));
    actix_rt::spawn(catch_up_objects(cx.clone()));
}

/// Fetches the changes that were missed in the hubs' broadcasts. Many daemons miss the same
/// changes, so each waits for a delay of its own. The store is tried first, since its link is wide,
/// and another daemon only if the store fails.
async fn catch_up_objects(cx: Rc<Gateway>) {
    let started = cx.now();
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let missed = cx.missed_kinds.borrow_mut().pop();
        if let Some(kind) = missed {
            sleep(jittered_delay(&cx, MAX_LIST_DELAY)).await;
            if sync::list(&cx, kind).await.is_ok() {
                continue;
            }
            cx.missed_kinds.borrow_mut().insert(kind);
        }
        let has_no_upstreams = !cx.state.borrow().has_upstreams;
        let is_refused_by_store =
            has_no_upstreams && cx.now().since(started) >= STORE_REFUSAL_TIMEOUT;
        if missed.is_some() || is_refused_by_store {
            sleep(jittered_delay(&cx, MAX_FETCH_DELAY)).await;
            fetch_all_objects(&cx).await;
        }
    }
}

/// Returns a part of `max_delay` that differs between daemons and between calls.
fn jittered_delay(cx: &Gateway, max_delay: Duration) -> Duration {
    let hash = xxh3_64_with_seed(cx.settings().name.as_str().as_bytes(), cx.now().0);
    max_delay.mul_f64((hash % 1000) as f64 / 1000.0)
}

/// Fetches all objects from a hub, or from any daemon that has a table.
async fn fetch_all_objects(cx: &Rc<Gateway>) {
    let from = {
        let (now, state) = (cx.now(), cx.state.borrow());
        state.hubs.sync_source(now).or_else(|| state.peer_table.newer_table(now, 0))
    };
    let Some(from) = from else { return };
    match links::fetch_objects(from).await {
        Ok(updates) => {
            log::info!(event = "objects-fetched", from:%, kinds = updates.len(); "");
            for update in updates {
                cx.missed_kinds.borrow_mut().shift_remove(&update.kind);
                objects::apply_update(cx, update);
            }
        }
        Err(error) => log::warn!(event = "objects-not-fetched", from:%, error:%; ""),
    }
}

/// Fetches a newer table from a hub or another peer while this daemon does not get it from the store.
async fn catch_up_tables(cx: Rc<Gateway>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let now = cx.now();
        let (peer, follows_hubs) = {
            let state = cx.state.borrow();
            let version = state.table_version();
            let hub = state.hubs.newer_table(now, version);
            let peer = hub.or_else(|| state.peer_table.newer_table(now, version));
            (peer, state.hubs.follows_tables(now))
        };
        let behind_since = cx.set_table_behind(now, peer.is_some());
        let (Some(peer), Some(behind_since)) = (peer, behind_since) else { continue };
        let delay = if follows_hubs {
            jittered_delay(&cx, MAX_TABLE_FETCH_DELAY)
        } else {
            PEER_TABLE_DELAY
        };
        if now.since(behind_since) < delay {
            continue;
        }
        match links::fetch_table(peer).await {
            Ok(document) => match (cx.store.read_table)(document) {
                Ok(table) => {
                    let version = table.version;
                    if cx.state.borrow_mut().apply_table(table) {
                        let behind_ms = cx.now().since(behind_since).as_millis() as u64;
                        log::info!(event = "table", version, source = "peer", peer:%, behind_ms; "");
                    }
                }
                Err(error) => log::warn!(event = "unreadable-table", peer:%, error:%; ""),
            },
            Err(error) => {
                log::warn!(event = "table-not-fetched", peer:%, error:%; "");
                sleep(jittered_delay(&cx, MAX_TABLE_FETCH_DELAY)).await;
            }
        }
    }
}
