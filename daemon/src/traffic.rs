//! One traffic thread: accepts callers and answers them.

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
    },
    node::{
        control::Input,
        snapshot::Snapshot,
        traffic::{Event, Traffic, TrafficConfig},
    },
};
use tokio::sync::{mpsc, watch};

use crate::flight::{Flight, InFlight};

/// What a traffic thread works with.
#[derive(Debug)]
pub struct Thread {
    /// What the traffic part is told at its start.
    pub cfg: TrafficConfig,
    /// The callers' listener.
    pub listener: TcpListener,
    /// What is decided from.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Counts the requests of all threads.
    pub in_flight: InFlight,
    /// Takes what the control thread is told.
    pub control: mpsc::UnboundedSender<Input>,
    /// Gives what the control thread tells this thread.
    pub inbox: mpsc::UnboundedReceiver<Event>,
    /// Turns true when the thread must end.
    pub stop: watch::Receiver<bool>,
}

impl Thread {
    /// Runs until `stop` turns true.
    pub fn run(self) {
        actix_rt::System::new().block_on(self.run_here());
    }

    async fn run_here(self) {
        let control = self.control;
        let tell = move |input| {
            // The control thread ends only when the daemon does.
            let _ = control.send(input);
        };
        let driver = TrafficDriver::new(Traffic::new(self.cfg), self.snapshot, Box::new(tell));
        actix_rt::spawn(driver.clone().run_timers());
        actix_rt::spawn(driver.clone().run_inbox(self.inbox));
        let edge = CallerHandler::new(driver);
        let in_flight = self.in_flight;
        let handler = move |req: Request| {
            let edge = edge.clone();
            let flight = in_flight.begin();
            async move { hold(edge.handle(req).await, flight) }
        };
        if let Err(error) =
            serve(self.listener, handler, ConnectionCounter::default(), self.stop).await
        {
            log::error!(event = "traffic-thread-ended", error:% = error; "");
        }
    }
}

/// Keeps the request counted until its answer has been sent whole.
fn hold(res: Response<BoxBody>, flight: Flight) -> Response<BoxBody> {
    res.map_body(|_, body| BoxBody::new(HeldBody { body, _flight: flight }))
}

/// A body that counts its request until it is dropped.
struct HeldBody {
    body: BoxBody,
    _flight: Flight,
}

impl MessageBody for HeldBody {
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
