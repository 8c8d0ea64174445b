//! A cloud stand-in: offers, hosts with a start time, refusals and reclaim notices.
//!
//! The caller of [`Cloud`] passes the time, so that tests need not wait. [`http::CloudEdge`] serves
//! it on the real clock as part of the platform stand-in.

pub mod http;

use std::time::Duration;

use dogwoodturn::{
    ids::{ClassName, HostId, Revision, ZoneName},
    store::{
        CallError,
        cloud::{CloudCall, CloudHost, CloudReply, HostKind, Offer, ReclaimNotice, StartHost},
    },
    units::{PricePerHour, Time, WallTime},
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Start time of hosts whose class has no start time set.
const DEFAULT_START_TIME: Duration = Duration::from_secs(1);

/// Selects the pools whose starts are refused; a field that is `None` matches any value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Refused {
    pub zone: Option<ZoneName>,
    pub class: Option<ClassName>,
    pub kind: Option<HostKind>,
}

impl Refused {
    fn matches(&self, start: &StartHost) -> bool {
        self.zone.as_ref().is_none_or(|zone| *zone == start.zone)
            && self.class.as_ref().is_none_or(|class| *class == start.class)
            && self.kind.is_none_or(|kind| kind == start.kind)
    }
}

/// Faults of the cloud, which can be set at run time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct CloudFaults {
    /// Pools whose starts are refused.
    pub refused: Vec<Refused>,
    /// How many of the next writes take effect although their responses are lost.
    pub lose_answers: u32,
    /// How many of the next starts get an unknown outcome at once and take effect later.
    pub late_starts: u32,
    /// Delay of late starts, in milliseconds.
    pub late_by_ms: u64,
    /// Whether every call fails as unavailable.
    pub outage: bool,
    /// Whether a client token starts another host each time it is used, as in a cloud that does not
    /// retain tokens.
    pub forget_tokens: bool,
}

#[derive(Clone, Debug)]
struct HostEntry {
    host: CloudHost,
    billed_from: Time,
    running_from: Time,
    reclaimed_at: Option<Time>,
}

/// A change of a host, for a test that simulates the processes on it.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// The host has finished starting.
    Runs(CloudHost),
    /// The host was released, reclaimed or lost with its zone.
    Gone(HostId),
}

#[derive(Clone, Debug, Default)]
pub struct Cloud {
    offers: Vec<Offer>,
    start_times: IndexMap<ClassName, Duration>,
    hosts: IndexMap<HostId, HostEntry>,
    by_token: IndexMap<Box<str>, HostId>,
    late_starts_pending: Vec<(Time, StartHost)>,
    notices: Vec<ReclaimNotice>,
    events: Vec<HostEvent>,
    faults: CloudFaults,
    started: u64,
    spent: f64,
    billed_until: Time,
}

impl Cloud {
    /// Creates a cloud without offers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the offers; hosts are billed at the current price of their pool.
    pub fn set_offers(&mut self, now: Time, offers: Vec<Offer>) {
        self.advance(now);
        self.offers = offers;
    }

    /// Sets the start time of hosts of a class.
    pub fn set_start_time(&mut self, class: ClassName, start_time: Duration) {
        self.start_times.insert(class, start_time);
    }

    pub fn set_faults(&mut self, faults: CloudFaults) {
        self.faults = faults;
    }

    pub fn faults(&self) -> &CloudFaults {
        &self.faults
    }

    /// Returns the hosts that exist and are billed, whether or not they have finished starting.
    pub fn hosts(&self) -> impl Iterator<Item = &CloudHost> {
        self.hosts.values().map(|entry| &entry.host)
    }

    /// Returns the total number of hosts started.
    pub fn started(&self) -> u64 {
        self.started
    }

    /// Returns the cost of all hosts so far, in millionths of the currency.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// Returns and removes the host events since the last call.
    pub fn take_events(&mut self) -> Vec<HostEvent> {
        std::mem::take(&mut self.events)
    }

    /// Issues a notice for the reclaimable hosts of a zone that have none, and returns these hosts.
    pub fn reclaim(
        &mut self,
        now: Time,
        wall: WallTime,
        zone: &ZoneName,
        notice: Duration,
    ) -> Vec<HostId> {
        self.advance(now);
        let mut reclaimed = Vec::new();
        for (id, entry) in &mut self.hosts {
            let start = &entry.host.start;
            let is_reclaimed = start.zone == *zone && start.kind == HostKind::Reclaimable;
            if is_reclaimed && entry.reclaimed_at.is_none() {
                entry.reclaimed_at = Some(now + notice);
                self.notices.push(ReclaimNotice { host: id.clone(), at: wall + notice });
                reclaimed.push(id.clone());
            }
        }
        reclaimed
    }

