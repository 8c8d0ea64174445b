//! Metrics derived from a daemon's snapshot.

use prometheus_client::{metrics::gauge::Gauge, registry::Registry};

use crate::{moves, node::snapshot::Snapshot};

pub fn register(snapshot: &Snapshot, registry: &mut Registry) {
    let gauges = [
        ("ready", "Whether the daemon takes requests", i64::from(snapshot.is_ready())),
        ("generation", "The generation in force", snapshot.generation.0.cast_signed()),
        ("members", "The daemons taken to be live", (snapshot.members.len() as u64).cast_signed()),
        ("hosts", "The hosts of the host list", (snapshot.hosts.len() as u64).cast_signed()),
    ];
    for (name, help, value) in gauges {
        let gauge: Gauge = Gauge::default();
        gauge.set(value);
        registry.register(name, help, gauge);
    }
    moves::metrics::register(&snapshot.moves, registry);
}
