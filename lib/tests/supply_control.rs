//! Runs the supply state machine of whole daemons against the cloud stand-in, with the failures
//! that it must tolerate.

mod supply_world;

use std::time::Duration;

use dogwoodturn::{store::cloud::HostKind, upstream::HostState};
use dogwoodturn_standins::cloud::{CloudFaults, Refused};
use supply_world::{World, offer, offers};

const LANTERN: &str = "
[service lantern]
kind = model
version = v1
repeat = safe
managed = true
smallest = 6
largest = 20

[version lantern/v1]
model = phrase-1
";
const ZONES: [&str; 3] = ["salish-a", "salish-b", "salish-c"];
/// Time for replaced hosts to be released: the surplus must last for 5 min, then they drain.
const REPLACEMENT_TIME: Duration = Duration::from_mins(25);
/// A start time longer than the 5 min that a surplus must last.
const SLOW_START: Duration = Duration::from_mins(8);

fn count_in_zone(world: &World, zone: &str) -> usize {
    world.cloud.hosts().filter(|host| host.start.zone.as_str() == zone).count()
}

#[test]
fn supply_smallest_is_started_over_all_zones() {
    let mut world = World::new(LANTERN, 3, offers(&ZONES));
    world.run(Duration::from_mins(1));
    assert_eq!(world.cloud.hosts().count(), 6);
    assert!(ZONES.iter().all(|zone| count_in_zone(&world, zone) == 2));
    assert!(world.cloud.hosts().all(|host| host.start.kind == HostKind::Reclaimable));
    assert_eq!(world.cloud.started(), 6, "no host was started twice");
}

#[test]
fn supply_lost_replies_start_no_host_twice() {
    let mut world = World::new(LANTERN, 3, offers(&ZONES));
    world.lose_answers = 12;
    world.run(Duration::from_mins(2));
    assert_eq!(world.cloud.hosts().count(), 6);
    assert_eq!(world.cloud.started(), 6);
}

#[test]
fn supply_late_starts_are_not_requested_again() {
    let mut world = World::new(LANTERN, 2, offers(&ZONES));
    let faults = CloudFaults { late_starts: 6, late_by_ms: 20_000, ..CloudFaults::default() };
    world.cloud.set_faults(faults);
    world.run(Duration::from_mins(2));
    assert_eq!((world.cloud.hosts().count(), world.cloud.started()), (6, 6));
}

#[test]
fn supply_refused_zone_is_replaced_by_others() {
    let mut world = World::new(LANTERN, 2, offers(&ZONES));
    let zone = "salish-b".parse().ok();
    let refused = vec![Refused { zone, ..Refused::default() }];
    world.cloud.set_faults(CloudFaults { refused, ..CloudFaults::default() });
    world.run(Duration::from_mins(2));
    assert_eq!(count_in_zone(&world, "salish-b"), 0);
    assert_eq!(world.cloud.hosts().count(), 6);
}

#[test]
fn supply_outage_changes_no_hosts() {
    let mut world = World::new(LANTERN, 3, offers(&ZONES));
    world.run(Duration::from_mins(1));
    world.outage = true;
    world.run(Duration::from_mins(5));
    assert_eq!((world.cloud.hosts().count(), world.cloud.started()), (6, 6));
    world.outage = false;
    world.run(Duration::from_mins(1));
    assert_eq!((world.cloud.hosts().count(), world.cloud.started()), (6, 6));
}

#[test]
fn supply_paused_holder_is_replaced_and_starts_no_host_twice() {
    let mut world = World::new(LANTERN, 3, offers(&ZONES));
    world.run(Duration::from_mins(1));
    for paused in 0..3 {
        world.nodes[paused].paused = true;
        world.run(Duration::from_secs(40));
        world.nodes[paused].paused = false;
        world.run(Duration::from_secs(5));
    }
    assert_eq!((world.cloud.hosts().count(), world.cloud.started()), (6, 6));
}

