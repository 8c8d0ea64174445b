//! `demo`: runs stand-ins, daemons and callers as threads of one process on loopback.
//!
//! While callers of both sample fleets send requests, a host is reclaimed, one service moves to a
//! good version and another to a faulty one. The outcome of each request is counted.

mod callers;

use std::{
    sync::atomic::Ordering,
    thread::sleep,
    time::{Duration, Instant},
};

use dogwoodturn::{
    moves::report::{MoveReport, Stage},
    upstream::HostState,
};
use dogwoodturn_load::{
    local::{LocalFleet, Standin, UpstreamPlan, now},
    sample::{self, LK_CENTRAL, SALISH},
};
use dogwoodturn_standins::engine::faults::{Bad, BadKind, Faults};
use eyre::{Result, bail, eyre};
use gumdrop::Options;
use indexmap::IndexMap;

use self::callers::{Callers, Tally};
use crate::output::Outcome;

/// The data centres of the demo, with one daemon in each.
const DAEMONS: [&str; 3] = ["salish-a", "salish-b", "kandy-a"];
/// The number of threads of each daemon that answer callers.
const TRAFFIC_THREADS: usize = 1;
/// The time from the start of the moves to their deadline.
const MOVE_DURATION: Duration = Duration::from_secs(50);
/// The delay before the moves start, in which the callers already send requests.
const WARM_UP: Duration = Duration::from_secs(3);
/// The time from the start of the callers to the notice that a host is reclaimed.
const RECLAIM_AFTER: Duration = Duration::from_secs(6);
/// The time between the notice and the end of the reclaimed host.
const RECLAIM_NOTICE: Duration = Duration::from_secs(2);
/// How often the reports of the moves are read.
const POLL: Duration = Duration::from_millis(100);
/// How long to wait for the end of the moves after their deadline.
const MOVE_END_MARGIN: Duration = Duration::from_secs(5);

/// The target versions of the moves: a faulty one of one sample fleet and a good one of the other.
const NEW_VERSIONS: [UpstreamPlan; 2] = [
    UpstreamPlan {
        service: "lantern",
        version: "v2",
        engine: true,
        count: 4,
        data_centres: &SALISH,
    },
    UpstreamPlan {
        service: "appraiser-llm",
        version: "v2",
        engine: true,
        count: 12,
        data_centres: &LK_CENTRAL,
    },
];

/// The arguments of `demo`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
}

/// Returns success if the move to the good version finished, the move to the faulty one was rolled
/// back, at least one request was completed, none was lost and no non-idempotent call ran more than
/// once.
pub fn run(_args: &Args) -> Result<Outcome> {
    let mut plans = sample::UPSTREAMS.to_vec();
    plans.extend(NEW_VERSIONS);
    let mut fleet = LocalFleet::start(&plans)?;
    fleet.platform.set_hosts(fleet.upstreams.iter().map(|up| up.record.clone()).collect());
    inject_failures(&fleet, "lantern", "v2");
    let set =
        sample::declarations_with(&move_declarations()).map_err(|faults| eyre!("{faults:?}"))?;
    let head = fleet.publish(&set, "demo-1")?;
    println!("published generation {} of both fleets and two moves", head.generation);
    for data_centre in DAEMONS {
        fleet.add_daemon(data_centre, TRAFFIC_THREADS)?;
    }
    fleet.wait_ready()?;
    println!("{} daemons are ready before {} upstreams", DAEMONS.len(), fleet.upstreams.len());
    let callers = Callers::start(&fleet);
    sleep(RECLAIM_AFTER);
    reclaim(&mut fleet, "lantern");
    let reports = wait_for_moves(&fleet);
    let tally = callers.stop()?;
    let reports = reports?;
    for report in &reports {
        print_move(report);
    }
    Ok(print_table(&fleet, &tally, &reports))
}

/// Returns the declarations of the new versions and the moves to them.
fn move_declarations() -> String {
    let start = now() + WARM_UP;
    let finish_by = start + MOVE_DURATION;
    let declare_move = |service: &str| {
        format!(
            "[version {service}/v2]\n[move {service}-v2]\nservice = {service}\nfrom = v1\nto = v2\n\
             start = {start}\nfinish-by = {finish_by}\nwatch = 6s\n"
        )
    };
    declare_move("lantern") + &declare_move("appraiser-llm")
}

