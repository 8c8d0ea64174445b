//! Moves between versions: shares, evidence, verdict, deadline and report.
//!
//! See `docs/design/moves.md`.

pub mod share;
