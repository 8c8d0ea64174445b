//! Counts the requests in flight over all traffic threads.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The number of requests in flight at one daemon.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<AtomicUsize>);

/// Counts one request until it is dropped.
#[derive(Debug)]
pub struct Flight(Arc<AtomicUsize>);

impl InFlight {
    /// Counts a request from now on.
    pub fn begin(&self) -> Flight {
        self.0.fetch_add(1, Ordering::SeqCst);
        Flight(self.0.clone())
    }

    /// Returns how many requests are in flight.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
