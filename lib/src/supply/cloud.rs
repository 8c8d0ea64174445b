//! Starts and releases the hosts of one service in one zone on behalf of the lease holder.
//!
//! Every start has a client token that never changes, so that the cloud starts at most one host
//! for it. After a lost reply the hosts are listed before the same token is used again. Hosts
//! belong to the service and zone, not to a daemon: a new holder adopts the hosts it finds listed,
//! and hosts that are in no plan are released. See `docs/design/supply.md`.

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

/// The prefix of this system's client tokens; other hosts of the account are left alone.
pub const TOKEN_PREFIX: &str = "dogwoodturn.";
/// The delay before a start call that had no effect is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// The backoff after the first refused start of a pool; it doubles with each further refusal.
const INITIAL_REFUSAL_BACKOFF: Duration = Duration::from_secs(30);
/// The limit of the backoff after refused starts.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_mins(10);

/// A host that the cloud bills for this service and zone.
#[derive(Clone, Debug, PartialEq)]
pub struct BilledHost {
    /// The parameters of the start call.
    pub start: StartHost,
    /// Whether it has finished starting.
    pub running: bool,
    /// When this daemon first learnt of the host, on the monotonic clock.
    pub known_at: Time,
    /// Whether it is being released.
    pub releasing: bool,
    release_call: Option<CallId>,
}

impl BilledHost {
    /// Returns the pool of the host.
    pub fn pool(&self) -> Pool {
        pool_of(&self.start)
    }
}

/// Returns the pool in which a host is to be started.
pub fn pool_of(start: &StartHost) -> Pool {
    Pool {
        zone: start.zone.clone(),
        class: start.class.clone(),
        reclaimable: start.kind == HostKind::Reclaimable,
    }
}

#[derive(Clone, Debug, PartialEq)]
enum StartState {
    /// The call is in flight; it was sent at this time.
    InFlight(CallId, Time),
    /// The outcome is unknown; a host list requested at or after this time resolves it.
    Unresolved(Time),
    /// The call had no effect and is retried at this time.
    RetryAt(Time),
}

/// The backoff of a pool whose starts the cloud refuses.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// When the pool may be tried again.
    pub until: Time,
    wait: Duration,
}

/// Inputs of [`ZoneHosts`].
#[derive(Clone, Debug)]
pub enum Event {
    /// This daemon has acquired the lease, with this fencing number.
    Acquired(FencingNumber),
    /// This daemon no longer holds the lease.
    Lost,
    /// The plan, computed from this generation, needs one more host of this pool and version.
    Start(Pool, VersionName, Generation),
    /// The plan no longer needs this host, and the host has had time to drain.
    Release(HostId),
    /// The cloud has listed its hosts; the list was requested at the stated time.
    Listed(Time, Vec<CloudHost>),
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time returned by [`ZoneHosts::next_wakeup`] has been reached.
    Woken,
}

/// Actions that [`ZoneHosts`] requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Call the platform and reply with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
    /// List the cloud's hosts and reply with [`Event::Listed`].
    List,
    /// The cloud has refused to start a host of this pool, for the stated reason.
    Refused(Pool, Box<str>),
    /// A host is running; the time is from when this daemon first knew of it until it was listed
    /// as running.
    Running(Pool, Duration),
    /// A host that this daemon was not releasing is gone.
    Vanished(Pool),
    /// A request to the cloud, for the audit trail.
    Recorded(Box<str>),
}

/// The hosts of one service in one zone.
#[derive(Clone, Debug)]
pub struct ZoneHosts {
    service: ServiceName,
    zone: ZoneName,
    fencing: Option<FencingNumber>,
    has_listed: bool,
    pending_starts: IndexMap<Box<str>, (StartHost, StartState)>,
    billed: IndexMap<HostId, BilledHost>,
    refusals: IndexMap<Pool, Refusal>,
    token_count: u64,
    last_call: CallId,
}

impl ZoneHosts {
    /// Creates the state of a daemon that does not hold the lease.
    pub fn new(service: ServiceName, zone: ZoneName) -> Self {
        Self {
            service,
            zone,
            fencing: None,
            has_listed: false,
            pending_starts: IndexMap::new(),
            billed: IndexMap::new(),
            refusals: IndexMap::new(),
            token_count: 0,
            last_call: CallId(0),
        }
    }

    /// Returns the billed hosts, including those that are being released.
    pub fn billed(&self) -> &IndexMap<HostId, BilledHost> {
        &self.billed
    }

