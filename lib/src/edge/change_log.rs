//! Logs of changes in what upstreams are sent.

use crate::{
    limit::{brittle, ramp, upstream, warm_up},
    request::crash_evidence::Change,
    upstream::{reachability, speed},
};

/// Logs that requests are refused from now on, or no longer are.
pub fn log_crash_cause(change: &Change) {
    match change {
        Change::Barred { cause, crashes, requests } => {
            log::warn!(event = "barred", cause:%, crashes, requests, source = "own"; "requests are refused, since upstreams crash with them");
        }
        Change::BarredByPeer(cause) => {
            log::warn!(event = "barred", cause:%, source = "peer"; "");
        }
        Change::Cleared(cause) => log::info!(event = "cleared", cause:%; ""),
    }
}

/// Logs the limit that an upstream names, or that it names none any more.
pub fn log_upstream_limit(change: &upstream::Change) {
    match change.rate {
        Some(rate) => {
            log::info!(event = "upstream-limit", upstream:% = change.upstream, rate:%; "");
        }
        None => log::info!(event = "upstream-limit-ended", upstream:% = change.upstream; ""),
    }
}

/// Logs that an upstream is cold and how many requests a second it may get, or that it is warm.
pub fn log_warm_up(change: &warm_up::Change) {
    let upstream = &change.upstream;
    match change.cold {
        Some((bound, left)) => {
            log::info!(event = "upstream-cold", upstream:%, max_per_s = bound.requests(), left_ms = left.as_millis() as u64; "");
        }
        None => log::info!(event = "upstream-warm", upstream:%; ""),
    }
}

/// Logs the usual pace of an upstream that is first known or has changed much.
pub fn log_upstream_pace(change: &speed::Change) {
    let (upstream, percent) = (&change.upstream, change.usual.percent());
    match change.before {
        Some(before) => {
            log::info!(event = "upstream-pace", upstream:%, percent, before = before.percent(); "");
        }
        None => log::info!(event = "upstream-pace", upstream:%, percent; ""),
    }
}

/// Logs that an upstream that has started or recovered gets few requests, fewer, or as many as others.
pub fn log_ramp(change: &ramp::Change) {
    let ramp::Change { upstream, window, event } = change;
    match event {
        ramp::Event::Started(cause) => {
            log::info!(event = "upstream-ramp-started", upstream:%, window, cause:%; "");
        }
        ramp::Event::BackedOff(cause) => {
            log::info!(event = "upstream-ramp-backed-off", upstream:%, window, cause:%; "");
        }
        ramp::Event::Ended(cause) => {
            log::info!(event = "upstream-ramp-ended", upstream:%, window, cause:%; "");
        }
    }
}

/// Logs that the daemon has lost or regained its links to the upstreams of a service.
pub fn log_reachability(change: &reachability::Change) {
    let service = &change.service;
    if change.is_isolated {
        log::warn!(event = "upstreams-lost", service:%; "connections to different upstreams fail one after the other");
    } else {
        log::info!(event = "upstreams-regained", service:%; "");
    }
}

/// Logs how many rejections a second an upstream survives, or that it is no longer brittle.
pub fn log_brittle(change: &brittle::Change) {
    match change.tolerance {
        Some(tolerance) => {
            log::warn!(event = "upstream-brittle", upstream:% = change.upstream, tolerance:%; "the upstream falls over when it has to reject more requests");
        }
        None => log::info!(event = "upstream-brittle-ended", upstream:% = change.upstream; ""),
    }
}
