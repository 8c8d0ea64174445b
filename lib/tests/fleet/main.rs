//! Membership and dissemination over many daemons, with lost frames, partitions and outages.

mod build;
mod queue;

use std::time::Duration;

use dogwoodturn::{
    ids::Generation,
    node::control::Input,
    peer::{Member, Recipient, peers::Peers},
    request::message::Message,
    store::memory::MemoryStore,
};

use build::{address, agrees, config, formed, in_force, publish, set};
use queue::{Node, Queue};

/// In force everywhere within this time: the stated goal at 128 daemons.
const GOAL: Duration = Duration::from_secs(2);
const LONG: Duration = Duration::from_mins(2);

fn change(queue: &mut Queue, step: usize) -> u64 {
    let head = publish(&mut queue.store, &set(20, step), &format!("c{step}"), 0);
    queue.store_changed();
    head.expect("published").generation.0
}

#[test]
fn dissemination_everywhere_in_time() {
    for count in [8, 32, 128] {
        let mut queue = formed(1, count, 13, 5);
        let generation = change(&mut queue, 1);
        assert!(queue.run(GOAL, |queue| in_force(queue, generation)), "{count} daemons");
    }
}

#[test]
fn dissemination_lost_frames() {
    let mut queue = formed(2, 32, 13, 5);
    queue.loss = 0.05;
    for step in 1..20 {
        let generation = change(&mut queue, step);
        assert!(queue.run(GOAL * 2, |queue| in_force(queue, generation)), "step {step}");
    }
    queue.loss = 0.0;
    assert!(queue.run(LONG, |queue| agrees(queue, 32)));
}

#[test]
fn dissemination_platform_down_after_acceptance() {
    let mut queue = formed(3, 32, 13, 5);
    let generation = change(&mut queue, 1);
    let anywhere =
        |queue: &Queue| queue.live().any(|node| node.snapshot.generation == Generation(generation));
    assert!(queue.run(GOAL, anywhere));
    queue.platform_up = false;
    queue.store_changed();
    assert!(queue.run(GOAL, |queue| in_force(queue, generation)));
    queue.run(LONG, |_| false);
    assert!(queue.live().all(|node| node.snapshot.config_fresh), "serving goes on");
}

#[test]
fn dissemination_partition_heals_and_never_reverts() {
    let mut queue = formed(4, 16, 4, 2);
    for index in (1..16).step_by(2) {
        queue.groups[index] = 1;
    }
    queue.run(Duration::from_secs(30), |_| false);
    let generation = change(&mut queue, 1);
    queue.run(Duration::from_secs(10), |_| false);
    let near = |queue: &Queue| {
        let nodes = queue.nodes.iter().enumerate().filter(|(index, _)| index % 2 == 0);
        nodes.flat_map(|(_, node)| node).all(|node| node.snapshot.generation.0 == generation)
    };
    assert!(near(&queue), "the side with the platform moves on");
    let far = queue.nodes.iter().flatten().filter(|node| node.snapshot.generation.0 < generation);
    let far: Vec<_> = far.collect();
    assert_eq!(far.len(), 8);
    assert!(
        far.iter().all(|node| !node.snapshot.config_fresh),
        "the other side knows that it is cut off"
    );
    queue.groups.fill(0);
    assert!(queue.run(LONG, |queue| in_force(queue, generation) && agrees(queue, 16)));
    assert!(queue.run(LONG, |queue| queue.live().all(|node| node.snapshot.config_fresh)));
}

#[test]
fn dissemination_restored_older_platform() {
    let mut queue = formed(5, 8, 3, 1);
    let older = queue.store.clone();
    for step in 1..5 {
        change(&mut queue, step);
        queue.run(GOAL, |_| false);
    }
    assert!(in_force(&queue, 5));
    queue.store = older;
    let joined = queue.add(config(8, 3, 1, 1));
    queue.run(Duration::from_secs(90), |_| false);
    assert!(in_force(&queue, 5), "nobody goes back");
    let fresh = queue.nodes[joined].as_ref().expect("it runs");
    assert_eq!(fresh.informed_with, Some(5), "a fresh daemon is ready with the highest only");
    let loud = queue.live().any(|node| node.refused.iter().any(|text| text.contains("--above 5")));
    assert!(loud, "the older head is refused loudly");
    let head = publish(&mut queue.store, &set(20, 9), "c9", 5).expect("published");
    queue.store_changed();
    assert_eq!(head.generation, Generation(6));
    assert!(queue.run(LONG, |queue| in_force(queue, 6)));
}

#[test]
fn dissemination_wiped_platform() {
    let mut queue = formed(6, 8, 3, 1);
    queue.store = MemoryStore::new();
    queue.run(Duration::from_secs(90), |_| false);
    assert!(in_force(&queue, 1));
    assert!(queue.live().any(|node| !node.refused.is_empty()));
}

#[test]
fn dissemination_cut_off_daemon_is_not_informed() {
    let mut queue = formed(7, 16, 4, 2);
    queue.groups[5] = 1;
    let informed = |queue: &Queue| queue.nodes[5].as_ref().is_some_and(|n| n.snapshot.config_fresh);
    assert!(queue.run(Duration::from_secs(15), |queue| !informed(queue)));
    queue.run(LONG, |_| false);
    assert!(!informed(&queue), "it does not become informed by forgetting its peers");
    assert!(agrees_without(&queue, 5, 15));
    let generation = change(&mut queue, 1);
    queue.run(GOAL, |_| false);
    queue.groups[5] = 0;
    assert!(queue.run(LONG, |queue| informed(queue)));
    assert!(in_force(&queue, generation), "it is informed only with the latest");
}

