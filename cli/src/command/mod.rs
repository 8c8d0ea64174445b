//! The commands, one module each.

pub mod audit;
pub mod check;
pub mod demo;
pub mod diff;
pub mod explain;
pub mod moves;
pub mod publish;
pub mod status;
pub mod supply;
