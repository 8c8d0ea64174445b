//! Combines the components of one daemon.
//!
//! [`control::Control`] owns the control state and runs on one thread. It publishes a
//! [`snapshot::Snapshot`], from which the traffic threads make their decisions for each request.

mod audit;
mod claims;
pub mod control;
pub mod message;
pub mod metrics;
mod moves;
mod peers;
mod platform;
pub mod report;
pub mod requests;
pub mod snapshot;
pub mod traffic;

mod supply;