fn inject_failures(fleet: &LocalFleet, service: &str, version: &str) {
    let failure = Bad { kind: BadKind::Fail, after_ms: 0, above_running: 0, path: String::new() };
    for up in &fleet.upstreams {
        let matches_service = up.record.service.as_str() == service;
        if let Standin::Engine(engine) = &up.standin
            && matches_service
            && up.record.version.as_str() == version
        {
            engine.set_faults(Faults { bad: Some(failure.clone()), ..Faults::default() });
        }
    }
}

/// Announces that a host of a service will be reclaimed, and removes it after the notice.
fn reclaim(fleet: &mut LocalFleet, service: &str) {
    let Some(index) = fleet.upstreams.iter().position(|up| up.record.service.as_str() == service)
    else {
        return;
    };
    fleet.upstreams[index].record.state = HostState::Leaving { at: now() + RECLAIM_NOTICE };
    fleet.publish_hosts();
    sleep(RECLAIM_NOTICE);
    let removed = fleet.upstreams.remove(index);
    fleet.publish_hosts();
    println!("reclaimed {} after a notice of {RECLAIM_NOTICE:?}", removed.record.host);
}

/// Waits until a daemon reports the recorded end of each move.
fn wait_for_moves(fleet: &LocalFleet) -> Result<Vec<MoveReport>> {
    let deadline = Instant::now() + WARM_UP + MOVE_DURATION + MOVE_END_MARGIN;
    loop {
        let snapshot = fleet.daemons[0].snapshot();
        let reports = &snapshot.moves;
        let has_ended = |report: &MoveReport| {
            report.recorded && matches!(report.stage, Stage::Finished | Stage::RolledBack)
        };
        if !reports.is_empty() && reports.iter().all(has_ended) {
            return Ok(reports.to_vec());
        }
        if Instant::now() > deadline {
            bail!("a move has not ended by its time");
        }
        sleep(POLL);
    }
}

fn print_move(report: &MoveReport) {
    let cause = report.cause.as_deref().unwrap_or("");
    println!("move {}: {} ({cause})", report.name, report.stage);
}

fn print_table(fleet: &LocalFleet, tally: &Tally, reports: &[MoveReport]) -> Outcome {
    let sum = |read_counter: &dyn Fn(&dogwoodturn_load::AttemptCounters) -> u64| -> u64 {
        fleet.daemons.iter().map(|daemon| read_counter(daemon.attempt_counters())).sum()
    };
    let generated = sum(&|counters| counters.generated_tokens.load(Ordering::Relaxed));
    let recomputed = sum(&|counters| counters.tokens_again.load(Ordering::Relaxed));
    let repeated_runs = count_repeated_runs(fleet);
    let rows = [
        ("requests accepted", tally.accepted()),
        ("answered whole", tally.completed),
        ("refused as not run", tally.not_run),
        ("lost", tally.lost),
        ("tokens generated", generated),
        ("tokens computed twice", recomputed),
        ("non-idempotent calls run more than once", repeated_runs),
    ];
    for (name, value) in rows {
        println!("{name:<42}{value:>10}");
    }
    for example in &tally.examples {
        println!("lost: {example}");
    }
    let stage_of = |name: &str| {
        let report = reports.iter().find(|report| report.name.as_str() == name);
        report.map(|report| report.stage)
    };
    let moves_ended_as_expected = stage_of("appraiser-llm-v2") == Some(Stage::Finished)
        && stage_of("lantern-v2") == Some(Stage::RolledBack);
    let requests_kept = tally.lost == 0 && repeated_runs == 0 && tally.completed > 0;
    if moves_ended_as_expected && requests_kept { Outcome::Success } else { Outcome::Failure }
}

fn count_repeated_runs(fleet: &LocalFleet) -> u64 {
    let mut runs = IndexMap::new();
    for up in &fleet.upstreams {
        if let Standin::Plain(plain) = &up.standin {
            for (key, count) in plain.runs() {
                *runs.entry(key).or_insert(0) += count;
            }
        }
    }
    runs.values().filter(|&&count| count > 1).count() as u64
}
