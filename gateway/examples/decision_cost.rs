//! Measures the time of a gateway's decision for one request: the check of crash evidence, the choice
//! of an upstream, and the records of the response. Prints nanoseconds, and the length of a state
//! message to peers. The second line for each number is with upstreams that report a pace.
//!
//!     cargo run --release --package dogwoodturn-gateway --example decision_cost

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use dogwoodturn::{request::crash_evidence::Verdict, units::Time, upstream::speed::Pace};
use dogwoodturn_gateway::{
    gateway::Gateway,
    header_schema::{LoadReport, Prompt, PromptPart, ReportedPace},
    placement::{AttemptOutcome, Homes, RankClass, Selection, SelectionCriteria},
    rollout::VersionRule,
    table::EngineCapacity,
};

const DECISIONS: u64 = 20_000;
const ROUNDS: usize = 15;
/// Time between two requests.
const INTERVAL_US: u64 = 500;

fn prompt(number: u64) -> Prompt {
    let subject = 100 + number % 40;
    let parts = [(1, 400), (subject, 168), (1_000_000 + number, 1800)];
    let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
    Prompt { input: 2368, output: 24, parts: parts.to_vec() }
}

fn main() {
    let cases = [12, 57, 90].into_iter().flat_map(|count| [(count, false), (count, true)]);
    for (upstreams, has_paces) in cases {
        let cx = Gateway::new(support::settings(), support::header_schema(), support::no_store());
        for index in 0..upstreams {
            let record = support::record(index, "127.0.0.1:1".parse().unwrap());
            cx.state.borrow_mut().directory.set(record);
        }
        let service = "plain".parse().unwrap();
        let local_data_centre = "here".parse().unwrap();
        let (mut now, mut number) = (Time(1_000_000_000), 0);
        let mut best = Duration::MAX;
        for _ in 0..ROUNDS {
            let began = Instant::now();
            for _ in 0..DECISIONS {
                number += 1;
                now = now + Duration::from_micros(INTERVAL_US);
                let prompt = prompt(number);
                let mut state = cx.state.borrow_mut();
                let verdict = state.check_crash_evidence(now, number, &prompt);
                assert_eq!(verdict, Verdict::Allowed);
                let criteria = SelectionCriteria {
                    service: &service,
                    engine: Some(EngineCapacity { slots: 32, memory_tokens: 444_000 }),
                    prompt: &prompt,
                    local_data_centre: &local_data_centre,
                    latency_target: Duration::from_millis(500),
                    remaining: Duration::from_millis(2500),
                    tried: &[],
                    versions: VersionRule::Any,
                    homes: Homes::default(),
                    rank: RankClass::default(),
                };
                if let Selection::Upstream(mut ticket) = state.choose(now, &criteria) {
                    if has_paces {
                        let percent = if number % 3 == 0 { 170.0 } else { 70.0 };
                        let pace = Pace::from_percent(percent).map(ReportedPace::Valid);
                        let pace = pace.unwrap_or_default();
                        let load = LoadReport { pace, ..LoadReport::default() };
                        state.placement.record_load(now, &ticket.upstream, load);
                    }
                    state.placement.record_first_response(now, &service, &mut ticket);
                    state.crash_evidence.record_served(now, number, prompt.shared_parts());
                    state.placement.record_outcome(
                        now,
                        &service,
                        &ticket,
                        AttemptOutcome::Answered,
                    );
                }
            }
            best = best.min(began.elapsed());
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(&cx.message(), &mut bytes).unwrap();
        let nanos = best.as_nanos() as u64 / DECISIONS;
        let paces = if has_paces { " with paces" } else { "" };
        println!(
            "{upstreams} upstreams{paces}: {nanos} ns a decision, {} bytes a message",
            bytes.len()
        );
    }
}
