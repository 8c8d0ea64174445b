//! The control thread: runs the control state and carries out what it asks for.

use std::{
    net::TcpListener,
    rc::Rc,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use actix_http::Request;
use arc_swap::ArcSwap;
use dogwoodturn::{
    edge::{
        listen::{Connections, serve},
        operator::OperatorEdge,
    },
    ids::Incarnation,
    node::{
        control::{Control, Input, Output},
        snapshot::Snapshot,
    },
    platform::http::HttpPlatform,
    supply::{self, Identity, lease::Holder},
    units::{Time, WallTime},
};
use tokio::{
    sync::{mpsc, watch},
    time::{Duration, sleep},
};

use crate::settings::Settings;

/// How long to sleep when the control state wants no wakeup.
const LONGEST_SLEEP: Duration = Duration::from_mins(1);

fn wall_now() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime(elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64))
}

/// What orders to engines are sent with: a client, and the clock that their times go by.
#[derive(Clone)]
struct Engines {
    client: awc::Client,
    started: Instant,
}

/// What the control thread works with.
#[derive(Debug)]
pub struct Adapter {
    /// The daemon's settings.
    pub settings: Settings,
    /// Where snapshots are published.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// The operators' listener.
    pub operators: TcpListener,
    /// Takes inputs, so that answers to calls come back.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Gives inputs.
    pub received: mpsc::UnboundedReceiver<Input>,
    /// Turns true when the thread must end.
    pub stop: watch::Receiver<bool>,
}

impl Adapter {
    /// Runs until `stop` turns true.
    pub fn run(self) {
        actix_rt::System::new().block_on(self.run_here());
    }

    async fn run_here(mut self) {
        let started = Instant::now();
        let platform = HttpPlatform::new(&self.settings.platform);
        let edge = OperatorEdge::new(
            self.snapshot.clone(),
            &self.settings.operator_token,
            Rc::new(String::new),
        );
        let operators = self.operators.try_clone();
        let stop = self.stop.clone();
        actix_rt::spawn(async move {
            let handler = move |req: Request| std::future::ready(edge.handle(&req));
            let served = match operators {
                Ok(listener) => serve(listener, handler, Connections::default(), stop).await,
                Err(error) => Err(error),
            };
            if let Err(error) = served {
                log::error!(event = "operators-listener-ended", error:% = error; "");
            }
        });
        let mut control = Control::new();
        let mut out = Vec::new();
        let now = Time(started.elapsed().as_micros() as u64);
        control.identify(now, self.identity(), &mut out);
        let engines = Engines { client: awc::Client::default(), started };
        let mut input = Input::Started;
        loop {
            let now = Time(started.elapsed().as_micros() as u64);
            let mut out = Vec::new();
            control.handle(now, Input::Clock(wall_now()), &mut out);
            control.handle(now, input, &mut out);
            for output in out {
                self.carry_out(&platform, &engines, output);
            }
            let wait = control.next_wakeup().map_or(LONGEST_SLEEP, |at| at.since(now));
            input = tokio::select! {
                received = self.received.recv() => match received {
                    Some(received) => received,
                    None => return,
                },
                () = sleep(wait) => Input::Woken,
                _ = self.stop.wait_for(|&stop| stop) => return,
            };
        }
    }

    fn identity(&self) -> Identity {
        let daemon = self.settings.name.clone();
        let incarnation = Incarnation(wall_now().0);
        let holder = Holder { daemon, incarnation };
        Identity { holder, data_centre: self.settings.data_centre.clone() }
    }

    fn carry_out(&self, platform: &HttpPlatform, engines: &Engines, output: Output) {
        match output {
            Output::Call { owner, call, operation, .. } => {
                let platform = platform.clone();
                let inputs = self.inputs.clone();
                actix_rt::spawn(async move {
                    let result = platform.call(&operation).await;
                    // The receiver is gone only when the thread ends.
                    let _ = inputs.send(Input::Called(owner, call, result));
                });
            }
            Output::Publish(snapshot) => {
                log::info!(
                    event = "snapshot",
                    generation:% = snapshot.generation,
                    hosts = snapshot.hosts.len(),
                    ready = snapshot.ready();
                    ""
                );
                self.snapshot.store(snapshot);
            }
            Output::ClaimAnswered(..) | Output::Send(..) => {}
            Output::Order(order) => {
                let engines = engines.clone();
                let inputs = self.inputs.clone();
                actix_rt::spawn(async move {
                    let clock = || Time(engines.started.elapsed().as_micros() as u64);
                    let end = supply::http::give(&engines.client, &order, clock).await;
                    // The receiver is gone only when the thread ends.
                    let _ = inputs.send(Input::Ordered(order.id, end));
                });
            }
            Output::Audit(event) => log::info!(
                event = "audit",
                actor:% = event.actor,
                object:% = event.object,
                action:% = event.action,
                generation:% = event.generation,
                cause:% = event.cause;
                ""
            ),
            Output::Refused(reason) => log::warn!(event = "refused", reason:% = reason; ""),
        }
    }
}
