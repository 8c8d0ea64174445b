//! Calls the platform over HTTP.

use std::{fmt, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use serde::de::DeserializeOwned;
use tokio::{net::lookup_host, time::timeout};

use crate::{
    edge::client::{Client, ClientRequest, SendError},
    http::head::{Framing, Headers},
    ids::Revision,
    store::{
        CallError, Condition, MAX_VALUE_BYTES, Object, ObjectKey, Operation, Reply,
        cloud::{CloudCall, CloudReply},
        wire::{
            ChangesWire, CloudHostsWire, HostsWire, ListWire, NoticesWire, OffersWire, StartedWire,
        },
    },
};

/// The timeout of a call, on top of the time for which the platform may hold it.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum size of a response, in bytes; a list of 10,000 hosts fits.
const MAX_RESPONSE_BYTES: usize = 16 * MAX_VALUE_BYTES;
/// The port of a base address without one.
const DEFAULT_PORT: u16 = 80;
/// The response header with an object's revision.
pub const REVISION_HEADER: &str = "x-revision";
/// The header that makes a call to the cloud idempotent.
pub const CLIENT_TOKEN_HEADER: &str = "x-client-token";

/// A call to the platform.
struct Call<'a> {
    method: &'static str,
    path: &'a str,
    headers: &'a [(&'static str, &'a str)],
    body: &'a [u8],
    /// How long the platform may hold the call.
    wait: Duration,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self { method: "GET", path: "/", headers: &[], body: &[], wait: Duration::ZERO }
    }
}

/// A complete response of the platform.
struct Response {
    status: u16,
    headers: Headers,
    body: Bytes,
}

impl Response {
    /// Returns the error for which the status stands, if it is not a success.
    fn check_status(self) -> Result<Self, CallError> {
        match self.status {
            200..300 => Ok(self),
            429 => Err(CallError::RateLimited),
            503 => Err(CallError::Unavailable),
            400..500 => Err(CallError::Refused(String::from_utf8_lossy(&self.body).into())),
            _ => Err(CallError::Unknown),
        }
    }

    fn revision(&self) -> Option<Revision> {
        self.headers.text(REVISION_HEADER)?.parse().ok()
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|_| CallError::Unknown)
    }
}

