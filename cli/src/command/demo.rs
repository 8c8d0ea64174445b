//! `demo`: stand-ins, daemons and callers as threads of one process on loopback.

use dogwoodturn_load::{
    caller::{Ask, Seen, ask},
    local::{LocalFleet, Standin},
    sample,
};
use eyre::{Result, eyre};
use gumdrop::Options;

use crate::output::Verdict;

/// How many requests each of the demo's callers sends to each route.
const ROUNDS: usize = 40;
/// The daemons of the demo, by data centre.
const DAEMONS: [&str; 3] = ["salish-a", "salish-b", "kandy-a"];
/// How many threads of each daemon answer callers.
const TRAFFIC_THREADS: usize = 2;

/// The arguments of `demo`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
}

#[derive(Debug, Default)]
struct Tally {
    accepted: u64,
    whole: u64,
    not_run: u64,
    may_have_run: u64,
    lost: u64,
}

impl Tally {
    fn add(&mut self, seen: &Seen) {
        match seen {
            Seen::Whole => self.whole += 1,
            Seen::NotRun => self.not_run += 1,
            Seen::MayHaveRun => self.may_have_run += 1,
            Seen::Lost(_) => self.lost += 1,
        }
        if *seen != Seen::NotRun {
            self.accepted += 1;
        }
    }
}

/// Runs `demo`.
pub fn run(_args: &Args) -> Result<Verdict> {
    let set = sample::declarations().map_err(|faults| eyre!("{} faults", faults.len()))?;
    let mut fleet = LocalFleet::start(&sample::UPSTREAMS)?;
    let head = fleet.publish(&set, "demo-1")?;
    println!("published generation {}", head.generation);
    for data_centre in DAEMONS {
        fleet.add_daemon(data_centre, TRAFFIC_THREADS)?;
    }
    fleet.wait_ready()?;
    let tally = call_all(&fleet);
    let run_twice = run_twice(&fleet);
    println!("requests accepted                    {:>8}", tally.accepted);
    println!("answered whole                       {:>8}", tally.whole);
    println!("refused as not run                   {:>8}", tally.not_run);
    println!("may have run                         {:>8}", tally.may_have_run);
    println!("lost                                 {:>8}", tally.lost);
    println!("non-idempotent calls run more than once {run_twice:>5}");
    let held = tally.lost == 0 && run_twice == 0 && tally.whole > 0;
    Ok(if held { Verdict::Good } else { Verdict::Bad })
}

fn call_all(fleet: &LocalFleet) -> Tally {
    let bases: Vec<String> =
        fleet.daemons.iter().map(|daemon| format!("http://{}", daemon.callers())).collect();
    actix_rt::System::new().block_on(async move {
        let client = awc::Client::default();
        let mut tally = Tally::default();
        for round in 0..ROUNDS {
            let base = &bases[round % bases.len()];
            for (token, one) in asks(round) {
                tally.add(&ask(&client, base, token, &one).await);
            }
        }
        tally
    })
}

fn asks(round: usize) -> Vec<(&'static str, Ask)> {
    let completion = |path: &str, stream| Ask::Completion {
        path: path.into(),
        prompt: format!("{path} {round}"),
        max_tokens: 12,
        stream,
    };
    let booking =
        |path: &str| Ask::Booking { path: path.into(), key: format!("{}-{round}", &path[1..]) };
    vec![
        ("ferries-token", completion("/phrases", true)),
        ("clinics-token", completion("/glossaries", false)),
        ("members-token", booking("/purchases")),
        ("brokers-token", completion("/grades", true)),
        ("mill-buyers-token", completion("/appraisals", false)),
        ("growers-token", booking("/consignments")),
    ]
}

fn run_twice(fleet: &LocalFleet) -> u64 {
    let mut runs = indexmap::IndexMap::new();
    for upstream in &fleet.upstreams {
        if let Standin::Plain(plain) = &upstream.standin {
            for (key, count) in plain.runs() {
                *runs.entry(key).or_insert(0) += count;
            }
        }
    }
    runs.values().filter(|&&count| count > 1).count() as u64
}
