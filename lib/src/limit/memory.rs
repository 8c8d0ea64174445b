//! Limits on the memory that buffers take in all.
//!
//! Load pattern: hundreds of slow callers, or a faulty upstream that sends bytes without end. A limit on each buffer
//! does not bound their sum, and a host of 160 MB has thousands of connections. See `docs/promises.md`.

use std::{
    cell::Cell,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// A limit that reservations share.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    /// Part of each buffer that needs no reservation, so that short ones have memory beside a flood.
    unreserved: usize,
    /// How often a buffered byte may exist: a buffer grows to twice its content, and copies may be made of it.
    copies: usize,
    reserved: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes, each of which needs a reservation.
    pub fn new(limit: usize) -> Arc<Self> {
        Self::for_buffers(limit, 0, 1)
    }

    /// Creates a budget of `limit` bytes for buffers that grow.
    pub fn for_buffers(limit: usize, unreserved: usize, copies: usize) -> Arc<Self> {
        Arc::new(Self { limit, unreserved, copies, reserved: AtomicUsize::new(0) })
    }

    /// Reserves memory until the reservation is dropped. Returns `None` if the limit would be exceeded.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let reservation = self.begin();
        reservation.cover(bytes).then_some(reservation)
    }

    /// Returns the reservation of a buffer that holds nothing yet.
    pub fn begin(self: &Arc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: Cell::new(0) }
    }
}

/// Memory that is reserved while this exists.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: Cell<usize>,
}

impl Reservation {
    /// Reserves what a buffer needs that holds `buffered` bytes, or releases what it no longer needs. Returns
    /// false if the limit would be exceeded.
    pub fn cover(&self, buffered: usize) -> bool {
        let budget = &self.budget;
        self.resize(buffered.saturating_sub(budget.unreserved).saturating_mul(budget.copies))
    }

    fn resize(&self, bytes: usize) -> bool {
        let reserved = &self.budget.reserved;
        match bytes.checked_sub(self.bytes.get()) {
            Some(more) => {
                let grow = |total: usize| {
                    total.checked_add(more).filter(|total| more == 0 || *total <= self.budget.limit)
                };
                if reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow).is_err() {
                    return false;
                }
            }
            None => {
                reserved.fetch_sub(self.bytes.get() - bytes, Ordering::Relaxed);
            }
        }
        self.bytes.set(bytes);
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
