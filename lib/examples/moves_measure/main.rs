//! Simulates moves over several daemons with seeded synthetic attempts, and prints tables.
//!
//! `cargo run --release -p dogwoodturn --example moves_measure -- (bad | good) [SEEDS] [THREADS]`

mod baseline;
#[path = "../../tests/moves_sim/mod.rs"]
#[allow(dead_code, missing_docs)]
mod moves_sim;

use std::{sync::Mutex, thread, time::Duration};

use dogwoodturn::moves::resolution::Outcome;
use moves_sim::{
    Sim, SimResult, Spec,
    traffic::{Kind, Noise},
};

/// The time from the start to the deadline of the good moves.
const GOOD_LENGTH: Duration = Duration::from_mins(3);
const GOOD_WATCH: Duration = Duration::from_secs(30);

fn main() {
    let mut args = std::env::args().skip(1);
    let mode = args.next().unwrap_or_default();
    let mut numbers = args.map(|arg| arg.parse::<u64>().expect("a number"));
    let seeds = numbers.next().unwrap_or(20);
    let threads = numbers.next().unwrap_or(3);
    match &*mode {
        "bad" => [7, 9].into_iter().for_each(|daemons| bad_kinds(daemons, seeds, threads)),
        "good" => good(seeds, threads, numbers.next().unwrap_or(0) as usize),
        _ => eprintln!("moves_measure (bad | good) [SEEDS] [THREADS] [FIRST KIND OF NOISE]"),
    }
}

fn run_all(specs: Vec<Spec>, threads: u64) -> Vec<SimResult> {
    let next = Mutex::new(specs.into_iter().enumerate());
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let Some((index, spec)) = next.lock().expect("no panic").next() else { return };
                    let sim_result = Sim::new(spec).run();
                    results.lock().expect("no panic").push((index, sim_result));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no panic");
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, sim_result)| sim_result).collect()
}

fn bad_kinds(daemons: usize, seeds: u64, threads: u64) {
    println!("\nbad kinds at {daemons} daemons, {seeds} seeds, 200 requests/s, 300 s moves");
    println!(
        "{:16} {:>10} {:>8} {:>12} {:>12} {:>13} {:>11} {:>9} {:>16}",
        "kind",
        "taken back",
        "in time",
        "exposed p50",
        "exposed max",
        "of all (max)",
        "detect p50",
        "after 1s",
        "z-test earlier"
    );
    for kind in Kind::BAD {
        let specs = (0..seeds).map(|seed| Spec::new(daemons, kind, seed)).collect();
        let sim_results = run_all(specs, threads);
        let rolled_back =
            sim_results.iter().filter(|s| s.outcome() == Some(Outcome::RolledBack)).count();
        let in_time = sim_results.iter().filter(|s| s.in_time()).count();
        let mut exposed: Vec<u64> = sim_results.iter().map(|s| s.exposed).collect();
        exposed.sort_unstable();
        // A whole move has 200 requests/s for 300 s, however early it ends.
        let exposed_ratio = exposed[exposed.len() - 1] as f64 / (200.0 * 300.0);
        let mut detection_times: Vec<f64> = sim_results
            .iter()
            .filter_map(SimResult::time_to_detect)
            .map(|t| t.as_secs_f64())
            .collect();
        detection_times.sort_by(f64::total_cmp);
        let median_detection =
            detection_times.get(detection_times.len() / 2).copied().unwrap_or(f64::NAN);
        let after: u64 = sim_results.iter().map(|s| s.after_abort).sum();
        let earlier = |s: &&SimResult| {
            let alarm = baseline::first_alarm(&s.windows, None);
            alarm.zip(abort_seconds(s)).is_some_and(|(alarm, aborted)| alarm < aborted)
        };
        let earlier = sim_results.iter().filter(earlier).count();
        println!(
            "{:16} {:>10} {:>8} {:>12} {:>12} {:>12.3}% {:>10.1}s {:>9} {:>16}",
            format!("{kind:?}"),
            rolled_back,
            in_time,
            exposed[exposed.len() / 2],
            exposed[exposed.len() - 1],
            exposed_ratio * 100.0,
            median_detection,
            after,
            earlier
        );
    }
}

/// Returns the seconds from the start of the move to the first abort.
fn abort_seconds(sim_result: &SimResult) -> Option<f64> {
    sim_result.first_abort.map(|at| at.0 as f64 / 1e6 - 5.0)
}

fn good(moves: u64, threads: u64, first_noise: usize) {
    println!("\ngood moves of 180 s, {moves} seeds each kind of noise, 7 and 9 daemons in turn");
    println!(
        "{:16} {:>9} {:>11} {:>8} {:>8} {:>8} {:>9} {:>13} {:>13}",
        "noise",
        "finished",
        "taken back",
        "in time",
        "bytes/s",
        "calls",
        "doubts",
        "z each 3 s",
        "z each step"
    );
    let none = Noise::default();
    let noises = [
        ("none", none),
        ("failures 1%", Noise { failures: 0.01, ..none }),
        ("shared bursts", Noise { shared_bursts: true, ..none }),
        ("host crashes", Noise { crashes: true, ..none }),
        ("slow spells", Noise { slow_spells: true, ..none }),
        ("cold caches", Noise { cold_caches: true, ..none }),
        ("other class", Noise { other_class: true, ..none }),
        ("slow host", Noise { slow_host: true, ..none }),
        ("all", Noise::ALL),
    ];
    for (name, noise) in noises.into_iter().skip(first_noise) {
        let spec = |seed: u64| {
            let daemons = if seed.is_multiple_of(2) { 7 } else { 9 };
            let spec = Spec::new(daemons, Kind::Good, 10_000 + seed);
            Spec { noise, length: GOOD_LENGTH, watch: GOOD_WATCH, ..spec }
        };
        let sim_results = run_all((0..moves).map(spec).collect(), threads);
        let finished =
            sim_results.iter().filter(|s| s.outcome() == Some(Outcome::Finished)).count();
        let rolled_back =
            sim_results.iter().filter(|s| s.outcome() == Some(Outcome::RolledBack)).count();
        let in_time = sim_results.iter().filter(|s| s.in_time()).count();
        let bytes =
            sim_results.iter().map(|s| s.bytes_per_second).sum::<f64>() / sim_results.len() as f64;
        let calls =
            sim_results.iter().map(|s| s.platform_calls).sum::<u64>() / sim_results.len() as u64;
        let window_alarms =
            sim_results.iter().filter(|s| baseline::first_alarm(&s.windows, None).is_some());
        let window_alarms = window_alarms.count();
        let step_alarms = sim_results.iter().filter(|s| {
            let ends: Vec<f64> = s.step_times.clone();
            baseline::first_alarm(&s.windows, Some(&ends)).is_some()
        });
        let step_alarms = step_alarms.count();
        let doubts = sim_results.iter().filter(|s| s.doubts > 0).count();
        println!(
            "{name:16} {finished:>9} {rolled_back:>11} {in_time:>8} {bytes:>8.0} {calls:>8} \
             {doubts:>9} {window_alarms:>13} {step_alarms:>13}"
        );
        for failed in sim_results.iter().filter(|s| s.outcome() != Some(Outcome::Finished)).take(3)
        {
            let aborted = abort_seconds(failed);
            println!("    held={aborted:?} cause={:?} steps={:?}", failed.cause, failed.step_times);
        }
    }
}
