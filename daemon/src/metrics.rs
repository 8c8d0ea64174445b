//! The metrics of a daemon, in the text format of Prometheus.

use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use dogwoodturn::node::{self, snapshot::Snapshot};
use prometheus_client::{
    collector::Collector,
    encoding::{DescriptorEncoder, EncodeMetric as _, text::encode},
    metrics::counter::ConstCounter,
    registry::Registry,
};

use crate::{counters::AttemptCounters, peers::PeerCounters};

/// Returns a function that encodes the current metrics of a daemon as text.
pub fn encoder(
    peers: Arc<PeerCounters>,
    attempts: Arc<AttemptCounters>,
    snapshot: Arc<ArcSwap<Snapshot>>,
) -> Rc<dyn Fn() -> String> {
    Rc::new(move || {
        let mut registry = Registry::with_prefix("dogwoodturn");
        registry.register_collector(Box::new(PeerCollector(peers.clone())));
        registry.register_collector(Box::new(AttemptCollector(attempts.clone())));
        node::metrics::register(&snapshot.load(), &mut registry);
        let mut text = String::new();
        encode(&mut text, &registry).expect("writing to a string does not fail");
        text
    })
}

#[derive(Debug)]
struct PeerCollector(Arc<PeerCounters>);

impl Collector for PeerCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let peers = &self.0;
        let counters = [
            ("peer_sent_bytes", "Bytes of packets sent to peers", &peers.bytes_sent),
            ("peer_sent_packets", "Packets sent to peers", &peers.packets_sent),
            ("peer_received_bytes", "Bytes of packets received from peers", &peers.bytes_received),
            ("peer_received_packets", "Packets received from peers", &peers.packets_received),
            ("peer_unauthenticated", "Links refused without the key", &peers.unauthenticated),
            ("peer_other_version", "Links refused for their version", &peers.other_version),
            ("peer_malformed", "Links closed on a malformed frame", &peers.malformed),
            ("peer_too_large", "Links closed on a frame that was too large", &peers.too_large),
            ("peer_dropped", "Statistics dropped at slow links", &peers.dropped),
            ("peer_too_slow", "Links closed as they were too slow", &peers.too_slow),
        ];
        encode_counters(&mut encoder, &counters)
    }
}

#[derive(Debug)]
struct AttemptCollector(Arc<AttemptCounters>);

impl Collector for AttemptCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        encode_counters(&mut encoder, &self.0.named())
    }
}

fn encode_counters(
    encoder: &mut DescriptorEncoder<'_>,
    counters: &[(&str, &str, &AtomicU64)],
) -> Result<(), std::fmt::Error> {
    for (name, help, counter) in counters {
        let counter = ConstCounter::new(counter.load(Ordering::Relaxed));
        let metric = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
        counter.encode(metric)?;
    }
    Ok(())
}
