//! A model engine stand-in over HTTP: continuous batching, prefix cache, resumption, orders and
//! faults.

pub mod cache;
pub mod faults;
pub mod model;
pub mod wire;

mod server;

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use dogwoodturn::{ids::FencingNumber, units::Time};
use indexmap::IndexMap;
use tokio::sync::{Notify, mpsc};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    engine::{
        faults::Faults,
        model::{EngineConfig, EngineModel, Output},
        wire::{LoadWire, OrderWire},
    },
    http::{self, ServerHandle},
};

/// Suffix of the path of completions, after any route.
pub const COMPLETIONS: &str = "/v1/completions";

/// The state of an engine stand-in, shared with the test that started it.
#[derive(Clone, Debug)]
pub struct Engine {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    // Wakes the task that steps the model.
    submitted: Notify,
    started: Instant,
}

#[derive(Debug)]
struct State {
    model: EngineModel,
    faults: Faults,
    streams: IndexMap<String, mpsc::UnboundedSender<Output>>,
    loads: VecDeque<(Time, LoadWire)>,
    load_lag: Duration,
    crashes: u64,
    fencing: FencingNumber,
    orders: Vec<OrderWire>,
    stale_orders: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(cfg: EngineConfig) -> Self {
        let state = State {
            model: EngineModel::new(cfg),
            faults: Faults::default(),
            streams: IndexMap::new(),
            loads: VecDeque::new(),
            load_lag: Duration::from_millis(200),
            crashes: 0,
            fencing: FencingNumber(0),
            orders: Vec::new(),
            stale_orders: 0,
        };
        let shared =
            Shared { state: Mutex::new(state), submitted: Notify::new(), started: Instant::now() };
        Self { shared: Arc::new(shared) }
    }

    /// Serves the engine at `listen`.
    pub fn start(&self, listen: SocketAddr) -> io::Result<ServerHandle> {
        let engine = self.clone();
        http::start("engine", listen, move || {
            actix_rt::spawn(engine.clone().run());
            move |req| engine.clone().handle(req)
        })
    }

    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    pub fn generated_tokens(&self) -> u64 {
        self.lock().model.total_generated_tokens()
    }

    /// Returns how many prompt tokens the engine has computed, and how many it has found in its
    /// cache.
    pub fn prompt_tokens(&self) -> (u64, u64) {
        let state = self.lock();
        (state.model.total_computed_tokens(), state.model.total_cached_tokens())
    }

    /// Returns how often the engine has crashed.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes
    }

    /// Returns the orders that the engine has applied.
    pub fn orders(&self) -> Vec<OrderWire> {
        self.lock().orders.clone()
    }

    /// Returns how many orders with a stale fencing number the engine has applied.
    pub fn stale_orders(&self) -> u64 {
        self.lock().stale_orders
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder of the lock panics")
    }

    fn now(&self) -> Time {
        Time(self.shared.started.elapsed().as_micros() as u64)
    }
}

/// Returns the token that every engine generates for a prompt at an index.
pub fn token(prompt: &str, index: u64) -> String {
    token_of(prompt_hash(prompt), index)
}

fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

fn token_of(prompt_hash: u64, index: u64) -> String {
    format!("t{} ", xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash) % 10_000)
}
