//! The entry side of dogwoodturn on hosts that keep nothing.
//!
//! Each entry host runs one process of this library behind a platform's adapter. Decisions are
//! plain structs without I/O: [`directory`], [`placement`], [`quota`], [`retry`], [`suspect`],
//! [`rollout`], [`lease`], [`usage`] and [`mesh`]. The adapters [`serve`], [`forward`], [`sync`],
//! [`links`] and `acting` move bytes and call them. `docs/design/platform.md` explains the parts.

mod acting;
mod catch_up;
pub mod dialect;
pub mod directory;
pub mod explain;
pub mod forward;
pub mod gateway;
pub mod http;
pub mod hubs;
pub mod lease;
pub mod links;
pub mod logs;
pub mod mesh;
pub mod metrics;
mod objects;
pub mod placement;
pub mod pool;
pub mod quota;
pub mod relay;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod run;
pub mod serve;
pub mod settings;
pub mod sse;
pub mod store;
pub mod supply;
pub mod suspect;
pub mod sync;
pub mod table;
mod upkeep;
pub mod usage;
