//! Counts the requests in flight over all traffic threads.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// The number of requests in flight at one daemon, shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<AtomicUsize>);

/// Counts one request as in flight until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl InFlight {
    /// Counts a request as in flight until the returned guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.0.clone())
    }

    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
