//! The CBOR forms in which a set and the head object are sent and stored.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::{
    declaration::{
        Customer, DeclarationSet, LatencyTarget, Move, Route, Service, SupplyBounds, Version,
        delta::DeltaWire,
    },
    ids::{ChangeId, CustomerName, Generation, MoveName, RouteName, ServiceName, VersionName},
    units::{PricePerHour, WallTime},
};

/// The reason why stored or received bytes cannot be decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are not CBOR of the expected structure.
    #[error("malformed CBOR: {0}")]
    Malformed(Box<str>),
    /// A field has a value that this release does not support.
    #[error("unknown word: {0}")]
    Word(Box<str>),
}

impl From<crate::declaration::UnknownValueError> for WireError {
    fn from(error: crate::declaration::UnknownValueError) -> Self {
        Self::Word(error.to_string().into())
    }
}

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).expect("writing to a vector does not fail");
    buf
}

/// Decodes a value from CBOR.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, WireError> {
    ciborium::from_reader(bytes).map_err(|error| WireError::Malformed(error.to_string().into()))
}

/// The SHA-256 of a set's encoding.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SetDigest(#[serde(with = "serde_bytes")] pub [u8; 32]);

impl SetDigest {
    /// Computes the digest of an encoded set.
    pub fn of(encoded: &[u8]) -> Self {
        Self(Sha256::digest(encoded).into())
    }
}

impl std::fmt::Display for SetDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl std::fmt::Debug for SetDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{self}")
    }
}

/// The object whose conditional update publishes a set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeadWire {
    /// The number of the published set; it never decreases.
    pub generation: Generation,
    /// The digest of the whole set at this generation.
    pub digest: SetDigest,
    /// The change that created this generation; a publisher whose response was lost looks for it.
    pub change: ChangeId,
    /// The operator who published it.
    pub author: Box<str>,
    /// When it was published, by the publisher's clock.
    pub at: WallTime,
    /// The whole set that the first delta is based on.
    pub base: BaseWire,
    /// All changes from the base to this generation, in order.
    pub deltas: Vec<DeltaWire>,
    /// The last changes before the base, to detect that one of them is published again.
    #[serde(default)]
    pub earlier: Vec<EarlierChangeWire>,
}

/// A change published before the base, and the generation that it created.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EarlierChangeWire(pub ChangeId, pub Generation);

impl HeadWire {
    /// Returns the generation that a change created, if the head still lists it.
    pub fn generation_of(&self, change: &ChangeId) -> Option<Generation> {
        if self.change == *change {
            return Some(self.generation);
        }
        if self.base.change == *change {
            return Some(self.base.generation);
        }
        let delta = self.deltas.iter().find(|delta| delta.change == *change).map(|delta| delta.to);
        let earlier = || self.earlier.iter().find(|earlier| earlier.0 == *change);
        delta.or_else(|| earlier().map(|earlier| earlier.1))
    }
}

/// A whole set, stored in parts below the platform's value limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BaseWire {
    pub generation: Generation,
    pub digest: SetDigest,
    /// The change that wrote the parts; it is part of their keys, so no two changes share them.
    pub change: ChangeId,
    /// The number of parts, stored under [`part_key`].
    pub parts: u32,
}

pub const HEAD_KEY: &str = "config/head";

/// Returns the key of one part of a base.
pub fn part_key(base: &BaseWire, part: u32) -> String {
    format!("config/parts/{}/{}/{part}", base.change, base.digest)
}

