//! Rendezvous hashing: selects the daemon responsible for a duty from the member list alone, so
//! that daemons with the same list select the same one.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{DaemonId, DataCentre},
    peer::Member,
};

fn score(duty: &str, daemon: &DaemonId) -> u64 {
    let seed = xxh3_64_with_seed(duty.as_bytes(), 0);
    xxh3_64_with_seed(daemon.as_str().as_bytes(), seed)
}

/// Returns the `count` highest-ranked daemons for `duty`, the highest first.
pub fn rank<'a>(members: &'a [Member], duty: &str, count: usize) -> Vec<&'a DaemonId> {
    let mut ranked: Vec<&DaemonId> = members.iter().map(|member| &member.daemon).collect();
    ranked.sort_by_key(|daemon| (std::cmp::Reverse(score(duty, daemon)), *daemon));
    ranked.truncate(count);
    ranked
}

/// Returns the highest-ranked daemon for `duty`; `None` if no member is known.
pub fn top_ranked<'a>(members: &'a [Member], duty: &str) -> Option<&'a DaemonId> {
    rank(members, duty, 1).pop()
}

/// Returns the highest-ranked daemon of one data centre for `duty`.
pub fn top_ranked_in<'a>(
    members: &'a [Member],
    data_centre: &DataCentre,
    duty: &str,
) -> Option<&'a DaemonId> {
    let local = members.iter().filter(|member| member.data_centre == *data_centre);
    let daemons = local.map(|member| &member.daemon);
    daemons.max_by_key(|daemon| (score(duty, daemon), *daemon))
}
