//! Measures how dissemination and membership grow with the number of daemons.
//!
//! `cargo run --release -p dogwoodturn --example fleet_slopes [-- SIZE..]` prints tables for the
//! given numbers of daemons, 8 to 128 if none is given, over 13 data centres in 5 regions. All
//! figures except processor time and memory are the same in each run.

#![allow(dead_code, missing_docs, reason = "shares the simulation with the tests")]

#[path = "../tests/fleet/build.rs"]
mod build;
#[path = "../tests/fleet/fleet_sim.rs"]
mod fleet_sim;

use std::time::{Duration, Instant};

use build::{converged_fleet, is_active, publish, set};
use dogwoodturn::{ids::Generation, units::Time};
use fleet_sim::{FleetSim, Node};

const CENTRES: usize = 13;
const REGIONS: usize = 5;
const CHANGES: usize = 40;
const SERVICES: usize = 20;
const CHANGE_TIMEOUT: Duration = Duration::from_mins(1);
/// The interval between changes at 30,000 changes per day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_880);
const MEASUREMENT_TIME: Duration = Duration::from_mins(2);
const PAGE_BYTES: u64 = 4_096;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    Loss,
    PlatformDown,
}

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![8, 16, 32, 64, 128] } else { sizes };
    println!("resident memory of one daemon, kB, the queue included");
    // The fleets are kept until the end, so that no size reuses the memory of another.
    let fleets: Vec<FleetSim> = sizes.iter().map(|&size| memory_of(size)).collect();
    println!();
    println!("accepted to in force at every daemon, ms, {CHANGES} changes");
    println!("{:>8} {:>14} {:>8} {:>8} {:>8}", "daemons", "fault", "p50", "p99", "longest");
    for &size in &sizes {
        for fault in [Fault::None, Fault::Loss, Fault::PlatformDown] {
            latency(size, fault);
        }
    }
    println!();
    println!("one daemon, {MEASUREMENT_TIME:?}, headers counted");
    println!(
        "{:>8} {:>12} {:>8} {:>10} {:>10} {:>8} {:>12} {:>10}",
        "daemons", "changes/s", "links", "bytes/s", "packets/s", "cpu %", "calls/s", "fleet"
    );
    for &size in &sizes {
        cost(size, false);
        cost(size, true);
    }
    drop(fleets);
}

fn memory_of(size: usize) -> FleetSim {
    let before = memory();
    let sim = converged_fleet(size as u64, size, CENTRES, REGIONS);
    println!("{size:>8} {:>8}", memory().saturating_sub(before) / size as u64);
    sim
}

fn publish_change(sim: &mut FleetSim, step: usize) -> u64 {
    let head = publish(&mut sim.store, &set(SERVICES, step), &format!("c{step}"), 0);
    sim.store_changed();
    head.expect("published").generation.0
}

fn latency(size: usize, fault: Fault) {
    let mut sim = converged_fleet(size as u64, size, CENTRES, REGIONS);
    if fault == Fault::Loss {
        sim.loss = 0.01;
    }
    let mut each: Vec<f64> = Vec::new();
    let mut last: Vec<f64> = Vec::new();
    for step in 1..=CHANGES {
        let accepted = sim.now;
        let generation = publish_change(&mut sim, step);
        if fault == Fault::PlatformDown {
            let some = |node: &Node| node.snapshot.generation == Generation(generation);
            sim.run(CHANGE_TIMEOUT, |sim| sim.live().any(some));
            sim.platform_up = false;
            sim.store_changed();
        }
        assert!(sim.run(CHANGE_TIMEOUT, |sim| is_active(sim, generation)), "not in force");
        let times: Vec<f64> =
            sim.live().map(|node| latency_ms(node, generation, accepted)).collect();
        last.push(times.iter().copied().fold(0.0, f64::max));
        each.extend(times);
        sim.platform_up = true;
        sim.run(CHANGE_INTERVAL, |_| false);
    }
    let (p50, p99) = (quantile(&mut each, 0.5), quantile(&mut each, 0.99));
    let longest = quantile(&mut last, 1.0);
    let fault = format!("{fault:?}");
    println!("{size:>8} {fault:>14} {p50:>8.1} {p99:>8.1} {longest:>8.1}");
}

fn latency_ms(node: &Node, generation: u64, accepted: Time) -> f64 {
    let found = node.adopted.iter().find(|(adopted, _)| *adopted >= generation);
    found.map_or(f64::INFINITY, |(_, at)| at.since(accepted).as_secs_f64() * 1e3)
}

fn quantile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * part).round() as usize]
}

fn cost(size: usize, changing: bool) {
    let began = Instant::now();
    let mut sim = converged_fleet(size as u64, size, CENTRES, REGIONS);
    let sum = |sim: &FleetSim, of: fn(&Node) -> f64| sim.live().map(of).sum::<f64>();
    let measures: [fn(&Node) -> f64; 4] = [
        |node| node.bytes_sent as f64,
        |node| node.packets_sent as f64,
        |node| node.busy.as_secs_f64() * 100.0,
        |node| node.platform_calls as f64,
    ];
    let start = measures.map(|of| sum(&sim, of));
    let end = sim.now + MEASUREMENT_TIME;
    let mut step = 0;
    while sim.now < end {
        if changing {
            step += 1;
            publish_change(&mut sim, step);
        }
        sim.run(CHANGE_INTERVAL.min(end.since(sim.now)), |_| false);
    }
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    let fleet: Vec<f64> = (0..measures.len())
        .map(|index| (sum(&sim, measures[index]) - start[index]) / seconds)
        .collect();
    let links: usize = sim
        .live()
        .filter_map(|node| node.control.peers())
        .map(|p| p.linked_neighbours().count())
        .sum();
    let each: Vec<f64> = fleet.iter().map(|value| value / size as f64).collect();
    println!(
        "{size:>8} {:>12.2} {:>8.1} {:>10.0} {:>10.2} {:>8.4} {:>12.4} {:>10.1}",
        f64::from(step as u32) / seconds,
        links as f64 / size as f64,
        each[0],
        each[1],
        each[2],
        each[3],
        fleet[3],
    );
    eprintln!("{size} daemons took {:?}", began.elapsed());
}

/// Returns the resident memory of this process, in kB.
fn memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES / 1_024
}
