//! Quotas of several daemons that learn late of each other's admissions. The limit is the
//! operators': no window may exceed the quota and its tolerance.

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{ids::CustomerName, units::Time};
use dogwoodturn_gateway::{
    quota::{AdmissionTotal, History, PeerAdmissions, Quotas, Tolerance},
    table::Quota,
};

const WINDOW: Duration = Duration::from_secs(8);
const QUOTA: Quota =
    Quota { rate: 300_000.0, burst: 300_000.0, counts_tokens: true, default_tokens: 0 };
/// A quota whose burst alone is half of the rate's units in a window.
const BURSTY: Quota = Quota { burst: 1_200_000.0, ..QUOTA };
/// A tenth of the quota and a fixed allowance.
const TOLERANCE: Tolerance = Tolerance { window: WINDOW, overshoot: 0.1, allowance: 140_000.0 };

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

/// Returns evenly distributed numbers from zero to below one.
fn draw(request_count: usize) -> f64 {
    (request_count as f64 * 0.618_033_988_75).fract()
}

fn customer() -> CustomerName {
    "hot".parse().unwrap()
}

/// The number of daemons and how they report to each other.
#[derive(Clone, Copy)]
struct Topology {
    daemons: usize,
    /// One in this many requests goes to the first daemon, which the balancer's hash favours.
    first_share_divisor: usize,
    report_interval_ms: u64,
    /// Whether daemons receive totals from a hub instead of each other's reports.
    has_hub: bool,
}

const FEW: Topology =
    Topology { daemons: 7, first_share_divisor: 3, report_interval_ms: 200, has_hub: false };
const MANY: Topology =
    Topology { daemons: 90, first_share_divisor: 9, report_interval_ms: 250, has_hub: true };

impl Topology {
    /// Returns the lag of other daemons' admissions.
    fn lag(self) -> Duration {
        let hops = if self.has_hub { 2 } else { 1 };
        Duration::from_millis(self.report_interval_ms * hops)
    }

    fn peer_count(self) -> u32 {
        self.daemons as u32 - 1
    }
}

struct Daemon {
    quotas: Quotas,
    reported: History,
    requested: f64,
}

/// Daemons that share one customer's load.
struct System {
    topology: Topology,
    quota: Quota,
    daemons: Vec<Daemon>,
    reported_at: Time,
    /// The hub's last total with its requested rate and time.
    total: (History, f64, Time),
    /// When the hub has reports from all daemons, in milliseconds.
    hub_ready_ms: u64,
    request_count: usize,
}

impl System {
    fn new(topology: Topology, quota: Quota) -> Self {
        let mut system = Self {
            topology,
            quota,
            daemons: Vec::new(),
            reported_at: at(0),
            total: (Vec::new(), 0.0, at(0)),
            hub_ready_ms: 0,
            request_count: 0,
        };
        system.start_all(0, true);
        system
    }

    /// Starts all daemons; after a restart they know nothing of earlier admissions.
    fn start_all(&mut self, ms: u64, is_first: bool) {
        let start = |_| {
            let mut quotas = Quotas::new(TOLERANCE, at(ms), is_first);
            quotas.assume_burst_spent(&customer(), self.quota, self.topology.daemons as u32);
            Daemon { quotas, reported: Vec::new(), requested: 0.0 }
        };
        self.daemons = (0..self.topology.daemons).map(start).collect();
        self.reported_at = at(ms);
        self.total = (Vec::new(), 0.0, at(ms));
        self.hub_ready_ms = if is_first { 0 } else { ms + self.topology.report_interval_ms * 2 };
    }

    /// Exchanges the reports that are due.
    fn exchange_reports(&mut self, ms: u64) {
        let interval_ms = self.topology.report_interval_ms;
        if ms.is_multiple_of(interval_ms) {
            for daemon in &mut self.daemons {
                daemon.reported = daemon.quotas.history(at(ms), &customer());
                daemon.requested = daemon.quotas.requested_rate(at(ms), &customer());
            }
            self.reported_at = at(ms);
        }
        if ms % interval_ms == interval_ms / 2 {
            let mut sum = PeerAdmissions::default();
            for daemon in &self.daemons {
                sum.add(&daemon.reported, at(ms).since(self.reported_at));
            }
            let requested = self.daemons.iter().map(|daemon| daemon.requested).sum();
            self.total = (sum.history, requested, at(ms));
        }
    }

