//! The objects that operators declare: services, versions, routes, moves and customers.
//!
//! A [`DeclarationSet`] is immutable. [`check`] parses it from files and reports every error of
//! the whole set, [`findings`] are warnings about a valid set, [`publish`] writes it to the platform, and [`active_config`] updates each daemon
//! to the latest generation. See `docs/design/declarations.md`.

pub mod active_config;
pub mod check;
pub mod delta;
pub mod findings;
pub mod message;
pub mod properties;
pub mod publish;
pub mod update_validation;
pub mod wire;

use std::{fmt, str::FromStr, time::Duration};

use indexmap::IndexMap;
use thiserror::Error;

use crate::{
    ids::{CustomerName, MoveName, RouteName, ServiceName, VersionName},
    units::{PricePerHour, WallTime},
};

/// All objects that operators have declared, as one value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclarationSet {
    pub services: IndexMap<ServiceName, Service>,
    pub versions: IndexMap<(ServiceName, VersionName), Version>,
    pub routes: IndexMap<RouteName, Route>,
    pub moves: IndexMap<MoveName, Move>,
    pub customers: IndexMap<CustomerName, Customer>,
}

impl DeclarationSet {
    /// Returns the route with the longest path that is a prefix of `path`, by whole path segments.
    pub fn route_for(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.values().filter(|route| route.covers(path));
        matching.max_by_key(|route| route.path.len())
    }

    /// Returns the declared move of a service, if any.
    pub fn move_of(&self, service: &ServiceName) -> Option<&Move> {
        self.moves.values().find(|m| m.service == *service)
    }

    /// Returns the customer whose bearer token has this SHA-256.
    pub fn customer_with(&self, token_sha256: &[u8; 32]) -> Option<&Customer> {
        self.customers.values().find(|customer| customer.token_sha256 == *token_sha256)
    }
}

/// Whether a service generates tokens or is an ordinary service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceKind {
    /// Model engines, which stream tokens.
    Model,
    /// Ordinary services.
    Plain,
}

/// Whether a request may be sent to an upstream a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryPolicy {
    /// Running the request twice does no harm.
    Safe,
    /// The upstream detects a repeated `Idempotency-Key`.
    Keyed,
    /// The request runs at most once.
    Never,
}

/// A service and the rules for its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: ServiceName,
    pub kind: ServiceKind,
    /// The version that serves while no move is running.
    pub version: VersionName,
    /// The policy for methods that are not in `retry_policy_by_method`.
    pub retry_policy: RetryPolicy,
    /// The policy by HTTP method in upper case.
    pub retry_policy_by_method: IndexMap<Box<str>, RetryPolicy>,
    /// Whether its upstreams reject orders of a former lease holder by their fencing number.
    pub checks_fencing: bool,
    /// Whether its upstreams report their load.
    pub reports_load: bool,
    /// The latency that 95 % of its requests must meet.
    pub target: LatencyTarget,
    /// The operators' bounds for its hosts.
    pub supply: SupplyBounds,
}

impl Service {
    /// Returns the retry policy of a method, given in upper case.
    pub fn retry_policy_for(&self, method: &str) -> RetryPolicy {
        self.retry_policy_by_method.get(method).copied().unwrap_or(self.retry_policy)
    }
}

/// The latency that 95 % of the requests of a service must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTarget {
    /// The time to the first token, or to the complete response of a plain service.
    pub first_token: Duration,
    /// The time between two consecutive tokens.
    pub between_tokens: Duration,
}

impl Default for LatencyTarget {
    fn default() -> Self {
        Self { first_token: Duration::from_millis(880), between_tokens: Duration::from_millis(60) }
    }
}

/// The bounds within which hosts of a service are started and released.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SupplyBounds {
    /// Whether the system may start and release hosts for this service.
    pub managed: bool,
    /// Whether an operator has paused starting and releasing.
    pub paused: bool,
    /// The minimum number of hosts over all zones.
    pub smallest: u32,
    /// The maximum number of hosts over all zones; unlimited if zero.
    pub largest: u32,
    /// The maximum total cost of its hosts; unlimited if `None`.
    pub budget: Option<PricePerHour>,
}

/// One version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    pub service: ServiceName,
    pub name: VersionName,
    /// The model that its engines load, for services of kind `model`.
    pub model: Option<Box<str>>,
}

/// How urgent the requests of a route are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestClass {
    /// A caller waits for the response: phrases and grade queries.
    Interactive,
    /// The response may take longer: glossaries and appraisals.
    Batch,
}

/// A rule that routes the requests below a path to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    pub name: RouteName,
    /// The path, without a trailing slash unless it is `/`.
    pub path: Box<str>,
    pub service: ServiceName,
    pub class: RequestClass,
    /// The maximum duration of a request.
    pub deadline: Duration,
}

impl Route {
    fn covers(&self, path: &str) -> bool {
        match path.strip_prefix(&*self.path) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || &*self.path == "/",
            None => false,
        }
    }
}

/// A planned move of a service's traffic from one version to another, with a deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    pub name: MoveName,
    pub service: ServiceName,
    /// The version that serves before the move.
    pub from: VersionName,
    /// The version that serves after the move.
    pub to: VersionName,
    /// The earliest time at which the move starts.
    pub start: WallTime,
    /// The time by which the move must be reported as finished or rolled back.
    pub finish_by: WallTime,
    /// How long the new version is monitored at full share before the move finishes.
    pub watch: Duration,
}

/// A customer and its share of the capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    pub name: CustomerName,
    /// Its share of the capacity relative to the other customers.
    pub weight: u32,
    /// The SHA-256 of the bearer token that its callers present.
    pub token_sha256: [u8; 32],
}

/// A value that is not among the expected ones.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{value:?} is none of {expected}")]
pub struct UnknownValueError {
    value: Box<str>,
    expected: &'static str,
}

macro_rules! string_enum {
    ($name:ident, $expected:literal, $($spelling:literal => $variant:ident),+) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $spelling,)+
                })
            }
        }

        impl FromStr for $name {
            type Err = UnknownValueError;

            fn from_str(text: &str) -> Result<Self, UnknownValueError> {
                match text {
                    $($spelling => Ok(Self::$variant),)+
                    _ => Err(UnknownValueError { value: text.into(), expected: $expected }),
                }
            }
        }
    };
}

string_enum!(ServiceKind, "model, plain", "model" => Model, "plain" => Plain);
string_enum!(RetryPolicy, "safe, keyed, never", "safe" => Safe, "keyed" => Keyed, "never" => Never);
string_enum!(RequestClass, "interactive, batch", "interactive" => Interactive, "batch" => Batch);
