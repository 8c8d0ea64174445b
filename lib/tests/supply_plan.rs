//! Tests plans, loads for moves, leases, orders and messages without I/O.

mod supply_world;

use std::time::Duration;

use dogwoodturn::{
    declaration::SupplyBounds,
    ids::{FencingNumber, Incarnation},
    moves::share::Share,
    node::message::{PeerMessage, PeerMessageWire},
    store::{CallError, ObjectKey, Operation, memory::MemoryStore},
    supply::{
        lease::{self, Holder, Lease, LeaseTimes},
        loads::{LoadTimes, MoveView, hosts_for_new_version, latest_load_starts},
        message::{ClassTotals, Demand, DemandScope, Message},
        orders::{Effect, Event, Order, OrderOutcome, Orders},
        plan::{Plan, PlanInput, Pool, PoolView, Reason, plan},
        rate::{Work, WorkRate},
    },
    units::{PricePerHour, Time, WallTime},
};
use indexmap::IndexMap;
use quickcheck::{Arbitrary, Gen};
use supply_world::{World, offers};

const ZONES: [&str; 3] = ["salish-a", "salish-b", "salish-c"];

fn pool(zone: &str, reclaimable: bool) -> Pool {
    let class = "standard".parse().expect("a name");
    Pool { zone: zone.parse().expect("a name"), class, reclaimable }
}

fn view(price: u64) -> PoolView {
    PoolView {
        price: PricePerHour(price),
        capacity: WorkRate(100),
        present: 0,
        refused: false,
        waves_per_hour: 0.0,
        start_time: Duration::from_mins(2),
    }
}

fn market() -> IndexMap<Pool, PoolView> {
    let both = |zone: &&str| [(pool(zone, true), view(300)), (pool(zone, false), view(1000))];
    ZONES.iter().flat_map(both).collect()
}

fn plan_for(pools: &IndexMap<Pool, PoolView>, demand: u64, bounds: SupplyBounds) -> Plan {
    plan(&PlanInput { demand: WorkRate(demand), pools, bounds })
}

/// Returns the work that the plan carries without one zone, computed independently of the plan.
fn work_without(plan: &Plan, pools: &IndexMap<Pool, PoolView>, zone: &str) -> u64 {
    let others = plan.host_counts.iter().filter(|(pool, _)| pool.zone.as_str() != zone);
    others.map(|(pool, &count)| u64::from(count) * pools[pool].capacity.0).sum()
}

#[test]
fn plan_any_market_carries_demand_with_any_zone_lost() {
    for seed in 0..300 {
        let mut g = Gen::from_size_and_seed(100, seed);
        let mut pools = market();
        for view in pools.values_mut() {
            view.price = PricePerHour(100 + u64::from(u16::arbitrary(&mut g) % 900));
            view.capacity = WorkRate(20 + u64::from(u8::arbitrary(&mut g)));
            view.present = u32::from(u8::arbitrary(&mut g) % 4);
        }
        let demand = u64::from(u16::arbitrary(&mut g) % 4000);
        let plan = plan_for(&pools, demand, SupplyBounds::default());
        for zone in ZONES {
            let remaining = work_without(&plan, &pools, zone);
            assert!(
                remaining >= demand,
                "seed {seed}: {remaining} of {demand} without {zone}: {plan:?}"
            );
        }
    }
}

#[test]
fn plan_calm_market_is_reclaimable_only() {
    let plan = plan_for(&market(), 1000, SupplyBounds::default());
    assert!(plan.host_counts.keys().all(|pool| pool.reclaimable));
    assert_eq!((plan.host_counts.values().sum::<u32>(), plan.reason), (15, Reason::Demand));
}

#[test]
fn plan_frequent_waves_cover_a_second_wave() {
    let mut pools = market();
    pools.values_mut().for_each(|view| view.waves_per_hour = 2.0);
    let plan = plan_for(&pools, 1000, SupplyBounds::default());
    let mut reclaimable_work: Vec<u64> = ZONES
        .iter()
        .map(|zone| {
            plan.host_counts.get(&pool(zone, true)).map_or(0, |&count| u64::from(count) * 100)
        })
        .collect();
    reclaimable_work.sort_unstable();
    let all: u64 = plan.host_counts.values().map(|&count| u64::from(count) * 100).sum();
    assert!(all - reclaimable_work[1] - reclaimable_work[2] >= 1000, "{plan:?}");
}

#[test]
fn plan_refused_zone_is_carried_by_the_others() {
    let mut pools = market();
    for reclaimable in [true, false] {
        pools[&pool("salish-b", reclaimable)].refused = true;
    }
    let plan = plan_for(&pools, 1000, SupplyBounds::default());
    assert!(plan.host_counts.keys().all(|pool| pool.zone.as_str() != "salish-b"));
    assert_eq!(plan.assured, WorkRate(1000));
}

#[test]
fn plan_refused_reclaimable_pools_use_on_demand() {
    let mut pools = market();
    for zone in ZONES {
        pools[&pool(zone, true)].refused = true;
    }
    let plan = plan_for(&pools, 1000, SupplyBounds::default());
    assert!(plan.host_counts.keys().all(|pool| !pool.reclaimable));
    assert_eq!(plan.assured, WorkRate(1000));
}

