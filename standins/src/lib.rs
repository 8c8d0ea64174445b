//! Stand-ins for what dogwoodturn serves and relies on, with faults that can be set at run time.
//!
//! [`platform`] keeps objects, the host list and the cloud; [`engine`] is a model engine; and
//! [`plain`] is an ordinary service. Each is a process of its own (`dogwoodturn-standin`) or a
//! thread of a test. See `docs/standins.md`.

pub mod cloud;
pub mod engine;
pub mod http;
pub mod plain;
pub mod platform;
