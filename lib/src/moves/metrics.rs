//! Metrics of the moves, built from their reports at each scrape.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::moves::{report::MoveReport, schedule::STEPS, share::Share};

type Labels = Vec<(String, String)>;
type RatioGauge = Gauge<f64, AtomicU64>;

fn labels(of: &[(&str, &str)]) -> Labels {
    of.iter().map(|(name, value)| ((*name).into(), (*value).into())).collect()
}

/// Registers the metrics of these moves.
pub fn register(reports: &[MoveReport], registry: &mut Registry) {
    let stages = Family::<Labels, Gauge>::default();
    let steps = Family::<Labels, RatioGauge>::default();
    let doubts = Family::<Labels, RatioGauge>::default();
    let attempts = Family::<Labels, Counter>::default();
    for report in reports {
        let name = report.name.as_str();
        let stage = report.stage.to_string();
        stages.get_or_create(&labels(&[("move", name), ("stage", &stage)])).set(1);
        let of_move = labels(&[("move", name)]);
        let share = STEPS[usize::from(report.step).min(STEPS.len() - 1)];
        let ratio = f64::from(share.0) / f64::from(Share::FULL.0);
        steps.get_or_create(&of_move).set(ratio);
        doubts.get_or_create(&of_move).set(f64::from(report.doubt_percent) / 100.0);
        for route in &report.routes {
            let counts = [
                (&report.from, "good", route.old_good),
                (&report.from, "bad", route.old_bad),
                (&report.to, "good", route.new_good),
                (&report.to, "bad", route.new_bad),
            ];
            for (version, result, count) in counts {
                let labels = labels(&[
                    ("move", name),
                    ("route", route.route.as_str()),
                    ("version", version.as_str()),
                    ("result", result),
                ]);
                attempts.get_or_create(&labels).inc_by(count);
            }
        }
    }
    registry.register("dogwoodturn_move_stage", "1 for the stage of the move", stages);
    registry.register("dogwoodturn_move_step_ratio", "The share of the step reached", steps);
    let help = "How near the evidence is to conclusive, on a logarithmic scale";
    registry.register("dogwoodturn_move_doubt_ratio", help, doubts);
    let help = "Attempts under the move that all daemons have counted, as this one knows";
    registry.register("dogwoodturn_move_attempts", help, attempts);
}
