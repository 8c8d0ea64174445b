//! The commands, one module each.

pub mod compare;
pub mod experiment;
pub mod placement;
pub mod slopes;
