//! Chooses each daemon's neighbours from the member list alone.
//!
//! The daemons are arranged on several rings, each with its own order by hash. The neighbours of a
//! daemon are the two adjacent ones on each ring. This gives a random regular graph that both ends
//! of a link compute alike. A daemon without a neighbour in another data centre or region adds one.
//! See `docs/design/membership.md`.

use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ids::DaemonId, peer::Member};

/// The number of rings, each of which gives a daemon two neighbours.
const RING_COUNT: u64 = 3;

/// The largest number of daemons at which all of them are neighbours.
const MAX_FULL_MESH: usize = 9;

/// Returns the neighbours of one daemon among the members.
pub fn neighbours(daemon: &DaemonId, members: &[&Member]) -> IndexSet<DaemonId> {
    let others = members.iter().map(|member| &member.daemon).filter(|id| *id != daemon);
    if members.len() <= MAX_FULL_MESH {
        return others.cloned().collect();
    }
    let mut chosen = IndexSet::new();
    for ring in 0..RING_COUNT {
        add_ring_neighbours(daemon, members, ring, &mut chosen);
    }
    let Some(own) = members.iter().find(|member| member.daemon == *daemon) else { return chosen };
    add_matching(daemon, members, &mut chosen, |member| member.data_centre != own.data_centre);
    add_matching(daemon, members, &mut chosen, |member| member.region != own.region);
    chosen
}

/// Adds the daemons before and after `daemon` on a ring.
fn add_ring_neighbours(
    daemon: &DaemonId,
    members: &[&Member],
    ring: u64,
    chosen: &mut IndexSet<DaemonId>,
) {
    let own = ring_position(daemon, ring);
    let mut next: [Option<RingPosition<'_>>; 2] = [None, None];
    let mut last: [Option<RingPosition<'_>>; 2] = [None, None];
    for other in members.iter().map(|member| ring_position(&member.daemon, ring)) {
        if other == own {
            continue;
        }
        // Index 0 holds the candidates that need no wrap-around, index 1 the others.
        let (after, before) = (usize::from(other < own), usize::from(other > own));
        next[after] = Some(next[after].map_or(other, |found| found.min(other)));
        last[before] = Some(last[before].map_or(other, |found| found.max(other)));
    }
    let found = [next[0].or(next[1]), last[0].or(last[1])];
    chosen.extend(found.into_iter().flatten().map(|(_, id)| id.clone()));
}

type RingPosition<'a> = (u64, &'a DaemonId);

fn ring_position(id: &DaemonId, ring: u64) -> RingPosition<'_> {
    (xxh3_64_with_seed(id.as_str().as_bytes(), ring), id)
}

/// Adds the matching member with the smallest hash, unless a matching one is chosen already.
fn add_matching(
    daemon: &DaemonId,
    members: &[&Member],
    chosen: &mut IndexSet<DaemonId>,
    is_match: impl Fn(&Member) -> bool,
) {
    let mut matching = members.iter().filter(|member| is_match(member));
    if matching.clone().any(|member| chosen.contains(&member.daemon)) {
        return;
    }
    let seed = xxh3_64_with_seed(daemon.as_str().as_bytes(), RING_COUNT);
    let hash = |id: &DaemonId| xxh3_64_with_seed(id.as_str().as_bytes(), seed);
    let Some(first) = matching.next() else { return };
    let smallest = matching.fold(first, |smallest, member| {
        if hash(&member.daemon) < hash(&smallest.daemon) { member } else { smallest }
    });
    chosen.insert(smallest.daemon.clone());
}