    /// Returns a daemon's view of its peers.
    fn peers_of(&self, chosen: usize, ms: u64) -> PeerAdmissions {
        let (topology, now) = (self.topology, at(ms));
        let mut peers = PeerAdmissions { lag: topology.lag(), ..PeerAdmissions::default() };
        if topology.has_hub {
            // A daemon receives the hub's total late; the hub itself receives reports without
            // delay.
            let live_peers = if ms < self.hub_ready_ms { 0 } else { topology.peer_count() };
            let (history, requested, reported_at) = &self.total;
            let own = self.daemons[chosen].quotas.history(now, &customer());
            peers.silent = topology.peer_count();
            let age = now.since(*reported_at);
            let total = AdmissionTotal {
                admitted: history,
                requested: *requested,
                live_peers,
                age,
                lag: Duration::ZERO,
            };
            peers.apply_total(&total, topology.lag(), &own);
            return peers;
        }
        peers.live_peers = topology.peer_count();
        for (_, peer) in self.daemons.iter().enumerate().filter(|(index, _)| *index != chosen) {
            peers.add(&peer.reported, now.since(self.reported_at));
            peers.requested += peer.requested;
        }
        peers
    }

    /// Sends a request to the next daemon.
    fn send_request(&mut self, ms: u64, units: u64) -> bool {
        self.request_count += 1;
        let is_favoured = self.request_count.is_multiple_of(self.topology.first_share_divisor);
        let chosen = if is_favoured { 0 } else { self.request_count % self.topology.daemons };
        let peers = self.peers_of(chosen, ms);
        let (quota, random) = (self.quota, draw(self.request_count));
        let quotas = &mut self.daemons[chosen].quotas;
        quotas.admit(at(ms), &customer(), quota, units, random, &peers).is_ok()
    }

    /// Simulates a customer that requests `demand` times its rate in requests of one size. Returns
    /// the time and units of each admission. All daemons restart at each time in `killed_at`.
    fn simulate(
        mut self,
        demand: f64,
        units: u64,
        until_ms: u64,
        killed_at: &[u64],
    ) -> Vec<(u64, u64)> {
        let (mut admitted, mut due_units) = (Vec::new(), 0.0);
        for ms in 0..until_ms {
            if killed_at.contains(&ms) {
                self.start_all(ms, false);
            }
            self.exchange_reports(ms);
            due_units += self.quota.rate * demand / 1000.0;
            while due_units >= units as f64 {
                due_units -= units as f64;
                if self.send_request(ms, units) {
                    admitted.push((ms, units));
                }
            }
        }
        admitted
    }
}

fn most_in_window(admitted: &[(u64, u64)]) -> f64 {
    let (mut window, mut sum, mut most) = (VecDeque::new(), 0, 0);
    for (ms, units) in admitted {
        window.push_back((*ms, *units));
        sum += units;
        while window.front().is_some_and(|(from, _)| ms - from >= WINDOW.as_millis() as u64) {
            sum -= window.pop_front().map_or(0, |(_, units)| units);
        }
        most = most.max(sum);
    }
    most as f64
}

fn allowed(quota: Quota) -> f64 {
    (quota.rate * WINDOW.as_secs_f64() + quota.burst) * (1.0 + TOLERANCE.overshoot)
        + TOLERANCE.allowance
}

fn units_of<'a>(admitted: impl IntoIterator<Item = &'a (u64, u64)>) -> f64 {
    admitted.into_iter().map(|(_, units)| *units as f64).sum()
}

#[test]
fn admit_many_daemons_with_totals_from_a_hub() {
    for demand in [1.2, 2.0, 3.0, 5.0] {
        for killed_at in [&[][..], &[4_100], &[9_300], &[4_100, 6_000]] {
            for quota in [QUOTA, BURSTY] {
                let admitted = System::new(MANY, quota).simulate(demand, 6000, 20_000, killed_at);
                let (most, allowed) = (most_in_window(&admitted), allowed(quota));
                assert!(most <= allowed, "demand {demand}, {killed_at:?}: {most} of {allowed}");
            }
        }
    }
}

