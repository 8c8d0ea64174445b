//! HTTP helpers of the stand-ins: a server thread, request parsing and responses.

use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener},
    thread::JoinHandle,
};

use actix_http::{HttpMessage as _, Request, Response, StatusCode, body::BoxBody, header};
use bytes::{Bytes, BytesMut};
use dogwoodturn::edge::listen::{ConnectionCounter, serve};
use futures_util::{StreamExt as _, future::LocalBoxFuture};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::watch;

/// Header that names a request, and in a response the request that it answers.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header by which an upstream reports that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// A stand-in that serves on a dedicated thread until it is dropped.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl ServerHandle {
    /// Returns the address at which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the stand-in.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Waits until the server thread ends, which it does only if it fails.
    pub fn join(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for ServerHandle {
    /// Stops immediately: open connections are aborted, as when a host is lost.
    fn drop(&mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Serves on a dedicated thread, on which `make_handler` builds the handler.
pub fn start<M, H, F>(name: &str, listen: SocketAddr, make_handler: M) -> io::Result<ServerHandle>
where
    M: FnOnce() -> H + Send + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let thread = std::thread::Builder::new().name(name.into()).spawn(move || {
        actix_rt::System::new().block_on(async move {
            let handler = naming_requests(make_handler());
            // If serving fails, the thread ends and further connections are refused.
            let _ = serve(listener, handler, ConnectionCounter::default(), stopped).await;
        });
    })?;
    Ok(ServerHandle { address, stop, thread: Some(thread) })
}

/// Returns a handler whose responses name the request that they answer.
fn naming_requests<H, F>(
    handler: H,
) -> impl Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>> + Clone
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    move |req| {
        let id = req.headers().get(REQUEST_ID_HEADER).cloned();
        let response = handler(req);
        Box::pin(async move {
            let mut response = response.await;
            if let Some(id) = id {
                let name = header::HeaderName::from_static(REQUEST_ID_HEADER);
                response.headers_mut().insert(name, id);
            }
            response
        })
    }
}

/// Reads the body of a request. Fails if it was truncated.
pub async fn body(req: &mut Request) -> Result<Bytes, String> {
    let mut payload = req.take_payload();
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| format!("the body was truncated: {error}"))?;
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

/// Reads the body of a request as JSON.
pub async fn json_body<T: DeserializeOwned>(req: &mut Request) -> Result<T, String> {
    serde_json::from_slice(&body(req).await?).map_err(|error| error.to_string())
}

/// Returns a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<BoxBody> {
    let body = serde_json::to_vec(value).expect("a wire type is valid JSON");
    let mut builder = Response::build(status);
    builder.insert_header((header::CONTENT_TYPE, "application/json"));
    builder.body(body).map_into_boxed_body()
}

/// Returns a plain-text response.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response<BoxBody> {
    Response::build(status).body(text.into()).map_into_boxed_body()
}

/// Returns a query parameter without decoding; the stand-ins' parameters need no escapes.
pub fn query<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}

/// Returns a header value, unless it is missing or not text.
pub fn header_text<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name)?.to_str().ok()
}
