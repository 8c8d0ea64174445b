//! Accepts connections on one thread and passes each request to a handler.

use std::{
    cell::Cell,
    future::Future,
    io,
    os::fd::{AsRawFd as _, RawFd},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{HttpService, KeepAlive, Request, Response, body::BoxBody};
use actix_service::{Service as _, ServiceFactory as _, fn_service};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::http::tcp_info::TcpInfo;

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Delay after a failed accept, such as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The socket of a request's connection.
#[derive(Clone, Copy, Debug)]
struct Socket(RawFd);

/// Returns when the last bytes of a request that is being handled arrived in its socket. They may have waited there
/// while this process had no processor, or accepted no connections.
pub fn arrival_time(req: &Request) -> Instant {
    let now = Instant::now();
    let info = req.conn_data::<Socket>().and_then(|socket| TcpInfo::read(&socket.0));
    info.and_then(|info| now.checked_sub(info.since_received)).unwrap_or(now)
}

/// Counts the open connections of one listening thread.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCounter(Rc<Cell<usize>>);

impl ConnectionCounter {
    pub fn open(&self) -> usize {
        self.0.get()
    }
}

/// Accepts connections until `stop` becomes true; open connections continue after that.
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
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
        .on_connect_ext(|stream: &TcpStream, data| {
            data.insert(Socket(stream.as_raw_fd()));
        })
        .finish(fn_service(move |req: Request| {
            let response = handler(req);
            async move { Ok::<_, std::convert::Infallible>(response.await) }
        }))
        .tcp();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| io::Error::other("cannot build the HTTP service of the listener"))?;
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|&stop| stop) => return Ok(()),
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without the option only latency is worse, so a failure is ignored.
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        let count = connections.0.clone();
        count.set(count.get() + 1);
        actix_rt::spawn(async move {
            if let Err(error) = service.call(stream).await {
                log::debug!(event = "connection-ended", error:% = error; "connection ended with an error");
            }
            count.set(count.get() - 1);
        });
    }
}
