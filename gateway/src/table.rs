//! The routes, services, customers and limits in force, as one checked value.
//!
//! A table is replaced whole and only by one of a higher version, so that a daemon never goes
//! back in one run. See `docs/design/platform.md`.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dogwoodturn::ids::{CustomerName, DataCentre, RouteName, ServiceName};
use indexmap::IndexMap;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream that may be resumed at another upstream.
    ResumableStream,
    /// The answer is a stream that may not be resumed; it runs at most once.
    Stream,
}

impl RetrySafety {
    /// Says whether a request may be sent again after it may have run.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Says whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// The host that it belongs to, in lower case.
    pub host: Box<str>,
    /// The beginning of the paths that it takes; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// The longest that a request waits for its final answer.
    pub timeout: Duration,
    /// The time within which an answer earns its full worth.
    pub latency_target: Duration,
    /// The longest pause between two events of a stream that counts as in time.
    pub max_event_gap: Option<Duration>,
    /// The rank of its requests; zero goes first.
    pub priority: u8,
    /// How many upstreams one request may be sent to.
    pub max_attempts: u32,
    /// Whether a request needs no key.
    pub anonymous: bool,
    /// The services that it goes to, with their weights.
    pub services: Vec<(ServiceName, u32)>,
}

impl Route {
    /// Chooses the service by weight, the same for all attempts at one request.
    pub fn service(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut point = hash.checked_rem(total)?;
        for (name, weight) in &self.services {
            match point.checked_sub(u64::from(*weight)) {
                Some(rest) => point = rest,
                None => return Some(name),
            }
        }
        None
    }
}

/// What is known of the engines of a model service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into one engine's memory.
    pub memory_tokens: u64,
}

/// Within which bounds hosts may be ordered for a service.
#[derive(Clone, Debug)]
pub struct HostBounds {
    /// The fewest hosts in a data centre.
    pub min: u32,
    /// The most hosts in a data centre.
    pub max: u32,
    /// How long a host takes to start.
    pub boot_time: Duration,
    /// What a reclaimable host costs, as a part of the price of another.
    pub reclaimable_price: Option<f64>,
    /// The price of a host by data centre, relative to the others.
    pub prices: IndexMap<DataCentre, f64>,
}

/// One service.
#[derive(Clone, Debug)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The connections that an upstream takes from all daemons together.
    pub max_connections: u32,
    /// The engines, if this is a model service.
    pub engine: Option<EngineCapacity>,
    /// The bounds for ordering hosts, if they may be ordered.
    pub hosts: Option<HostBounds>,
}

/// One customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// The customer's name.
    pub name: CustomerName,
    /// Takes precedence over the route's priority.
    pub priority: Option<u8>,
    /// The quota, if there is one.
    pub quota: Option<Quota>,
}

/// How much a customer may use, across all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// Units on top of the rate.
    pub burst: f64,
    /// Whether a unit is a token rather than a request.
    pub counts_tokens: bool,
    /// The tokens that a request without a token count stands for.
    pub default_tokens: u64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head in bytes.
    pub header_bytes: usize,
    /// The longest body in bytes.
    pub body_bytes: usize,
    /// The longest that a head may take to arrive.
    pub header_timeout: Duration,
    /// The longest that a connection stays open between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits until a table is known: enough for any proper head, short enough to shed others.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// All that one version of the configuration says.
#[derive(Clone, Debug)]
pub struct Table {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The document that it was read from, for peers that cannot reach the store.
    pub document: Bytes,
    /// The routes by host, the longest prefix first.
    pub routes: IndexMap<Box<str>, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// The customers by name.
    pub customers: IndexMap<CustomerName, Customer>,
    /// The customer that holds a key.
    pub keys: IndexMap<Box<str>, CustomerName>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl Table {
    /// Finds the route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &[u8]) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&*host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_bytes()))
    }

    /// Groups routes by host, with the longest prefix first.
    pub fn group(routes: impl IntoIterator<Item = Route>) -> IndexMap<Box<str>, Vec<Arc<Route>>> {
        let mut grouped = IndexMap::<Box<str>, Vec<Arc<Route>>>::new();
        for route in routes {
            grouped.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in grouped.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        grouped
    }
}
