//! What operators declare: services, versions, routes, moves and customers.
//!
//! A [`DeclarationSet`] is immutable. [`check`] reads it from files and names every fault of
//! the whole set, [`publish`] puts it into the platform, and [`active_config`] brings each daemon to
//! the latest generation. See `docs/design/declarations.md`.

pub mod active_config;
pub mod check;
pub mod delta;
pub mod message;
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

/// All that operators have declared, as one value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclarationSet {
    /// The services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// The versions by service and name.
    pub versions: IndexMap<(ServiceName, VersionName), Version>,
    /// The routes by name.
    pub routes: IndexMap<RouteName, Route>,
    /// The moves by name.
    pub moves: IndexMap<MoveName, Move>,
    /// The customers by name.
    pub customers: IndexMap<CustomerName, Customer>,
}

impl DeclarationSet {
    /// Returns the route with the longest path that is a prefix of `path`, whole parts only.
    pub fn route_for(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.values().filter(|route| route.covers(path));
        matching.max_by_key(|route| route.path.len())
    }

    /// Returns the move of a service, if one is declared.
    pub fn move_of(&self, service: &ServiceName) -> Option<&Move> {
        self.moves.values().find(|m| m.service == *service)
    }

    /// Returns the customer that presents this bearer token.
    pub fn customer_with(&self, token_sha256: &[u8; 32]) -> Option<&Customer> {
        self.customers.values().find(|customer| customer.token_sha256 == *token_sha256)
    }
}

/// Whether a service generates tokens or is called as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Model,
    /// Ordinary services.
    Plain,
}

/// Whether a call may be sent to an upstream a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryPolicy {
    /// Running it twice does no harm.
    Safe,
    /// The upstream recognises a repeated `Idempotency-Key`.
    Keyed,
    /// It runs at most once.
    Never,
}

/// A service and the rules for its calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Whether it generates tokens.
    pub kind: ServiceKind,
    /// The version that serves when no move is under way.
    pub version: VersionName,
    /// Whether its calls may be repeated, for methods that `repeat_by_method` does not name.
    pub retry_policy: RetryPolicy,
    /// Whether calls of a method, in capitals, may be repeated.
    pub retry_policy_by_method: IndexMap<Box<str>, RetryPolicy>,
    /// Whether its upstreams refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether its upstreams report their load.
    pub reports_load: bool,
    /// The target that 95 in 100 requests must meet.
    pub target: LatencyTarget,
    /// The bounds that operators set for its hosts.
    pub supply: SupplyBounds,
}

impl Service {
    /// Returns whether a call of this method may be repeated.
    pub fn retry_policy_for(&self, method: &str) -> RetryPolicy {
        self.retry_policy_by_method.get(method).copied().unwrap_or(self.retry_policy)
    }
}

/// The latency that 95 in 100 requests of a service must meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTarget {
    /// The time to the first token, or to the whole answer of a plain service.
    pub first_token: Duration,
    /// The time between two tokens.
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
    /// The fewest hosts in all zones.
    pub smallest: u32,
    /// The most hosts in all zones; none if zero.
    pub largest: u32,
    /// The most that its hosts may cost; no bound if `None`.
    pub budget: Option<PricePerHour>,
}

/// One version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The service it belongs to.
    pub service: ServiceName,
    /// The version's name.
    pub name: VersionName,
    /// The model that its engines load, for services of kind model.
    pub model: Option<Box<str>>,
}

/// How urgent the requests of a route are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestClass {
    /// A caller waits for the answer: phrases and grade queries.
    Interactive,
    /// The answer may take longer: glossaries and appraisals.
    Batch,
}

/// Sends the requests below a path to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// The path, without a slash at its end.
    pub path: Box<str>,
    /// The service that answers.
    pub service: ServiceName,
    /// How urgent its requests are.
    pub class: RequestClass,
    /// The longest time that a request may take.
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

/// Moves the traffic of a service from one version to another by a stated time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The move's name.
    pub name: MoveName,
    /// The service whose traffic moves.
    pub service: ServiceName,
    /// The version that serves now.
    pub from: VersionName,
    /// The version that is to serve.
    pub to: VersionName,
    /// When the move may begin.
    pub start: WallTime,
    /// When the move must be reported as finished or taken back.
    pub finish_by: WallTime,
    /// How long the new version is watched at its full share before the move is finished.
    pub watch: Duration,
}

/// A customer with its share of the capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name.
    pub name: CustomerName,
    /// Its share of the capacity, relative to the other customers.
    pub weight: u32,
    /// The SHA-256 of the bearer token that its callers present.
    pub token_sha256: [u8; 32],
}

/// Says which word stands where another is expected.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{word:?} is none of {expected}")]
pub struct WordError {
    word: Box<str>,
    expected: &'static str,
}

macro_rules! words {
    ($name:ident, $expected:literal, $($word:literal => $variant:ident),+) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$variant => $word,)+
                })
            }
        }

        impl FromStr for $name {
            type Err = WordError;

            fn from_str(text: &str) -> Result<Self, WordError> {
                match text {
                    $($word => Ok(Self::$variant),)+
                    _ => Err(WordError { word: text.into(), expected: $expected }),
                }
            }
        }
    };
}

words!(ServiceKind, "model, plain", "model" => Model, "plain" => Plain);
words!(RetryPolicy, "safe, keyed, never", "safe" => Safe, "keyed" => Keyed, "never" => Never);
words!(RequestClass, "interactive, batch", "interactive" => Interactive, "batch" => Batch);
