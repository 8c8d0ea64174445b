//! A platform stand-in that serves objects, the host list and the cloud.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use dogwoodturn::{
    ids::Revision,
    store::{
        CallError, Condition, ObjectKey, Operation, Reply,
        http::REVISION_HEADER,
        memory::MemoryStore,
        wire::{ChangesWire, HostsWire, ListWire},
    },
    upstream::HostRecord,
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    cloud::http::CloudEdge,
    http::{self, ServerHandle, header_text, json, json_body, query, text},
};

/// Interval at which a long-polling call checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Faults of the platform, which can be set at run time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Faults {
    /// Whether every call gets status 503.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next writes take effect although their responses are lost.
    pub lose_answers: u32,
    /// Delay until a write whose response is lost takes effect, in milliseconds.
    pub late_effect_ms: u64,
    /// Rate limit of reads per second; zero means no limit.
    pub reads_per_second: u32,
    /// Rate limit of writes per second; zero means no limit.
    pub writes_per_second: u32,
    /// Delay until a host list written over HTTP takes effect, in milliseconds.
    pub hosts_lag_ms: u64,
}

/// Numbers of calls received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Calls without effect on the state, watches included.
    pub reads: u64,
    /// All other calls.
    pub writes: u64,
    /// Calls that were refused by the rate limit.
    pub refused: u64,
}

#[derive(Debug, Default)]
struct State {
    store: MemoryStore,
    hosts: Vec<HostRecord>,
    hosts_revision: Revision,
    faults: Faults,
    calls: Calls,
    rate_window: Option<RateWindow>,
}

/// The calls in the current second, for the rate limit.
#[derive(Clone, Copy, Debug)]
struct RateWindow {
    began: Instant,
    reads: u32,
    writes: u32,
}

impl State {
    /// Counts a call and reports whether the rate limit admits it.
    fn admit(&mut self, is_write: bool) -> bool {
        let now = Instant::now();
        let current =
            self.rate_window.filter(|s| now.duration_since(s.began) < Duration::from_secs(1));
        let mut window = current.unwrap_or(RateWindow { began: now, reads: 0, writes: 0 });
        let (count, limit) = if is_write {
            self.calls.writes += 1;
            (&mut window.writes, self.faults.writes_per_second)
        } else {
            self.calls.reads += 1;
            (&mut window.reads, self.faults.reads_per_second)
        };
        *count += 1;
        let admitted = limit == 0 || *count <= limit;
        self.rate_window = Some(window);
        self.calls.refused += u64::from(!admitted);
        admitted
    }
}

/// The state of a platform stand-in, shared with the test that started it.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    cloud: CloudEdge,
}

impl Platform {
    /// Creates an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves the platform at `listen`.
    pub fn start(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        let platform = self.clone();
        http::start("platform", listen, move || {
            move |req: Request| {
                let platform = platform.clone();
                async move { platform.handle(req).await }
            }
        })
    }

    pub fn cloud(&self) -> &CloudEdge {
        &self.cloud
    }

    /// Replaces the host list immediately, regardless of `hosts_lag_ms`.
    pub fn set_hosts(&self, hosts: Vec<HostRecord>) {
        let mut state = self.lock();
        state.hosts = hosts;
        state.hosts_revision = state.hosts_revision.next();
    }

    pub fn host_list(&self) -> Vec<HostRecord> {
        self.lock().hosts.clone()
    }

    /// Returns a copy of the objects, for [`Platform::restore`].
    pub fn objects(&self) -> MemoryStore {
        self.lock().store.clone()
    }

