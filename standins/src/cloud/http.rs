//! Serves the cloud stand-in over HTTP, on the real clock.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use dogwoodturn::{
    ids::{ClassName, Revision, ZoneName},
    store::{
        CallError,
        cloud::{CloudCall, CloudReply, StartHost},
        http::CLIENT_TOKEN_HEADER,
        wire::{CloudHostsWire, NoticesWire, OffersWire, StartedWire},
    },
    units::{Time, WallTime},
};
use indexmap::IndexMap;
use serde::Deserialize;

use crate::{
    cloud::{Cloud, CloudFaults},
    http::{header_text, json, json_body, query, text},
};

/// Requests the reclaim of all reclaimable hosts of a zone.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ReclaimWire {
    zone: ZoneName,
    notice_ms: u64,
}

/// The cloud's part of the platform stand-in, shared with the test that started it.
#[derive(Clone, Debug)]
pub struct CloudEdge {
    cloud: Arc<Mutex<Cloud>>,
    began: Instant,
}

impl Default for CloudEdge {
    fn default() -> Self {
        Self { cloud: Arc::default(), began: Instant::now() }
    }
}

impl CloudEdge {
    /// Locks the cloud after advancing it to the current time.
    pub fn lock(&self) -> MutexGuard<'_, Cloud> {
        let mut cloud = self.cloud.lock().expect("no holder of the lock panics");
        cloud.advance(self.now());
        cloud
    }

    /// Returns the time since this edge was created.
    pub fn now(&self) -> Time {
        Time(self.began.elapsed().as_micros() as u64)
    }

    /// Responds to a request whose path begins with `/cloud/`.
    pub async fn handle(&self, req: &mut Request) -> Response<BoxBody> {
        let path = req.path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/cloud/offers") => self.call(&CloudCall::Offers),
            (Method::GET, "/cloud/hosts") => self.call(&CloudCall::Hosts),
            (Method::GET, "/cloud/notices") => {
                let after = query(req, "after").and_then(|after| after.parse().ok());
                self.call(&CloudCall::Notices(after.unwrap_or(Revision(0))))
            }
            (Method::POST, "/cloud/hosts") => self.start(req).await,
            (Method::PUT, "/cloud/offers") => match json_body::<OffersWire>(req).await {
                Ok(wire) => self.update(|cloud, now| cloud.set_offers(now, wire.offers)),
                Err(error) => text(StatusCode::BAD_REQUEST, error),
            },
            (Method::PUT, "/cloud/start-times") => {
                match json_body::<IndexMap<ClassName, u64>>(req).await {
                    Ok(times) => self.update(|cloud, _| {
                        for (class, millis) in times {
                            cloud.set_start_time(class, Duration::from_millis(millis));
                        }
                    }),
                    Err(error) => text(StatusCode::BAD_REQUEST, error),
                }
            }
            (Method::PUT, "/cloud/faults") => match json_body::<CloudFaults>(req).await {
                Ok(faults) => self.update(|cloud, _| cloud.set_faults(faults)),
                Err(error) => text(StatusCode::BAD_REQUEST, error),
            },
            (Method::GET, "/cloud/faults") => json(StatusCode::OK, self.lock().faults()),
            (Method::POST, "/cloud/reclaims") => match json_body::<ReclaimWire>(req).await {
                Ok(wire) => self.update(|cloud, now| {
                    let notice = Duration::from_millis(wire.notice_ms);
                    cloud.reclaim(now, wall_now(), &wire.zone, notice);
                }),
                Err(error) => text(StatusCode::BAD_REQUEST, error),
            },
            (Method::DELETE, path) => match path.strip_prefix("/cloud/hosts/").map(str::parse) {
                Some(Ok(host)) => self.call(&CloudCall::Release(host)),
                _ => text(StatusCode::NOT_FOUND, "no such host"),
            },
            _ => text(StatusCode::NOT_FOUND, "the cloud has no such path"),
        }
    }

    fn update(&self, change: impl FnOnce(&mut Cloud, Time)) -> Response<BoxBody> {
        change(&mut self.lock(), self.now());
        text(StatusCode::NO_CONTENT, "")
    }

    async fn start(&self, req: &mut Request) -> Response<BoxBody> {
        let token = header_text(req, CLIENT_TOKEN_HEADER).map(str::to_owned);
        match json_body::<StartHost>(req).await {
            Ok(start) if token.as_deref() == Some(&*start.client_token) => {
                self.call(&CloudCall::Start(start))
            }
            Ok(_) => text(StatusCode::BAD_REQUEST, "the client token is missing"),
            Err(error) => text(StatusCode::BAD_REQUEST, error),
        }
    }

    fn call(&self, call: &CloudCall) -> Response<BoxBody> {
        match self.lock().apply(self.now(), call) {
            Ok(CloudReply::Offers(offers)) => json(StatusCode::OK, &OffersWire { offers }),
            Ok(CloudReply::Hosts(hosts)) => json(StatusCode::OK, &CloudHostsWire { hosts }),
            Ok(CloudReply::Notices(revision, notices)) => {
                json(StatusCode::OK, &NoticesWire { revision, notices })
            }
            Ok(CloudReply::Started(host)) => json(StatusCode::CREATED, &StartedWire { host }),
            Ok(CloudReply::Released) => text(StatusCode::NO_CONTENT, ""),
            Err(CallError::Refused(reason)) => text(StatusCode::CONFLICT, reason),
            Err(CallError::Unavailable) => text(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            Err(_) => text(StatusCode::GATEWAY_TIMEOUT, "the answer is lost"),
        }
    }
}

fn wall_now() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime(elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64))
}
