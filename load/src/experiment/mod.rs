//! Named scenarios on a local fleet, with callers, faults, figures and a plotted report.

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

/// The daemons of each scenario, by data centre.
const DAEMONS: [&str; 3] = ["salish-a", "salish-b", "kandy-a"];
/// How often faults are due and shares are read.
const TICK: Duration = Duration::from_millis(100);
/// What a host of the local fleet costs in an hour, for the figure of cost.
const HOST_PRICE_PER_HOUR: f64 = 1.0;

/// The share of requests that a new version got at a time.
#[derive(Clone, Copy, Debug)]
pub struct SharePoint {
    /// Seconds from the beginning.
    pub at: f64,
    /// The share, from 0 to 1.
    pub share: f64,
}

/// The figures of a whole scenario.
#[derive(Clone, Debug)]
pub struct Totals {
    /// Whole answers.
    pub whole: u64,
    /// Refusals marked not run.
    pub not_run: u64,
    /// Anything else.
    pub lost: u64,
    /// The time to the first byte that 95 in 100 urgent requests kept, in milliseconds.
    pub urgent_p95_ms: f64,
    /// The same for requests that may wait.
    pub batch_p95_ms: f64,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens computed a second time.
    pub again: u64,
    /// What the hosts cost.
    pub cost: f64,
}

/// What a scenario gave.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The scenario's name.
    pub name: &'static str,
    /// Figures by second and class.
    pub rows: Vec<Row>,
    /// Shares of the new version, if a move was under way.
    pub shares: Vec<SharePoint>,
    /// The figures of the whole.
    pub totals: Totals,
}

/// Runs scenarios and writes CSV files and a report into a directory.
pub fn run(scenarios: &[Scenario], out: &Path) -> Result<Vec<Outcome>> {
    fs::create_dir_all(out).wrap_err_with(|| format!("cannot make {}", out.display()))?;
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
            carry_out(&mut fleet, fault);
        }
        shares.extend(share_now(&fleet, began.elapsed()));
        host_seconds += fleet.upstreams.len() as f64 * TICK.as_secs_f64();
        sleep(TICK);
    }
    let samples = callers.stop()?;
    let cost = host_seconds / 3600.0 * HOST_PRICE_PER_HOUR;
    let totals = totals(&fleet, &samples, cost);
    Ok(Outcome { name: scenario.name(), rows: rows_of(&samples), shares, totals })
}

fn carry_out(fleet: &mut LocalFleet, fault: Fault) {
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

fn share_now(fleet: &LocalFleet, at: Duration) -> Option<SharePoint> {
    let snapshot = fleet.daemons.first()?.snapshot();
    let split = snapshot.traffic_splits.values().next()?;
    Some(SharePoint { at: at.as_secs_f64(), share: f64::from(split.share.0) / 1e6 })
}

fn totals(fleet: &LocalFleet, samples: &[Sample], cost: f64) -> Totals {
    let of_end = |end| samples.iter().filter(|sample| sample.end == end).count() as u64;
    let counters = || fleet.daemons.iter().map(crate::Daemon::attempt_counters);
    Totals {
        whole: of_end(record::End::Whole),
        not_run: of_end(record::End::NotRun),
        lost: of_end(record::End::Lost),
        urgent_p95_ms: record::first_p95_ms(samples, record::Class::Urgent),
        batch_p95_ms: record::first_p95_ms(samples, record::Class::Batch),
        generated: counters().map(|c| c.generated_tokens.load(Ordering::Relaxed)).sum(),
        again: counters().map(|c| c.tokens_again.load(Ordering::Relaxed)).sum(),
        cost,
    }
}
