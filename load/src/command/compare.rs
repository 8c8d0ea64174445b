//! `compare`: sends the same load through a daemon and directly to the upstreams, in one run.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread::sleep,
    time::Duration,
};

use dogwoodturn_load::{
    caller::CallerRequest,
    drive::{Outcome, Plan, drive},
    local::{LocalFleet, Standin, UpstreamPlan},
    memory::resident_bytes,
    sample,
};
use dogwoodturn_standins::plain::Faults;
use eyre::{Result, eyre};
use gumdrop::Options;

/// Connections over which the memory per connection is averaged.
const MEMORY_CONNECTIONS: usize = 2000;
/// How long an upstream delays the requests whose memory is measured, in milliseconds.
const UPSTREAM_DELAY_MS: u64 = 3000;

/// Factor by which the number of callers grows for the mix.
const MIX_CALLERS_FACTOR: usize = 8;

/// The arguments of `compare`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "threads that run callers", default = "2", no_short)]
    threads: usize,
    #[options(help = "callers on each thread", default = "16", no_short)]
    callers: usize,
    #[options(help = "threads of the daemon, and upstreams", default = "3", no_short)]
    servers: usize,
    #[options(help = "seconds for each measurement", default = "5", no_short)]
    seconds: u64,
    #[options(help = "requests a second for the added delay", default = "5000", no_short)]
    rate: u64,
    #[options(
        help = "weights of plain calls, urgent completions and long completions",
        default = "8:1:1",
        no_short
    )]
    mix: String,
}

/// Runs `compare`.
pub fn run(args: &Args) -> Result<()> {
    let weights = weights(&args.mix)?;
    let plan = |service, engine| UpstreamPlan {
        service,
        version: "v1",
        engine,
        count: args.servers,
        data_centres: &["salish-a"],
    };
    let set = sample::declarations().map_err(|faults| eyre!("{} faults", faults.len()))?;
    let mut fleet = LocalFleet::start(&[plan("ledger", false), plan("lantern", true)])?;
    fleet.publish(&set, "compare")?;
    fleet.add_daemon("salish-a", args.servers)?;
    fleet.wait_ready()?;
    println!("plain calls, as many as {} callers can send", args.threads * args.callers);
    let closed = |targets| load(args, targets, None);
    let direct = drive(&closed(plain_targets(&fleet)), plain_call)?;
    let through = drive(&closed(daemon_targets(&fleet)), plain_call)?;
    print_pair(&direct, &through);
    println!("throughput ratio {:.3}", through.rate() / direct.rate().max(1e-9));
    println!("plain calls, {} a second", args.rate);
    let direct = drive(&load(args, plain_targets(&fleet), Some(args.rate)), plain_call)?;
    let through = drive(&load(args, daemon_targets(&fleet), Some(args.rate)), plain_call)?;
    print_pair(&direct, &through);
    for quantile in [0.5, 0.99] {
        let at = |outcome: &Outcome| outcome.latency.value_at_quantile(quantile).cast_signed();
        let added = at(&through) - at(&direct);
        println!("added at {quantile}: {added} us");
    }
    println!("mix {} through the daemon, {} a second", args.mix, args.rate / 10);
    let mixed = move |turn| mixed_call(turn, weights);
    let rate = Some(args.rate / 10);
    let plan = load(args, daemon_targets(&fleet), rate);
    // Long responses occupy a caller for longer, so the rate needs more callers.
    let plan = Plan { callers: plan.callers * MIX_CALLERS_FACTOR, ..plan };
    let through = drive(&plan, mixed)?;
    print_line("daemon", &through);
    measure_memory(&fleet)
}

fn load(args: &Args, targets: Vec<String>, rate: Option<u64>) -> Plan {
    Plan {
        targets,
        token: "members-token".into(),
        threads: args.threads,
        callers: args.callers,
        duration: Duration::from_secs(args.seconds),
        rate,
    }
}