    /// Replaces the objects with an earlier copy, as when the platform is restored from a backup.
    pub fn restore(&self, objects: MemoryStore) {
        self.lock().store = objects;
    }

    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns how many calls have arrived.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    fn consume_lost_response(&self) -> bool {
        let mut state = self.lock();
        let is_lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        is_lost
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn handle(self, mut req: Request) -> Response<BoxBody> {
        if req.path() == "/faults" {
            return self.handle_faults(&mut req).await;
        }
        let faults = {
            let mut state = self.lock();
            if !state.admit(req.method() != Method::GET) {
                return text(StatusCode::TOO_MANY_REQUESTS, "the rate limit is reached");
            }
            state.faults.clone()
        };
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let path = req.path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (_, path) if path.starts_with("/cloud/") => self.cloud.handle(&mut req).await,
            (Method::GET, "/objects") => self.list(&req),
            (Method::GET, "/watch") => self.watch(&req).await,
            (Method::GET, "/hosts") => self.hosts(&req).await,
            (Method::PUT, "/hosts") => self.put_hosts(&mut req).await,
            (method, path) => match path.strip_prefix("/objects/") {
                Some(key) => self.object(&method, ObjectKey::new(key), &mut req).await,
                None => text(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }

    async fn handle_faults(&self, req: &mut Request) -> Response<BoxBody> {
        if req.method() == Method::GET {
            return json(StatusCode::OK, &self.lock().faults);
        }
        match json_body(req).await {
            Ok(faults) => {
                self.set_faults(faults);
                text(StatusCode::NO_CONTENT, "")
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error),
        }
    }

    fn list(&self, req: &Request) -> Response<BoxBody> {
        let prefix = query(req, "prefix").unwrap_or("").into();
        match self.lock().store.apply(&Operation::List(prefix)) {
            Ok(Reply::Listed(objects)) => {
                let objects = objects.into_iter().map(|(key, r)| (key.as_str().into(), r));
                json(StatusCode::OK, &ListWire { objects: objects.collect() })
            }
            _ => text(StatusCode::INTERNAL_SERVER_ERROR, ""),
        }
    }

    async fn watch(&self, req: &Request) -> Response<BoxBody> {
        let prefix: Box<str> = query(req, "prefix").unwrap_or("").into();
        let after = query_number(req, "after").map(Revision).unwrap_or_default();
        let until =
            Instant::now() + Duration::from_millis(query_number(req, "wait-ms").unwrap_or(0));
        loop {
            let operation =
                Operation::Watch { prefix: prefix.clone(), after, wait: Duration::ZERO };
            let reply = self.lock().store.apply(&operation);
            let Ok(Reply::Changes { revision, changes }) = reply else {
                return text(StatusCode::INTERNAL_SERVER_ERROR, "");
            };
            if !changes.is_empty() || Instant::now() >= until {
                let changes = changes.into_iter().map(Into::into).collect();
                return json(StatusCode::OK, &ChangesWire { revision, changes });
            }
            if self.lock().faults.outage {
                return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn hosts(&self, req: &Request) -> Response<BoxBody> {
        let after = query_number(req, "after").map(Revision).unwrap_or_default();
        let until =
            Instant::now() + Duration::from_millis(query_number(req, "wait-ms").unwrap_or(0));
        let data_centre = query(req, "data-centre");
        loop {
            {
                let state = self.lock();
                if state.hosts_revision > after || Instant::now() >= until {
                    let hosts = state.hosts.iter();
                    let hosts = hosts
                        .filter(|host| data_centre.is_none_or(|dc| host.data_centre.as_str() == dc))
                        .cloned()
                        .collect();
                    let wire = HostsWire { revision: state.hosts_revision, hosts };
                    return json(StatusCode::OK, &wire);
                }
                if state.faults.outage {
                    return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn put_hosts(&self, req: &mut Request) -> Response<BoxBody> {
        match json_body(req).await {
            Ok(hosts) => {
                let lag = Duration::from_millis(self.lock().faults.hosts_lag_ms);
                let platform = self.clone();
                actix_rt::spawn(async move {
                    sleep(lag).await;
                    platform.set_hosts(hosts);
                });
                text(StatusCode::NO_CONTENT, "")
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error),
        }
    }

    async fn object(
        &self,
        method: &Method,
        key: ObjectKey,
        req: &mut Request,
    ) -> Response<BoxBody> {
        let operation = match *method {
            Method::GET => Operation::Get(key),
            Method::PUT | Method::DELETE => {
                let Some(condition) = condition(req) else {
                    return text(StatusCode::PRECONDITION_REQUIRED, "a write needs a condition");
                };
                if *method == Method::PUT {
                    match http::body(req).await {
                        Ok(value) => Operation::Put { key, value, condition },
                        Err(error) => return text(StatusCode::BAD_REQUEST, error),
                    }
                } else {
                    Operation::Delete { key, condition }
                }
            }
            _ => return text(StatusCode::METHOD_NOT_ALLOWED, ""),
        };
        if operation.is_write() && self.consume_lost_response() {
            let delay = Duration::from_millis(self.lock().faults.late_effect_ms);
            let platform = self.clone();
            actix_rt::spawn(async move {
                sleep(delay).await;
                // The late write takes effect only if its condition still holds.
                let _ = platform.lock().store.apply(&operation);
            });
            return text(StatusCode::GATEWAY_TIMEOUT, "the answer is lost");
        }
        object_response(self.lock().store.apply(&operation))
    }
}

fn query_number(req: &Request, name: &str) -> Option<u64> {
    query(req, name)?.parse().ok()
}

fn condition(req: &Request) -> Option<Condition> {
    if header_text(req, "if-none-match") == Some("*") {
        return Some(Condition::Absent);
    }
    let revision = header_text(req, "if-match")?.trim_matches('"').parse().ok()?;
    Some(Condition::Revision(revision))
}

fn object_response(result: Result<Reply, CallError>) -> Response<BoxBody> {
    match result {
        Ok(Reply::Object(Some(object))) => {
            let mut builder = Response::build(StatusCode::OK);
            builder.insert_header((REVISION_HEADER, object.revision.to_string()));
            builder.body(object.value).map_into_boxed_body()
        }
        Ok(Reply::Object(None)) => text(StatusCode::NOT_FOUND, "no such object"),
        Ok(Reply::Written(revision)) => {
            let mut builder = Response::build(StatusCode::OK);
            builder.insert_header((REVISION_HEADER, revision.to_string()));
            builder.body("").map_into_boxed_body()
        }
        Err(CallError::Conflict(current)) => {
            let mut builder = Response::build(StatusCode::PRECONDITION_FAILED);
            if let Some(current) = current {
                builder.insert_header((REVISION_HEADER, current.to_string()));
            }
            builder.body("").map_into_boxed_body()
        }
        Err(CallError::Refused(reason)) => text(StatusCode::PAYLOAD_TOO_LARGE, reason),
        _ => text(StatusCode::INTERNAL_SERVER_ERROR, ""),
    }
}
