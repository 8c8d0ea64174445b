//! A traffic thread: accepts connections of callers and answers their requests.

use std::{
    net::TcpListener,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use actix_http::{
    Request, Response,
    body::{BodySize, BoxBody, MessageBody},
};
use arc_swap::ArcSwap;
use bytes::Bytes;
use dogwoodturn::{
    edge::{
        caller::CallerHandler,
        driver::TrafficDriver,
        listen::{ConnectionCounter, serve},
        upstream_links::UpstreamLinks,
    },
    node::{
        control::Input,
        snapshot::Snapshot,
        traffic::{Event, Traffic, TrafficConfig},
    },
};
use tokio::sync::{mpsc, watch};

use crate::in_flight::{InFlight, InFlightGuard};

/// The configuration, listener, channels and shared state of a traffic thread.
#[derive(Debug)]
pub struct TrafficThread {
    /// The configuration of the traffic state machine.
    pub cfg: TrafficConfig,
    pub listener: TcpListener,
    /// The latest snapshot published by the control thread.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// The daemon's links to the upstreams, which its threads share.
    pub links: Arc<UpstreamLinks>,
    /// The number of requests in flight at all threads.
    pub in_flight: InFlight,
    /// Sends inputs to the control thread.
    pub control: mpsc::UnboundedSender<Input>,
    /// Receives events from the control thread.
    pub inbox: mpsc::UnboundedReceiver<Event>,
    /// Becomes true when the thread must end.
    pub stop: watch::Receiver<bool>,
}

impl TrafficThread {
    /// Runs until `stop` becomes true.
    pub fn run(self) {
        actix_rt::System::new().block_on(self.run_async());
    }

    async fn run_async(self) {
        let control = self.control;
        let send_input = move |input| {
            // The control thread ends only when the daemon does.
            let _ = control.send(input);
        };
        let driver = TrafficDriver::new(
            Traffic::new(self.cfg),
            self.snapshot,
            self.links,
            Box::new(send_input),
        );
        actix_rt::spawn(driver.clone().run_timers());
        actix_rt::spawn(driver.clone().run_inbox(self.inbox));
        let caller_handler = CallerHandler::new(driver);
        let in_flight = self.in_flight;
        let handler = move |req: Request| {
            let caller_handler = caller_handler.clone();
            let guard = in_flight.begin();
            async move { attach_guard(caller_handler.handle(req).await, guard) }
        };
        if let Err(error) =
            serve(self.listener, handler, ConnectionCounter::default(), self.stop).await
        {
            log::error!(
                event = "traffic-thread-ended",
                error:% = error;
                "this thread no longer serves callers"
            );
        }
    }
}

/// Keeps the request counted as in flight until its answer has been sent completely.
fn attach_guard(res: Response<BoxBody>, guard: InFlightGuard) -> Response<BoxBody> {
    res.map_body(|_, body| BoxBody::new(GuardedBody { body, _guard: guard }))
}

/// A response body that counts its request as in flight until it is dropped.
struct GuardedBody {
    body: BoxBody,
    _guard: InFlightGuard,
}

impl MessageBody for GuardedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}
