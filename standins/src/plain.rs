//! A plain service stand-in that counts the runs of each idempotency key.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use actix_http::{
    Method, Request, Response, StatusCode,
    body::{BodyStream, BoxBody},
};
use bytes::Bytes;
use futures_util::stream;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::http::{
    self, NOT_RUN_HEADER, ServerHandle, header_text, json as json_response, json_body, text,
};

/// Faults of the service, which can be set at run time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct Faults {
    /// Whether each call gets status 500 after it ran.
    pub fail: bool,
    /// Delay of each response after the call ran, in milliseconds.
    pub delay_ms: u64,
    /// Whether the connection is aborted after a call ran.
    pub cut_after_run: bool,
    /// Whether each call is refused and reported as not run.
    pub refuse: bool,
}

#[derive(Debug, Default)]
struct State {
    runs: IndexMap<String, u64>,
    faults: Faults,
}

/// The state of a plain stand-in, shared with the test that started it.
#[derive(Clone, Debug, Default)]
pub struct Plain {
    state: Arc<Mutex<State>>,
}

impl Plain {
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves the service at `listen`.
    pub fn start(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        let plain = self.clone();
        http::start("plain", listen, move || move |req: Request| plain.clone().handle(req))
    }

    /// Returns how often each idempotency key ran; calls with `GET` do not count.
    pub fn runs(&self) -> IndexMap<String, u64> {
        self.lock().runs.clone()
    }

    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn handle(self, mut req: Request) -> Response<BoxBody> {
        if req.path() == "/faults" {
            return self.put_faults(&mut req).await;
        }
        let faults = self.lock().faults.clone();
        if faults.refuse {
            let mut builder = Response::build(StatusCode::SERVICE_UNAVAILABLE);
            builder.insert_header((NOT_RUN_HEADER, "true"));
            return builder.body("refused").map_into_boxed_body();
        }
        let body = match http::body(&mut req).await {
            Ok(body) => body,
            Err(error) => return text(StatusCode::BAD_REQUEST, error),
        };
        let key = header_text(&req, "idempotency-key").unwrap_or("").to_owned();
        let run = self.count_run(req.method(), &key);
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.cut_after_run {
            return aborted_response();
        }
        if faults.fail {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "failed after the run");
        }
        let run_report = json!({ "path": req.path(), "key": key, "run": run, "bytes": body.len() });
        json_response(StatusCode::OK, &run_report)
    }

    fn count_run(&self, method: &Method, key: &str) -> u64 {
        let mut state = self.lock();
        let run = state.runs.entry(key.to_owned()).or_default();
        if *method != Method::GET {
            *run += 1;
        }
        *run
    }

    async fn put_faults(&self, req: &mut Request) -> Response<BoxBody> {
        match json_body(req).await {
            Ok(faults) => {
                self.set_faults(faults);
                text(StatusCode::NO_CONTENT, "")
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error),
        }
    }
}

/// Aborts the connection instead of responding.
fn aborted_response() -> Response<BoxBody> {
    let body = Box::pin(stream::once(async { Err::<Bytes, _>(io::Error::other("cut")) }));
    Response::build(StatusCode::OK).body(BodyStream::new(body)).map_into_boxed_body()
}
