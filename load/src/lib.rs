//! Load and experiments: a whole fleet on loopback, callers, and what they saw.

pub mod bench_engines;
pub mod caller;
pub mod drive;
pub mod experiment;
pub mod local;
pub mod memory;
pub mod sample;
pub mod workload;

pub use dogwoodturn_daemon::{Daemon, counters::AttemptCounters};
