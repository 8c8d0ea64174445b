//! HTTP towards callers, upstreams and operators.

pub mod adapter;
pub mod caller;
pub mod listen;
pub mod operator;
pub mod problem;
pub mod upstream;
