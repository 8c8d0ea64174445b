//! Chooses each daemon's neighbours from the member list alone.
//!
//! The daemons are put on several rings, each in an order of its own by hash, and a daemon's
//! neighbours are the two beside it on each ring: a random regular graph that both ends of a link
//! compute alike. A daemon without a neighbour in another data centre or region adds one. See
//! `docs/design/membership.md`.

use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ids::DaemonId, peer::Member};

/// The number of rings; each gives a daemon two neighbours.
const RINGS: u64 = 3;

/// In a fleet of this size or smaller all daemons are neighbours.
const SMALL_FLEET: usize = 9;

/// Returns the neighbours of one daemon among the members.
pub fn neighbours(daemon: &DaemonId, members: &[&Member]) -> IndexSet<DaemonId> {
    let others = members.iter().map(|member| &member.daemon).filter(|id| *id != daemon);
    if members.len() <= SMALL_FLEET {
        return others.cloned().collect();
    }
    let mut chosen = IndexSet::new();
    for ring in 0..RINGS {
        beside(daemon, members, ring, &mut chosen);
    }
    let Some(own) = members.iter().find(|member| member.daemon == *daemon) else { return chosen };
    ensure(daemon, members, &mut chosen, |member| member.data_centre != own.data_centre);
    ensure(daemon, members, &mut chosen, |member| member.region != own.region);
    chosen
}

/// Adds the daemons before and after one on a ring.
fn beside(daemon: &DaemonId, members: &[&Member], ring: u64, chosen: &mut IndexSet<DaemonId>) {
    let place = |id: &DaemonId| (xxh3_64_with_seed(id.as_str().as_bytes(), ring), id.clone());
    let own = place(daemon);
    let places = members.iter().map(|member| place(&member.daemon));
    let others: Vec<_> = places.filter(|place| *place != own).collect();
    let (before, after): (Vec<_>, Vec<_>) = others.iter().partition(|place| **place < own);
    let next = after.iter().min().or(before.iter().min());
    let last = before.iter().max().or(after.iter().max());
    chosen.extend(next.into_iter().chain(last).map(|place| place.1.clone()));
}

/// Adds the nearest member by hash that fits, unless a fitting one is chosen already.
fn ensure(
    daemon: &DaemonId,
    members: &[&Member],
    chosen: &mut IndexSet<DaemonId>,
    fits: impl Fn(&Member) -> bool,
) {
    let mut fitting = members.iter().filter(|member| fits(member));
    if fitting.clone().any(|member| chosen.contains(&member.daemon)) {
        return;
    }
    let seed = xxh3_64_with_seed(daemon.as_str().as_bytes(), RINGS);
    let weight = |id: &DaemonId| xxh3_64_with_seed(id.as_str().as_bytes(), seed);
    let Some(first) = fitting.next() else { return };
    let nearest = fitting.fold(first, |nearest, member| {
        if weight(&member.daemon) < weight(&nearest.daemon) { member } else { nearest }
    });
    chosen.insert(nearest.daemon.clone());
}
