//! Writes the claims of one shard: all queued items are batched into one conditional update of the
//! head page.
//!
//! At most one call is open at a time. Every answer is based on a head that was read or whose write
//! was confirmed. After a lost answer the head is read again, and an item whose id it contains has
//! been written. See `docs/design/claims.md`.

mod read;
mod write;

use std::{collections::VecDeque, time::Duration};

use crate::{
    claim::{
        ClaimId,
        index::{Index, MissingPage, Sealed},
        item::{Item, ItemAnswer, ItemOperation},
        page::{Page, ShardKey},
    },
    ids::{DaemonId, Revision},
    store::{CallError, Operation, Reply, token_bucket::TokenBucket},
    units::{Time, WallTime},
};

/// The queue length at which a shard refuses further claims.
const MAX_QUEUE: usize = 4_000;
/// The most sealed pages that a shard caches in memory.
const MAX_CACHED_PAGES: usize = 8;
/// The wait after the first failed call; doubled with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// The longest wait after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// The shortest retry time that is reported to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How many times [`FIRST_BACKOFF`] is doubled at most.
const MAX_DOUBLINGS: u32 = 6;

/// The inputs of a shard's decisions other than its own state.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// The daemon's monotonic clock.
    pub now: Time,
    pub wall: WallTime,
    /// How long a claim is retained.
    pub retention: Duration,
    /// The size at which a head is sealed, in bytes.
    pub seal_bytes: usize,
    /// The number of sealed pages at which a summary is written.
    pub summary_pages: usize,
}

/// An output of a shard, to be executed by its owner.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Calls the platform; at most one call is open.
    Call(Operation),
    /// Sends the answer to an item to its origin.
    Answer(Origin, ClaimId, ItemAnswer),
    /// The platform refused a call, or a stored page is damaged.
    Rejected(Box<str>),
}

/// The source of an item.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Origin {
    Local,
    Peer(DaemonId),
}

#[derive(Clone, Debug)]
struct QueuedItem {
    item: Item,
    origin: Origin,
    /// The step number of its arrival; arrivals and issued calls are numbered in one sequence.
    arrival: u64,
    deadline: Option<Time>,
    attempt: Option<WriteAttempt>,
}

/// A write that contains an item and may have taken effect, or may do so later.
#[derive(Clone, Copy, Debug)]
struct WriteAttempt {
    /// The revision that the write is conditional on. Once the head has a different one, the write
    /// can no longer take effect.
    base: Option<Revision>,
    /// Whether the call is still open; its error may prove that the write had no effect.
    open: bool,
}

#[derive(Clone, Debug)]
struct Head {
    revision: Option<Revision>,
    page: Page,
    bytes: usize,
    /// When the call that confirmed the head was issued.
    issued_at: Time,
    /// The step number of that call.
    confirmed_at_step: u64,
}

#[derive(Clone, Debug, Default)]
enum Work {
    #[default]
    Idle,
    ReadingHead,
    ReadingSealed(Revision),
    ReadingSummary(Revision),
    Sealing(Sealed),
    Summarising,
    Writing {
        page: Page,
        bytes: usize,
    },
}

/// One daemon's state of a shard: its queue, the known head and the open call.
#[derive(Clone, Debug)]
pub struct Shard {
    key: ShardKey,
    queue: VecDeque<QueuedItem>,
    head: Option<Head>,
    index: Index,
    /// The sealed pages last written or read, oldest first.
    page_cache: VecDeque<(Revision, Page)>,
    /// The keys of the head's sealed copy, once that copy is written.
    sealed: Option<Sealed>,
    /// Whether the summary of the head's sealed pages has been written.
    summary_written: bool,
    work: Work,
    /// The time and the step number of the last issued call.
    issued: (Time, u64),
    last_step: u64,
    /// Whether a read is due: of a sealed page, before the next write, or else of the head, if
    /// nothing is written.
    read_due: bool,
    /// The number of consecutive failed calls.
    failures: u32,
    backoff_until: Time,
}

impl Shard {
    pub fn new(key: ShardKey) -> Self {
        Self {
            key,
            queue: VecDeque::new(),
            head: None,
            index: Index::default(),
            page_cache: VecDeque::new(),
            sealed: None,
            summary_written: false,
            work: Work::Idle,
            issued: (Time(0), 0),
            last_step: 0,
            read_due: false,
            failures: 0,
            backoff_until: Time(0),
        }
    }

