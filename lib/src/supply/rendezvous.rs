//! Chooses the daemon that should act, the same at each daemon, from the member list alone.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ids::{DaemonId, DataCentre},
    peer::Member,
};

fn score(duty: &str, daemon: &DaemonId) -> u64 {
    let seed = xxh3_64_with_seed(duty.as_bytes(), 0);
    xxh3_64_with_seed(daemon.as_str().as_bytes(), seed)
}

/// Returns the daemons that should act for `duty`, the first `count` of the ranking.
pub fn ranked<'a>(members: &'a [Member], duty: &str, count: usize) -> Vec<&'a DaemonId> {
    let mut ranked: Vec<&DaemonId> = members.iter().map(|member| &member.daemon).collect();
    ranked.sort_by_key(|daemon| (std::cmp::Reverse(score(duty, daemon)), *daemon));
    ranked.truncate(count);
    ranked
}

/// Returns the daemon that should act for `duty`; `None` if no member is known.
pub fn first<'a>(members: &'a [Member], duty: &str) -> Option<&'a DaemonId> {
    ranked(members, duty, 1).pop()
}

/// Returns the daemon of one data centre that should act for `duty`.
pub fn first_in<'a>(
    members: &'a [Member],
    data_centre: &DataCentre,
    duty: &str,
) -> Option<&'a DaemonId> {
    let local = members.iter().filter(|member| member.data_centre == *data_centre);
    let daemons = local.map(|member| &member.daemon);
    daemons.max_by_key(|daemon| (score(duty, daemon), *daemon))
}