/// The wire form of a [`DeclarationSet`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SetWire {
    services: Vec<ServiceWire>,
    versions: Vec<VersionWire>,
    routes: Vec<RouteWire>,
    moves: Vec<MoveWire>,
    customers: Vec<CustomerWire>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ServiceWire {
    name: ServiceName,
    kind: Box<str>,
    version: VersionName,
    repeat: Box<str>,
    repeat_by_method: Vec<(Box<str>, Box<str>)>,
    checks_fencing: bool,
    reports_load: bool,
    first_token_ms: u64,
    between_tokens_ms: u64,
    supply: SupplyWire,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SupplyWire {
    managed: bool,
    paused: bool,
    smallest: u32,
    largest: u32,
    budget: Option<PricePerHour>,
}

impl From<SupplyBounds> for SupplyWire {
    fn from(bounds: SupplyBounds) -> Self {
        let SupplyBounds { managed, paused, smallest, largest, budget } = bounds;
        Self { managed, paused, smallest, largest, budget }
    }
}

impl From<SupplyWire> for SupplyBounds {
    fn from(wire: SupplyWire) -> Self {
        let SupplyWire { managed, paused, smallest, largest, budget } = wire;
        Self { managed, paused, smallest, largest, budget }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct VersionWire {
    service: ServiceName,
    name: VersionName,
    model: Option<Box<str>>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RouteWire {
    name: RouteName,
    path: Box<str>,
    service: ServiceName,
    class: Box<str>,
    deadline_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct MoveWire {
    name: MoveName,
    service: ServiceName,
    from: VersionName,
    to: VersionName,
    start: WallTime,
    finish_by: WallTime,
    watch_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CustomerWire {
    name: CustomerName,
    weight: u32,
    #[serde(with = "serde_bytes")]
    token_sha256: [u8; 32],
}

fn text(variant: impl std::fmt::Display) -> Box<str> {
    variant.to_string().into()
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl SetWire {
    /// Returns the kind and name of each object, each after `prefix`, for display.
    pub fn titles(&self, prefix: &str) -> Vec<Box<str>> {
        let services = self.services.iter().map(|s| format!("{prefix}service {}", s.name));
        let versions = self.versions.iter();
        let versions = versions.map(|v| format!("{prefix}version {}/{}", v.service, v.name));
        let routes = self.routes.iter().map(|r| format!("{prefix}route {}", r.name));
        let moves = self.moves.iter().map(|m| format!("{prefix}move {}", m.name));
        let customers = self.customers.iter().map(|c| format!("{prefix}customer {}", c.name));
        let titles = services.chain(versions).chain(routes).chain(moves).chain(customers);
        titles.map(Into::into).collect()
    }
}

impl From<&DeclarationSet> for SetWire {
    /// Builds the canonical form, sorted by name, so that equal sets have equal digests.
    fn from(set: &DeclarationSet) -> Self {
        let mut wire = Self {
            services: set.services.values().map(ServiceWire::from).collect(),
            versions: set.versions.values().cloned().map(VersionWire::from).collect(),
            routes: set.routes.values().map(RouteWire::from).collect(),
            moves: set.moves.values().cloned().map(MoveWire::from).collect(),
            customers: set.customers.values().cloned().map(CustomerWire::from).collect(),
        };
        wire.services.sort_by(|a, b| a.name.cmp(&b.name));
        wire.versions.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
        wire.routes.sort_by(|a, b| a.name.cmp(&b.name));
        wire.moves.sort_by(|a, b| a.name.cmp(&b.name));
        wire.customers.sort_by(|a, b| a.name.cmp(&b.name));
        wire
    }
}

impl TryFrom<SetWire> for DeclarationSet {
    type Error = WireError;

    fn try_from(wire: SetWire) -> Result<Self, WireError> {
        let mut set = Self::default();
        for service in wire.services {
            set.services.insert(service.name.clone(), service.try_into()?);
        }
        for version in wire.versions {
            let key = (version.service.clone(), version.name.clone());
            set.versions.insert(key, version.into());
        }
        for route in wire.routes {
            set.routes.insert(route.name.clone(), route.try_into()?);
        }
        for m in wire.moves {
            set.moves.insert(m.name.clone(), m.into());
        }
        for customer in wire.customers {
            set.customers.insert(customer.name.clone(), customer.into());
        }
        Ok(set)
    }
}

impl From<&Service> for ServiceWire {
    fn from(service: &Service) -> Self {
        let by_method = service.retry_policy_by_method.iter();
        let by_method = by_method.map(|(method, policy)| (method.clone(), text(policy)));
        let mut by_method: Vec<_> = by_method.collect();
        by_method.sort();
        Self {
            name: service.name.clone(),
            kind: text(service.kind),
            version: service.version.clone(),
            repeat: text(service.retry_policy),
            repeat_by_method: by_method,
            checks_fencing: service.checks_fencing,
            reports_load: service.reports_load,
            first_token_ms: millis(service.target.first_token),
            between_tokens_ms: millis(service.target.between_tokens),
            supply: service.supply.into(),
        }
    }
}

impl TryFrom<ServiceWire> for Service {
    type Error = WireError;

    fn try_from(wire: ServiceWire) -> Result<Self, WireError> {
        let mut retry_policy_by_method = IndexMap::new();
        for (method, policy) in wire.repeat_by_method {
            retry_policy_by_method.insert(method, policy.parse()?);
        }
        Ok(Self {
            name: wire.name,
            kind: wire.kind.parse()?,
            version: wire.version,
            retry_policy: wire.repeat.parse()?,
            retry_policy_by_method,
            checks_fencing: wire.checks_fencing,
            reports_load: wire.reports_load,
            target: LatencyTarget {
                first_token: Duration::from_millis(wire.first_token_ms),
                between_tokens: Duration::from_millis(wire.between_tokens_ms),
            },
            supply: wire.supply.into(),
        })
    }
}

impl From<Version> for VersionWire {
    fn from(version: Version) -> Self {
        Self { service: version.service, name: version.name, model: version.model }
    }
}

impl From<VersionWire> for Version {
    fn from(wire: VersionWire) -> Self {
        Self { service: wire.service, name: wire.name, model: wire.model }
    }
}

impl From<&Route> for RouteWire {
    fn from(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            path: route.path.clone(),
            service: route.service.clone(),
            class: text(route.class),
            deadline_ms: millis(route.deadline),
        }
    }
}

impl TryFrom<RouteWire> for Route {
    type Error = WireError;

    fn try_from(wire: RouteWire) -> Result<Self, WireError> {
        Ok(Self {
            name: wire.name,
            path: wire.path,
            service: wire.service,
            class: wire.class.parse()?,
            deadline: Duration::from_millis(wire.deadline_ms),
        })
    }
}

impl From<Move> for MoveWire {
    fn from(m: Move) -> Self {
        Self {
            name: m.name,
            service: m.service,
            from: m.from,
            to: m.to,
            start: m.start,
            finish_by: m.finish_by,
            watch_ms: millis(m.watch),
        }
    }
}

impl From<MoveWire> for Move {
    fn from(wire: MoveWire) -> Self {
        Self {
            name: wire.name,
            service: wire.service,
            from: wire.from,
            to: wire.to,
            start: wire.start,
            finish_by: wire.finish_by,
            watch: Duration::from_millis(wire.watch_ms),
        }
    }
}

impl From<Customer> for CustomerWire {
    fn from(customer: Customer) -> Self {
        Self { name: customer.name, weight: customer.weight, token_sha256: customer.token_sha256 }
    }
}

impl From<CustomerWire> for Customer {
    fn from(wire: CustomerWire) -> Self {
        Self { name: wire.name, weight: wire.weight, token_sha256: wire.token_sha256 }
    }
}

/// Encodes a set; returns the digest and the encoding.
pub fn encode_set(set: &DeclarationSet) -> (SetDigest, Vec<u8>) {
    let encoded = encode(&SetWire::from(set));
    (SetDigest::of(&encoded), encoded)
}

/// Decodes a set from its complete encoding.
pub fn decode_set(encoded: &[u8]) -> Result<DeclarationSet, WireError> {
    decode::<SetWire>(encoded)?.try_into()
}