    /// Removes all hosts of a zone immediately, of both kinds.
    pub fn lose_zone(&mut self, now: Time, zone: &ZoneName) {
        self.advance(now);
        let lost: Vec<HostId> =
            self.hosts().filter(|host| host.start.zone == *zone).map(|h| h.host.clone()).collect();
        for host in &lost {
            self.remove(host);
        }
    }

    /// Applies one call.
    pub fn apply(&mut self, now: Time, call: &CloudCall) -> Result<CloudReply, CallError> {
        self.advance(now);
        if self.faults.outage {
            return Err(CallError::Unavailable);
        }
        let reply = match call {
            CloudCall::Offers => return Ok(CloudReply::Offers(self.offers.clone())),
            CloudCall::Hosts => return Ok(CloudReply::Hosts(self.hosts().cloned().collect())),
            CloudCall::Notices(after) => {
                let new = self.notices.get(after.0 as usize..).unwrap_or_default().to_vec();
                return Ok(CloudReply::Notices(Revision(self.notices.len() as u64), new));
            }
            CloudCall::Start(start) => self.start(now, start)?,
            CloudCall::Release(host) => {
                self.remove(host);
                CloudReply::Released
            }
        };
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Err(CallError::Unknown);
        }
        Ok(reply)
    }

    /// Advances the cloud to `now`: hosts finish starting, are reclaimed and are billed.
    pub fn advance(&mut self, now: Time) {
        self.bill(now);
        let (due, later) = std::mem::take(&mut self.late_starts_pending)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late_starts_pending = later;
        let due: Vec<(Time, StartHost)> = due;
        for (at, start) in &due {
            self.create(*at, start);
        }
        for entry in self.hosts.values_mut() {
            if !entry.host.running && entry.running_from <= now {
                entry.host.running = true;
                self.events.push(HostEvent::Runs(entry.host.clone()));
            }
        }
        let gone = |entry: &HostEntry| entry.reclaimed_at.is_some_and(|at| at <= now);
        let gone: Vec<HostId> =
            self.hosts.iter().filter(|(_, h)| gone(h)).map(|(id, _)| id.clone()).collect();
        for host in &gone {
            self.remove(host);
        }
    }

    fn bill(&mut self, now: Time) {
        for entry in self.hosts.values() {
            let from = entry.billed_from.max(self.billed_until);
            let until = entry.reclaimed_at.map_or(now, |at| at.min(now));
            let hours = until.since(from).as_secs_f64() / 3600.0;
            self.spent += self.price(&entry.host.start).0 as f64 * hours;
        }
        self.billed_until = self.billed_until.max(now);
    }

    fn price(&self, start: &StartHost) -> PricePerHour {
        let is_of = |offer: &&Offer| {
            offer.zone == start.zone && offer.class == start.class && offer.kind == start.kind
        };
        self.offers.iter().find(is_of).map_or(PricePerHour(0), |offer| offer.price)
    }

    fn start(&mut self, now: Time, start: &StartHost) -> Result<CloudReply, CallError> {
        let known = self.by_token.get(&start.client_token);
        if let Some(host) = known.filter(|_| !self.faults.forget_tokens) {
            return Ok(CloudReply::Started(host.clone()));
        }
        if self.faults.refused.iter().any(|refused| refused.matches(start)) {
            return Err(CallError::Refused("no capacity".into()));
        }
        if self.faults.late_starts > 0 {
            self.faults.late_starts -= 1;
            self.late_starts_pending
                .push((now + Duration::from_millis(self.faults.late_by_ms), start.clone()));
            return Err(CallError::Unknown);
        }
        Ok(CloudReply::Started(self.create(now, start)))
    }

    fn create(&mut self, now: Time, start: &StartHost) -> HostId {
        let known = self.by_token.get(&start.client_token);
        if let Some(host) = known.filter(|_| !self.faults.forget_tokens) {
            return host.clone();
        }
        self.started += 1;
        let id: HostId = format!("h-{}", self.started).parse().expect("a number is a valid name");
        let start_time = self.start_times.get(&start.class).copied().unwrap_or(DEFAULT_START_TIME);
        let host = CloudHost { host: id.clone(), start: start.clone(), running: false };
        let entry = HostEntry {
            host,
            billed_from: now,
            running_from: now + start_time,
            reclaimed_at: None,
        };
        self.hosts.insert(id.clone(), entry);
        self.by_token.insert(start.client_token.clone(), id.clone());
        id
    }

    fn remove(&mut self, host: &HostId) {
        if self.hosts.shift_remove(host).is_some() {
            self.events.push(HostEvent::Gone(host.clone()));
        }
    }
}
