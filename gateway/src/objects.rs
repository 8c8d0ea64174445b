//! Applies objects of the store, received from the store or from a hub, to the state of the
//! gateway.

use std::{net::SocketAddr, time::Duration};

use dogwoodturn::ids::UpstreamId;

use crate::{
    gateway::Gateway,
    hubs::HubMessage,
    replication::{ReplicationUpdate, UpdateOutcome},
    store::{Change, Changes, Entry, Kind, Listing, Record, StoreRevision},
};

/// Time for which a hub's changes are waited for before the kind is listed: a hub with changes to pass on
/// broadcasts several times a second.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(1000);

/// Applies a listing of all objects of a kind.
///
/// The first listing after the store's restore from a backup may lack objects that operators are about to write
/// again. It therefore ends no move and no evacuation; [`crate::sync`] lists these kinds once more.
pub fn process_listing(cx: &Gateway, kind: Kind, listing: Listing) {
    let now = cx.now();
    cx.observe_era(listing.at.era);
    let is_from_copy = {
        let views = &mut cx.state.borrow_mut().views;
        let is_from_copy = views.is_of_earlier_era(kind);
        if !views.apply_listing(now, kind, &listing) {
            return;
        }
        is_from_copy
    };
    cx.has_unsent_changes.set(true);
    {
        let mut state = cx.state.borrow_mut();
        let is_listed = |name: &str| listing.entries.iter().any(|entry| &*entry.name == name);
        match kind {
            Kind::Upstreams => {
                let listed: Vec<UpstreamId> =
                    listing.entries.iter().filter_map(|entry| entry.name.parse().ok()).collect();
                state.directory.retain_listed(now, &listed);
                state.has_upstreams = true;
            }
            Kind::Members => {
                state.peer_table.retain_listed(is_listed);
                state.has_members = true;
            }
            Kind::Moves if !is_from_copy => state.rollouts.retain_listed(is_listed),
            Kind::Evacuations if !is_from_copy => state.retain_evacuations(now, is_listed),
            Kind::Declarations | Kind::Leases | Kind::Moves | Kind::Evacuations => {}
        }
    }
    for entry in listing.entries {
        apply_entry(cx, entry);
    }
}

/// Applies the changes of a kind.
pub(crate) fn process_changes(cx: &Gateway, kind: Kind, changes: Changes) {
    if !cx.state.borrow_mut().views.apply_changes(cx.now(), kind, &changes) {
        return;
    }
    if !changes.changes.is_empty() {
        cx.has_unsent_changes.set(true);
    }
    for change in changes.changes {
        match change {
            Change::Set(entry) => apply_entry(cx, entry),
            Change::Removed(name) => process_removal(cx, kind, &name),
        }
    }
}

/// Applies a hub's message. Kinds of which an update was missed are recorded in `missed_kinds`.
pub fn receive_hub_message(cx: &Gateway, from: SocketAddr, mut message: HubMessage) {
    let mut updates = std::mem::take(&mut message.updates);
    updates.extend(message.evacuations.take());
    let revisions = std::mem::take(&mut message.revisions);
    let era = message.store_era;
    cx.state.borrow_mut().receive_hub_message(cx.now(), from, message);
    for update in updates {
        let kind = update.kind;
        if !apply_update(cx, update) {
            cx.missed_kinds.borrow_mut().insert(kind);
        }
    }
    for (kind, at) in revisions {
        let at = cx.state.borrow().views.complete(era, at);
        if at.is_some_and(|at| is_stalled(cx, kind, at)) {
            cx.missed_kinds.borrow_mut().insert(kind);
        }
    }
}

/// Reports whether this daemon has been behind a hub's revision of a kind for [`MAX_UPDATE_DELAY`] without any
/// progress.
fn is_stalled(cx: &Gateway, kind: Kind, at: StoreRevision) -> bool {
    let now = cx.now();
    let synced = cx.state.borrow().views.synced_revision(kind);
    let mut behind = cx.behind_since.borrow_mut();
    if synced >= Some(at) {
        behind.shift_remove(&kind);
        return false;
    }
    let (known, since) = behind.entry(kind).or_insert((synced, now));
    if *known != synced {
        (*known, *since) = (synced, now);
    }
    now.since(*since) >= MAX_UPDATE_DELAY
}

/// Applies an update from another daemon. Returns false if earlier changes are missing and must be
/// fetched.
pub(crate) fn apply_update(cx: &Gateway, update: ReplicationUpdate) -> bool {
    let kind = update.kind;
    let outcome = cx.state.borrow().views.compare(update);
    match outcome {
        UpdateOutcome::UpToDate => true,
        UpdateOutcome::MissedChanges => false,
        UpdateOutcome::Listing(listing) => {
            process_listing(cx, kind, listing);
            true
        }
        UpdateOutcome::Changes(changes) => {
            process_changes(cx, kind, changes);
            true
        }
    }
}

/// Applies one object of the store.
pub fn apply_entry(cx: &Gateway, entry: Entry) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    match entry.record {
        Ok(Record::Table(table)) => {
            let version = table.version;
            if state.apply_table(*table) {
                log::info!(event = "table", version, source = "store"; "");
            }
        }
        Ok(Record::Upstream(record)) => {
            let (id, draining) = (record.id.clone(), record.draining);
            let ramp_cause = state.ramp_cause(now, &record);
            let was_draining =
                state.directory.get(&id).is_some_and(|current| current.record.draining);
            if state.directory.set(record) {
                log::info!(event = "upstream", upstream:% = id, draining; "");
                state.reset_upstream(&id);
                cx.pool.borrow_mut().remove_upstream(&id);
            } else if draining && !was_draining {
                log::info!(event = "upstream-leaving", upstream:% = id; "");
            }
            state.apply_warm_up(now, &id);
            if let Some(cause) = ramp_cause {
                state.begin_ramp(now, &id, cause);
            }
        }
        Ok(Record::Move(record)) => {
            log::info!(event = "move", service:% = record.service, target:% = record.target, state:? = record.state; "");
            state.rollouts.apply_move(now, entry.revision, record);
        }
        Ok(Record::Member(record)) => state.peer_table.add_listed(now, record),
        Ok(Record::Lease(record)) => {
            state.usage.restore(&cx.run(), &record.open_counts);
            state.lease.apply_record(now, entry.revision, record);
        }
        Ok(Record::Evacuation(data_centre)) => state.begin_evacuation(&data_centre),
        Err(error) => {
            cx.metrics.unreadable.inc();
            log::warn!(event = "unreadable-object", name = &*entry.name, error:%; "object of the store could not be read and is skipped");
        }
    }
}

fn process_removal(cx: &Gateway, kind: Kind, name: &str) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    match kind {
        Kind::Upstreams => {
            log::info!(event = "upstream-gone", upstream = name; "");
            state.directory.mark_unlisted(now, name);
        }
        Kind::Moves => state.rollouts.remove_move(name),
        Kind::Members => state.peer_table.remove_unlisted(name),
        Kind::Evacuations => state.end_evacuation(now, name),
        Kind::Declarations | Kind::Leases => {
            log::warn!(event = "object-removed", kind:? = kind, name; "removal of the object is ignored");
        }
    }
}
