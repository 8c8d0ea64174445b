//! A model engine that streams tokens.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use actix_http::{
    Request, Response, StatusCode,
    body::{BodyStream, BoxBody},
    header,
};
use bytes::Bytes;
use futures_util::stream;
use serde::{Deserialize, Serialize};

use crate::http::{self, Running, json, json_body, text};

/// The path of completions.
pub const COMPLETIONS: &str = "/v1/completions";

/// Asks for a completion.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionWire {
    /// The text to go on from.
    pub prompt: String,
    /// How many tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Whether to stream the tokens as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

fn default_max_tokens() -> u64 {
    16
}

/// The state of an engine stand-in, shared with the test that started it.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    generated: Arc<AtomicU64>,
}

impl Engine {
    /// Makes an engine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves it at `listen`.
    pub fn start(&self, listen: SocketAddr) -> io::Result<Running> {
        let engine = self.clone();
        http::start("engine", listen, move || {
            move |req: Request| {
                let engine = engine.clone();
                async move { engine.answer(req).await }
            }
        })
    }

    /// Returns how many tokens it has generated.
    pub fn generated(&self) -> u64 {
        self.generated.load(Ordering::Relaxed)
    }

    async fn answer(self, mut req: Request) -> Response<BoxBody> {
        if !req.path().ends_with(COMPLETIONS) {
            return text(StatusCode::NOT_FOUND, "no such path");
        }
        let wire: CompletionWire = match json_body(&mut req).await {
            Ok(wire) => wire,
            Err(error) => return text(StatusCode::BAD_REQUEST, error),
        };
        self.generated.fetch_add(wire.max_tokens, Ordering::Relaxed);
        if !wire.stream {
            let answer: String = (0..wire.max_tokens).map(|i| token(&wire.prompt, i)).collect();
            return json(StatusCode::OK, &serde_json::json!({ "text": answer }));
        }
        let events = (0..=wire.max_tokens).map(move |index| {
            let event = if index < wire.max_tokens {
                let data = serde_json::json!({ "text": token(&wire.prompt, index) });
                format!("id: {index}\ndata: {data}\n\n")
            } else {
                "data: [DONE]\n\n".into()
            };
            Ok::<_, io::Error>(Bytes::from(event))
        });
        let mut builder = Response::build(StatusCode::OK);
        builder.insert_header((header::CONTENT_TYPE, "text/event-stream"));
        builder.body(BodyStream::new(stream::iter(events))).map_into_boxed_body()
    }
}

/// Returns the token that every engine generates for a prompt at an index.
pub fn token(prompt: &str, index: u64) -> String {
    let length = prompt.len() as u64;
    format!("t{} ", (length.wrapping_mul(31) + index).wrapping_mul(2_654_435_761) % 10_000)
}
