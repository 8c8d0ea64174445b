//! Membership and dissemination over many daemons, with lost frames, partitions and outages.

mod build;
mod fleet_sim;

use std::time::Duration;

use dogwoodturn::{
    ids::Generation,
    node::control::Input,
    peer::{Member, Recipient, peers::Peers},
    request::{
        crash_evidence::{BarReport, Cause, PartId, Report},
        message::Message,
    },
    store::memory::MemoryStore,
};

use build::{address, config, converged_fleet, is_active, members_agree, publish, set};
use fleet_sim::{FleetSim, Node};

/// The time within which a generation must be in force at every daemon: the goal for 128 daemons.
const DISSEMINATION_GOAL: Duration = Duration::from_secs(2);
const SETTLE_TIMEOUT: Duration = Duration::from_mins(2);

fn change(sim: &mut FleetSim, step: usize) -> u64 {
    let head = publish(&mut sim.store, &set(20, step), &format!("c{step}"), 0);
    sim.store_changed();
    head.expect("published").generation.0
}

#[test]
fn dissemination_everywhere_in_time() {
    for count in [8, 32, 128] {
        let mut sim = converged_fleet(1, count, 13, 5);
        let generation = change(&mut sim, 1);
        assert!(sim.run(DISSEMINATION_GOAL, |sim| is_active(sim, generation)), "{count} daemons");
    }
}

#[test]
fn dissemination_lost_frames() {
    let mut sim = converged_fleet(2, 32, 13, 5);
    sim.loss = 0.05;
    for step in 1..20 {
        let generation = change(&mut sim, step);
        assert!(sim.run(DISSEMINATION_GOAL * 2, |sim| is_active(sim, generation)), "step {step}");
    }
    sim.loss = 0.0;
    assert!(sim.run(SETTLE_TIMEOUT, |sim| members_agree(sim, 32)));
}

#[test]
fn dissemination_platform_down_after_acceptance() {
    let mut sim = converged_fleet(3, 32, 13, 5);
    let generation = change(&mut sim, 1);
    let is_active_anywhere =
        |sim: &FleetSim| sim.live().any(|node| node.snapshot.generation == Generation(generation));
    assert!(sim.run(DISSEMINATION_GOAL, is_active_anywhere));
    sim.platform_up = false;
    sim.store_changed();
    assert!(sim.run(DISSEMINATION_GOAL, |sim| is_active(sim, generation)));
    sim.run(SETTLE_TIMEOUT, |_| false);
    assert!(sim.live().all(|node| node.snapshot.config_fresh), "serving continues");
}

#[test]
fn dissemination_partition_heals_and_never_reverts() {
    let mut sim = converged_fleet(4, 16, 4, 2);
    for index in (1..16).step_by(2) {
        sim.groups[index] = 1;
    }
    sim.run(Duration::from_secs(30), |_| false);
    let generation = change(&mut sim, 1);
    sim.run(Duration::from_secs(10), |_| false);
    let near = |sim: &FleetSim| {
        let nodes = sim.nodes.iter().enumerate().filter(|(index, _)| index % 2 == 0);
        nodes.flat_map(|(_, node)| node).all(|node| node.snapshot.generation.0 == generation)
    };
    assert!(near(&sim), "the side with the platform adopts the generation");
    let far = sim.nodes.iter().flatten().filter(|node| node.snapshot.generation.0 < generation);
    let far: Vec<_> = far.collect();
    assert_eq!(far.len(), 8);
    assert!(
        far.iter().all(|node| !node.snapshot.config_fresh),
        "the other side detects that it is cut off"
    );
    sim.groups.fill(0);
    assert!(sim.run(SETTLE_TIMEOUT, |sim| is_active(sim, generation) && members_agree(sim, 16)));
    assert!(sim.run(SETTLE_TIMEOUT, |sim| sim.live().all(|node| node.snapshot.config_fresh)));
}

#[test]
fn dissemination_restored_older_platform() {
    let mut sim = converged_fleet(5, 8, 3, 1);
    let older = sim.store.clone();
    for step in 1..5 {
        change(&mut sim, step);
        sim.run(DISSEMINATION_GOAL, |_| false);
    }
    assert!(is_active(&sim, 5));
    sim.store = older;
    let joined = sim.add(config(8, 3, 1, 1));
    sim.run(Duration::from_secs(90), |_| false);
    assert!(is_active(&sim, 5), "no daemon reverts to an older generation");
    let fresh = sim.nodes[joined].as_ref().expect("it runs");
    assert_eq!(fresh.fresh_with, Some(5), "a new daemon is ready only with the highest generation");
    let is_reported =
        sim.live().any(|node| node.refused.iter().any(|text| text.contains("--above 5")));
    assert!(is_reported, "the refusal of the older head is reported");
    let head = publish(&mut sim.store, &set(20, 9), "c9", 5).expect("published");
    sim.store_changed();
    assert_eq!(head.generation, Generation(6));
    assert!(sim.run(SETTLE_TIMEOUT, |sim| is_active(sim, 6)));
}

