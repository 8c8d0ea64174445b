//! The platform: objects, the host list and the cloud.

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
    http::{self, Running, header_text, json, json_body, query, text},
};

/// How often a held call looks for changes.
const POLL: Duration = Duration::from_millis(2);

/// The faults that can be set at run time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Faults {
    /// Whether every call is refused with 503.
    pub outage: bool,
    /// How long each call is delayed, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next writes take effect while their answers are lost.
    pub lose_answers: u32,
    /// How long a write whose answer is lost takes until it has effect, in milliseconds.
    pub late_effect_ms: u64,
    /// How many reads a second are answered; any number if zero.
    pub reads_per_second: u32,
    /// How many writes a second are answered; any number if zero.
    pub writes_per_second: u32,
    /// How long the host list lags, in milliseconds.
    pub hosts_lag_ms: u64,
}

/// How many calls have arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Calls {
    /// Calls that change nothing, watches included.
    pub reads: u64,
    /// Calls that change something.
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
    second: Option<Second>,
}

/// The calls of the second under way, for the rate limit.
#[derive(Clone, Copy, Debug)]
struct Second {
    began: Instant,
    reads: u32,
    writes: u32,
}

impl State {
    /// Counts a call; false if the rate limit refuses it.
    fn admit(&mut self, is_write: bool) -> bool {
        let now = Instant::now();
        let current = self.second.filter(|s| now.duration_since(s.began) < Duration::from_secs(1));
        let mut second = current.unwrap_or(Second { began: now, reads: 0, writes: 0 });
        let (count, limit) = if is_write {
            self.calls.writes += 1;
            (&mut second.writes, self.faults.writes_per_second)
        } else {
            self.calls.reads += 1;
            (&mut second.reads, self.faults.reads_per_second)
        };
        *count += 1;
        let admitted = limit == 0 || *count <= limit;
        self.second = Some(second);
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
    /// Makes an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves it at `listen`.
    pub fn start(&self, listen: SocketAddr) -> io::Result<Running> {
        let platform = self.clone();
        http::start("platform", listen, move || {
            move |req: Request| {
                let platform = platform.clone();
                async move { platform.answer(req).await }
            }
        })
    }

    /// Returns the cloud.
    pub fn cloud(&self) -> &CloudEdge {
        &self.cloud
    }

    /// Replaces the host list, at once whatever its lag.
    pub fn set_hosts(&self, hosts: Vec<HostRecord>) {
        let mut state = self.lock();
        state.hosts = hosts;
        state.hosts_revision = state.hosts_revision.next();
    }

    /// Returns the host list.
    pub fn hosts_now(&self) -> Vec<HostRecord> {
        self.lock().hosts.clone()
    }

    /// Returns the objects as they stand, for [`Platform::restore`].
    pub fn objects(&self) -> MemoryStore {
        self.lock().store.clone()
    }

    /// Puts back objects as they stood earlier, as when the platform is restored from a backup.
    pub fn restore(&self, objects: MemoryStore) {
        self.lock().store = objects;
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns how many calls have arrived.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    fn loses_answer(&self) -> bool {
        let mut state = self.lock();
        let loses = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        loses
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn answer(self, mut req: Request) -> Response<BoxBody> {
        if req.path() == "/faults" {
            return self.faults(&mut req).await;
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
            (_, path) if path.starts_with("/cloud/") => self.cloud.answer(&mut req).await,
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

    async fn faults(&self, req: &mut Request) -> Response<BoxBody> {
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
        let after = number(req, "after").map(Revision).unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number(req, "wait-ms").unwrap_or(0));
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
            sleep(POLL).await;
        }
    }

    async fn hosts(&self, req: &Request) -> Response<BoxBody> {
        let after = number(req, "after").map(Revision).unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number(req, "wait-ms").unwrap_or(0));
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
            sleep(POLL).await;
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
                    let value = http::body(req).await;
                    Operation::Put { key, value, condition }
                } else {
                    Operation::Delete { key, condition }
                }
            }
            _ => return text(StatusCode::METHOD_NOT_ALLOWED, ""),
        };
        if operation.is_write() && self.loses_answer() {
            let late = Duration::from_millis(self.lock().faults.late_effect_ms);
            let platform = self.clone();
            actix_rt::spawn(async move {
                sleep(late).await;
                // The condition decides whether the late write has effect.
                let _ = platform.lock().store.apply(&operation);
            });
            return text(StatusCode::GATEWAY_TIMEOUT, "the answer is lost");
        }
        object_response(self.lock().store.apply(&operation))
    }
}

fn number(req: &Request, name: &str) -> Option<u64> {
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