#[test]
fn supply_wave_is_announced_to_all_and_replaced() {
    let mut world = World::new(LANTERN, 3, offers(&ZONES));
    world.run(Duration::from_mins(1));
    // Replacements start after the check, so that only the notice can have marked the hosts.
    let class = "standard".parse().expect("a name");
    world.cloud.set_start_time(class, Duration::from_secs(30));
    let reclaimed = world.reclaim("salish-a", Duration::from_secs(30));
    assert_eq!(reclaimed.len(), 2);
    world.run(Duration::from_secs(3));
    for node in &world.nodes {
        let is_marked = |host: &dogwoodturn::upstream::HostRecord| {
            !reclaimed.contains(&host.host) || host.state != HostState::Live
        };
        assert!(
            node.snapshot.hosts.iter().all(is_marked),
            "{} still sends work to hosts that are leaving",
            node.daemon
        );
    }
    world.run(Duration::from_mins(1));
    assert_eq!(world.cloud.hosts().count(), 6);
}

#[test]
fn supply_leaving_host_in_the_list_is_announced() {
    let mut world = World::new(LANTERN, 2, offers(&ZONES));
    world.run(Duration::from_mins(1));
    let host = world.hosts[0].host.clone();
    let at = world.wall() + Duration::from_secs(30);
    world.hosts[0].state = HostState::Leaving { at };
    world.hosts_changed();
    world.run(Duration::from_secs(3));
    assert!(world.announced_leaving.contains(&host));
}

#[test]
fn supply_price_change_below_the_gain_replaces_no_host() {
    let mut world = World::new(LANTERN, 2, offers(&ZONES));
    world.run(Duration::from_mins(1));
    for round in 0..10 {
        let mut changed_offers = offers(&ZONES);
        for (index, offer) in changed_offers.iter_mut().enumerate() {
            let dearer = (index + round) % 2 == 0;
            offer.price.0 = offer.price.0 * if dearer { 105 } else { 95 } / 100;
        }
        world.cloud.set_offers(world.now, changed_offers);
        world.run(Duration::from_mins(2));
    }
    assert_eq!(world.cloud.started(), 6);
}

#[test]
fn supply_lasting_price_change_replaces_hosts_without_a_gap() {
    let mut world = World::new(LANTERN, 2, offers(&ZONES));
    world.run(Duration::from_mins(1));
    let mut changed_offers = offers(&ZONES);
    for zone in ZONES {
        changed_offers.push(offer(zone, "small", HostKind::Reclaimable, 100_000));
    }
    world.cloud.set_offers(world.now, changed_offers);
    world.cloud.set_start_time("small".parse().expect("a name"), SLOW_START);
    let until = world.now + REPLACEMENT_TIME;
    while world.now < until {
        world.step();
        let running = world.cloud.hosts().filter(|host| host.running).count();
        assert!(running >= 6, "only {running} hosts run at {:?}", world.now);
    }
    assert!(world.cloud.hosts().all(|host| host.start.class.as_str() == "small"));
    assert_eq!(world.cloud.hosts().count(), 6);
}

#[test]
fn supply_hosts_of_an_undeclared_service_are_released() {
    let mut world = World::new(LANTERN, 2, offers(&ZONES));
    world.run(Duration::from_mins(1));
    let ledger = "
[service ledger]
kind = plain
version = v1
repeat = safe
managed = true
smallest = 1
largest = 3

[version ledger/v1]
";
    world.publish(ledger, "c2");
    world.run(Duration::from_mins(2));
    let left = world.cloud.hosts().filter(|host| host.start.service.as_str() == "lantern").count();
    assert_eq!(left, 0);
}

#[test]
fn supply_paused_by_operators_starts_nothing() {
    let paused = LANTERN.replace("managed = true", "managed = true\npaused = true");
    let mut world = World::new(&paused, 2, offers(&ZONES));
    world.run(Duration::from_mins(1));
    assert_eq!(world.cloud.started(), 0);
    assert!(world.nodes.iter().any(|node| node.snapshot.supply.iter().any(|s| s.paused)));
}

#[test]
fn supply_every_start_is_in_the_audit_trail() {
    let mut world = World::new(LANTERN, 2, offers(&ZONES));
    world.run(Duration::from_mins(1));
    for host in world.cloud.hosts() {
        let token = &*host.start.client_token;
        assert!(world.audits.iter().any(|line| line.contains(token)), "no audit event has {token}");
    }
}
