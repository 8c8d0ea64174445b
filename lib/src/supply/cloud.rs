//! The hosts of one service in one zone, as the holder of the lease starts and releases them.
//!
//! Every start has a client token that never changes, so that the cloud starts at most one host
//! for it. After a lost answer the hosts are listed before the same token is used again. Hosts
//! belong to the service and zone, not to a daemon: a new holder adopts what it finds listed, and
//! what nobody wants is released. See `docs/design/supply.md`.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    ids::{CallId, FencingNumber, Generation, HostId, ServiceName, VersionName, ZoneName},
    store::{
        CallError, Operation, Priority, Reply,
        cloud::{CloudCall, CloudHost, CloudReply, HostKind, StartHost},
    },
    supply::plan::Pool,
    units::Time,
};

/// The beginning of the client tokens of this system; other hosts of the account are left alone.
pub const TOKEN_PREFIX: &str = "dogwoodturn.";
/// How often a call that was refused before it had any effect is made again.
const RETRY_WAIT: Duration = Duration::from_secs(1);
/// The first wait after a refused start of a pool; it doubles with each further refusal.
const REFUSED_WAIT: Duration = Duration::from_secs(30);
/// The longest wait after refused starts.
const LONGEST_REFUSED_WAIT: Duration = Duration::from_mins(10);

/// A host that the cloud bills for this service and zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Billed {
    /// What it was started as.
    pub start: StartHost,
    /// Whether it has finished starting.
    pub running: bool,
    /// When this daemon first knew of it.
    pub known_at: Time,
    /// Whether it is being released.
    pub releasing: bool,
    release_call: Option<CallId>,
}

impl Billed {
    /// Returns the pool of the host.
    pub fn pool(&self) -> Pool {
        pool_of(&self.start)
    }
}

/// Returns the pool that a start asks for.
pub fn pool_of(start: &StartHost) -> Pool {
    Pool {
        zone: start.zone.clone(),
        class: start.class.clone(),
        reclaimable: start.kind == HostKind::Reclaimable,
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Asked {
    /// The call is under way.
    Calling(CallId, Time),
    /// No answer came; a list asked for after this time settles it.
    Unsettled(Time),
    /// The call had no effect and is made again.
    Again(Time),
}

/// Starts of a pool that the cloud has refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// When the pool may be tried again.
    pub until: Time,
    wait: Duration,
}

/// What the slice is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// This daemon holds the lease from now on, under this number.
    Acquired(FencingNumber),
    /// This daemon no longer holds the lease.
    Lost,
    /// The plan, made from this generation, wants one more host of this pool and version.
    Start(Pool, VersionName, Generation),
    /// The plan no longer wants this host, and it has had time to finish its work.
    Release(HostId),
    /// The cloud has listed its hosts; the list was asked for at the stated time.
    Listed(Time, Vec<CloudHost>),
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time of [`ZoneHosts::next_wakeup`] has come.
    Woken,
}

/// What the slice wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the platform and answer with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
    /// List the cloud's hosts and answer with [`Event::Listed`].
    List,
    /// The cloud has refused to start a host of this pool.
    Refused(Pool, Box<str>),
    /// A host has been started; the time is from the first call until it was known to run.
    Running(Pool, Duration),
    /// A host that was neither released nor announced as leaving is gone.
    Vanished(Pool),
    /// An order to the cloud, for the audit trail.
    Recorded(Box<str>),
}

/// The hosts of one service in one zone.
#[derive(Clone, Debug)]
pub struct ZoneHosts {
    service: ServiceName,
    zone: ZoneName,
    fencing: Option<FencingNumber>,
    listed: bool,
    asked: IndexMap<Box<str>, (StartHost, Asked)>,
    billed: IndexMap<HostId, Billed>,
    refused: IndexMap<Pool, Refusal>,
    tokens: u64,
    call: CallId,
}

impl ZoneHosts {
    /// Makes the slice of a daemon that does not hold the lease.
    pub fn new(service: ServiceName, zone: ZoneName) -> Self {
        Self {
            service,
            zone,
            fencing: None,
            listed: false,
            asked: IndexMap::new(),
            billed: IndexMap::new(),
            refused: IndexMap::new(),
            tokens: 0,
            call: CallId(0),
        }
    }

    /// Returns the hosts that are billed, with those that are being released.
    pub fn billed(&self) -> &IndexMap<HostId, Billed> {
        &self.billed
    }

    /// Returns the starts that have not been settled yet.
    pub fn asked(&self) -> impl Iterator<Item = &StartHost> {
        self.asked.values().map(|(start, _)| start)
    }

    /// Says whether this daemon holds the lease and knows which hosts there are.
    pub fn is_informed(&self) -> bool {
        self.fencing.is_some() && self.listed
    }

