//! Runs named scenarios on a local fleet with callers and faults, and writes a report with plots.

pub mod compare;
pub mod plot;
pub mod record;
pub mod report;
pub mod scenario;

use std::{
    fs,
    path::Path,
    sync::atomic::Ordering,
    thread::sleep,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr as _, eyre};

use self::{
    record::{Callers, Row, Sample, rows_of},
    scenario::{Fault, Scenario},
};
use crate::{
    local::{LocalFleet, now},
    sample,
};

/// The data centre of each daemon of a scenario.
const DAEMONS: [&str; 3] = ["salish-a", "salish-b", "kandy-a"];
/// Interval at which faults are applied and traffic shares are sampled.
const TICK: Duration = Duration::from_millis(100);
/// Price of one host of the local fleet, from which the cost of a scenario is computed.
const HOST_PRICE_PER_HOUR: f64 = 1.0;

/// The share of requests that a new version received at one time.
#[derive(Clone, Copy, Debug)]
pub struct SharePoint {
    /// Seconds since the start of the scenario.
    pub at: f64,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// Totals over a whole scenario.
#[derive(Clone, Debug)]
pub struct Totals {
    /// Complete responses.
    pub whole: u64,
    /// Refusals marked not run.
    pub not_run: u64,
    /// Requests with any other outcome.
    pub lost: u64,
    /// 95th percentile of time to first byte of urgent requests, in milliseconds.
    pub urgent_p95_ms: f64,
    /// 95th percentile of time to first byte of batch requests, in milliseconds.
    pub batch_p95_ms: f64,
    pub generated: u64,
    pub recomputed_tokens: u64,
    /// Cost of the hosts at [`HOST_PRICE_PER_HOUR`].
    pub cost: f64,
}

/// Results of a scenario.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub name: &'static str,
    pub rows: Vec<Row>,
    /// Shares of the new version; empty if no move was in progress.
    pub shares: Vec<SharePoint>,
    pub totals: Totals,
}

/// Runs scenarios and writes CSV files and a report into a directory.
pub fn run(scenarios: &[Scenario], out: &Path) -> Result<Vec<Outcome>> {
    fs::create_dir_all(out)
        .wrap_err_with(|| format!("cannot create directory {}", out.display()))?;
    let mut outcomes = Vec::new();
    for &scenario in scenarios {
        println!("running {scenario}");
        let outcome = run_one(scenario)?;
        fs::write(out.join(format!("{scenario}.csv")), report::rows_csv(&outcome.rows))?;
        outcomes.push(outcome);
    }
    fs::write(out.join(report::SUMMARY_FILE), report::summary_csv(&outcomes))?;
    fs::write(out.join("report.html"), report::html(&outcomes)?)?;
    Ok(outcomes)
}

fn run_one(scenario: Scenario) -> Result<Outcome> {
    let mut fleet = LocalFleet::start_with(&scenario.upstreams(), scenario.engine())?;
    let begin = now();
    let further = scenario.declarations(begin);
    let set = sample::declarations_with(&further).map_err(|faults| eyre!("{faults:?}"))?;
    scenario.prepare(&fleet);
    fleet.publish(&set, "experiment")?;
    for data_centre in DAEMONS {
        fleet.add_daemon(data_centre, 1)?;
    }
    fleet.wait_ready()?;
    let callers = Callers::start(&fleet, scenario.callers());
    let mut faults = scenario.faults();
    let mut shares = Vec::new();
    let mut host_seconds = 0.0;
    let began = Instant::now();
    while began.elapsed() < scenario.duration() {
        while faults.first().is_some_and(|fault| began.elapsed() >= fault.0) {
            let (_, fault) = faults.remove(0);
            apply_fault(&mut fleet, fault);
        }
        shares.extend(current_share(&fleet, began.elapsed()));
        host_seconds += fleet.upstreams.len() as f64 * TICK.as_secs_f64();
        sleep(TICK);
    }
    let samples = callers.stop()?;
    let cost = host_seconds / 3600.0 * HOST_PRICE_PER_HOUR;
    let totals = totals(&fleet, &samples, cost);
    Ok(Outcome { name: scenario.name(), rows: rows_of(&samples), shares, totals })
}

fn apply_fault(fleet: &mut LocalFleet, fault: Fault) {
    match fault {
        Fault::Announce { service, share, after } => {
            fleet.announce_leaving(service, share, now() + after);
        }
        Fault::Reclaim => fleet.kill_leaving(),
        Fault::Platform(faults) => fleet.platform.set_faults(faults),
        Fault::Drain => {
            if !fleet.daemons.is_empty() {
                fleet.daemons.remove(0).drain();
            }
        }
    }
}

fn current_share(fleet: &LocalFleet, at: Duration) -> Option<SharePoint> {
    let snapshot = fleet.daemons.first()?.snapshot();
    let split = snapshot.traffic_splits.values().next()?;
    Some(SharePoint { at: at.as_secs_f64(), share: f64::from(split.share.0) / 1e6 })
}

fn totals(fleet: &LocalFleet, samples: &[Sample], cost: f64) -> Totals {
    let count_with_end = |end| samples.iter().filter(|sample| sample.end == end).count() as u64;
    let counters = || fleet.daemons.iter().map(crate::Daemon::attempt_counters);
    Totals {
        whole: count_with_end(record::End::Whole),
        not_run: count_with_end(record::End::NotRun),
        lost: count_with_end(record::End::Lost),
        urgent_p95_ms: record::first_p95_ms(samples, record::Class::Urgent),
        batch_p95_ms: record::first_p95_ms(samples, record::Class::Batch),
        generated: counters().map(|c| c.generated_tokens.load(Ordering::Relaxed)).sum(),
        recomputed_tokens: counters().map(|c| c.tokens_again.load(Ordering::Relaxed)).sum(),
        cost,
    }
}
