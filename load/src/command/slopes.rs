//! `slopes`: measures the idle cost of daemons on loopback as their number grows.

use std::{
    sync::atomic::Ordering,
    thread::sleep,
    time::{Duration, Instant},
};

use dogwoodturn_load::{
    local::{LocalFleet, UpstreamPlan},
    memory::{cpu_time, resident_bytes},
    sample,
};
use eyre::{Result, eyre};
use gumdrop::Options;

/// Bytes of TCP, IP and WebSocket headers that are added for each packet.
const PACKET_OVERHEAD_BYTES: u64 = 66;
/// Time between readiness of all daemons and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Fleet sizes to measure, in daemons.
const SIZES: [usize; 3] = [9, 18, 30];
const DATA_CENTRES: [&str; 3] = ["salish-a", "salish-b", "salish-c"];
/// The only upstream; without one the daemons do not become ready.
const UPSTREAM: UpstreamPlan = UpstreamPlan {
    service: "ledger",
    version: "v1",
    engine: false,
    count: 1,
    data_centres: &["salish-a"],
};

/// The arguments of `slopes`.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seconds for each size", default = "20", no_short)]
    seconds: u64,
}

/// Runs `slopes`.
pub fn run(args: &Args) -> Result<()> {
    println!(
        "daemons: heartbeat, sent bytes/s, packets/s, % of a core, resident kB, platform calls/s"
    );
    for size in SIZES {
        measure(size, Duration::from_secs(args.seconds))?;
    }
    Ok(())
}

fn measure(size: usize, duration: Duration) -> Result<()> {
    let before = resident_bytes()?;
    let mut fleet = LocalFleet::start(&[UPSTREAM])?;
    let set = sample::declarations().map_err(|faults| eyre!("{faults:?}"))?;
    fleet.publish(&set, "slopes")?;
    let with_standins = resident_bytes()?;
    for index in 0..size {
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let mut settings = fleet.settings(index, data_centre, 1)?;
        settings.heartbeat = Duration::from_secs(1);
        fleet.add_daemon_with(&settings)?;
    }
    fleet.wait_ready()?;
    sleep(SETTLE_TIME);
    let began = Instant::now();
    let cpu = cpu_time()?;
    let sent = sent(&fleet);
    let calls = fleet.platform.calls();
    sleep(duration);
    let seconds = began.elapsed().as_secs_f64();
    let each = |value: u64| value as f64 / seconds / size as f64;
    let cpu = cpu_time()?.saturating_sub(cpu).as_secs_f64() / seconds / size as f64 * 100.0;
    let (bytes, packets) = (self::sent(&fleet).0 - sent.0, self::sent(&fleet).1 - sent.1);
    let after = fleet.platform.calls();
    let calls = after.reads + after.writes - calls.reads - calls.writes;
    let resident = resident_bytes()?.saturating_sub(with_standins.max(before)) / size as u64;
    println!(
        "{size}: 1s, {:.0}, {:.1}, {cpu:.2}, {}, {:.2}",
        each(bytes + packets * PACKET_OVERHEAD_BYTES),
        each(packets),
        resident / 1024,
        each(calls)
    );
    Ok(())
}

fn sent(fleet: &LocalFleet) -> (u64, u64) {
    let counters = || fleet.daemons.iter().map(dogwoodturn_load::Daemon::peer_counters);
    let bytes = counters().map(|counters| counters.bytes_sent.load(Ordering::Relaxed)).sum();
    let packets = counters().map(|counters| counters.packets_sent.load(Ordering::Relaxed)).sum();
    (bytes, packets)
}
