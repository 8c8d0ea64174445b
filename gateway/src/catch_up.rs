//! Fetches from other daemons what this one has missed.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use dogwoodturn::units::Time;
use tokio::time::interval;

use crate::{gateway::Gateway, links, objects};

/// How often this is looked at.
const TICK: Duration = Duration::from_millis(100);
/// How long after its start a daemon without upstreams is taken to be turned away by the store.
const TURNED_AWAY_AFTER: Duration = Duration::from_millis(1000);
/// How long a peer's newer table is left to the store's watch before it is fetched.
const RELAY_AFTER: Duration = Duration::from_millis(300);

/// Starts to fetch what is missed.
pub fn start(cx: &Rc<Gateway>) {
    actix_rt::spawn(catch_up_tables(cx.clone()));
    actix_rt::spawn(catch_up_objects(cx.clone()));
}

/// Fetches all objects from a hub after some of what it told was missed.
async fn catch_up_objects(cx: Rc<Gateway>) {
    let started = cx.now();
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let Some(hub) = source(&cx, started) else { continue };
        cx.is_behind.set(false);
        match links::fetch_objects(hub).await {
            Ok(excerpts) => {
                log::info!(event = "objects-fetched", hub:%, kinds = excerpts.len(); "");
                for excerpt in excerpts {
                    objects::take_excerpt(&cx, excerpt);
                }
            }
            Err(error) => {
                log::warn!(event = "objects-not-fetched", hub:%, error:%; "");
                cx.is_behind.set(true);
            }
        }
    }
}

/// Returns whom to ask, if something is missing: a hub, or any daemon that knows a table if the
/// store has not answered this one since its start.
fn source(cx: &Gateway, started: Time) -> Option<SocketAddr> {
    let now = cx.now();
    let state = cx.state.borrow();
    let is_new = !state.has_upstreams;
    if !is_new && !cx.is_behind.get() {
        return None;
    }
    let is_turned_away = is_new && now.since(started) >= TURNED_AWAY_AFTER;
    let any = || state.mesh.newer_table(now, 0).filter(|_| is_turned_away);
    state.hubs.source(now).or_else(any)
}

/// Fetches a newer table from a peer while the store does not tell this daemon.
async fn catch_up_tables(cx: Rc<Gateway>) {
    let mut behind_since: Option<Time> = None;
    let mut ticks = interval(TICK);
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