#[test]
fn admit_usual_demand_is_served_soon_after_all_of_many_daemons_were_killed() {
    let admitted = System::new(MANY, QUOTA).simulate(0.6, 6000, 10_000, &[4_000]);
    let after = admitted.iter().filter(|(ms, _)| (5_000..8_000).contains(ms));
    let (units, requested_units) = (units_of(after), QUOTA.rate * 0.6 * 3.0);
    assert!(units >= requested_units * 0.95, "{units} of {requested_units}");
}

#[test]
fn admit_one_customer_far_beyond_its_quota() {
    let admitted = System::new(FEW, QUOTA).simulate(4.0, 3000, 30_000, &[]);
    assert!(most_in_window(&admitted) <= allowed(QUOTA), "{}", most_in_window(&admitted));
}

#[test]
fn admit_all_daemons_killed_in_the_middle_of_a_window() {
    let admitted = System::new(FEW, BURSTY).simulate(3.0, 3000, 30_000, &[3_100]);
    assert!(most_in_window(&admitted) <= allowed(BURSTY), "{}", most_in_window(&admitted));
}

#[test]
fn admit_usual_demand_is_never_refused() {
    let admitted = System::new(FEW, QUOTA).simulate(0.6, 3000, 20_000, &[]);
    let (units, requested_units) = (units_of(&admitted), QUOTA.rate * 0.6 * 20.0);
    assert!(units >= requested_units - 6000.0, "{units} of {requested_units}");
}

#[test]
fn admit_lag_within_tolerance_causes_no_random_refusal() {
    let is_admitted_at_lag = |lag: u64| {
        let mut quotas = Quotas::new(TOLERANCE, at(0), true);
        let peers = PeerAdmissions {
            live_peers: 6,
            lag: Duration::from_millis(lag),
            ..PeerAdmissions::default()
        };
        // Leaves 100 units in the bucket, and a requested rate per second equal to what was
        // admitted.
        let bucket = QUOTA.burst * 1.05 + 70_000.0;
        let most = quotas.admit(at(0), &customer(), QUOTA, bucket as u64 - 100, 0.0, &peers);
        assert!(most.is_ok());
        quotas.admit(at(0), &customer(), QUOTA, 50, 0.99, &peers).is_ok()
    };
    assert!(is_admitted_at_lag(250), "a lag of direct messages is covered by the tolerance");
    assert!(!is_admitted_at_lag(500), "other daemons may have used the rest in the meantime");
}

#[test]
fn admit_silent_peers_leave_each_partition_its_share() {
    let mut quotas = Quotas::new(TOLERANCE, at(0), true);
    let peers = PeerAdmissions { silent: 3, ..PeerAdmissions::default() };
    let mut units = 0;
    for ms in 0..8_000 {
        if quotas.admit(at(ms), &customer(), QUOTA, 1000, draw(ms as usize), &peers).is_ok() {
            units += 1000;
        }
    }
    assert!(f64::from(units) <= allowed(QUOTA) / 4.0, "{units}");
}

#[test]
fn refund_makes_room_again() {
    let mut quotas = Quotas::new(TOLERANCE, at(0), true);
    // Two of these exceed the bucket and its tolerance.
    let burst = (QUOTA.burst * 0.8) as u64;
    let charge =
        quotas.admit(at(0), &customer(), QUOTA, burst, 0.0, &PeerAdmissions::default()).unwrap();
    assert!(
        quotas.admit(at(1), &customer(), QUOTA, burst, 0.0, &PeerAdmissions::default()).is_err()
    );
    quotas.refund(&customer(), charge);
    assert!(
        quotas.admit(at(2), &customer(), QUOTA, burst, 0.0, &PeerAdmissions::default()).is_ok()
    );
}

/// Totals of all customers made a hub's message too long to be sent several times a second, although most of
/// them changed nothing.
#[test]
fn is_bucket_full_only_for_customers_below_their_quota() {
    let quota = Quota { rate: 1000.0, burst: 4000.0, counts_tokens: true, default_tokens: 1 };
    let quotas = Quotas::new(TOLERANCE, at(0), true);
    let usual = vec![300; 16];
    assert!(quotas.is_bucket_full(at(60_000), quota, &usual, 600.0));
    assert!(!quotas.is_bucket_full(at(60_000), quota, &usual, 1200.0), "demand rises");
    let burst: Vec<u64> = [vec![3000; 2], usual].concat();
    assert!(!quotas.is_bucket_full(at(60_000), quota, &burst, 600.0), "a burst is paid off");
}