fn weights(text: &str) -> Result<[u64; 3]> {
    let parts: Result<Vec<u64>, _> = text.split(':').map(str::parse).collect();
    let parts = parts.ok().and_then(|parts| <[u64; 3]>::try_from(parts).ok());
    parts
        .filter(|parts| parts.iter().sum::<u64>() > 0)
        .ok_or_else(|| eyre!("the mix must be three numbers such as 8:1:1, not {text:?}"))
}

fn plain_call(turn: u64) -> CallerRequest {
    CallerRequest::Read { path: format!("/purchases/{}", turn % 1000) }
}

fn mixed_call(turn: u64, weights: [u64; 3]) -> CallerRequest {
    let place = turn % weights.iter().sum::<u64>();
    if place < weights[0] {
        return plain_call(turn);
    }
    let is_urgent = place < weights[0] + weights[1];
    let (path, max_tokens) = if is_urgent { ("/phrases", 20) } else { ("/glossaries", 200) };
    CallerRequest::Completion {
        path: path.into(),
        prompt: format!("a shared beginning of every prompt and then {}", turn % 50),
        max_tokens,
        stream: is_urgent,
    }
}

fn plain_targets(fleet: &LocalFleet) -> Vec<String> {
    let plain = fleet.upstreams.iter().filter(|up| matches!(up.standin, Standin::Plain(_)));
    plain.map(|up| format!("http://{}", up.record.address)).collect()
}

fn daemon_targets(fleet: &LocalFleet) -> Vec<String> {
    fleet.daemons.iter().map(|daemon| format!("http://{}", daemon.callers())).collect()
}

fn print_pair(direct: &Outcome, through: &Outcome) {
    print_line("direct", direct);
    print_line("daemon", through);
}

fn print_line(name: &str, outcome: &Outcome) {
    let at = |quantile| outcome.latency.value_at_quantile(quantile);
    println!(
        "{name}: {:.0}/s whole={} not-run={} other={} p50={}us p95={}us p99={}us max={}us",
        outcome.rate(),
        outcome.whole,
        outcome.not_run,
        outcome.other,
        at(0.5),
        at(0.95),
        at(0.99),
        outcome.latency.max()
    );
}

/// Prints the memory per idle connection and per in-flight request.
///
/// The callers are plain sockets without buffers of their own. The figure for an in-flight request
/// includes the memory of the upstream stand-in, so it is an upper bound.
fn measure_memory(fleet: &LocalFleet) -> Result<()> {
    let address = fleet.daemons[0].callers();
    let before = resident_bytes()?;
    let mut idle = Vec::new();
    for _ in 0..MEMORY_CONNECTIONS {
        idle.push(open_raw(address, true)?);
    }
    let with_idle = resident_bytes()?;
    let hold = Faults { delay_ms: UPSTREAM_DELAY_MS, ..Faults::default() };
    for up in &fleet.upstreams {
        if let Standin::Plain(plain) = &up.standin {
            plain.set_faults(hold.clone());
        }
    }
    for stream in &mut idle {
        send_raw(stream)?;
    }
    sleep(Duration::from_millis(UPSTREAM_DELAY_MS / 2));
    let with_flight = resident_bytes()?;
    let per = |after: u64, before: u64| after.saturating_sub(before) / MEMORY_CONNECTIONS as u64;
    println!("memory of an idle connection: {} bytes", per(with_idle, before));
    println!(
        "memory of a request in flight, its upstream's included: {} bytes",
        per(with_flight, with_idle)
    );
    Ok(())
}

fn open_raw(address: SocketAddr, wait: bool) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    send_raw(&mut stream)?;
    if wait {
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf)?;
    }
    Ok(stream)
}

fn send_raw(stream: &mut TcpStream) -> Result<()> {
    let head = "GET /purchases/1 HTTP/1.1\r\nhost: localhost\r\n\
                authorization: Bearer members-token\r\n\r\n";
    stream.write_all(head.as_bytes())?;
    Ok(())
}