fn agrees_without(queue: &Queue, except: usize, count: usize) -> bool {
    let others = queue.nodes.iter().enumerate().filter(|(index, _)| *index != except);
    others.flat_map(|(_, node)| node).all(|node| node.snapshot.members.len() == count)
}

#[test]
fn dissemination_late_joiner_far_behind() {
    let mut queue = formed(8, 8, 3, 1);
    for step in 1..100 {
        change(&mut queue, step);
        queue.run(Duration::from_millis(200), |_| false);
    }
    queue.platform_up = false;
    queue.store_changed();
    let joined = queue.add(config(8, 3, 1, 1));
    assert!(queue.run(LONG, |queue| in_force(queue, 100)));
    assert!(queue.run(LONG, |queue| {
        queue.nodes[joined].as_ref().is_some_and(|node| node.snapshot.config_fresh)
    }));
}

#[test]
fn members_crash_restart_and_leave() {
    let mut queue = formed(9, 32, 4, 2);
    queue.crash(3, true);
    queue.crash(7, false);
    assert!(queue.run(LONG, |queue| agrees(queue, 30)));
    queue.add(config(3, 4, 2, 2));
    assert!(queue.run(LONG, |queue| agrees(queue, 31)), "a restart is taken in");
    queue.input(Duration::ZERO, 11, Input::Drain);
    queue.run(Duration::from_millis(100), |_| false);
    queue.crash(11, false);
    let bound = Duration::from_secs(2);
    assert!(queue.run(bound, |queue| agrees(queue, 30)), "a clean leave needs no accusation");
}

#[test]
fn members_a_third_lost_at_once() {
    let mut queue = formed(10, 48, 3, 1);
    for index in (0..48).step_by(3) {
        queue.crash(index, true);
    }
    assert!(queue.run(LONG, |queue| agrees(queue, 32)));
    let generation = change(&mut queue, 1);
    assert!(queue.run(GOAL, |queue| in_force(queue, generation)));
}

#[test]
fn members_replaced_at_the_same_address() {
    let mut queue = formed(11, 8, 3, 1);
    queue.crash(5, true);
    let mut replacement = config(8, 3, 1, 2);
    replacement.own.address = address(5);
    queue.add(replacement);
    assert!(queue.run(LONG, |queue| agrees(queue, 8)));
    let gone = |queue: &Queue| {
        queue.live().all(|node| node.snapshot.members.iter().all(|m| m.daemon.as_str() != "dc2-5"))
    };
    assert!(queue.run(LONG, gone));
}

#[test]
fn members_falsely_accused_refutes() {
    let mut queue = formed(12, 16, 4, 2);
    queue.groups[6] = 1;
    assert!(queue.run(LONG, |queue| agrees_without(queue, 6, 15)));
    queue.groups[6] = 0;
    assert!(queue.run(LONG, |queue| agrees(queue, 16)));
}

#[test]
fn overlay_degree_is_bounded() {
    let queue = formed(13, 64, 13, 5);
    let peers = || queue.live().filter_map(|node| node.control.peers());
    let degrees: Vec<usize> = peers().map(|peers| peers.linked().count()).collect();
    assert!(degrees.iter().all(|degree| (4..=8).contains(degree)), "{degrees:?}");
    for node in queue.live() {
        let linked: Vec<_> = node.control.peers().into_iter().flat_map(Peers::linked).collect();
        let near = |member: &&Member| linked.contains(&&member.daemon);
        let mut others = node.snapshot.members.iter().filter(near);
        assert!(others.clone().any(|member| member.data_centre != node.own.data_centre));
        assert!(others.any(|member| member.region != node.own.region));
    }
}

fn flood(queue: &mut Queue, from: usize) {
    let message = Message::Poison { digest: [1; 32], refused_for: LONG };
    queue.input(Duration::ZERO, from, Input::RequestMessage(Recipient::Flood, message));
}

#[test]
fn flood_reaches_each_once() {
    let mut queue = formed(14, 64, 13, 5);
    queue.loss = 0.05;
    for count in 1..=5 {
        flood(&mut queue, 20);
        queue.run(GOAL * 2, |_| false);
        let got: Vec<u64> = queue.live().map(|node| node.floods).collect();
        assert!(got.iter().all(|&floods| floods == count), "{got:?}");
    }
}

#[test]
fn flood_reaches_a_daemon_that_links_up_later() {
    let mut queue = formed(15, 16, 4, 2);
    queue.groups[6] = 1;
    queue.run(Duration::from_secs(8), |_| false);
    flood(&mut queue, 0);
    queue.run(GOAL, |_| false);
    assert_eq!(queue.nodes[6].as_ref().map(|node| node.floods), Some(0));
    queue.groups[6] = 0;
    queue.run(Duration::from_secs(20), |_| false);
    assert!(queue.live().all(|node| node.floods == 1));
}

#[test]
fn everywhere_tells_when_each_daemon_holds_a_generation() {
    let mut queue = formed(16, 128, 13, 5);
    queue.run(Duration::from_secs(20), |_| false);
    let generation = change(&mut queue, 1);
    let told = |queue: &Queue| {
        let told = |node: &Node| node.snapshot.converged_generation.0 >= generation;
        let all = in_force(queue, generation);
        assert!(all || !queue.live().any(told), "told before it is true");
        queue.live().all(told)
    };
    assert!(queue.run(Duration::from_secs(20), told));
}
