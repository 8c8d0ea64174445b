//! `moves`: shows the state of each move as one daemon reports it.

use dogwoodturn::moves::report::{MoveReport, Stage};
use eyre::{Result, WrapErr as _};
use gumdrop::Options;
use serde_json::Value;

use crate::{command::status, output::Outcome};

/// The arguments of `moves`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "the base of the daemon's operators' URLs", no_short)]
    daemon: String,
    #[options(required, help = "the operators' token", no_short)]
    token: String,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

/// Returns a failure if a move was rolled back, or if an abort was received although the move is
/// recorded as finished.
pub fn run(args: &Args) -> Result<Outcome> {
    let status = actix_rt::System::new().block_on(status::read(&args.daemon, &args.token))?;
    let moves = status["moves"].clone();
    if args.json {
        println!("{moves}");
    }
    let reports: Vec<MoveReport> = read(moves)?;
    if !args.json {
        reports.iter().for_each(print);
    }
    let has_failed =
        |report: &MoveReport| report.stage == Stage::RolledBack || report.held_after_finish;
    Ok(if reports.iter().any(has_failed) { Outcome::Failure } else { Outcome::Success })
}

fn read(moves: Value) -> Result<Vec<MoveReport>> {
    serde_json::from_value(moves).wrap_err("the daemon's status holds no moves; is it older?")
}

fn print(report: &MoveReport) {
    let recorded = if report.recorded { "recorded" } else { "not-recorded" };
    println!(
        "move={} service={} from={} to={} stage={} end={recorded} step={} share={} doubt={}% \
         finish-by={}",
        report.name,
        report.service,
        report.from,
        report.to,
        report.stage,
        report.step,
        report.share,
        report.doubt_percent,
        report.finish_by,
    );
    if let (Some(cause), Some(by)) = (&report.cause, &report.by) {
        println!("  cause={cause:?} by={by}");
    } else if let Some(cause) = &report.cause {
        println!("  cause={cause:?}");
    }
    if report.held_after_finish {
        println!("  the new version was held although the move is recorded as finished;");
        println!("  traffic goes to {}: declare the version that is to serve", report.from);
    }
    for route in &report.routes {
        println!(
            "  route={} old-good={} old-bad={} new-good={} new-bad={}",
            route.route, route.old_good, route.old_bad, route.new_good, route.new_bad
        );
    }
}
