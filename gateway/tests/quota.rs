//! Quotas of several daemons that tell each other what they admitted, as the operators check them.

use std::{collections::VecDeque, time::Duration};

use dogwoodturn::{ids::CustomerName, units::Time};
use dogwoodturn_gateway::{
    quota::{History, Peers, Quotas, Tolerance},
    table::Quota,
};

const WINDOW: Duration = Duration::from_secs(8);
const TELL_EVERY_MS: u64 = 200;
const DAEMONS: usize = 7;
const QUOTA: Quota =
    Quota { rate: 300_000.0, burst: 300_000.0, counts_tokens: true, default_tokens: 0 };
/// A quota whose burst alone is half of what a window allows.
const BURSTY: Quota = Quota { burst: 1_200_000.0, ..QUOTA };
/// What the operators allow on top: a tenth, and a fixed allowance.
const TOLERANCE: Tolerance = Tolerance { window: WINDOW, overshoot: 0.1, allowance: 140_000.0 };

struct Daemon {
    quotas: Quotas,
    told: History,
    asked: f64,
    told_at: Time,
}

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

/// Numbers from zero to below one, spread evenly.
fn lot(turn: usize) -> f64 {
    (turn as f64 * 0.618_033_988_75).fract()
}

fn customer() -> CustomerName {
    "hot".parse().unwrap()
}

fn start(quota: Quota, ms: u64, first: bool) -> Daemon {
    let mut quotas = Quotas::new(TOLERANCE, at(ms), first);
    quotas.inherit(&customer(), quota, DAEMONS as u32);
    Daemon { quotas, told: Vec::new(), asked: 0.0, told_at: at(ms) }
}

