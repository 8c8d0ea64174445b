//! Encodes the metrics that follow from a daemon's snapshot, at each scrape.

use prometheus_client::{encoding::text, registry::Registry};

use crate::{moves, node::snapshot::Snapshot};

/// Returns the metrics in the text format of Prometheus.
pub fn encode(snapshot: &Snapshot) -> String {
    let mut registry = Registry::default();
    moves::metrics::register(&snapshot.moves, &mut registry);
    let mut buf = String::new();
    text::encode(&mut buf, &registry).expect("writing to a string does not fail");
    buf
}
