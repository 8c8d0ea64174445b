//! Accepts connections on one thread and hands each request to a handler.

use std::{cell::Cell, future::Future, io, rc::Rc, time::Duration};

use actix_http::{HttpService, KeepAlive, Request, Response, body::BoxBody};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use tokio::{net::TcpListener, sync::watch};

/// How long a caller may take to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// How long to wait after an accept that failed, as when descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Counts the open connections of one listening thread.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCounter(Rc<Cell<usize>>);

impl ConnectionCounter {
    /// Returns how many connections are open.
    pub fn open(&self) -> usize {
        self.0.get()
    }
}

/// Accepts connections until `stop` turns true; connections that are open then go on.
pub async fn serve<H, F>(
    listener: std::net::TcpListener,
    handler: H,
    connections: ConnectionCounter,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .finish(fn_service(move |req: Request| {
            let answer = handler(req);
            async move { Ok::<_, std::convert::Infallible>(answer.await) }
        }))
        .tcp();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| io::Error::other("the HTTP service did not start"))?;
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&stop| stop) => return Ok(()),
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        // Failing to set the option costs latency only.
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        let count = connections.0.clone();
        count.set(count.get() + 1);
        actix_rt::spawn(async move {
            if let Err(error) = service.call(stream).await {
                log::debug!(event = "connection-ended", error:% = error; "");
            }
            count.set(count.get() - 1);
        });
    }
}
