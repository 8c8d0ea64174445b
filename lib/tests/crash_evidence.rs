//! Evidence against prompt parts: which parts are barred, for how long, and what clears them.

use std::time::Duration;

use dogwoodturn::{
    ids::UpstreamId,
    request::crash_evidence::{
        BarReport, Cause, Change, CrashEvidence, CrashReport, PartId, Report, ReportWire, Suspect,
        Verdict,
    },
    units::Time,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg32;

const BAD: PartId = PartId(66);
const FIRST: PartId = PartId(1);
/// The content of a request that is in progress at no crash.
const OTHER: u64 = 0xffff_ffff;

fn at(ms: u64) -> Time {
    Time(100_000_000 + ms * 1000)
}

fn upstream(number: usize) -> UpstreamId {
    format!("u{number}").parse().unwrap()
}

fn suspect(content: u64, parts: &[PartId]) -> Suspect {
    Suspect::new(content, parts.iter().copied())
}

fn check(evidence: &mut CrashEvidence, ms: u64, parts: &[PartId]) -> Verdict {
    evidence.check(at(ms), OTHER, parts.iter().copied(), || 0)
}

fn is_barred(evidence: &mut CrashEvidence, ms: u64, part: PartId) -> bool {
    matches!(check(evidence, ms, &[part]), Verdict::Barred { .. })
}

fn crash(evidence: &mut CrashEvidence, ms: u64, number: usize, suspects: &[Suspect]) {
    for suspect in suspects {
        evidence.record_crash(at(ms + 60), &upstream(number), at(ms), suspect.clone());
    }
}

/// Evidence after three crashes with [`BAD`], the last one at 1000 ms.
fn barred() -> CrashEvidence {
    let mut evidence = CrashEvidence::new(3);
    for number in 0..3 {
        let content = number as u64;
        crash(&mut evidence, content * 500, number, &[suspect(content, &[FIRST, BAD])]);
        evidence.record_served(at(content * 500 + 100), OTHER, [FIRST].into_iter());
    }
    evidence
}

#[test]
fn check_part_of_different_requests_is_barred_after_three_crashes() {
    let mut evidence = barred();
    assert!(!is_barred(&mut evidence, 1100, BAD), "the last crash has not settled");
    assert!(is_barred(&mut evidence, 1500, BAD));
    assert!(!is_barred(&mut evidence, 1500, FIRST), "responses with the first part were served");
    let changes = evidence.take_changes();
    assert_eq!(changes, [Change::Barred { cause: Cause::Part(BAD), crashes: 3, requests: 3 }]);
}

#[test]
fn check_requests_in_progress_at_one_crash_are_not_barred() {
    let mut evidence = CrashEvidence::new(3);
    let suspects: Vec<_> = (0..20).map(|content| suspect(content, &[FIRST, BAD])).collect();
    crash(&mut evidence, 0, 0, &suspects);
    assert!(!is_barred(&mut evidence, 1000, BAD));
}

#[test]
fn check_upstreams_that_are_lost_together_bar_no_part() {
    let mut evidence = CrashEvidence::new(3);
    for number in 0..6 {
        let content = number as u64;
        crash(&mut evidence, 20 * content, number, &[suspect(content, &[FIRST, PartId(2)])]);
    }
    assert!(!is_barred(&mut evidence, 1000, FIRST) && !is_barred(&mut evidence, 1000, PartId(2)));
}

#[test]
fn check_unrelated_crashes_bar_no_part_that_is_served_in_between() {
    let mut evidence = CrashEvidence::new(3);
    for round in 0..20 {
        let ms = round as u64 * 1000;
        crash(&mut evidence, ms, round, &[suspect(round as u64, &[FIRST, PartId(2)])]);
        evidence.record_served(at(ms + 300), OTHER, [FIRST, PartId(2)].into_iter());
        assert!(!is_barred(&mut evidence, ms + 900, FIRST), "round {round}");
    }
}

#[test]
fn check_request_that_comes_again_does_not_bar_its_parts() {
    let mut evidence = CrashEvidence::new(3);
    for number in 0..10 {
        crash(&mut evidence, number as u64 * 500, number, &[suspect(7, &[FIRST, PartId(2)])]);
    }
    assert!(!is_barred(&mut evidence, 6000, FIRST) && !is_barred(&mut evidence, 6000, PartId(2)));
}

#[test]
fn check_content_crashes_are_summed_over_daemons() {
    let (mut here, mut there) = (CrashEvidence::new(3), CrashEvidence::new(3));
    let content = |evidence: &mut CrashEvidence, ms, content| {
        evidence.check(at(ms), content, [].into_iter(), || 0)
    };
    crash(&mut here, 0, 0, &[suspect(9, &[])]);
    crash(&mut here, 100, 1, &[suspect(9, &[])]);
    crash(&mut there, 200, 2, &[suspect(9, &[])]);
    assert_eq!(content(&mut there, 300, 9), Verdict::Allowed, "a single crash is below the limit");
    there.merge(at(300), here.report(at(300)));
    assert!(matches!(content(&mut there, 300, 9), Verdict::Barred { .. }));
    assert_eq!(content(&mut there, 300, 10), Verdict::Allowed);
    assert_eq!(content(&mut there, 70_000, 9), Verdict::Probe(Cause::Content(9)));
}

#[test]
fn check_content_that_is_served_in_between_is_not_barred() {
    let mut evidence = CrashEvidence::new(3);
    for number in 0..5 {
        let ms = number as u64 * 100;
        crash(&mut evidence, ms, number, &[suspect(1, &[])]);
        evidence.record_served(at(ms + 70), 1, [].into_iter());
        assert_eq!(evidence.check(at(ms + 80), 1, [].into_iter(), || 0), Verdict::Allowed);
    }
}

#[test]
fn check_equal_requests_in_progress_at_one_crash_count_once() {
    let mut evidence = CrashEvidence::new(3);
    for _ in 0..10 {
        crash(&mut evidence, 0, 0, &[suspect(1, &[FIRST])]);
    }
    assert_eq!(evidence.check(at(1000), 1, [FIRST].into_iter(), || 0), Verdict::Allowed);
}

#[test]
fn check_part_that_was_served_before_is_not_blamed_for_a_new_one() {
    let slow = PartId(5);
    let mut evidence = CrashEvidence::new(3);
    evidence.record_served(at(0), OTHER, [slow].into_iter());
    for number in 0..5 {
        let content = number as u64;
        let suspects = [suspect(content, &[FIRST, BAD]), suspect(100 + content, &[slow])];
        crash(&mut evidence, 1000 + content * 300, number, &suspects);
        evidence.record_served(at(1100 + content * 300), OTHER, [FIRST].into_iter());
    }
    assert!(is_barred(&mut evidence, 4000, BAD));
    assert!(!is_barred(&mut evidence, 4000, slow) && !is_barred(&mut evidence, 4000, FIRST));
}

#[test]
fn check_content_at_crashes_of_a_barred_part_is_not_barred() {
    let mut evidence = CrashEvidence::new(3);
    for number in 0..3 {
        let content = number as u64;
        let suspects = [suspect(content, &[FIRST, BAD]), suspect(77, &[FIRST, PartId(5)])];
        crash(&mut evidence, content * 500, number, &suspects);
        evidence.record_served(at(content * 500 + 100), OTHER, [FIRST].into_iter());
    }
    let sound = |evidence: &mut CrashEvidence, ms| {
        evidence.check(at(ms), 77, [FIRST, PartId(5)].into_iter(), || 0)
    };
    assert!(matches!(sound(&mut evidence, 1100), Verdict::Barred { .. }));
    let early = evidence.report(at(1100));
    assert!(is_barred(&mut evidence, 1500, BAD));
    assert_eq!(sound(&mut evidence, 1500), Verdict::Allowed);
    evidence.merge(at(1600), early);
    assert_eq!(sound(&mut evidence, 1600), Verdict::Allowed);
}

#[test]
fn check_probe_is_sent_once_and_its_failure_prolongs_the_bar() {
    let mut evidence = barred();
    assert!(is_barred(&mut evidence, 1500, BAD));
    assert!(is_barred(&mut evidence, 20_000, BAD));
    assert_eq!(check(&mut evidence, 22_000, &[FIRST, BAD]), Verdict::Probe(Cause::Part(BAD)));
    assert!(is_barred(&mut evidence, 22_001, BAD), "a probe is in progress");
    assert_eq!(evidence.barred_cause(at(22_001), OTHER, [BAD].into_iter()), Some(Cause::Part(BAD)));
    crash(&mut evidence, 22_200, 9, &[suspect(99, &[FIRST, BAD])]);
    assert!(is_barred(&mut evidence, 22_200 + 75_000, BAD));
    assert_eq!(check(&mut evidence, 22_200 + 82_000, &[BAD]), Verdict::Probe(Cause::Part(BAD)));
}

#[test]
fn check_probes_of_several_daemons_are_staggered() {
    let mut evidence = barred();
    assert!(is_barred(&mut evidence, 1500, BAD));
    let verdict = evidence.check(at(22_000), OTHER, [BAD].into_iter(), || 3);
    assert!(matches!(verdict, Verdict::Barred { .. }));
    assert_eq!(check(&mut evidence, 22_000, &[BAD]), Verdict::Probe(Cause::Part(BAD)));
}

#[test]
fn record_served_part_that_is_sound_again_is_cleared_everywhere() {
    let (mut here, mut there) = (barred(), CrashEvidence::new(3));
    assert!(is_barred(&mut here, 1500, BAD));
    there.merge(at(1600), here.report(at(1600)));
    assert!(is_barred(&mut there, 1700, BAD));
    assert_eq!(check(&mut here, 22_000, &[BAD]), Verdict::Probe(Cause::Part(BAD)));
    here.record_served(at(22_100), OTHER, [BAD].into_iter());
    assert_eq!(check(&mut here, 22_200, &[BAD]), Verdict::Allowed);
    there.merge(at(22_200), here.report(at(22_200)));
    assert_eq!(check(&mut there, 22_300, &[BAD]), Verdict::Allowed);
    // A report from before the response does not bar the part again.
    let bar = barred();
    here.merge(at(22_400), Report { bars: bar.report(at(1500)).bars, ..Report::default() });
    assert_eq!(check(&mut here, 22_500, &[BAD]), Verdict::Allowed);
}

#[test]
fn merge_crashes_seen_by_different_daemons_count_together() {
    let mut daemons = vec![CrashEvidence::new(3); 3];
    for number in 0..3 {
        let content = number as u64;
        crash(&mut daemons[number], content * 500, number, &[suspect(content, &[FIRST, BAD])]);
        let report = daemons[number].report(at(content * 500 + 100));
        for (_, other) in daemons.iter_mut().enumerate().filter(|(other, _)| *other != number) {
            other.merge(at(content * 500 + 101), report.clone());
        }
    }
    for daemon in &mut daemons {
        daemon.record_served(at(1100), OTHER, [FIRST].into_iter());
        assert!(is_barred(daemon, 1600, BAD) && !is_barred(daemon, 1600, FIRST));
    }
}

#[test]
fn merge_restarted_daemon_learns_what_is_barred() {
    let mut old = barred();
    assert!(is_barred(&mut old, 1500, BAD));
    let mut restarted = CrashEvidence::new(3);
    let wire = ReportWire::from(old.report(at(15_000)));
    let mut bytes = Vec::new();
    ciborium::into_writer(&wire, &mut bytes).unwrap();
    let wire: ReportWire = ciborium::from_reader(&*bytes).unwrap();
    restarted.merge(at(15_010), wire.into());
    assert!(is_barred(&mut restarted, 15_020, BAD));
    assert!(!is_barred(&mut restarted, 15_020, FIRST));
}

#[test]
fn expire_evidence_ends() {
    let mut evidence = barred();
    assert!(is_barred(&mut evidence, 1500, BAD));
    evidence.expire(at(200_000));
    assert_eq!(check(&mut evidence, 200_000, &[BAD]), Verdict::Allowed);
    assert!(evidence.report(at(200_000)).is_empty());
}

#[test]
fn evidence_is_bounded() {
    let mut evidence = CrashEvidence::new(3);
    for number in 0..2000_u64 {
        let parts = (0..100).map(|part| PartId(number * 100 + part));
        evidence.record_served(at(number), OTHER, parts.clone());
        let report = CrashReport {
            upstream: upstream(number as usize),
            age: Duration::ZERO,
            suspects: (0..200).map(|content| Suspect::new(content, parts.clone())).collect(),
        };
        evidence.merge(at(number), Report { crashes: vec![report], ..Report::default() });
        crash(&mut evidence, number, number as usize, &[Suspect::new(number, parts)]);
    }
    for round in 0..100_u64 {
        let causes = (0..200).map(|part| Cause::Part(PartId(1_000_000 + round * 200 + part)));
        let served = causes.clone().map(|cause| (cause, Duration::ZERO)).collect();
        let bars = causes.map(|cause| BarReport {
            cause,
            crash_age: Duration::from_millis(5),
            left: Duration::from_secs(9),
            failed_probes: 0,
        });
        evidence.merge(at(2000), Report { bars: bars.collect(), ..Report::default() });
        evidence.merge(at(2000), Report { served, ..Report::default() });
    }
    assert!(evidence.served_count() <= 4096, "{} served", evidence.served_count());
    let report = evidence.report(at(2000));
    assert!(report.crashes.len() <= 64 && report.bars.len() <= 256);
    assert!(report.crashes.iter().all(|crash| crash.suspects.len() <= 64));
    let mut bytes = Vec::new();
    ciborium::into_writer(&ReportWire::from(report), &mut bytes).unwrap();
    assert!(bytes.len() < 60 * 1024, "{} bytes", bytes.len());
}

const DAEMONS: usize = 7;
const UPSTREAMS: usize = 12;
const SUBJECTS: u64 = 30;

struct Running {
    daemon: usize,
    content: u64,
    parts: Vec<PartId>,
    ends: u64,
    is_bad: bool,
}

struct StormUpstream {
    up_from: u64,
    starts: usize,
    running: Vec<Running>,
}

/// Simulates requests of a short and a long kind, of which some of the short ones have [`BAD`]. Returns
/// the requests with [`BAD`] that were sent later than `contact` after the fifth crash, and the share
/// of the sound short requests that were refused after twice that time.
fn simulate_storm(seed: u64, bad_per_s: f64, contact_ms: u64) -> (usize, f64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut daemons = vec![CrashEvidence::new(3); DAEMONS];
    let mut upstreams: Vec<_> = (0..UPSTREAMS)
        .map(|_| StormUpstream { up_from: 0, starts: 0, running: Vec::new() })
        .collect();
    let (mut crashes, mut content) = (Vec::new(), 0);
    let (mut late_sends, mut sound, mut sound_refused) = (0, 0_u32, 0_u32);
    for ms in (0..40_000_u64).step_by(5) {
        let mut arrivals = Vec::new();
        for (rate, run_ms, kind) in [(110.0, 150, 0), (15.0, 1200, 1), (bad_per_s, 70, 2)] {
            if kind == 2 && ms < 5000 {
                continue;
            }
            if rng.random_bool(rate * 0.005) {
                arrivals.push((kind, run_ms + rng.random_range(0..run_ms)));
            }
        }
        for (kind, run_ms) in arrivals {
            content += 1;
            let subject = PartId(1000 + kind.min(1) * 100 + rng.random_range(0..SUBJECTS));
            let parts = match kind {
                0 => vec![FIRST, subject],
                1 => vec![PartId(2), subject],
                _ => vec![FIRST, BAD, subject],
            };
            let daemon = rng.random_range(0..DAEMONS);
            let verdict =
                daemons[daemon].check(at(ms), content, parts.iter().copied(), || daemon as u32);
            let late_from = crashes.get(4).map(|at: &u64| at + contact_ms);
            let is_refused = matches!(verdict, Verdict::Barred { .. });
            if kind == 0 && late_from.is_some_and(|from| ms > from + contact_ms) {
                sound += 1;
                sound_refused += u32::from(is_refused);
            }
            let up: Vec<_> = (0..UPSTREAMS).filter(|u| upstreams[*u].up_from <= ms).collect();
            if is_refused || up.is_empty() {
                continue;
            }
            late_sends += usize::from(kind == 2 && late_from.is_some_and(|from| ms > from));
            let chosen = up[rng.random_range(0..up.len())];
            let running = Running { daemon, content, parts, ends: ms + run_ms, is_bad: kind == 2 };
            upstreams[chosen].running.push(running);
        }
        for (index, upstream) in upstreams.iter_mut().enumerate() {
            if upstream.running.iter().any(|running| running.is_bad && running.ends <= ms) {
                crashes.push(ms);
                let id = format!("u{index}-{}", upstream.starts).parse().unwrap();
                for running in upstream.running.drain(..) {
                    let suspect = Suspect::new(running.content, running.parts);
                    daemons[running.daemon].record_crash(at(ms), &id, at(ms), suspect);
                }
                upstream.starts += 1;
                upstream.up_from = ms + 2500;
            }
            for done in upstream.running.extract_if(.., |running| running.ends <= ms) {
                daemons[done.daemon].record_served(at(ms), done.content, done.parts.into_iter());
            }
        }
        for from in 0..DAEMONS {
            let is_periodic = (ms + from as u64 * 35).is_multiple_of(250);
            let is_urgent = ms.is_multiple_of(50) && daemons[from].take_news();
            if !is_periodic && !is_urgent {
                continue;
            }
            let report = daemons[from].report(at(ms));
            for to in (0..DAEMONS).filter(|to| *to != from) {
                // Some datagrams are lost.
                if rng.random_bool(0.97) {
                    daemons[to].merge(at(ms + 2), report.clone());
                }
            }
        }
    }
    (late_sends, f64::from(sound_refused) / f64::from(sound.max(1)))
}

#[test]
fn storm_of_crashes_bars_the_crashing_part_and_no_other() {
    for seed in 0..24 {
        for bad_per_s in [1.0, 5.0, 15.0] {
            let (late_sends, refused) = simulate_storm(seed, bad_per_s, 3000);
            let case = format!("seed {seed}, {bad_per_s} a second");
            assert!(late_sends <= 3, "{case}: {late_sends} requests were sent");
            assert!(refused < 0.25, "{case}: {refused:.2} of the sound requests were refused");
        }
    }
}