    /// Reports whether items are queued or a call is open.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty() || !matches!(self.work, Work::Idle)
    }

    pub fn queued_items(&self) -> usize {
        self.queue.len()
    }

    /// Discards a head last confirmed before `since`, unless a call that depends on it is open.
    pub fn discard_old_head(&mut self, since: Time) {
        let old = self.head.as_ref().is_some_and(|head| head.issued_at < since);
        if old && matches!(self.work, Work::Idle) {
            self.head = None;
        }
    }

    /// Returns when [`Shard::advance`] is due, given the time at which the budget allows a write.
    pub fn next_wakeup(&self, budget: Time) -> Option<Time> {
        let deadline = self.queue.iter().filter_map(|queued| queued.deadline).min();
        let turn = self.queue.front().map(|_| budget.max(self.backoff_until));
        match self.work {
            Work::Idle => [deadline, turn].into_iter().flatten().min(),
            _ => deadline,
        }
    }

    /// Queues an item. A claim is refused at once during a back-off or if the queue is full.
    pub fn push(
        &mut self,
        cx: &Context,
        origin: Origin,
        item: Item,
        deadline: Option<Time>,
        out: &mut Vec<Effect>,
    ) {
        if self.queue.iter().any(|queued| queued.item == item && queued.origin == origin) {
            return;
        }
        let claim = item.operation == ItemOperation::Claim;
        if claim && (self.backoff_until > cx.now || self.queue.len() >= MAX_QUEUE) {
            let retry_after = self.retry_after(cx.now);
            let answer = ItemAnswer::Failed { retry_after, may_take_effect: false };
            out.push(Effect::Answer(origin, item.id, answer));
            return;
        }
        if item.operation == ItemOperation::Release {
            // The daemon has withdrawn the claim; if it was written, the release finds its record.
            let withdrawn =
                |w: &QueuedItem| w.item.id == item.id && w.item.operation == ItemOperation::Claim;
            self.queue.retain(|queued| !withdrawn(queued));
        }
        let arrival = self.next_step();
        self.queue.push_back(QueuedItem { item, origin, arrival, deadline, attempt: None });
    }

    /// Fails overdue items, answers those that the head decides, and issues the next call.
    pub fn advance(&mut self, cx: &Context, budget: &mut TokenBucket, out: &mut Vec<Effect>) {
        self.fail_overdue(cx, out);
        if !matches!(self.work, Work::Idle) || self.queue.is_empty() || self.backoff_until > cx.now
        {
            return;
        }
        let Some(head) = &self.head else {
            return self.issue(cx, Work::ReadingHead, Operation::Get(self.key.head()), out);
        };
        match self.index.missing(&head.page) {
            Some(MissingPage::Sealed(revision)) => return self.read_sealed(cx, revision, out),
            Some(MissingPage::Summary(revision)) => return self.read_summary(cx, revision, out),
            None => {}
        }
        self.answer_decided(cx, out);
        self.issue_next(cx, budget, out);
    }

    /// Processes the result of the open call.
    pub fn handle_call_result(
        &mut self,
        cx: &Context,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        let work = std::mem::take(&mut self.work);
        if matches!(work, Work::Writing { .. }) {
            self.close_write_attempts(matches!(result, Err(CallError::Unknown)));
        }
        match (work, result) {
            (Work::ReadingHead, Ok(Reply::Object(object))) => self.handle_head(cx, object, out),
            (Work::ReadingSealed(revision), Ok(Reply::Object(Some(object)))) => {
                self.handle_sealed(cx, revision, &object, out);
            }
            (Work::ReadingSummary(revision), Ok(Reply::Object(Some(object)))) => {
                self.handle_summary(cx, revision, &object, out);
            }
            // The name of a sealed page or summary determines its content, so an existing one is
            // identical.
            (Work::Sealing(sealed), Ok(_) | Err(CallError::Conflict(_))) => {
                self.failures = 0;
                if let Some(head) = &self.head {
                    let page = head.page.sealed_copy();
                    self.cache_page(sealed.revision, page);
                }
                self.sealed = Some(sealed);
            }
            (Work::Summarising, Ok(_) | Err(CallError::Conflict(_))) => {
                self.failures = 0;
                self.summary_written = true;
            }
            (Work::Writing { page, bytes }, Ok(Reply::Written(revision))) => {
                self.failures = 0;
                if self.summary_written {
                    self.index.mark_summary_loaded(&page);
                }
                let (issued_at, confirmed_at_step) = self.issued;
                let head =
                    Head { revision: Some(revision), page, bytes, issued_at, confirmed_at_step };
                self.replace_head(head);
            }
            (Work::Writing { .. }, Err(CallError::Unknown | CallError::Conflict(_))) => {
                self.head = None;
            }
            (Work::Sealing(_) | Work::Summarising, Err(CallError::Unknown)) => {}
            (_, Err(CallError::Unknown)) => self.back_off(cx),
            (_, Err(error)) => self.failed(cx, &error, out),
            // A listed page that no longer exists was collected after the head was read.
            (_, Ok(_)) => self.head = None,
        }
    }

    /// Caches a sealed page, and evicts the oldest entry if the cache is full.
    fn cache_page(&mut self, revision: Revision, page: Page) {
        self.page_cache.retain(|(cached, _)| *cached != revision);
        if self.page_cache.len() >= MAX_CACHED_PAGES {
            self.page_cache.pop_front();
        }
        self.page_cache.push_back((revision, page));
    }

    fn next_step(&mut self) -> u64 {
        self.last_step += 1;
        self.last_step
    }

    /// Marks the open write as closed. Its attempts are kept if `unknown`, as the write may have
    /// taken effect or may still do so.
    fn close_write_attempts(&mut self, unknown: bool) {
        for queued in &mut self.queue {
            match &mut queued.attempt {
                Some(attempt) if attempt.open && unknown => attempt.open = false,
                Some(attempt) if attempt.open => queued.attempt = None,
                _ => {}
            }
        }
    }

    fn issue(&mut self, cx: &Context, work: Work, operation: Operation, out: &mut Vec<Effect>) {
        self.work = work;
        self.issued = (cx.now, self.next_step());
        out.push(Effect::Call(operation));
    }

    fn failed(&mut self, cx: &Context, error: &CallError, out: &mut Vec<Effect>) {
        if let CallError::Refused(reason) = error {
            out.push(Effect::Rejected(
                format!("the platform refused a call for claims of {:?}: {reason}", self.key)
                    .into(),
            ));
        }
        // Other daemons may change the head before the platform is available again.
        self.head = None;
        self.back_off_and_fail_claims(cx, out);
    }

    /// Backs off before the next call, and fails the queued claims instead of letting them wait.
    fn back_off_and_fail_claims(&mut self, cx: &Context, out: &mut Vec<Effect>) {
        self.back_off(cx);
        let retry_after = self.retry_after(cx.now);
        self.fail_matching(
            |queued| queued.item.operation == ItemOperation::Claim,
            retry_after,
            out,
        );
    }

    fn back_off(&mut self, cx: &Context) {
        let wait = FIRST_BACKOFF * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        let spread = u64::from(self.key.number) * wait.as_micros() as u64 / 16;
        self.backoff_until = cx.now + (wait + Duration::from_micros(spread)).min(MAX_BACKOFF);
    }

    fn retry_after(&self, now: Time) -> Duration {
        self.backoff_until.since(now).max(MIN_RETRY_AFTER)
    }

    fn fail_overdue(&mut self, cx: &Context, out: &mut Vec<Effect>) {
        let now = cx.now;
        let overdue = |queued: &QueuedItem| queued.deadline.is_some_and(|at| at <= now);
        self.fail_matching(overdue, self.retry_after(now), out);
    }

    fn fail_matching(
        &mut self,
        which: impl Fn(&QueuedItem) -> bool,
        retry_after: Duration,
        out: &mut Vec<Effect>,
    ) {
        self.queue.retain(|queued| {
            let failed_now = which(queued);
            if failed_now {
                let answer =
                    ItemAnswer::Failed { retry_after, may_take_effect: queued.attempt.is_some() };
                let origin = queued.origin.clone();
                out.push(Effect::Answer(origin, queued.item.id.clone(), answer));
            }
            !failed_now
        });
    }
}
