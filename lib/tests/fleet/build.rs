//! Builds simulated fleets and publishes declaration sets, for tests and measurements.

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use dogwoodturn::{
    declaration::{
        DeclarationSet, check,
        publish::{Publication, PublishError, Step},
        wire::HeadWire,
    },
    ids::{Generation, Incarnation},
    ini::Source,
    peer::{Member, peers::Config},
    store::memory::MemoryStore,
    units::WallTime,
};

use crate::fleet_sim::FleetSim;

/// The heartbeat interval of all daemons.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// Returns the address of a daemon.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

/// Returns the peer configuration of a daemon; the index spreads daemons over data centres and
/// regions.
pub fn config(index: usize, centres: usize, regions: usize, run: u64) -> Config {
    let centre = index % centres;
    let own = Member {
        daemon: format!("dc{centre}-{index}").parse().expect("a name"),
        incarnation: Incarnation(run),
        address: address(index),
        data_centre: format!("dc{centre}").parse().expect("a name"),
        region: format!("region{}", centre % regions).parse().expect("a name"),
    };
    Config { own, seeds: vec![address(0), address(1)], heartbeat: HEARTBEAT }
}

/// Builds a fleet whose daemons agree on the members, and runs it for 10 s more.
pub fn converged_fleet(seed: u64, count: usize, centres: usize, regions: usize) -> FleetSim {
    let mut sim = FleetSim::new(seed);
    publish(&mut sim.store, &set(20, 0), "first", 0).expect("published");
    for index in 0..count {
        sim.add(config(index, centres, regions, 1));
    }
    let agreed = sim.run(Duration::from_mins(1), |sim| members_agree(sim, count));
    assert!(agreed, "the {count} daemons do not agree on the members");
    sim.run(Duration::from_secs(10), |_| false);
    sim
}

/// Reports whether the member list of each daemon has exactly `count` live members.
pub fn members_agree(sim: &FleetSim, count: usize) -> bool {
    sim.live().all(|node| node.snapshot.members.len() == count)
}

/// Reports whether a generation is in force at each daemon.
pub fn is_active(sim: &FleetSim, generation: u64) -> bool {
    sim.live().all(|node| node.snapshot.generation == Generation(generation))
}

/// Returns a set of `services` services; sets with different values of `step` differ.
pub fn set(services: usize, step: usize) -> DeclarationSet {
    let mut text = String::new();
    for index in 0..services {
        let deadline = if index == 0 { 10 + step } else { 10 };
        let _ = write!(
            text,
            "[service s{index}]\nkind = plain\nversion = v1\nrepeat = safe\n[version s{index}/v1]\n\
             [route r{index}]\npath = /s{index}\nservice = s{index}\ndeadline = {deadline}s\n"
        );
    }
    let source = Source { file: "test.ini".into(), text: text.into() };
    check::check(&[source]).expect("the set has no fault").set
}

/// Publishes a set under a generation above `above`.
pub fn publish(
    store: &mut MemoryStore,
    set: &DeclarationSet,
    change: &str,
    above: u64,
) -> Result<HeadWire, PublishError> {
    let change = change.parse().expect("a change id");
    let begun = Publication::begin(set, change, "test".into(), WallTime(0), None);
    let (publication, mut operation) = begun;
    let mut publication = publication.above(Generation(above));
    loop {
        match publication.handle(store.apply(&operation)) {
            Step::Call(next) => operation = next,
            Step::Done(done) => return done,
        }
    }
}
