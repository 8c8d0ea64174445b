//! A model service and its upstreams, for tests of individual decisions.
#![allow(dead_code)]

use std::time::Duration;

use dogwoodturn::{
    ids::{DataCentre, ServiceName},
    units::Time,
};
use dogwoodturn_gateway::{directory::Directory, store::UpstreamRecord};

pub fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * 1000)
}

pub fn service() -> ServiceName {
    "model".parse().unwrap()
}

pub fn here() -> DataCentre {
    "here".parse().unwrap()
}

pub fn record(id: &str, data_centre: &str, reclaimable: bool) -> UpstreamRecord {
    UpstreamRecord {
        id: id.parse().unwrap(),
        started: 1,
        service: service(),
        version: "v1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        slots: 32,
        draining: false,
        reclaimable,
        warm_up: Duration::ZERO,
    }
}

pub fn directory(ids: &[&str]) -> Directory {
    let mut directory = Directory::new(Duration::from_secs(2));
    for id in ids {
        directory.set(record(id, "here", false));
    }
    directory
}