/// A client of the platform at one base address.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Rc<Client>,
    host: Box<str>,
    port: u16,
    /// The path before those of the calls, without a slash at its end.
    prefix: Box<str>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> Self {
        let base = base.trim_end_matches('/');
        let base = base.strip_prefix("http://").unwrap_or(base);
        let (authority, prefix) = match base.find('/') {
            Some(at) => base.split_at(at),
            None => (base, ""),
        };
        let (host, port) = match authority.rsplit_once(':') {
            Some((host, port)) => (host, port.parse().unwrap_or(DEFAULT_PORT)),
            None => (authority, DEFAULT_PORT),
        };
        Self { client: Rc::default(), host: host.into(), port, prefix: prefix.into() }
    }

    /// Performs one operation.
    pub async fn call(&self, operation: &Operation) -> Result<Reply, CallError> {
        match operation {
            Operation::Get(key) => self.get(key).await,
            Operation::Put { key, value, condition } => {
                self.write("PUT", key, *condition, value).await
            }
            Operation::Delete { key, condition } => {
                self.write("DELETE", key, *condition, &[]).await
            }
            Operation::List(prefix) => {
                let list: ListWire = self.get_json(&format!("/objects?prefix={prefix}")).await?;
                let objects = list.objects.into_iter();
                Ok(Reply::Listed(objects.map(|(key, r)| (ObjectKey::new(key), r)).collect()))
            }
            Operation::Watch { prefix, after, wait } => {
                let wait_ms = wait.as_millis();
                let path = format!("/watch?prefix={prefix}&after={after}&wait-ms={wait_ms}");
                let wire: ChangesWire = self.long_poll(&path, *wait).await?;
                let changes = wire.changes.into_iter().map(Into::into).collect();
                Ok(Reply::Changes { revision: wire.revision, changes })
            }
            Operation::Hosts { data_centre, after, wait } => {
                let mut path = format!("/hosts?after={after}&wait-ms={}", wait.as_millis());
                if let Some(data_centre) = data_centre {
                    path = format!("{path}&data-centre={data_centre}");
                }
                let wire: HostsWire = self.long_poll(&path, *wait).await?;
                Ok(Reply::Hosts { revision: wire.revision, hosts: wire.hosts })
            }
            Operation::Cloud(call) => self.cloud(call).await.map(Reply::Cloud),
        }
    }

    async fn get(&self, key: &ObjectKey) -> Result<Reply, CallError> {
        let path = format!("/objects/{key}");
        let res = self.send(Call { path: &path, ..Call::default() }).await?;
        if res.status == 404 {
            return Ok(Reply::Object(None));
        }
        let res = res.check_status()?;
        let revision = res.revision().ok_or(CallError::Unknown)?;
        Ok(Reply::Object(Some(Object { key: key.clone(), revision, value: res.body })))
    }

    async fn write(
        &self,
        method: &'static str,
        key: &ObjectKey,
        condition: Condition,
        value: &[u8],
    ) -> Result<Reply, CallError> {
        let path = format!("/objects/{key}");
        let revision;
        let header = match condition {
            Condition::Absent => ("if-none-match", "*"),
            Condition::Revision(number) => {
                revision = format!("\"{number}\"");
                ("if-match", &*revision)
            }
        };
        let call = Call { method, path: &path, headers: &[header], body: value, ..Call::default() };
        let res = self.send(call).await?;
        if res.status == 412 {
            return Err(CallError::Conflict(res.revision()));
        }
        res.check_status()?.revision().map(Reply::Written).ok_or(CallError::Unknown)
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        self.long_poll(path, Duration::ZERO).await
    }

    async fn long_poll<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, CallError> {
        self.send(Call { path, wait, ..Call::default() }).await?.check_status()?.json()
    }

    async fn cloud(&self, call: &CloudCall) -> Result<CloudReply, CallError> {
        match call {
            CloudCall::Offers => {
                let wire: OffersWire = self.get_json("/cloud/offers").await?;
                Ok(CloudReply::Offers(wire.offers))
            }
            CloudCall::Hosts => {
                let wire: CloudHostsWire = self.get_json("/cloud/hosts").await?;
                Ok(CloudReply::Hosts(wire.hosts))
            }
            CloudCall::Notices(after) => {
                let wire: NoticesWire =
                    self.get_json(&format!("/cloud/notices?after={after}")).await?;
                Ok(CloudReply::Notices(wire.revision, wire.notices))
            }
            CloudCall::Start(start) => {
                let body = serde_json::to_vec(start).expect("a wire type is valid JSON");
                let headers = [
                    (CLIENT_TOKEN_HEADER, &*start.client_token),
                    ("content-type", "application/json"),
                ];
                let call = Call {
                    method: "POST",
                    path: "/cloud/hosts",
                    headers: &headers,
                    body: &body,
                    ..Call::default()
                };
                let wire: StartedWire = self.send(call).await?.check_status()?.json()?;
                Ok(CloudReply::Started(wire.host))
            }
            CloudCall::Release(host) => {
                let path = format!("/cloud/hosts/{host}");
                let call = Call { method: "DELETE", path: &path, ..Call::default() };
                self.send(call).await?.check_status()?;
                Ok(CloudReply::Released)
            }
        }
    }

    /// Makes a call and returns its complete response, whatever its status.
    async fn send(&self, call: Call<'_>) -> Result<Response, CallError> {
        let address = self.resolve().await?;
        let path = format!("{}{}", self.prefix, call.path);
        let mut req = ClientRequest::new(call.method, address, &path);
        for (name, value) in call.headers {
            req = req.header(name, value.as_bytes());
        }
        let req = req.body(call.body);
        let exchange = async {
            let res = self.client.send(address, &req).await.map_err(|error| match error {
                SendError::Unreachable(..) => failed(&call, &error, CallError::Unavailable),
                SendError::ConnectionLost(..) => failed(&call, &error, CallError::Unknown),
            })?;
            if res.head.framing == Framing::UntilClose {
                return Err(failed(&call, &"the response has no length", CallError::Unknown));
            }
            let (status, headers) = (res.head.status, res.head.headers.clone());
            let body = res.read_body(MAX_RESPONSE_BYTES).await;
            let body = body.map_err(|error| failed(&call, &error, CallError::Unknown))?;
            Ok(Response { status, headers, body })
        };
        let response = timeout(call.wait + CALL_TIMEOUT, exchange).await;
        response.unwrap_or_else(|elapsed| Err(failed(&call, &elapsed, CallError::Unknown)))
    }

    async fn resolve(&self) -> Result<SocketAddr, CallError> {
        let mut addresses =
            lookup_host((&*self.host, self.port)).await.map_err(|_| CallError::Unavailable)?;
        addresses.next().ok_or(CallError::Unavailable)
    }
}

/// Logs why a call failed and returns what is known about its effect.
fn failed(call: &Call<'_>, cause: &dyn fmt::Display, error: CallError) -> CallError {
    log::debug!(event = "platform-call-failed", method = call.method, path = call.path, cause:%; "");
    error
}