#[test]
fn dissemination_wiped_platform() {
    let mut sim = converged_fleet(6, 8, 3, 1);
    sim.store = MemoryStore::new();
    sim.run(Duration::from_secs(90), |_| false);
    assert!(is_active(&sim, 1));
    assert!(sim.live().any(|node| !node.refused.is_empty()));
}

#[test]
fn dissemination_cut_off_daemon_is_not_informed() {
    let mut sim = converged_fleet(7, 16, 4, 2);
    sim.groups[5] = 1;
    let is_fresh = |sim: &FleetSim| sim.nodes[5].as_ref().is_some_and(|n| n.snapshot.config_fresh);
    assert!(sim.run(Duration::from_secs(15), |sim| !is_fresh(sim)));
    sim.run(SETTLE_TIMEOUT, |_| false);
    assert!(!is_fresh(&sim), "its configuration does not count as fresh once it drops its peers");
    assert!(members_agree_without(&sim, 5, 15));
    let generation = change(&mut sim, 1);
    sim.run(DISSEMINATION_GOAL, |_| false);
    sim.groups[5] = 0;
    assert!(sim.run(SETTLE_TIMEOUT, |sim| is_fresh(sim)));
    assert!(
        is_active(&sim, generation),
        "its configuration is fresh only with the latest generation"
    );
}

fn members_agree_without(sim: &FleetSim, except: usize, count: usize) -> bool {
    let others = sim.nodes.iter().enumerate().filter(|(index, _)| *index != except);
    others.flat_map(|(_, node)| node).all(|node| node.snapshot.members.len() == count)
}

#[test]
fn dissemination_late_joiner_far_behind() {
    let mut sim = converged_fleet(8, 8, 3, 1);
    for step in 1..100 {
        change(&mut sim, step);
        sim.run(Duration::from_millis(200), |_| false);
    }
    sim.platform_up = false;
    sim.store_changed();
    let joined = sim.add(config(8, 3, 1, 1));
    assert!(sim.run(SETTLE_TIMEOUT, |sim| is_active(sim, 100)));
    assert!(sim.run(SETTLE_TIMEOUT, |sim| {
        sim.nodes[joined].as_ref().is_some_and(|node| node.snapshot.config_fresh)
    }));
}

#[test]
fn members_crash_restart_and_leave() {
    let mut sim = converged_fleet(9, 32, 4, 2);
    sim.crash(3, true);
    sim.crash(7, false);
    assert!(sim.run(SETTLE_TIMEOUT, |sim| members_agree(sim, 30)));
    sim.add(config(3, 4, 2, 2));
    assert!(
        sim.run(SETTLE_TIMEOUT, |sim| members_agree(sim, 31)),
        "a restarted daemon is a member again"
    );
    sim.input(Duration::ZERO, 11, Input::Drain);
    sim.run(Duration::from_millis(100), |_| false);
    sim.crash(11, false);
    let bound = Duration::from_secs(2);
    assert!(sim.run(bound, |sim| members_agree(sim, 30)), "a clean leave needs no suspicion");
}

#[test]
fn members_a_third_lost_at_once() {
    let mut sim = converged_fleet(10, 48, 3, 1);
    for index in (0..48).step_by(3) {
        sim.crash(index, true);
    }
    assert!(sim.run(SETTLE_TIMEOUT, |sim| members_agree(sim, 32)));
    let generation = change(&mut sim, 1);
    assert!(sim.run(DISSEMINATION_GOAL, |sim| is_active(sim, generation)));
}

#[test]
fn members_replaced_at_the_same_address() {
    let mut sim = converged_fleet(11, 8, 3, 1);
    sim.crash(5, true);
    let mut replacement = config(8, 3, 1, 2);
    replacement.own.address = address(5);
    sim.add(replacement);
    assert!(sim.run(SETTLE_TIMEOUT, |sim| members_agree(sim, 8)));
    let is_replaced = |sim: &FleetSim| {
        sim.live().all(|node| node.snapshot.members.iter().all(|m| m.daemon.as_str() != "dc2-5"))
    };
    assert!(sim.run(SETTLE_TIMEOUT, is_replaced));
}

