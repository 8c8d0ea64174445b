//! Stand-ins for the upstreams and the platform of dogwoodturn, with faults set at run time.
//!
//! [`platform`] serves objects, the host list and the cloud; [`engine`] is a model engine; and
//! [`plain`] is an ordinary service. Each runs as a separate process (`dogwoodturn-standin`) or as
//! a thread of a test. See `docs/standins.md`.

pub mod cloud;
pub mod engine;
pub mod http;
pub mod plain;
pub mod platform;