/// Plays a customer that asks for `demand` times its rate, and returns what was admitted when.
fn play(
    quota: Quota,
    demand: f64,
    until_ms: u64,
    mut event: impl FnMut(u64, &mut Vec<Daemon>),
) -> Vec<(u64, u64)> {
    let mut daemons: Vec<_> = (0..DAEMONS).map(|_| start(quota, 0, true)).collect();
    let mut admitted = Vec::new();
    let units = 3000;
    let per_ms = quota.rate * demand / 1000.0;
    let mut owed = 0.0;
    let mut turn = 0;
    for ms in 0..until_ms {
        event(ms, &mut daemons);
        if ms % TELL_EVERY_MS == 0 {
            for daemon in &mut daemons {
                daemon.told = daemon.quotas.history(at(ms), &customer());
                daemon.asked = daemon.quotas.asked_rate(at(ms), &customer());
                daemon.told_at = at(ms);
            }
        }
        owed += per_ms;
        while owed >= f64::from(units) {
            owed -= f64::from(units);
            // The balancer's hash favours the first daemon.
            turn += 1;
            let chosen = if turn % 3 == 0 { 0 } else { turn % DAEMONS };
            let mut peers = Peers {
                heard: DAEMONS as u32 - 1,
                lag: Duration::from_millis(TELL_EVERY_MS),
                ..Peers::default()
            };
            for (index, peer) in daemons.iter().enumerate() {
                if index != chosen {
                    peers.add(&peer.told, at(ms).since(peer.told_at));
                    peers.asked += peer.asked;
                }
            }
            let quotas = &mut daemons[chosen].quotas;
            if quotas
                .admit(at(ms), &customer(), quota, u64::from(units as u32), lot(turn), &peers)
                .is_ok()
            {
                admitted.push((ms, u64::from(units as u32)));
            }
        }
    }
    admitted
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

/// The daemons of a large system, and how often they tell a hub, and it tells them.
const MANY: usize = 90;
const HUB_EVERY_MS: u64 = 250;

/// Plays a customer at many daemons that know of each other by a hub, and returns what was
/// admitted when; `killed_at` says when all daemons start anew.
fn play_by_hub(quota: Quota, demand: f64, until_ms: u64, killed_at: &[u64]) -> Vec<(u64, u64)> {
    let start_many = |ms, first| {
        let start = |_| {
            let mut quotas = Quotas::new(TOLERANCE, at(ms), first);
            quotas.inherit(&customer(), quota, MANY as u32);
            Daemon { quotas, told: Vec::new(), asked: 0.0, told_at: at(ms) }
        };
        (0..MANY).map(start).collect::<Vec<_>>()
    };
    let mut daemons = start_many(0, true);
    let mut total = (Vec::new(), at(0));
    let mut asked_in_all = 0.0;
    let mut hears_from = 0;
    let mut admitted = Vec::new();
    let (units, mut owed, mut turn) = (6000_u64, 0.0, 0);
    for ms in 0..until_ms {
        if killed_at.contains(&ms) {
            daemons = start_many(ms, false);
            total = (Vec::new(), at(ms));
            hears_from = ms + HUB_EVERY_MS * 2;
        }
        if ms % HUB_EVERY_MS == 0 {
            for daemon in &mut daemons {
                daemon.told = daemon.quotas.history(at(ms), &customer());
                daemon.asked = daemon.quotas.asked_rate(at(ms), &customer());
                daemon.told_at = at(ms);
            }
        }
        if ms % HUB_EVERY_MS == HUB_EVERY_MS / 2 {
            let mut sum = Peers::default();
            for daemon in &daemons {
                sum.add(&daemon.told, at(ms).since(daemon.told_at));
            }
            total = (sum.history, at(ms));
            let rate = |daemon: &Daemon| daemon.quotas.asked_rate(at(ms), &customer());
            asked_in_all = daemons.iter().map(rate).sum();
        }
        owed += quota.rate * demand / 1000.0;
        while owed >= units as f64 {
            owed -= units as f64;
            turn += 1;
            let chosen = if turn % 9 == 0 { 0 } else { turn % MANY };
            let quotas = &mut daemons[chosen].quotas;
            // A daemon hears the others late; the hub hears them at once.
            let hears = if ms < hears_from { 0 } else { MANY as u32 - 1 };
            let mut peers = Peers {
                silent: MANY as u32 - 1,
                asked: asked_in_all,
                lag: Duration::from_millis(HUB_EVERY_MS * 2),
                ..Peers::default()
            };
            let own = quotas.history(at(ms), &customer());
            peers.take_total(&total.0, hears, at(ms).since(total.1), &own);
            if quotas.admit(at(ms), &customer(), quota, units, lot(turn), &peers).is_ok() {
                admitted.push((ms, units));
            }
        }
    }
    admitted
}

#[test]
fn admit_many_daemons_that_hear_a_hub() {
    for demand in [1.2, 2.0, 3.0, 5.0] {
        for killed_at in [&[][..], &[4_100], &[9_300], &[4_100, 6_000]] {
            for quota in [QUOTA, BURSTY] {
                let admitted = play_by_hub(quota, demand, 20_000, killed_at);
                let (most, allowed) = (most_in_window(&admitted), allowed(quota));
                assert!(most <= allowed, "demand {demand}, {killed_at:?}: {most} of {allowed}");
            }
        }
    }
}

#[test]
fn admit_usual_demand_is_served_soon_after_all_of_many_daemons_were_killed() {
    let admitted = play_by_hub(QUOTA, 0.6, 10_000, &[4_000]);
    let after = admitted.iter().filter(|(ms, _)| (5_000..8_000).contains(ms));
    let units: u64 = after.map(|(_, units)| units).sum();
    let asked = QUOTA.rate * 0.6 * 3.0;
    assert!(units as f64 >= asked * 0.95, "{units} of {asked}");
}

#[test]
fn admit_one_customer_far_beyond_its_quota() {
    let admitted = play(QUOTA, 4.0, 30_000, |_, _| {});
    assert!(most_in_window(&admitted) <= allowed(QUOTA), "{}", most_in_window(&admitted));
}

#[test]
fn admit_all_daemons_killed_in_the_middle_of_a_window() {
    let admitted = play(BURSTY, 3.0, 30_000, |ms, daemons| {
        if ms == 3_100 {
            *daemons = (0..DAEMONS).map(|_| start(BURSTY, ms, false)).collect();
        }
    });
    assert!(most_in_window(&admitted) <= allowed(BURSTY), "{}", most_in_window(&admitted));
}

#[test]
fn admit_usual_demand_is_never_refused() {
    let admitted = play(QUOTA, 0.6, 20_000, |_, _| {});
    let asked = QUOTA.rate * 0.6 * 20.0;
    let units: u64 = admitted.iter().map(|(_, units)| units).sum();
    assert!(units as f64 >= asked - 6000.0, "{units} of {asked}");
}

#[test]
fn admit_silent_peers_leave_each_part_its_share() {
    let mut quotas = Quotas::new(TOLERANCE, at(0), true);
    let peers = Peers { silent: 3, ..Peers::default() };
    let mut units = 0;
    for ms in 0..8_000 {
        if quotas.admit(at(ms), &customer(), QUOTA, 1000, lot(ms as usize), &peers).is_ok() {
            units += 1000;
        }
    }
    assert!(f64::from(units) <= allowed(QUOTA) / 4.0, "{units}");
}

#[test]
fn refund_makes_room_again() {
    let mut quotas = Quotas::new(TOLERANCE, at(0), true);
    // More than fits once the bucket and its tolerance are used.
    let burst = (QUOTA.burst * 0.8) as u64;
    let charge = quotas.admit(at(0), &customer(), QUOTA, burst, 0.0, &Peers::default()).unwrap();
    assert!(quotas.admit(at(1), &customer(), QUOTA, burst, 0.0, &Peers::default()).is_err());
    quotas.refund(&customer(), charge);
    assert!(quotas.admit(at(2), &customer(), QUOTA, burst, 0.0, &Peers::default()).is_ok());
}
