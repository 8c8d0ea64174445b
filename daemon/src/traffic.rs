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
        caller::CallerEdge,
        listen::{Connections, serve},
    },
    node::snapshot::Snapshot,
};
use tokio::sync::watch;

use crate::flight::{Flight, InFlight};

/// Runs until `stop` turns true.
pub fn run(
    listener: TcpListener,
    snapshot: Arc<ArcSwap<Snapshot>>,
    in_flight: InFlight,
    stop: watch::Receiver<bool>,
) {
    actix_rt::System::new().block_on(async move {
        let edge = CallerEdge::new(snapshot);
        let handler = move |req: Request| {
            let edge = edge.clone();
            let flight = in_flight.begin();
            async move { hold(edge.handle(req).await, flight) }
        };
        if let Err(error) = serve(listener, handler, Connections::default(), stop).await {
            log::error!(event = "traffic-thread-ended", error:% = error; "");
        }
    });
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