#[test]
fn plan_bounds_override_demand() {
    let budget = Some(PricePerHour(1200));
    let bounds = SupplyBounds { budget, ..SupplyBounds::default() };
    let plan = plan_for(&market(), 1000, bounds);
    assert!(plan.cost <= PricePerHour(1200));
    assert_eq!(plan.reason, Reason::Budget);
    let bounds = SupplyBounds { largest: 5, ..SupplyBounds::default() };
    let plan = plan_for(&market(), 1000, bounds);
    assert_eq!((plan.host_counts.values().sum::<u32>(), plan.reason), (5, Reason::Largest));
    let bounds = SupplyBounds { smallest: 7, ..SupplyBounds::default() };
    let plan = plan_for(&market(), 0, bounds);
    assert_eq!((plan.host_counts.values().sum::<u32>(), plan.reason), (7, Reason::Smallest));
}

#[test]
fn plan_price_change_below_the_gain_keeps_hosts() {
    let mut pools = market();
    for (zone, present) in [("salish-a", 5), ("salish-b", 5), ("salish-c", 5)] {
        pools[&pool(zone, true)].present = present;
    }
    let before = plan_for(&pools, 1000, SupplyBounds::default());
    pools[&pool("salish-a", true)].price = PricePerHour(315);
    pools[&pool("salish-b", true)].price = PricePerHour(285);
    assert_eq!(plan_for(&pools, 1000, SupplyBounds::default()).host_counts, before.host_counts);
}

/// The start of the moves in these tests.
const START: WallTime = WallTime(1_800_000_000_000);

fn move_view(share: Share) -> MoveView {
    MoveView {
        from: "v1".parse().expect("a name"),
        to: "v2".parse().expect("a name"),
        start: START,
        finish_by: START + Duration::from_secs(1000),
        watch: Duration::from_secs(100),
        share,
        is_stopped: false,
    }
}

const LOAD: LoadTimes =
    LoadTimes { load: Duration::from_secs(60), spacing: Duration::from_secs(20) };

#[test]
fn latest_load_starts_are_spaced_and_end_before_the_watch() {
    for hosts in 1..200 {
        let load_starts = latest_load_starts(hosts, &move_view(Share::NONE), LOAD);
        assert!(load_starts.windows(2).all(|pair| pair[1].0 >= pair[0].0 + 20_000));
        let last = load_starts.last().expect("there are hosts");
        assert!(last.0 + 60_000 <= START.0 + 900_000, "{hosts} hosts");
    }
}

#[test]
fn hosts_for_new_version_stopped_move_loads_nothing() {
    let stopped = MoveView { is_stopped: true, ..move_view(Share::NONE) };
    assert_eq!(hosts_for_new_version(START + Duration::from_secs(500), 10, &stopped, LOAD), 0);
    assert_eq!(
        hosts_for_new_version(START + Duration::from_secs(890), 10, &move_view(Share::FULL), LOAD),
        10
    );
    let first = hosts_for_new_version(START, 10, &move_view(Share::NONE), LOAD);
    assert!(
        (1..=3).contains(&first),
        "{first} hosts on the new version; the old version needs the others"
    );
}

fn lease() -> (Lease, MemoryStore) {
    let holder = Holder { daemon: "d-0".parse().expect("a name"), incarnation: Incarnation(1) };
    let key = ObjectKey::new("supply/leases/lantern/salish-a");
    (Lease::new(key, holder, LeaseTimes::default()), MemoryStore::new())
}

fn second(seconds: u64) -> Time {
    Time(seconds * 1_000_000)
}

/// Handles an event and applies the resulting calls to the store. If `lose_reply` is set, a write
/// that the event causes takes effect but its reply is lost.
fn run_lease(
    lease: &mut Lease,
    store: &mut MemoryStore,
    now: Time,
    event: lease::Event,
    lose_reply: bool,
) {
    let mut effects = Vec::new();
    lease.handle(now, event, &mut effects);
    for lease::Effect::Call(call, _, operation) in effects {
        let result = store.apply(&operation);
        let is_write = matches!(operation, Operation::Put { .. });
        let result = if lose_reply && is_write { Err(CallError::Unknown) } else { result };
        run_lease(lease, store, now, lease::Event::CallEnded(call, result), false);
    }
}

#[test]
fn lease_lost_reply_is_resolved_by_reading() {
    let (mut lease, mut store) = lease();
    run_lease(&mut lease, &mut store, second(1), lease::Event::SetDesired(true), false);
    run_lease(&mut lease, &mut store, second(6), lease::Event::Woken, true);
    let held_term = lease.current_term(second(6)).expect("the write took effect");
    assert_eq!(held_term.until, second(6) + LeaseTimes::default().term);
}

