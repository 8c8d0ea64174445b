//! The cloud: offers, hosts that take their time to start, refusals and reclaim notices.
//!
//! [`Cloud`] is driven by a clock that the caller gives, so that tests need not wait;
//! [`http::CloudEdge`] serves it on the real clock as part of the platform stand-in.

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

/// How long a host needs to start when its class has no start time of its own.
const START_TIME: Duration = Duration::from_secs(1);

/// Pools of which starts are refused; a part that is left out matches any.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Refused {
    /// The zone.
    pub zone: Option<ZoneName>,
    /// The machine class.
    pub class: Option<ClassName>,
    /// The kind.
    pub kind: Option<HostKind>,
}

impl Refused {
    fn matches(&self, start: &StartHost) -> bool {
        self.zone.as_ref().is_none_or(|zone| *zone == start.zone)
            && self.class.as_ref().is_none_or(|class| *class == start.class)
            && self.kind.is_none_or(|kind| kind == start.kind)
    }
}

/// The faults that can be set at run time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct CloudFaults {
    /// Starts that are refused.
    pub refused: Vec<Refused>,
    /// How many of the next writes take effect while their answers are lost.
    pub lose_answers: u32,
    /// How many of the next starts are answered at once and take effect only later.
    pub late_starts: u32,
    /// How much later, in milliseconds.
    pub late_by_ms: u64,
    /// Whether every call is refused as unavailable.
    pub outage: bool,
    /// Whether one token may start a host each time it is used, as in a cloud that forgets tokens.
    pub forget_tokens: bool,
}

#[derive(Clone, Debug)]
struct Hosted {
    host: CloudHost,
    billed_from: Time,
    runs_from: Time,
    goes_at: Option<Time>,
}

/// What happened to a host, for whoever plays its processes.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// It has finished starting.
    Runs(CloudHost),
    /// It was released or taken back.
    Gone(HostId),
}

/// The state of the cloud.
#[derive(Clone, Debug, Default)]
pub struct Cloud {
    offers: Vec<Offer>,
    start_times: IndexMap<ClassName, Duration>,
    hosts: IndexMap<HostId, Hosted>,
    by_token: IndexMap<Box<str>, HostId>,
    late: Vec<(Time, StartHost)>,
    notices: Vec<ReclaimNotice>,
    events: Vec<HostEvent>,
    faults: CloudFaults,
    started: u64,
    spent: f64,
    billed_until: Time,
}

impl Cloud {
    /// Makes a cloud that offers nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the offers; hosts cost their pool's price of the moment.
    pub fn set_offers(&mut self, now: Time, offers: Vec<Offer>) {
        self.advance(now);
        self.offers = offers;
    }

    /// Sets how long the hosts of a class need to start.
    pub fn set_start_time(&mut self, class: ClassName, took: Duration) {
        self.start_times.insert(class, took);
    }

    /// Sets the faults.
    pub fn set_faults(&mut self, faults: CloudFaults) {
        self.faults = faults;
    }

    /// Returns the faults.
    pub fn faults(&self) -> &CloudFaults {
        &self.faults
    }

    /// Returns the hosts that are billed.
    pub fn hosts(&self) -> impl Iterator<Item = &CloudHost> {
        self.hosts.values().map(|hosted| &hosted.host)
    }

    /// Returns how many hosts have been started in all.
    pub fn started(&self) -> u64 {
        self.started
    }

    /// Returns what all hosts have cost so far, in millionths of the currency.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// Takes what happened to hosts since the last call.
    pub fn take_events(&mut self) -> Vec<HostEvent> {
        std::mem::take(&mut self.events)
    }

    /// Gives notice to the reclaimable hosts of a zone and returns them.
    pub fn reclaim(
        &mut self,
        now: Time,
        wall: WallTime,
        zone: &ZoneName,
        notice: Duration,
    ) -> Vec<HostId> {
        self.advance(now);
        let mut taken = Vec::new();
        for (id, hosted) in &mut self.hosts {
            let start = &hosted.host.start;
            let is_taken = start.zone == *zone && start.kind == HostKind::Reclaimable;
            if is_taken && hosted.goes_at.is_none() {
                hosted.goes_at = Some(now + notice);
                self.notices.push(ReclaimNotice { host: id.clone(), at: wall + notice });
                taken.push(id.clone());
            }
        }
        taken
    }

    /// Loses a whole zone at once, hosts of both kinds.
    pub fn lose_zone(&mut self, now: Time, zone: &ZoneName) {
        self.advance(now);
        let lost: Vec<HostId> =
            self.hosts().filter(|host| host.start.zone == *zone).map(|h| h.host.clone()).collect();
        for host in &lost {
            self.remove(host);
        }
    }

    /// Carries out one call.
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

    /// Brings the cloud to a time: hosts finish starting, go, and are billed.
    pub fn advance(&mut self, now: Time) {
        self.bill(now);
        let (due, later) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= now);
        self.late = later;
        let due: Vec<(Time, StartHost)> = due;
        for (at, start) in &due {
            self.create(*at, start);
        }
        for hosted in self.hosts.values_mut() {
            if !hosted.host.running && hosted.runs_from <= now {
                hosted.host.running = true;
                self.events.push(HostEvent::Runs(hosted.host.clone()));
            }
        }
        let gone = |hosted: &Hosted| hosted.goes_at.is_some_and(|at| at <= now);
        let gone: Vec<HostId> =
            self.hosts.iter().filter(|(_, h)| gone(h)).map(|(id, _)| id.clone()).collect();
        for host in &gone {
            self.remove(host);
        }
    }

    fn bill(&mut self, now: Time) {
        for hosted in self.hosts.values() {
            let from = hosted.billed_from.max(self.billed_until);
            let until = hosted.goes_at.map_or(now, |at| at.min(now));
            let hours = until.since(from).as_secs_f64() / 3600.0;
            self.spent += self.price(&hosted.host.start).0 as f64 * hours;
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
            self.late.push((now + Duration::from_millis(self.faults.late_by_ms), start.clone()));
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
        let took = self.start_times.get(&start.class).copied().unwrap_or(START_TIME);
        let host = CloudHost { host: id.clone(), start: start.clone(), running: false };
        let hosted = Hosted { host, billed_from: now, runs_from: now + took, goes_at: None };
        self.hosts.insert(id.clone(), hosted);
        self.by_token.insert(start.client_token.clone(), id.clone());
        id
    }

    fn remove(&mut self, host: &HostId) {
        if self.hosts.shift_remove(host).is_some() {
            self.events.push(HostEvent::Gone(host.clone()));
        }
    }
}
