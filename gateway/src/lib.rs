//! The dogwoodturn gateway for hosts without persistent storage.
//!
//! Each gateway host runs one process of this library behind a platform's adapter. Decisions are
//! [`rollout`], [`lease`], [`usage`] and [`peers`]. [`serve`], [`forward`], [`sync`], [`links`] and
//! `leader` perform I/O and call them. `docs/design/platform.md` explains the parts.

pub mod autoscaler;
mod catch_up;
pub mod connect;
pub mod contention;
pub mod directory;
pub mod explain;
pub mod forward;
pub mod gateway;
pub mod header_schema;
pub mod hubs;
mod leader;
pub mod lease;
pub mod leaving;
pub mod legs;
pub mod link_budget;
pub mod links;
pub mod logs;
pub mod loop_lag;
mod maintenance;
pub mod memory;
pub mod metrics;
pub mod objects;
pub mod peer_traffic;
pub mod peers;
pub mod placement;
pub mod pool;
pub mod quota;
pub mod ramp;
pub mod replication;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod run;
pub mod send_delay;
pub mod serve;
pub mod settings;
pub mod sse;
pub mod startup;
pub mod store;
pub mod sync;
pub mod table;
pub mod tunnel;
pub mod usage;