#[test]
fn lease_paused_past_its_term_is_not_held() {
    let (mut lease, mut store) = lease();
    run_lease(&mut lease, &mut store, second(1), lease::Event::SetDesired(true), false);
    assert!(lease.current_term(second(15)).is_some());
    assert!(lease.current_term(second(16)).is_none());
    assert!(lease.order_permit(second(13), true).is_some());
    assert!(
        lease.order_permit(second(14), false).is_none(),
        "no orders are sent within the margin"
    );
    assert!(lease.order_permit(second(2), false).is_none(), "the takeover wait is not over");
}

#[test]
fn orders_retry_keeps_its_id_and_stale_is_reported() {
    let mut orders = Orders::new("lantern.salish-a.d-0.1");
    let upstream = "engine".parse().expect("a name");
    let order = Order::LoadModel { version: "v2".parse().expect("a name") };
    let desired = vec![(upstream, ([127, 0, 0, 1], 9).into(), order)];
    let permit = Some((FencingNumber(3), second(10)));
    let mut out = Vec::new();
    orders.handle(second(1), None, Event::SetDesired(desired.clone()), &mut out);
    assert!(out.is_empty(), "no order is sent without the lease");
    orders.handle(second(1), permit, Event::SetDesired(desired), &mut out);
    let first = last_order(&mut out).expect("the order is sent");
    assert!(first.may_be_sent(second(9)) && !first.may_be_sent(second(10)));
    orders.handle(
        second(2),
        permit,
        Event::Ended(first.id.clone(), OrderOutcome::Unknown),
        &mut out,
    );
    orders.handle(second(3), permit, Event::Woken, &mut out);
    let retried = last_order(&mut out).expect("the order is retried");
    assert_eq!((&retried.id, retried.fencing), (&first.id, FencingNumber(3)));
    let stale = OrderOutcome::Stale(FencingNumber(4));
    orders.handle(second(4), None, Event::Ended(retried.id, stale), &mut out);
    assert!(out.contains(&Effect::Stale(FencingNumber(4))));
}

fn last_order(out: &mut Vec<Effect>) -> Option<dogwoodturn::supply::orders::OrderRequest> {
    let mut orders = out.drain(..).filter_map(|effect| match effect {
        Effect::Order(order) => Some(order),
        _ => None,
    });
    orders.next_back()
}

#[test]
fn message_round_trips_and_rejects_an_empty_interval() {
    let sum = ClassTotals {
        work: Work(7),
        within_target: 2,
        outside_target: 1,
        latency_per_mille_sum: 900,
    };
    let demand = Demand {
        service: "lantern".parse().expect("a name"),
        data_centre: "salish-a".parse().expect("a name"),
        demand_scope: DemandScope::Daemon,
        interval: Duration::from_secs(5),
        classes: vec![("standard".parse().expect("a name"), sum)],
    };
    let message = PeerMessage::Supply(Message::Demand(demand.clone()));
    let wire = PeerMessageWire::from(message.clone());
    assert_eq!(PeerMessage::try_from(wire).expect("valid"), message);
    let empty = Message::Demand(Demand { interval: Duration::ZERO, ..demand });
    assert!(PeerMessage::try_from(PeerMessageWire::from(PeerMessage::Supply(empty))).is_err());
}

/// Returns declarations of a service whose move starts after 1 min and must be finished 20 min
/// later.
fn with_move(checks_fencing: bool) -> String {
    let start = supply_world::EPOCH + Duration::from_mins(1);
    let finish_by = start + Duration::from_mins(20);
    format!(
        "[service lantern]\nkind = model\nversion = v1\nrepeat = safe\nmanaged = true\n\
         checks-fencing = {checks_fencing}\nsmallest = 6\nlargest = 20\n\
         [version lantern/v1]\nmodel = phrase-1\n[version lantern/v2]\nmodel = phrase-2\n\
         [move lantern-v2]\nservice = lantern\nfrom = v1\nto = v2\nstart = {start}\n\
         finish-by = {finish_by}\nwatch = 2m\n"
    )
}

#[test]
fn orders_move_loads_one_host_per_zone_first() {
    for checks_fencing in [true, false] {
        let mut world = World::new(&with_move(checks_fencing), 2, offers(&ZONES));
        world.run(Duration::from_mins(2));
        assert!(!world.orders.is_empty(), "no load was ordered");
        let upstreams: std::collections::BTreeSet<_> =
            world.orders.iter().map(|(_, order)| order.upstream.clone()).collect();
        assert!(
            upstreams.len() <= ZONES.len(),
            "at most one host of each zone loads before the share rises"
        );
    }
}

#[test]
fn orders_wave_during_a_move_is_replaced() {
    let mut world = World::new(&with_move(true), 2, offers(&ZONES));
    world.run(Duration::from_secs(90));
    world.reclaim("salish-a", Duration::from_secs(20));
    world.run(Duration::from_mins(1));
    let running = world.cloud.hosts().filter(|host| host.running).count();
    assert_eq!(running, 6);
    let v1 = world.cloud.hosts().filter(|host| host.start.version.as_str() == "v1").count();
    assert!(v1 >= 4, "only {v1} hosts run the old version");
}
