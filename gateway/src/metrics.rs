//! Counters, gauges and latency histograms of a gateway, in the text format of Prometheus.

use std::{sync::atomic::AtomicU64, time::Duration};

use dogwoodturn::upstream::speed::Pace;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::legs::{Leg, Legs};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// The route, or empty if no route was found.
    pub route: String,
    /// The outcome, such as `answered` or `refused-wait`.
    pub outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    pub route: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BodyLabels {
    /// How the upstream framed the body, such as `chunked`.
    pub framing: &'static str,
    /// What ended the body, such as `framing` or `reset`.
    pub end: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RankLabels {
    pub service: String,
    pub rank: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerLabels {
    /// `sent`, `received` or `unsent`.
    pub direction: &'static str,
    /// The kind of message, such as `state` or `hub`.
    pub kind: &'static str,
}

#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    first_response: Family<RouteLabels, Histogram>,
    upstream_bodies: Family<BodyLabels, Counter>,
    upstream_pace: Histogram,
    request_legs: Family<Leg, Histogram>,
    contention_share: Family<RankLabels, Gauge<f64, AtomicU64>>,
    contention_refusals: Family<RankLabels, Counter>,
    peer_bytes: Family<PeerLabels, Counter>,
    /// Connections that were opened to upstreams.
    pub connections: Counter,
    pub failed_connections: Counter,
    /// Requests that were not sent on an idle connection, since earlier bytes were not acknowledged.
    pub avoided_idle_connections: Counter,
    /// Connections to upstreams that other gateways forward.
    pub tunnels: Counter,
    /// Connections that are forwarded for other gateways now.
    pub open_tunnels: Gauge,
    /// Requests whose upstream crashed while they were in progress there.
    pub upstream_crashes: Counter,
    /// Upstreams whose responses to this daemon said first that they leave.
    pub leaving_statements: Counter,
    /// Requests that were sent to a further upstream.
    pub upstream_retries: Counter,
    /// Calls to the store and the cloud.
    pub store_calls: Counter,
    /// Calls to the store and the cloud that failed.
    pub store_failures: Counter,
    /// Objects of the store that could not be read.
    pub unreadable: Counter,
    /// Messages from peers that could not be decoded.
    pub malformed_messages: Counter,
    /// Open connections of callers.
    pub callers: Gauge,
    /// Upstreams that ramp up.
    pub ramping_upstreams: Gauge,
    /// The era of the store.
    pub store_era: Gauge,
    /// The length of the usage counts in the lease, at the leader.
    pub lease_count_bytes: Gauge,
    /// Runs of daemons whose usage counts had no space in the lease.
    pub unstored_runs: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("dogwoodturn_gateway");
        let requests = Family::<OutcomeLabels, Counter>::default();
        // From 2 ms, a call of a plain service, to 16 s, the longest wait of a caller.
        let first_response = Family::<RouteLabels, Histogram>::new_with_constructor(|| {
            Histogram::new(exponential_buckets(0.002, 2.0, 14))
        });
        registry.register("requests", "Requests by route and outcome", requests.clone());
        let help = "Seconds from a request's arrival to its first event or answer";
        registry.register("first_answer_seconds", help, first_response.clone());
        let upstream_bodies = Family::<BodyLabels, Counter>::default();
        let help = "Response bodies of upstreams by framing and by what ended them";
        registry.register("upstream_bodies", help, upstream_bodies.clone());
        // From 25%, faster than any usual host, to 3,200%.
        let upstream_pace = Histogram::new(exponential_buckets(25.0, 2.0_f64.sqrt(), 15));
        let help = "Paces that upstreams reported with responses, in percent of the usual time";
        registry.register("upstream_pace", help, upstream_pace.clone());
        // From 1 ms, a link in a data centre, to 16 s, the longest wait of a caller.
        let request_legs = Family::<Leg, Histogram>::new_with_constructor(|| {
            Histogram::new(exponential_buckets(0.001, 2.0, 15))
        });
        let help = "Seconds of each leg of a request, up to the first answer of an upstream";
        registry.register("request_leg_seconds", help, request_legs.clone());
        let contention_share = Family::<RankLabels, Gauge<f64, AtomicU64>>::default();
        let help = "Lowest admitted share of the customers of a rank, while one gave way";
        registry.register("contention_share", help, contention_share.clone());
        let contention_refusals = Family::<RankLabels, Counter>::default();
        let help = "Requests that gave way to others";
        registry.register("contention_refusals", help, contention_refusals.clone());
        let peer_bytes = Family::<PeerLabels, Counter>::default();
        let help = "Bytes of messages between daemons by direction and kind";
        registry.register("peer_message_bytes", help, peer_bytes.clone());
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let connections = counter("upstream_connections", "Connections opened to upstreams");
        let help = "Connections to upstreams that failed";
        let failed_connections = counter("failed_upstream_connections", help);
        let help = "Idle connections passed over, since earlier bytes were not acknowledged";
        let avoided_idle_connections = counter("avoided_idle_connections", help);
        let help = "Requests in progress at an upstream that crashed";
        let upstream_crashes = counter("upstream_crashes", help);
        let help = "Upstreams that said in a response that they leave, each start once";
        let leaving_statements = counter("leaving_statements", help);
        let upstream_retries = counter("repeats", "Requests sent to a second upstream");
        let store_calls = counter("store_calls", "Calls to the store and the cloud");
        let store_failures = counter("store_failures", "Calls to the store and cloud that failed");
        let unreadable = counter("unreadable_objects", "Objects that could not be read");
        let malformed_messages = counter("malformed_messages", "Peers' messages not understood");
        let tunnels = counter("tunnels", "Connections to upstreams through other gateways");
        let open_tunnels = Gauge::default();
        let help = "Connections to upstreams that are forwarded for other gateways";
        registry.register("open_tunnels", help, open_tunnels.clone());
        let callers = Gauge::default();
        registry.register("caller_connections", "Open connections of callers", callers.clone());
        let ramping_upstreams = Gauge::default();
        let help = "Upstreams that have started or recovered and ramp up";
        registry.register("ramping_upstreams", help, ramping_upstreams.clone());
        let store_era = Gauge::default();
        let help = "Number of restores of the store, as it reports";
        registry.register("store_era", help, store_era.clone());
        let lease_count_bytes = Gauge::default();
        let help = "Bytes of the usage counts in the last renewal of the lease by this daemon";
        registry.register("lease_count_bytes", help, lease_count_bytes.clone());
        let unstored_runs = Gauge::default();
        let help = "Runs of daemons whose usage counts had no space in that renewal";
        registry.register("unstored_usage_runs", help, unstored_runs.clone());
        Self {
            registry,
            requests,
            first_response,
            upstream_bodies,
            upstream_pace,
            request_legs,
            contention_share,
            contention_refusals,
            peer_bytes,
            connections,
            failed_connections,
            avoided_idle_connections,
            tunnels,
            open_tunnels,
            upstream_crashes,
            leaving_statements,
            upstream_retries,
            store_calls,
            store_failures,
            unreadable,
            malformed_messages,
            callers,
            ramping_upstreams,
            store_era,
            lease_count_bytes,
            unstored_runs,
        }
    }
}

