//! A plain service that counts how often each key ran.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use actix_http::{Method, Request, Response, StatusCode, body::BoxBody};
use indexmap::IndexMap;
use serde_json::json;

use crate::http::{self, Running, header_text, json as json_response};

/// The state of a plain stand-in, shared with the test that started it.
#[derive(Clone, Debug, Default)]
pub struct Plain {
    runs: Arc<Mutex<IndexMap<String, u64>>>,
}

impl Plain {
    /// Makes a service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves it at `listen`.
    pub fn start(&self, listen: SocketAddr) -> io::Result<Running> {
        let plain = self.clone();
        http::start("plain", listen, move || {
            move |req: Request| {
                let plain = plain.clone();
                async move { plain.answer(req).await }
            }
        })
    }

    /// Returns how often each key ran.
    pub fn runs(&self) -> IndexMap<String, u64> {
        self.runs.lock().expect("no holder of the lock panics").clone()
    }

    async fn answer(self, mut req: Request) -> Response<BoxBody> {
        let body = http::body(&mut req).await;
        let key = header_text(&req, "idempotency-key").unwrap_or("").to_owned();
        let run = {
            let mut runs = self.runs.lock().expect("no holder of the lock panics");
            let run = runs.entry(key.clone()).or_default();
            if req.method() != Method::GET {
                *run += 1;
            }
            *run
        };
        let answer = json!({ "path": req.path(), "key": key, "run": run, "bytes": body.len() });
        json_response(StatusCode::OK, &answer)
    }
}
