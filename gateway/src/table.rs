//! The routes, services, customers and limits in force, as one validated value.
//!
//! A table is replaced as a whole and only by one of a higher version, so that a daemon never
//! returns to an earlier one within a run. See `docs/design/platform.md`.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dogwoodturn::ids::{CustomerName, DataCentre, Region, RouteName, ServiceName};
use indexmap::{IndexMap, IndexSet};

/// Whether a request of a route may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Requests may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The response is a stream that may be resumed at another upstream.
    ResumableStream,
    /// The response is a stream that may not be resumed; a request runs at most once.
    Stream,
}

impl RetrySafety {
    /// Reports whether a request may be sent again after it may have run.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Reports whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

#[derive(Clone, Debug)]
pub struct Route {
    pub name: RouteName,
    /// In lower case.
    pub host: Box<str>,
    /// Starts and ends with a slash.
    pub path_prefix: Box<str>,
    pub retry_safety: RetrySafety,
    /// The longest time for which a request waits for its final response.
    pub timeout: Duration,
    /// The time to the first response up to which a response has its full value for the caller.
    pub latency_target: Duration,
    /// The longest pause between two events of a stream that is in time.
    pub max_event_gap: Option<Duration>,
    /// The priority of its requests; zero is the highest.
    pub priority: u8,
    /// The number of upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether a request needs no API key.
    pub anonymous: bool,
    /// The regions that may receive its requests; all may if the list is empty.
    pub homes: Vec<Region>,
    /// The target services with their weights.
    pub services: Vec<(ServiceName, u32)>,
}

impl Route {
    /// Selects a service by weight, the same one for all attempts of a request.
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

/// The capacity of each engine of a model service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Tokens that fit into one engine's memory.
    pub memory_tokens: u64,
}

/// The bounds for ordering a service's hosts.
#[derive(Clone, Debug)]
pub struct HostBounds {
    /// The least number of hosts in each data centre.
    pub min: u32,
    /// The greatest number of hosts in each data centre.
    pub max: u32,
    /// The time that a host takes to start.
    pub boot_time: Duration,
    /// The price of a reclaimable host as a fraction of that of another host.
    pub reclaimable_price: Option<f64>,
    /// The relative price of a host in each data centre.
    pub prices: IndexMap<DataCentre, f64>,
}

/// What upstreams of a service tolerate after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// How long an upstream is cold after its start.
    pub duration: Duration,
    /// Requests a second, from all daemons together, that it tolerates until then.
    pub rate: f64,
}

#[derive(Clone, Debug)]
pub struct Service {
    pub name: ServiceName,
    /// Connections that an upstream accepts from all daemons together.
    pub max_connections: u32,
    /// Present if upstreams that have just started crash under too many requests.
    pub warm_up: Option<WarmUp>,
    /// Present for a model service only.
    pub engine: Option<EngineCapacity>,
    /// Present if hosts may be ordered.
    pub hosts: Option<HostBounds>,
}

#[derive(Clone, Debug)]
pub struct Customer {
    pub name: CustomerName,
    /// Takes precedence over the route's priority.
    pub priority: Option<u8>,
    /// The regions that may receive its requests; all may if the list is empty.
    pub homes: Vec<Region>,
    pub quota: Option<Quota>,
}

/// A customer's limit across all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once in addition to the rate.
    pub burst: f64,
    /// Whether a unit is a token instead of a request.
    pub counts_tokens: bool,
    /// Tokens charged for a request without a token count.
    pub default_tokens: u64,
}

/// Limits on what callers send, and on the time that they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest request head.
    pub header_bytes: usize,
    /// The longest request body.
    pub body_bytes: usize,
    /// The longest time for a request head to arrive.
    pub header_timeout: Duration,
    /// The longest time for which a connection stays open between two requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits until a table is known: sufficient for any valid head, short enough to
    /// shed other connections.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Table {
    /// A higher version replaces a lower one.
    pub version: u64,
    /// The document that the table was read from, for peers that cannot reach the store.
    pub document: Bytes,
    /// By host, the longest prefix first.
    pub routes: IndexMap<Box<str>, Vec<Arc<Route>>>,
    pub services: IndexMap<ServiceName, Service>,
    pub customers: IndexMap<CustomerName, Customer>,
    /// The customer of each API key.
    pub keys: IndexMap<Box<str>, CustomerName>,
    pub limits: CallerLimits,
    pub ranks: Ranks,
}

/// How the ranks of routes relate, computed once since a table may have thousands of routes.
#[derive(Clone, Debug, Default)]
pub struct Ranks {
    /// The rank of the most urgent route of each service.
    most_urgent: IndexMap<ServiceName, u8>,
    /// See [`Table::ranks_contradict_timeouts`].
    contradicting: IndexSet<ServiceName>,
}

impl Ranks {
    pub fn new<'a>(routes: impl IntoIterator<Item = &'a Arc<Route>>) -> Self {
        let mut by_service = IndexMap::<ServiceName, Vec<(u8, Duration)>>::new();
        for route in routes {
            for (service, _) in route.services.iter().filter(|(_, weight)| *weight > 0) {
                let entry = by_service.entry(service.clone()).or_default();
                entry.push((route.priority, route.timeout));
            }
        }
        let mut ranks = Self::default();
        for (service, routes) in by_service {
            let Some(first) = routes.iter().map(|(rank, _)| *rank).min() else { continue };
            let timeouts = |is_first: bool| {
                let matching = routes.iter().filter(move |(rank, _)| (*rank == first) == is_first);
                matching.map(|(_, timeout)| *timeout)
            };
            let is_contradicting = timeouts(true)
                .min()
                .zip(timeouts(false).max())
                .is_some_and(|(urgent, others)| urgent > others);
            if is_contradicting {
                ranks.contradicting.insert(service.clone());
            }
            ranks.most_urgent.insert(service, first);
        }
        ranks
    }
}

impl Table {
    /// Returns the route with the longest matching path prefix.
    pub fn route(&self, host: &str, path: &[u8]) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&*host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_bytes()))
    }

    /// Reports whether the most urgent route of a service has a longer time-out than each less urgent one.
    /// Time-outs and latency targets then favour the wrong requests, and ranks have to decide when
    /// capacity is scarce.
    pub fn ranks_contradict_timeouts(&self, service: &ServiceName) -> bool {
        self.ranks.contradicting.contains(service)
    }

    /// Reports whether no route of the service is more urgent than rank `priority`.
    pub fn is_most_urgent(&self, service: &ServiceName, priority: u8) -> bool {
        self.ranks.most_urgent.get(service).is_none_or(|first| priority <= *first)
    }

    /// Groups routes by host, with the longest prefix first.
    pub fn group_by_host(
        routes: impl IntoIterator<Item = Route>,
    ) -> IndexMap<Box<str>, Vec<Arc<Route>>> {
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
