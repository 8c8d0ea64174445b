//! The parts of a response that its caller has not taken yet.
//!
//! Load pattern: hundreds of callers that do not read, while engines send tokens as fast as they can. An engine is not
//! slowed down by a caller, since the response may be resumed from another connection. So what waits for callers has
//! a common limit. A caller that lags when it is reached loses its connection, with all that waits for it, and
//! may resume the response.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::{
    ids::RequestId,
    limit::memory::Reservation,
    node::traffic::BodyOrigin,
    request::{exchange::Head, refusal::Refusal},
};

/// Bytes buffered for a slow caller above which its upstream is not read any further; hundreds of callers may be slow
/// at a time.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// A part of a response to a caller.
#[derive(Debug)]
pub enum Part {
    /// The head of a streamed response; chunks follow.
    Head(RequestId, Box<Head>, BodyOrigin),
    Chunk(Bytes),
    /// The end of a complete streamed response.
    End,
    /// A complete response that is not streamed.
    Full(RequestId, Box<Head>, Bytes),
    /// The refusal that ends a request without a complete response.
    Refusal(Box<Refusal>),
}

impl Part {
    fn body_bytes(&self) -> usize {
        match self {
            Self::Chunk(bytes) | Self::Full(_, _, bytes) => bytes.len(),
            Self::Head(..) | Self::End | Self::Refusal(_) => 0,
        }
    }
}

/// The queue between the state machine and the connection of one caller.
#[derive(Debug)]
pub struct ResponseQueue {
    parts: RefCell<VecDeque<Part>>,
    /// Bytes of bodies in the queue.
    queued: Cell<usize>,
    /// Bytes that were taken from the queue and are still held.
    held: Cell<usize>,
    memory: Reservation,
    /// Whether no more parts follow.
    is_closed: Cell<bool>,
    changed: Notify,
    consumed: Notify,
}

impl ResponseQueue {
    pub fn new(memory: Reservation) -> Self {
        Self {
            parts: RefCell::default(),
            queued: Cell::default(),
            held: Cell::default(),
            memory,
            is_closed: Cell::default(),
            changed: Notify::new(),
            consumed: Notify::new(),
        }
    }

    /// Adds a part. Returns false, and discards all parts, if there is no memory for it.
    #[must_use]
    pub fn push(&self, part: Part) -> bool {
        self.queued.set(self.queued.get() + part.body_bytes());
        let has_memory = self.cover();
        if has_memory {
            self.parts.borrow_mut().push_back(part);
            self.changed.notify_one();
        } else {
            self.parts.borrow_mut().clear();
            self.queued.set(0);
            self.cover();
            self.close();
        }
        has_memory
    }

    /// Ends the queue: no more parts follow.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.changed.notify_one();
        self.consumed.notify_waiters();
    }

    /// Returns the next part, or `None` if no more parts follow. A complete response still counts until the queue is
    /// dropped.
    pub async fn recv(&self) -> Option<Part> {
        loop {
            let part = self.parts.borrow_mut().pop_front();
            if let Some(part) = part {
                let bytes = part.body_bytes();
                self.queued.set(self.queued.get() - bytes);
                if matches!(part, Part::Full(..)) {
                    self.held.set(self.held.get() + bytes);
                }
                self.cover();
                self.consumed.notify_waiters();
                return Some(part);
            }
            if self.is_closed.get() {
                return None;
            }
            self.changed.notified().await;
        }
    }

    /// Counts bytes that were taken from the queue and are held until it is dropped. Returns false if there is no
    /// memory for them.
    pub fn hold(&self, bytes: usize) -> bool {
        self.held.set(self.held.get() + bytes);
        self.cover()
    }

    /// Waits until the bytes in the queue are within the limit, or until nothing is added any more.
    pub async fn wait_for_room(&self) {
        while self.queued.get() > MAX_BUFFERED_BYTES && !self.is_closed.get() {
            self.consumed.notified().await;
        }
    }

    fn cover(&self) -> bool {
        self.memory.cover(self.queued.get() + self.held.get())
    }
}