#[test]
fn members_falsely_accused_refutes() {
    let mut sim = converged_fleet(12, 16, 4, 2);
    sim.groups[6] = 1;
    assert!(sim.run(SETTLE_TIMEOUT, |sim| members_agree_without(sim, 6, 15)));
    sim.groups[6] = 0;
    assert!(sim.run(SETTLE_TIMEOUT, |sim| members_agree(sim, 16)));
}

#[test]
fn overlay_degree_is_bounded() {
    let sim = converged_fleet(13, 64, 13, 5);
    let peers = || sim.live().filter_map(|node| node.control.peers());
    let degrees: Vec<usize> = peers().map(|peers| peers.linked_neighbours().count()).collect();
    assert!(degrees.iter().all(|degree| (4..=8).contains(degree)), "{degrees:?}");
    for node in sim.live() {
        let linked_neighbours: Vec<_> =
            node.control.peers().into_iter().flat_map(Peers::linked_neighbours).collect();
        let near = |member: &&Member| linked_neighbours.contains(&&member.daemon);
        let mut others = node.snapshot.members.iter().filter(near);
        assert!(others.clone().any(|member| member.data_centre != node.own.data_centre));
        assert!(others.any(|member| member.region != node.own.region));
    }
}

fn flood(sim: &mut FleetSim, from: usize) {
    let message = Message::Poison { digest: [1; 32], refused_for: SETTLE_TIMEOUT };
    sim.input(Duration::ZERO, from, Input::RequestMessage(Recipient::Flood, message));
}

#[test]
fn restarted_daemon_learns_what_crashes_upstreams() {
    let mut sim = converged_fleet(15, 32, 4, 2);
    let cause = Cause::Part(PartId(66));
    let left = Duration::from_mins(5);
    let bar = BarReport { cause, crash_age: Duration::ZERO, left, failed_probes: 2 };
    let report = Report { bars: vec![bar], ..Report::default() };
    let message = Message::CrashEvidence(Box::new(report));
    sim.input(Duration::ZERO, 9, Input::RequestMessage(Recipient::Flood, message));
    sim.run(Duration::from_mins(2), |_| false);
    assert!(sim.live().all(|node| node.barred == [cause]), "the flood reaches each once");
    sim.crash(3, true);
    assert!(sim.run(SETTLE_TIMEOUT, |sim| members_agree(sim, 31)));
    let restarted = sim.add(config(3, 4, 2, 2));
    assert!(sim.run(SETTLE_TIMEOUT, |sim| {
        sim.nodes[restarted].as_ref().is_some_and(|node| node.barred.contains(&cause))
    }));
}

#[test]
fn flood_reaches_each_once() {
    let mut sim = converged_fleet(14, 64, 13, 5);
    sim.loss = 0.05;
    for count in 1..=5 {
        flood(&mut sim, 20);
        sim.run(DISSEMINATION_GOAL * 2, |_| false);
        let received: Vec<u64> = sim.live().map(|node| node.floods).collect();
        assert!(received.iter().all(|&floods| floods == count), "{received:?}");
    }
}

#[test]
fn flood_reaches_a_daemon_that_links_up_later() {
    let mut sim = converged_fleet(15, 16, 4, 2);
    sim.groups[6] = 1;
    sim.run(Duration::from_secs(8), |_| false);
    flood(&mut sim, 0);
    sim.run(DISSEMINATION_GOAL, |_| false);
    assert_eq!(sim.nodes[6].as_ref().map(|node| node.floods), Some(0));
    sim.groups[6] = 0;
    sim.run(Duration::from_secs(20), |_| false);
    assert!(sim.live().all(|node| node.floods == 1));
}

#[test]
fn converged_generation_when_each_daemon_holds_it() {
    let mut sim = converged_fleet(16, 128, 13, 5);
    sim.run(Duration::from_secs(20), |_| false);
    let generation = change(&mut sim, 1);
    let converged = |sim: &FleetSim| {
        let converged = |node: &Node| node.snapshot.converged_generation.0 >= generation;
        let all = is_active(sim, generation);
        assert!(
            all || !sim.live().any(converged),
            "reported before each daemon holds the generation"
        );
        sim.live().all(converged)
    };
    assert!(sim.run(Duration::from_secs(20), converged));
}