    /// Counts the hosts of a pool that are there or asked for, without those being released.
    pub fn present(&self, pool: &Pool) -> u32 {
        let billed = self.billed.values().filter(|host| !host.releasing && host.pool() == *pool);
        let asked = self.asked().filter(|start| pool_of(start) == *pool);
        (billed.count() + asked.count()) as u32
    }

    /// Returns the pools whose starts are refused for now.
    pub fn refused(&self, now: Time) -> impl Iterator<Item = &Pool> {
        self.refused.iter().filter(move |(_, refusal)| now < refusal.until).map(|(pool, _)| pool)
    }

    /// Returns when a refused pool may be tried again.
    pub fn refused_until(&self, pool: &Pool) -> Option<Time> {
        self.refused.get(pool).map(|refusal| refusal.until)
    }

    /// Returns when the slice wants [`Event::Woken`].
    pub fn next_wakeup(&self) -> Option<Time> {
        self.fencing?;
        let asked = self.asked.values().filter_map(|(_, asked)| match asked {
            Asked::Again(at) => Some(*at),
            Asked::Calling(..) | Asked::Unsettled(_) => None,
        });
        asked.min()
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Acquired(fencing) => {
                *self = Self {
                    refused: std::mem::take(&mut self.refused),
                    call: self.call,
                    ..Self::new(self.service.clone(), self.zone.clone())
                };
                self.fencing = Some(fencing);
                out.push(Effect::List);
            }
            // Starts under way may still take effect; the next holder finds them listed.
            Event::Lost => self.fencing = None,
            Event::Start(pool, version, generation) if self.is_informed() => {
                let token = self.next_token(generation);
                self.start(now, &pool, version, &token, out);
            }
            Event::Release(host) if self.is_informed() => self.release(&host, out),
            Event::Start(..) | Event::Release(_) => {}
            Event::Listed(asked_at, hosts) => self.listed(now, asked_at, hosts, out),
            Event::CallEnded(call, result) => self.called(now, call, result, out),
            Event::Woken => self.ask_again(now, out),
        }
    }

    fn next_token(&mut self, generation: Generation) -> Box<str> {
        self.tokens += 1;
        let fencing = self.fencing.unwrap_or_default();
        let (count, service, zone) = (self.tokens, &self.service, &self.zone);
        format!("{TOKEN_PREFIX}{generation}.{fencing}.{count}.{service}.{zone}").into()
    }

    fn start(
        &mut self,
        now: Time,
        pool: &Pool,
        version: VersionName,
        token: &str,
        out: &mut Vec<Effect>,
    ) {
        let start = StartHost {
            client_token: token.into(),
            zone: pool.zone.clone(),
            class: pool.class.clone(),
            kind: pool.kind(),
            service: self.service.clone(),
            version,
        };
        out.push(Effect::Recorded(format!("start {pool} token={token}").into()));
        self.asked.insert(token.into(), (start, Asked::Again(now)));
        self.ask(now, token, out);
    }

    fn ask(&mut self, now: Time, token: &str, out: &mut Vec<Effect>) {
        self.call = self.call.next();
        let Some((start, asked)) = self.asked.get_mut(token) else { return };
        *asked = Asked::Calling(self.call, now);
        let operation = Operation::Cloud(CloudCall::Start(start.clone()));
        out.push(Effect::Call(self.call, Priority::Configuration, operation));
    }

    fn ask_again(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.fencing.is_none() {
            return;
        }
        let due = |asked: &Asked| matches!(asked, Asked::Again(at) if *at <= now);
        let tokens: Vec<Box<str>> =
            self.asked.iter().filter(|(_, (_, a))| due(a)).map(|(t, _)| t.clone()).collect();
        for token in &tokens {
            self.ask(now, token, out);
        }
    }

    fn release(&mut self, host: &HostId, out: &mut Vec<Effect>) {
        self.call = self.call.next();
        let Some(billed) = self.billed.get_mut(host) else { return };
        if !billed.releasing {
            out.push(Effect::Recorded(format!("release {host} of {}", billed.pool()).into()));
        }
        billed.releasing = true;
        billed.release_call = Some(self.call);
        let operation = Operation::Cloud(CloudCall::Release(host.clone()));
        out.push(Effect::Call(self.call, Priority::Configuration, operation));
    }

    fn called(
        &mut self,
        now: Time,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        let is_call = |asked: &Asked| matches!(asked, Asked::Calling(id, _) if *id == call);
        let token = self.asked.iter().find(|(_, (_, a))| is_call(a)).map(|(t, _)| t.clone());
        if let Some(token) = token {
            return self.start_answered(now, &token, result, out);
        }
        let released = self.billed.iter_mut().find(|(_, host)| host.release_call == Some(call));
        if let Some((host, billed)) = released {
            billed.release_call = None;
            if matches!(result, Ok(Reply::Cloud(CloudReply::Released))) {
                let host = host.clone();
                self.billed.shift_remove(&host);
            }
        }
    }

    fn start_answered(
        &mut self,
        now: Time,
        token: &str,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        match result {
            Ok(Reply::Cloud(CloudReply::Started(host))) => {
                let Some((start, _)) = self.asked.shift_remove(token) else { return };
                self.refused.shift_remove(&pool_of(&start));
                self.billed.entry(host).or_insert_with(|| new_billed(start, false, now));
            }
            Err(CallError::Refused(reason)) => {
                let Some((start, _)) = self.asked.shift_remove(token) else { return };
                self.refuse(now, pool_of(&start), reason, out);
            }
            Err(CallError::Unavailable | CallError::RateLimited | CallError::Conflict(_)) => {
                self.set_asked(token, Asked::Again(now + RETRY_WAIT));
            }
            Ok(_) | Err(CallError::Unknown) => {
                self.set_asked(token, Asked::Unsettled(now));
                out.push(Effect::List);
            }
        }
    }

    fn set_asked(&mut self, token: &str, to: Asked) {
        if let Some((_, asked)) = self.asked.get_mut(token) {
            *asked = to;
        }
    }

    fn refuse(&mut self, now: Time, pool: Pool, reason: Box<str>, out: &mut Vec<Effect>) {
        let wait = match self.refused.get(&pool) {
            Some(refusal) if now < refusal.until => refusal.wait,
            Some(refusal) => (refusal.wait * 2).min(LONGEST_REFUSED_WAIT),
            None => REFUSED_WAIT,
        };
        self.refused.insert(pool.clone(), Refusal { until: now + wait, wait });
        out.push(Effect::Refused(pool, reason));
    }

    fn listed(&mut self, now: Time, asked_at: Time, hosts: Vec<CloudHost>, out: &mut Vec<Effect>) {
        if self.fencing.is_none() {
            return;
        }
        self.listed = true;
        let ours: IndexMap<HostId, CloudHost> = hosts
            .into_iter()
            .filter(|host| host.start.service == self.service && host.start.zone == self.zone)
            .filter(|host| host.start.client_token.starts_with(TOKEN_PREFIX))
            .map(|host| (host.host.clone(), host))
            .collect();
        self.forget_gone(&ours, asked_at, out);
        for (id, host) in ours {
            self.found(now, id, host, out);
        }
        self.settle(now, asked_at, out);
        self.release_again(out);
    }

    fn forget_gone(
        &mut self,
        ours: &IndexMap<HostId, CloudHost>,
        asked_at: Time,
        out: &mut Vec<Effect>,
    ) {
        // A host that was made known after the list was asked for may be missing from it.
        self.billed.retain(|id, host| {
            let gone = !ours.contains_key(id) && host.known_at < asked_at;
            if gone && !host.releasing {
                out.push(Effect::Vanished(host.pool()));
            }
            !gone
        });
    }

    fn found(&mut self, now: Time, id: HostId, host: CloudHost, out: &mut Vec<Effect>) {
        self.asked.shift_remove(&host.start.client_token);
        let pool = pool_of(&host.start);
        let billed =
            self.billed.entry(id).or_insert_with(|| new_billed(host.start, host.running, now));
        if host.running && !billed.running {
            billed.running = true;
            out.push(Effect::Running(pool, now.since(billed.known_at)));
        }
    }

    fn settle(&mut self, now: Time, asked_at: Time, out: &mut Vec<Effect>) {
        for (_, asked) in self.asked.values_mut() {
            if matches!(asked, Asked::Unsettled(since) if *since <= asked_at) {
                *asked = Asked::Again(now);
            }
        }
        self.ask_again(now, out);
    }

    fn release_again(&mut self, out: &mut Vec<Effect>) {
        let again = |host: &Billed| host.releasing && host.release_call.is_none();
        let hosts: Vec<HostId> =
            self.billed.iter().filter(|(_, h)| again(h)).map(|(id, _)| id.clone()).collect();
        for host in &hosts {
            self.release(host, out);
        }
    }
}

fn new_billed(start: StartHost, running: bool, known_at: Time) -> Billed {
    Billed { start, running, known_at, releasing: false, release_call: None }
}

/// Returns the hosts of this system whose service is not declared, so that no lease covers them.
///
/// A host that was started under a later generation than `known` is left alone, since this daemon
/// may not have heard of its service yet.
pub fn unowned(
    hosts: &[CloudHost],
    known: Generation,
    is_declared: impl Fn(&ServiceName) -> bool,
) -> Vec<HostId> {
    let started_under = |host: &CloudHost| {
        let rest = host.start.client_token.strip_prefix(TOKEN_PREFIX)?;
        rest.split('.').next()?.parse::<Generation>().ok()
    };
    hosts
        .iter()
        .filter(|host| started_under(host).is_some_and(|generation| generation <= known))
        .filter(|host| !is_declared(&host.start.service))
        .map(|host| host.host.clone())
        .collect()
}
