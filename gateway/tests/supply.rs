//! How many hosts are ordered, for demands and reclaims as they come.

#[path = "support/model.rs"]
mod model;

use std::time::Duration;

use dogwoodturn_gateway::{
    autoscaler::{Autoscaler, HostPool},
    table::HostBounds,
};
use indexmap::IndexMap;
use model::{at, record, service};

fn bounds() -> HostBounds {
    let prices = [("cheap", 0.8), ("here", 1.0), ("dear", 1.2)];
    let prices = prices.map(|(name, price)| (name.parse().unwrap(), price));
    HostBounds {
        min: 1,
        max: 8,
        boot_time: Duration::from_secs(4),
        reclaimable_price: Some(0.15),
        prices: IndexMap::from(prices),
    }
}

/// Plays a demand against a cloud that carries orders out at once, and returns what runs.
fn supply(demand: impl Fn(u64) -> f64, reclaims_at: Option<u64>) -> Vec<(u64, u32, u32)> {
    let mut autoscaler = Autoscaler::default();
    let mut hosts = IndexMap::<(String, bool), u32>::new();
    for data_centre in ["cheap", "here", "dear"] {
        hosts.insert((data_centre.into(), false), 4);
    }
    let mut seen = Vec::new();
    for ms in (0..60_000_u64).step_by(200) {
        let is_dry = reclaims_at.is_some_and(|from| (from..from + 14_000).contains(&ms));
        if is_dry {
            hosts.iter_mut().filter(|((_, reclaimable), _)| *reclaimable).for_each(|(_, n)| *n = 0);
        }
        let records: Vec<_> = hosts
            .iter()
            .flat_map(|((data_centre, reclaimable), count)| {
                (0..*count).map(move |n| {
                    record(&format!("{data_centre}{reclaimable}{n}"), data_centre, *reclaimable)
                })
            })
            .collect();
        let present: Vec<_> = records.iter().collect();
        for order in autoscaler.plan_orders(at(ms), &service(), &bounds(), demand(ms), &present) {
            let accepted = !(order.pool.reclaimable && is_dry);
            if accepted {
                let place = (order.pool.data_centre.to_string(), order.pool.reclaimable);
                hosts.insert(place, order.count);
            }
            autoscaler.record_reply(at(ms), &order, accepted);
        }
        let sum = |sort: bool| hosts.iter().filter(|((_, r), _)| *r == sort).map(|(_, n)| n).sum();
        seen.push((ms, sum(false), sum(true)));
    }
    seen
}

#[test]
fn due_usual_demand_gives_up_what_it_does_not_need() {
    let seen = supply(|_| 3.0, None);
    let (_, base, reclaimable) = *seen.last().unwrap();
    assert!((4..=6).contains(&base), "{base} of the 12 hosts at the start");
    assert!(reclaimable >= 3, "{reclaimable} hosts for bursts");
}

#[test]
fn due_nothing_is_ordered_before_there_is_demand() {
    let seen = supply(|ms| if ms < 10_000 { 0.0 } else { 3.0 }, None);
    assert!(seen.iter().filter(|(ms, ..)| *ms < 10_000).all(|(_, base, _)| *base == 12));
}

#[test]
fn due_reclaim_of_every_reclaimable_host_leaves_the_base() {
    let seen = supply(|_| 4.0, Some(20_000));
    let during = seen.iter().filter(|(ms, ..)| (20_000..34_000).contains(ms));
    for (ms, base, _) in during {
        assert!(f64::from(*base) * 0.75 >= 4.0, "{base} hosts at {ms} for a demand of 4");
    }
    let (_, _, reclaimable) = *seen.last().unwrap();
    assert!(reclaimable > 0, "reclaimable hosts are ordered again");
}

/// Plays a large system in which hosts take four seconds to start, and returns for each moment the
/// hosts that serve and those of the base that are paid for.
fn large_supply(demand: impl Fn(u64) -> f64) -> Vec<(u64, u32, u32)> {
    const START_MS: u64 = 4000;
    let centres = ["cheap", "here", "dear", "far"];
    let bounds = HostBounds {
        min: 1,
        max: 30,
        boot_time: Duration::from_millis(START_MS),
        reclaimable_price: Some(0.15),
        prices: centres
            .iter()
            .zip([0.85, 1.0, 1.2, 1.1])
            .map(|(n, p)| (n.parse().unwrap(), p))
            .collect(),
    };
    let mut autoscaler = Autoscaler::default();
    // When each host of a place begins to serve.
    let mut hosts = IndexMap::<HostPool, Vec<u64>>::new();
    for data_centre in centres {
        let place = HostPool { data_centre: data_centre.parse().unwrap(), reclaimable: false };
        hosts.insert(place, vec![0; 14]);
    }
    let mut seen = Vec::new();
    for ms in (0..40_000_u64).step_by(200) {
        let mut records = Vec::new();
        for (place, starts) in &hosts {
            for (n, _) in starts.iter().enumerate().filter(|(_, from)| **from <= ms) {
                let id = format!("{}{}{n}", place.data_centre, place.reclaimable);
                records.push(record(&id, place.data_centre.as_str(), place.reclaimable));
            }
        }
        let present: Vec<_> = records.iter().collect();
        for order in autoscaler.plan_orders(at(ms), &service(), &bounds, demand(ms), &present) {
            let starts = hosts.entry(order.pool.clone()).or_default();
            starts.resize(order.count as usize, ms + START_MS);
            autoscaler.record_reply(at(ms), &order, true);
        }
        let base = hosts.iter().filter(|(place, _)| !place.reclaimable);
        seen.push((ms, records.len() as u32, base.map(|(_, starts)| starts.len() as u32).sum()));
    }
    seen
}

#[test]
fn due_surplus_of_the_start_is_given_up_once_others_serve_though_the_demand_still_rises() {
    let seen = large_supply(|ms| 14.0 + (ms as f64 / 4000.0).min(4.0) + (ms as f64 / 1100.0).sin());
    for (ms, serving, base) in seen {
        let least = 18.0 / 0.75;
        assert!(f64::from(serving) >= least, "{serving} hosts serve at {ms}");
        assert!(ms < 11_000 || base <= 30, "{base} hosts of the base at {ms}");
    }
}

#[test]
fn due_demand_that_swings_does_not_move_hosts_about() {
    let seen = supply(|ms| 3.0 + (ms as f64 / 2000.0).sin(), None);
    let after = seen.iter().filter(|(ms, ..)| *ms > 20_000).map(|(_, base, _)| *base);
    let counts: Vec<u32> = after.collect();
    let changes = counts.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(changes <= 3, "{changes} changes in 40 s");
}
