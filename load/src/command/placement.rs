//! `placement`: compares upstream choice and limits with baselines in a simulation, without I/O.

use std::time::{Duration, Instant};

use dogwoodturn::{
    declaration::RequestClass,
    placement::{Placement, SelectionCriteria},
};
use dogwoodturn_load::bench_engines::{self, Bench, Policy, SimulationResults};
use eyre::Result;
use gumdrop::Options;

/// Fraction of the highest goodput at which a rate counts as the peak.
const PEAK_FRACTION: f64 = 0.97;

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
                let results = bench_engines::run(bench(args, policy, limits, peak.0 * load))?;
                print_line(load, policy, limits, &results);
            }
        }
    }
    print_choice_time()
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

/// Returns the rate at which goodput with affinity placement and limits peaks, and that goodput.
fn find_peak(args: &Args) -> Result<(f64, f64)> {
    let mut found = Vec::new();
    let mut rate = 12.0 * args.engines as f64;
    for _ in 0..12 {
        let results = bench_engines::run(bench(args, Policy::Affinity, true, rate))?;
        found.push((rate, results.goodput));
        rate *= 1.2;
    }
    let most = found.iter().map(|(_, goodput)| *goodput).fold(0.0, f64::max);
    // Beyond the peak, a higher rate does not raise goodput, so the lowest rate near it is used.
    let first = found.into_iter().find(|(_, goodput)| *goodput >= most * PEAK_FRACTION);
    Ok(first.unwrap_or_default())
}

fn print_line(load: f64, policy: Policy, limits: bool, results: &SimulationResults) {
    let ms =
        |class, histograms: &indexmap::IndexMap<RequestClass, hdrhistogram::Histogram<u64>>| {
            histograms[&class].value_at_quantile(0.95) as f64 / 1000.0
        };
    println!(
        "{load} {policy:?} {limits}: {:.3} ({:.0}ms, {:.0}ms) ({:.0}ms, {:.0}ms) {} of {} {:.0} {:.1}",
        results.cached_share,
        ms(RequestClass::Interactive, &results.first_token),
        ms(RequestClass::Batch, &results.first_token),
        ms(RequestClass::Interactive, &results.between_tokens),
        ms(RequestClass::Batch, &results.between_tokens),
        results.refused,
        results.arrived,
        results.goodput,
        results.urgent_goodput,
    );
}

/// Prints how long one choice of an upstream takes at the planned size of a fleet.
fn print_choice_time() -> Result<()> {
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
