//! dogwoodturn serves language models and plain services from reclaimable hosts.
//!
//! This crate contains the decision logic as plain structs that handle events at given times and
//! return typed effects, so that tests can run many daemons in one process. Sockets, clocks and
//! threads are in [`edge`], in [`store::http`] and in the daemon crate. See `docs/architecture.md`.

pub mod audit;
pub mod claim;
pub mod declaration;
pub mod edge;
pub mod hop;
pub mod http;
pub mod ids;
pub mod ini;
pub mod limit;
pub mod moves;
pub mod node;
pub mod peer;
pub mod placement;
pub mod request;
pub mod store;
pub mod supply;
pub mod units;
pub mod upstream;
