//! Load and experiments: a whole fleet on loopback, callers, and what they saw.

pub mod caller;
pub mod local;
pub mod sample;
