//! `placement`: the choice of upstreams and the limits against baselines, without I/O.

use std::time::{Duration, Instant};

use dogwoodturn::{
    declaration::RequestClass,
    placement::{Placement, SelectionCriteria},
};
use dogwoodturn_load::bench_engines::{self, Bench, Figures, Policy};
use eyre::Result;
use gumdrop::Options;

/// The part of the largest goodput from which a rate counts as the peak.
const NEAR_PEAK: f64 = 0.97;

/// The arguments of `placement`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "engines", default = "12", no_short)]
    engines: usize,
    #[options(help = "tokens that each engine's cache holds", default = "400000", no_short)]
    cache: u64,
    #[options(help = "daemons", default = "9", no_short)]
    daemons: usize,
    #[options(help = "seconds of arrivals", default = "60", no_short)]
    seconds: u64,
    #[options(help = "the share of urgent requests", default = "0.8", no_short)]
    urgent: f64,
    #[options(help = "the seed", default = "1", no_short)]
    seed: u64,
}

/// Runs `placement`.
pub fn run(args: &Args) -> Result<()> {
    let peak = find_peak(args)?;
    println!("peak of the product: {:.1} requests/s, {:.0} good tokens/s", peak.0, peak.1);
    println!(
        "load policy limits: cached first-token-p95(urgent,batch) gap-p95(urgent,batch) refused good-tokens/s urgent-good/s"
    );
    for load in [0.5, 0.8, 1.0, 2.0] {
        for policy in [Policy::Random, Policy::LeastOutstanding, Policy::Affinity] {
            for limits in [false, true] {
                let figures = bench_engines::run(bench(args, policy, limits, peak.0 * load))?;
                print_line(load, policy, limits, &figures);
            }
        }
    }
    time_choice()
}

fn bench(args: &Args, policy: Policy, limits: bool, rate: f64) -> Bench {
    Bench {
        policy,
        limits,
        engines: args.engines,
        cache_tokens: args.cache,
        daemons: args.daemons,
        rate,
        urgent_share: args.urgent,
        duration: Duration::from_secs(args.seconds),
        seed: args.seed,
    }
}

/// Finds the rate at which the product answers the most requests in time.
fn find_peak(args: &Args) -> Result<(f64, f64)> {
    let mut found = Vec::new();
    let mut rate = 12.0 * args.engines as f64;
    for _ in 0..12 {
        let figures = bench_engines::run(bench(args, Policy::Affinity, true, rate))?;
        found.push((rate, figures.goodput));
        rate *= 1.2;
    }
    let most = found.iter().map(|(_, goodput)| *goodput).fold(0.0, f64::max);
    // Beyond the peak more requests bring nothing; the first rate that comes close to it is taken.
    let first = found.into_iter().find(|(_, goodput)| *goodput >= most * NEAR_PEAK);
    Ok(first.unwrap_or_default())
}

fn print_line(load: f64, policy: Policy, limits: bool, figures: &Figures) {
    let ms =
        |class, histograms: &indexmap::IndexMap<RequestClass, hdrhistogram::Histogram<u64>>| {
            histograms[&class].value_at_quantile(0.95) as f64 / 1000.0
        };
    println!(
        "{load} {policy:?} {limits}: {:.3} ({:.0}ms, {:.0}ms) ({:.0}ms, {:.0}ms) {} of {} {:.0} {:.1}",
        figures.cached_share,
        ms(RequestClass::Interactive, &figures.first_token),
        ms(RequestClass::Batch, &figures.first_token),
        ms(RequestClass::Interactive, &figures.between_tokens),
        ms(RequestClass::Batch, &figures.between_tokens),
        figures.refused,
        figures.arrived,
        figures.goodput,
        figures.urgent_goodput,
    );
}

/// Prints the time of one choice among the upstreams that a daemon knows at the planned size.
fn time_choice() -> Result<()> {
    const UPSTREAMS: usize = 770;
    const CHOICES: u64 = 200_000;
    let hosts = bench_engines::hosts(UPSTREAMS)?;
    let mut placement = Placement::with_seed("salish-a".parse()?, 1);
    placement.refresh(&hosts);
    let service = "lantern".parse()?;
    let version = "v1".parse()?;
    let began = Instant::now();
    for prefix in 0..CHOICES {
        let criteria = SelectionCriteria {
            service: &service,
            version: &version,
            class: RequestClass::Interactive,
            prefix_hash: Some(prefix),
            excluded: &[],
        };
        std::hint::black_box(placement.choose(dogwoodturn::units::Time(0), &hosts, &criteria));
    }
    let each = began.elapsed() / CHOICES as u32;
    println!("one choice among {UPSTREAMS} upstreams: {each:?}");
    Ok(())
}
