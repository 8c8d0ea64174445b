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
    let own = place(daemon, ring);
    let mut next: [Option<Place<'_>>; 2] = [None, None];
    let mut last: [Option<Place<'_>>; 2] = [None, None];
    for other in members.iter().map(|member| place(&member.daemon, ring)) {
        if other == own {
            continue;
        }
        // Beyond the own place first; the others only where the ring closes.
        let (after, before) = (usize::from(other < own), usize::from(other > own));
        next[after] = Some(next[after].map_or(other, |found| found.min(other)));
        last[before] = Some(last[before].map_or(other, |found| found.max(other)));
    }
    let found = [next[0].or(next[1]), last[0].or(last[1])];
    chosen.extend(found.into_iter().flatten().map(|(_, id)| id.clone()));
}

type Place<'a> = (u64, &'a DaemonId);

fn place(id: &DaemonId, ring: u64) -> Place<'_> {
    (xxh3_64_with_seed(id.as_str().as_bytes(), ring), id)
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
