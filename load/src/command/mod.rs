//! The commands, one module each.

pub mod compare;
pub mod placement;