    /// Returns the starts whose outcome is not known yet.
    pub fn pending_starts(&self) -> impl Iterator<Item = &StartHost> {
        self.pending_starts.values().map(|(start, _)| start)
    }

    /// Reports whether this daemon holds the lease and has listed the hosts under it.
    pub fn has_host_list(&self) -> bool {
        self.fencing.is_some() && self.has_listed
    }

    /// Returns the number of hosts of a pool that are billed or being started, without those being
    /// released.
    pub fn present(&self, pool: &Pool) -> u32 {
        let billed = self.billed.values().filter(|host| !host.releasing && host.pool() == *pool);
        let pending = self.pending_starts().filter(|start| pool_of(start) == *pool);
        (billed.count() + pending.count()) as u32
    }

    /// Returns the pools whose starts are currently refused.
    pub fn refused_pools(&self, now: Time) -> impl Iterator<Item = &Pool> {
        self.refusals.iter().filter(move |(_, refusal)| now < refusal.until).map(|(pool, _)| pool)
    }

    /// Returns when a start in a refused pool may be retried.
    pub fn refused_until(&self, pool: &Pool) -> Option<Time> {
        self.refusals.get(pool).map(|refusal| refusal.until)
    }

    /// Returns when [`Event::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.fencing?;
        let retries = self.pending_starts.values().filter_map(|(_, state)| match state {
            StartState::RetryAt(at) => Some(*at),
            StartState::InFlight(..) | StartState::Unresolved(_) => None,
        });
        retries.min()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Acquired(fencing) => {
                *self = Self {
                    refusals: std::mem::take(&mut self.refusals),
                    last_call: self.last_call,
                    ..Self::new(self.service.clone(), self.zone.clone())
                };
                self.fencing = Some(fencing);
                out.push(Effect::List);
            }
            // Starts in flight may still take effect; the next holder finds them in its list.
            Event::Lost => self.fencing = None,
            Event::Start(pool, version, generation) if self.has_host_list() => {
                let token = self.next_token(generation);
                self.start(now, &pool, version, &token, out);
            }
            Event::Release(host) if self.has_host_list() => self.release(&host, out),
            Event::Start(..) | Event::Release(_) => {}
            Event::Listed(requested_at, hosts) => self.reconcile(now, requested_at, hosts, out),
            Event::CallEnded(call, result) => self.call_ended(now, call, result, out),
            Event::Woken => self.retry_starts(now, out),
        }
    }

    fn next_token(&mut self, generation: Generation) -> Box<str> {
        self.token_count += 1;
        let fencing = self.fencing.unwrap_or_default();
        let (count, service, zone) = (self.token_count, &self.service, &self.zone);
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
        self.pending_starts.insert(token.into(), (start, StartState::RetryAt(now)));
        self.send_start(now, token, out);
    }

    fn send_start(&mut self, now: Time, token: &str, out: &mut Vec<Effect>) {
        self.last_call = self.last_call.next();
        let Some((start, state)) = self.pending_starts.get_mut(token) else { return };
        *state = StartState::InFlight(self.last_call, now);
        let operation = Operation::Cloud(CloudCall::Start(start.clone()));
        out.push(Effect::Call(self.last_call, Priority::Configuration, operation));
    }

    fn retry_starts(&mut self, now: Time, out: &mut Vec<Effect>) {
        if self.fencing.is_none() {
            return;
        }
        let due = |state: &StartState| matches!(state, StartState::RetryAt(at) if *at <= now);
        let tokens: Vec<Box<str>> = self
            .pending_starts
            .iter()
            .filter(|(_, (_, a))| due(a))
            .map(|(t, _)| t.clone())
            .collect();
        for token in &tokens {
            self.send_start(now, token, out);
        }
    }

    fn release(&mut self, host: &HostId, out: &mut Vec<Effect>) {
        self.last_call = self.last_call.next();
        let Some(billed) = self.billed.get_mut(host) else { return };
        if !billed.releasing {
            out.push(Effect::Recorded(format!("release {host} of {}", billed.pool()).into()));
        }
        billed.releasing = true;
        billed.release_call = Some(self.last_call);
        let operation = Operation::Cloud(CloudCall::Release(host.clone()));
        out.push(Effect::Call(self.last_call, Priority::Configuration, operation));
    }

    fn call_ended(
        &mut self,
        now: Time,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        let is_call =
            |state: &StartState| matches!(state, StartState::InFlight(id, _) if *id == call);
        let token =
            self.pending_starts.iter().find(|(_, (_, a))| is_call(a)).map(|(t, _)| t.clone());
        if let Some(token) = token {
            return self.start_ended(now, &token, result, out);
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

    fn start_ended(
        &mut self,
        now: Time,
        token: &str,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        match result {
            Ok(Reply::Cloud(CloudReply::Started(host))) => {
                let Some((start, _)) = self.pending_starts.shift_remove(token) else { return };
                self.refusals.shift_remove(&pool_of(&start));
                self.billed.entry(host).or_insert_with(|| new_billed_host(start, false, now));
            }
            Err(CallError::Refused(reason)) => {
                let Some((start, _)) = self.pending_starts.shift_remove(token) else { return };
                self.record_refusal(now, pool_of(&start), reason, out);
            }
            Err(CallError::Unavailable | CallError::RateLimited | CallError::Conflict(_)) => {
                self.set_start_state(token, StartState::RetryAt(now + RETRY_DELAY));
            }
            Ok(_) | Err(CallError::Unknown) => {
                self.set_start_state(token, StartState::Unresolved(now));
                out.push(Effect::List);
            }
        }
    }

    fn set_start_state(&mut self, token: &str, to: StartState) {
        if let Some((_, state)) = self.pending_starts.get_mut(token) {
            *state = to;
        }
    }

    fn record_refusal(&mut self, now: Time, pool: Pool, reason: Box<str>, out: &mut Vec<Effect>) {
        let wait = match self.refusals.get(&pool) {
            Some(refusal) if now < refusal.until => refusal.wait,
            Some(refusal) => (refusal.wait * 2).min(MAX_REFUSAL_BACKOFF),
            None => INITIAL_REFUSAL_BACKOFF,
        };
        self.refusals.insert(pool.clone(), Refusal { until: now + wait, wait });
        out.push(Effect::Refused(pool, reason));
    }

    fn reconcile(
        &mut self,
        now: Time,
        requested_at: Time,
        hosts: Vec<CloudHost>,
        out: &mut Vec<Effect>,
    ) {
        if self.fencing.is_none() {
            return;
        }
        self.has_listed = true;
        let own_hosts: IndexMap<HostId, CloudHost> = hosts
            .into_iter()
            .filter(|host| host.start.service == self.service && host.start.zone == self.zone)
            .filter(|host| host.start.client_token.starts_with(TOKEN_PREFIX))
            .map(|host| (host.host.clone(), host))
            .collect();
        self.remove_gone(&own_hosts, requested_at, out);
        for (id, host) in own_hosts {
            self.adopt(now, id, host, out);
        }
        self.resolve_starts(now, requested_at, out);
        self.retry_releases(out);
    }

    fn remove_gone(
        &mut self,
        own_hosts: &IndexMap<HostId, CloudHost>,
        requested_at: Time,
        out: &mut Vec<Effect>,
    ) {
        // A host learnt of after the list was requested may be missing from the list.
        self.billed.retain(|id, host| {
            let gone = !own_hosts.contains_key(id) && host.known_at < requested_at;
            if gone && !host.releasing {
                out.push(Effect::Vanished(host.pool()));
            }
            !gone
        });
    }

    fn adopt(&mut self, now: Time, id: HostId, host: CloudHost, out: &mut Vec<Effect>) {
        self.pending_starts.shift_remove(&host.start.client_token);
        let pool = pool_of(&host.start);
        let billed =
            self.billed.entry(id).or_insert_with(|| new_billed_host(host.start, host.running, now));
        if host.running && !billed.running {
            billed.running = true;
            out.push(Effect::Running(pool, now.since(billed.known_at)));
        }
    }

    fn resolve_starts(&mut self, now: Time, requested_at: Time, out: &mut Vec<Effect>) {
        for (_, state) in self.pending_starts.values_mut() {
            if matches!(state, StartState::Unresolved(since) if *since <= requested_at) {
                *state = StartState::RetryAt(now);
            }
        }
        self.retry_starts(now, out);
    }

    fn retry_releases(&mut self, out: &mut Vec<Effect>) {
        let needs_retry = |host: &BilledHost| host.releasing && host.release_call.is_none();
        let hosts: Vec<HostId> =
            self.billed.iter().filter(|(_, h)| needs_retry(h)).map(|(id, _)| id.clone()).collect();
        for host in &hosts {
            self.release(host, out);
        }
    }
}

fn new_billed_host(start: StartHost, running: bool, known_at: Time) -> BilledHost {
    BilledHost { start, running, known_at, releasing: false, release_call: None }
}

/// Returns the hosts of this system whose service is not declared, so that no lease covers them.
///
/// A host that was started under a later generation than `known` is left alone, since this daemon
/// may not have received the declaration of its service yet.
pub fn undeclared_hosts(
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
