//! Moves between versions: shares, evidence, verdict, deadline and report.
