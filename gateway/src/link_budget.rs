//! The part of a host's link that messages and documents between daemons, and the lease, may take.
//!
//! Load pattern: hundreds of small hosts, in which a store that returns, a release or a start gives many
//! daemons something to send to all others at the same moment. Requests of callers share the links with these
//! messages and must not wait behind them, and a message that waits behind others is of no use when it
//! arrives. So bytes are counted before they are sent: what exceeds the budget is sent later, with newer
//! content, and never queued. See `docs/design/platform.md`.

use std::time::Duration;

use dogwoodturn::units::Time;

use crate::{lease::RENEWAL_INTERVAL, peers::MESSAGE_INTERVAL};

/// Share of a link that messages may use in each direction.
pub const MESSAGE_LINK_SHARE: f64 = 0.2;
/// Part of the budget that broadcasts of a hub may take. They are the longest messages, and the hub's own
/// reports must not wait behind them.
const BROADCAST_PART: f64 = 0.8;
/// Share of a link that documents for peers may use. Hundreds of peers may want the same one at the same moment,
/// and a table has to be in force everywhere within seconds; with messages, half of the link is left to requests.
pub const DOCUMENT_LINK_SHARE: f64 = 0.3;
/// Share of a link that renewals of the lease may use in each direction: the store's answer repeats the object. They
/// hold the usage counts of all daemons. A request waits this share of the interval of renewals at most.
pub const LEASE_LINK_SHARE: f64 = 0.1;
/// Time of the budget that may be used at once: the interval of states, which are sent to several peers at a
/// time. A request waits for a fifth of it at most behind messages.
const BURST: Duration = MESSAGE_INTERVAL;

/// How far ahead evidence may use the budget: it is short, and each crash that others do not know of costs an
/// upstream.
const EVIDENCE_ADVANCE: Duration = Duration::from_millis(500);
/// How far ahead reports to hubs may use the budget, so that evidence never holds them up: limits over all
/// daemons hold only if the hubs know what each daemon admits.
const HUB_REPORT_ADVANCE: Duration = Duration::from_millis(1000);

/// Returns the length of the usage counts that one renewal of the lease may hold on such a link.
pub fn max_lease_bytes(link_mbps: f64) -> usize {
    (link_mbps * 1e6 / 8.0 * LEASE_LINK_SHARE * RENEWAL_INTERVAL.as_secs_f64()) as usize
}

/// What is charged to the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// A report to a hub, or the sign that a hub is alive.
    HubReport,
    /// What each daemon needs at once, such as evidence of a crash.
    Evidence,
    /// The broadcast of a hub.
    Broadcast,
    /// A report of this daemon to other peers.
    Report,
}

/// Bytes that may be sent now, and how fast they come back.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    bytes_per_s: f64,
    level: f64,
}

impl Bucket {
    fn new(bytes_per_s: f64) -> Self {
        Self { bytes_per_s, level: bytes_per_s * BURST.as_secs_f64() }
    }

    fn capacity(&self) -> f64 {
        self.bytes_per_s * BURST.as_secs_f64()
    }

    fn refill(&mut self, elapsed: Duration) {
        self.level = (self.level + self.bytes_per_s * elapsed.as_secs_f64()).min(self.capacity());
    }

    /// Returns how many messages of `length` bytes may be sent, with what comes back within `advance`. The
    /// last one may exceed that, so that a message longer than the bucket is sent at all.
    fn affordable(&self, length: usize, advance: Duration) -> usize {
        let level = self.level + self.bytes_per_s * advance.as_secs_f64();
        if level <= 0.0 { 0 } else { (level / length.max(1) as f64).ceil() as usize }
    }

    fn take(&mut self, bytes: usize) {
        self.level -= bytes as f64;
    }
}

/// The budget of one daemon.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    all: Bucket,
    broadcasts: Bucket,
    documents: Bucket,
    refilled: Option<Time>,
}

impl LinkBudget {
    /// Creates the budget of a host whose link has this bandwidth in Mbit/s.
    pub fn new(link_mbps: f64) -> Self {
        // In no second may more be sent than the share, including the burst.
        let link = link_mbps * 1e6 / 8.0 / (1.0 + BURST.as_secs_f64());
        let bytes_per_s = link * MESSAGE_LINK_SHARE;
        Self {
            all: Bucket::new(bytes_per_s),
            broadcasts: Bucket::new(bytes_per_s * BROADCAST_PART),
            documents: Bucket::new(link * DOCUMENT_LINK_SHARE),
            refilled: None,
        }
    }

    /// Returns the bytes per second that broadcasts may take.
    pub fn broadcast_rate(&self) -> f64 {
        self.broadcasts.bytes_per_s
    }

    /// Charges a document of `length` bytes for a peer, and reports whether it may be sent now.
    pub fn charge_document(&mut self, now: Time, length: usize) -> bool {
        self.refill(now);
        let is_allowed = self.documents.affordable(length, Duration::ZERO) > 0;
        if is_allowed {
            self.documents.take(length);
        }
        is_allowed
    }

    /// Reports whether a document may be sent now.
    pub fn allows_document(&mut self, now: Time) -> bool {
        self.refill(now);
        self.documents.affordable(1, Duration::ZERO) > 0
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled.unwrap_or(now));
        self.refilled = Some(now);
        for bucket in [&mut self.all, &mut self.broadcasts, &mut self.documents] {
            bucket.refill(elapsed);
        }
    }

    /// Charges up to `wanted` messages of `length` bytes, and returns how many may be sent now.
    pub fn charge(&mut self, now: Time, charge: Charge, length: usize, wanted: usize) -> usize {
        self.refill(now);
        let count = match charge {
            Charge::HubReport => self.all.affordable(length, HUB_REPORT_ADVANCE),
            Charge::Evidence => self.all.affordable(length, EVIDENCE_ADVANCE),
            Charge::Report => self.all.affordable(length, Duration::ZERO),
            Charge::Broadcast => {
                let of_all = self.all.affordable(length, Duration::ZERO);
                of_all.min(self.broadcasts.affordable(length, Duration::ZERO))
            }
        };
        let count = count.min(wanted);
        self.all.take(count * length);
        if charge == Charge::Broadcast {
            self.broadcasts.take(count * length);
        }
        count
    }
}
