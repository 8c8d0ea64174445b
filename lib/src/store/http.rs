//! Calls the platform over HTTP.

use std::time::Duration;

use awc::{
    Client, ClientResponse,
    error::{PayloadError, SendRequestError},
    http::StatusCode,
};
use bytes::Bytes;
use futures_util::Stream;
use serde::de::DeserializeOwned;

use crate::{
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
/// The response header with an object's revision.
pub const REVISION_HEADER: &str = "x-revision";
/// The header that makes a call to the cloud idempotent.
pub const CLIENT_TOKEN_HEADER: &str = "x-client-token";

/// A client of the platform at one base address.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    base: Box<str>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str) -> Self {
        let client = Client::builder().disable_timeout().finish();
        Self { client, base: base.trim_end_matches('/').into() }
    }

    /// Performs one operation.
    pub async fn call(&self, operation: &Operation) -> Result<Reply, CallError> {
        match operation {
            Operation::Get(key) => self.get(key).await,
            Operation::Put { key, value, condition } => {
                let url = self.object_url(key);
                self.write(self.client.put(url), *condition, value.clone()).await
            }
            Operation::Delete { key, condition } => {
                let url = self.object_url(key);
                self.write(self.client.delete(url), *condition, Bytes::new()).await
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

    fn object_url(&self, key: &ObjectKey) -> String {
        format!("{}/objects/{key}", self.base)
    }

    async fn get(&self, key: &ObjectKey) -> Result<Reply, CallError> {
        let sent = self.client.get(self.object_url(key)).timeout(CALL_TIMEOUT).send();
        let mut res = sent.await.map_err(|error| send_error(&error))?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(Reply::Object(None));
        }
        check_status(&mut res).await?;
        let revision = revision_of(&res).ok_or(CallError::Unknown)?;
        let value = read_body(&mut res).await?;
        Ok(Reply::Object(Some(Object { key: key.clone(), revision, value })))
    }

    async fn write(
        &self,
        req: awc::ClientRequest,
        condition: Condition,
        value: Bytes,
    ) -> Result<Reply, CallError> {
        let req = match condition {
            Condition::Absent => req.insert_header(("if-none-match", "*")),
            Condition::Revision(revision) => {
                req.insert_header(("if-match", format!("\"{revision}\"")))
            }
        };
        let sent = req.timeout(CALL_TIMEOUT).send_body(value);
        let mut res = sent.await.map_err(|error| send_error(&error))?;
        if res.status() == StatusCode::PRECONDITION_FAILED {
            return Err(CallError::Conflict(revision_of(&res)));
        }
        check_status(&mut res).await?;
        revision_of(&res).map(Reply::Written).ok_or(CallError::Unknown)
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        self.long_poll(path, Duration::ZERO).await
    }

    async fn long_poll<T: DeserializeOwned>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, CallError> {
        let url = format!("{}{path}", self.base);
        let sent = self.client.get(url).timeout(wait + CALL_TIMEOUT).send();
        let mut res = sent.await.map_err(|error| send_error(&error))?;
        check_status(&mut res).await?;
        let body = read_body(&mut res).await?;
        serde_json::from_slice(&body).map_err(|_| CallError::Unknown)
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
                let req = self.client.post(format!("{}/cloud/hosts", self.base));
                let req = req.insert_header((CLIENT_TOKEN_HEADER, &*start.client_token));
                let sent = req.timeout(CALL_TIMEOUT).send_json(start);
                let mut res = sent.await.map_err(|error| send_error(&error))?;
                check_status(&mut res).await?;
                let body = read_body(&mut res).await?;
                let wire: StartedWire =
                    serde_json::from_slice(&body).map_err(|_| CallError::Unknown)?;
                Ok(CloudReply::Started(wire.host))
            }
            CloudCall::Release(host) => {
                let req = self.client.delete(format!("{}/cloud/hosts/{host}", self.base));
                let sent = req.timeout(CALL_TIMEOUT).send();
                let mut res = sent.await.map_err(|error| send_error(&error))?;
                check_status(&mut res).await?;
                Ok(CloudReply::Released)
            }
        }
    }
}

fn send_error(error: &SendRequestError) -> CallError {
    match error {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => CallError::Unavailable,
        _ => CallError::Unknown,
    }
}

async fn check_status<S>(res: &mut ClientResponse<S>) -> Result<(), CallError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    match res.status() {
        status if status.is_success() => Ok(()),
        StatusCode::TOO_MANY_REQUESTS => Err(CallError::RateLimited),
        StatusCode::SERVICE_UNAVAILABLE => Err(CallError::Unavailable),
        status if status.is_client_error() => {
            let reason = res.body().await.unwrap_or_default();
            Err(CallError::Refused(String::from_utf8_lossy(&reason).into()))
        }
        _ => Err(CallError::Unknown),
    }
}

async fn read_body<S>(res: &mut ClientResponse<S>) -> Result<Bytes, CallError>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    res.body().limit(MAX_RESPONSE_BYTES).await.map_err(|_| CallError::Unknown)
}

fn revision_of<S>(res: &ClientResponse<S>) -> Option<Revision> {
    res.headers().get(REVISION_HEADER)?.to_str().ok()?.parse().ok()
}
