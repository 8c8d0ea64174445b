//! Load generation and experiments on a complete fleet on loopback.

pub mod bench_engines;
pub mod caller;
pub mod drive;
pub mod experiment;
pub mod local;
pub mod memory;
pub mod sample;
pub mod workload;

pub use dogwoodturn_daemon::{Daemon, counters::AttemptCounters};
