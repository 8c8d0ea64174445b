//! HTTP interfaces for callers, upstreams and operators.

pub mod caller;
pub mod change_log;
pub mod client;
pub mod driver;
pub mod listen;
pub mod operator;
pub mod problem;
pub mod request_log;
pub mod response_queue;
pub mod tunnel;
pub mod upstream;
pub mod upstream_links;