impl Metrics {
    /// Counts a request by route and outcome.
    pub fn count_request(&self, route: &str, outcome: &'static str) {
        self.requests.get_or_create(&OutcomeLabels { route: route.into(), outcome }).inc();
    }

    /// Records the time from a request's arrival to its first event or complete response.
    pub fn observe_first_response(&self, route: &str, elapsed: Duration) {
        let labels = RouteLabels { route: route.into() };
        self.first_response.get_or_create(&labels).observe(elapsed.as_secs_f64());
    }

    /// Records the legs of one attempt.
    pub fn observe_legs(&self, legs: &Legs) {
        for (leg, elapsed) in legs.durations() {
            self.request_legs.get_or_create(&leg).observe(elapsed.as_secs_f64());
        }
    }

    /// Records the pace that an upstream reported.
    pub fn observe_upstream_pace(&self, pace: Pace) {
        self.upstream_pace.observe(pace.percent());
    }

    /// Counts a response body of an upstream by its framing and by what ended it.
    pub fn count_upstream_body(&self, framing: &'static str, end: &'static str) {
        self.upstream_bodies.get_or_create(&BodyLabels { framing, end }).inc();
    }

    /// Sets the lowest admitted share of the customers of a rank.
    pub fn set_contention_share(&self, service: &str, rank: u8, share: f64) {
        let labels = RankLabels { service: service.into(), rank };
        self.contention_share.get_or_create(&labels).set(share);
    }

    /// Counts a request that gave way to others.
    pub fn count_contention_refusal(&self, service: &str, rank: u8) {
        let labels = RankLabels { service: service.into(), rank };
        self.contention_refusals.get_or_create(&labels).inc();
    }

    /// Counts bytes of messages to or from peers.
    pub fn count_peer_bytes(&self, direction: &'static str, kind: &'static str, bytes: u64) {
        self.peer_bytes.get_or_create(&PeerLabels { direction, kind }).inc_by(bytes);
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
