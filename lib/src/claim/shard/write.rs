//! Answers the items that a shard's head decides, and writes the others.

use bytes::Bytes;

use super::{Context, Effect, Head, Shard, Work, WriteAttempt};
use crate::{
    claim::{
        index::Sealed,
        item::{Item, ItemAnswer, ItemOperation},
        page::{Decision, Page, Record, decide},
        wire::{PageWire, SummaryWire},
    },
    declaration::wire,
    ids::Revision,
    store::{Condition, MAX_VALUE_BYTES, Operation, token_bucket::TokenBucket},
};

/// The most items in one write.
const MAX_BATCH: usize = 1_000;
/// The largest head that is written. It leaves a margin below the platform's limit.
const MAX_HEAD_BYTES: usize = MAX_VALUE_BYTES * 9 / 10;

enum Lookup<'a> {
    Record(Option<&'a Record>),
    NotLoaded(Revision),
}

impl Shard {
    /// Finds the latest record of a key in `page`, the head, or the sealed pages.
    fn find<'a>(&'a self, page: &'a Page, key: &str) -> Lookup<'a> {
        if let Some(record) = page.records.get(key) {
            return Lookup::Record(Some(record));
        }
        if let Some(head) = &self.head
            && let Some(record) = head.page.records.get(key)
        {
            return Lookup::Record(Some(record));
        }
        let Some(location) = self.index.locate(key) else { return Lookup::Record(None) };
        match self.page_cache.iter().find(|(revision, _)| *revision == location) {
            Some((_, page)) => Lookup::Record(page.records.get(key)),
            None => Lookup::NotLoaded(location),
        }
    }

    /// Answers every queued item that the known head decides.
    pub(super) fn answer_decided(&mut self, cx: &Context, out: &mut Vec<Effect>) {
        let Some(head) = self.head.take() else { return };
        let queue = std::mem::take(&mut self.queue);
        for mut queued in queue {
            let decision = match self.find(&head.page, &queued.item.key) {
                Lookup::Record(record) => decide(&queued.item, record, cx.wall, cx.retention),
                Lookup::NotLoaded(_) => {
                    self.queue.push_back(queued);
                    continue;
                }
            };
            match decision {
                // Another daemon may have changed the record since the head was confirmed.
                Decision::Answer(ItemAnswer::Unresolved | ItemAnswer::Done)
                    if queued.arrival > head.confirmed_at_step =>
                {
                    self.read_due = true;
                    self.queue.push_back(queued);
                }
                Decision::Answer(answer) => {
                    out.push(Effect::Answer(queued.origin, queued.item.id, answer));
                }
                Decision::Write(_) => {
                    queued.attempt = queued.attempt.filter(|attempt| attempt.base == head.revision);
                    self.queue.push_back(queued);
                }
            }
        }
        self.head = Some(head);
    }

    pub(super) fn issue_next(
        &mut self,
        cx: &Context,
        budget: &mut TokenBucket,
        out: &mut Vec<Effect>,
    ) {
        let Some(head) = &self.head else { return };
        let page_to_read =
            self.queue.iter().find_map(|queued| match self.find(&head.page, &queued.item.key) {
                Lookup::NotLoaded(revision) => Some(revision),
                Lookup::Record(_) => None,
            });
        if let Some(revision) = page_to_read
            && self.read_due
        {
            self.read_due = false;
            return self.read_sealed(cx, revision, out);
        }
        if self.write(cx, budget, out) {
            self.read_due = page_to_read.is_some();
        } else if let Some(revision) = page_to_read {
            self.read_sealed(cx, revision, out);
        } else if std::mem::take(&mut self.read_due) {
            self.issue(cx, Work::ReadingHead, Operation::Get(self.key.head()), out);
        }
    }

    /// Issues the next write if there is something to write and the budget allows it.
    ///
    /// Returns false if no write was needed or allowed.
    fn write(&mut self, cx: &Context, budget: &mut TokenBucket, out: &mut Vec<Effect>) -> bool {
        let Some(head) = &self.head else { return false };
        if !self.needs_write(cx, &head.page) || !budget.try_acquire(cx.now) {
            return false;
        }
        if let Some(revision) = head.revision {
            let pages = self.index.pages_to_summarise(&head.page);
            let complete = pages.len() == head.page.sealed.len();
            if complete && pages.len() >= cx.summary_pages && !self.summary_written {
                let value = wire::encode(&SummaryWire::from(&*pages)).into();
                let key = self.key.summary(revision);
                let operation = Operation::Put { key, value, condition: Condition::Absent };
                self.issue(cx, Work::Summarising, operation, out);
                return true;
            }
            if head.bytes >= cx.seal_bytes && self.sealed.is_none() {
                let sealed = Sealed::of(revision, &head.page);
                let value = wire::encode(&PageWire::from(head.page.sealed_copy())).into();
                let key = self.key.sealed(revision);
                let operation = Operation::Put { key, value, condition: Condition::Absent };
                self.issue(cx, Work::Sealing(sealed), operation, out);
                return true;
            }
        }
        let base = head.revision;
        let (page, written) = self.next_page(cx, head);
        if written.is_empty() {
            // The page has no room before older claims expire.
            self.back_off_and_fail_claims(cx, out);
            return true;
        }
        for index in written {
            let attempt = &mut self.queue[index].attempt;
            *attempt = attempt.or(Some(WriteAttempt { base, open: true }));
        }
        let value = wire::encode(&PageWire::from(page.clone()));
        let bytes = value.len();
        let condition = base.map_or(Condition::Absent, Condition::Revision);
        let operation = Operation::Put { key: self.key.head(), value: value.into(), condition };
        self.issue(cx, Work::Writing { page, bytes }, operation, out);
        true
    }

    fn needs_write(&self, cx: &Context, page: &Page) -> bool {
        self.queue.iter().any(|queued| match self.find(page, &queued.item.key) {
            Lookup::Record(record) => {
                let decision = decide(&queued.item, record, cx.wall, cx.retention);
                matches!(decision, Decision::Write(_))
            }
            Lookup::NotLoaded(_) => false,
        })
    }

    /// Returns the page that follows `head`, and the queue indices of the items in it.
    fn next_page(&self, cx: &Context, head: &Head) -> (Page, Vec<usize>) {
        let mut page = head.page.clone();
        if let Some(revision) = head.revision.filter(|_| self.summary_written) {
            page = page.after_summary(revision);
        }
        if let Some(sealed) = &self.sealed {
            page = page.after_sealing(sealed.revision);
        }
        page.expire(cx.wall, cx.retention);
        let mut written = Vec::new();
        let used_bytes = if self.sealed.is_some() { 0 } else { head.bytes };
        let mut room_bytes = MAX_HEAD_BYTES.saturating_sub(used_bytes);
        for (index, queued) in self.queue.iter().enumerate() {
            let Lookup::Record(record) = self.find(&page, &queued.item.key) else { continue };
            let Decision::Write(record) = decide(&queued.item, record, cx.wall, cx.retention)
            else {
                continue;
            };
            let bytes = record_bytes(&queued.item);
            if bytes > room_bytes || written.len() >= MAX_BATCH {
                break;
            }
            room_bytes -= bytes;
            page.records.insert(queued.item.key.clone(), record);
            written.push(index);
        }
        (page, written)
    }
}

/// Returns an upper bound of the bytes that an item adds to its page.
fn record_bytes(item: &Item) -> usize {
    const FIXED_BYTES: usize = 160;
    let response_bytes = match &item.operation {
        ItemOperation::Store(response) => {
            response.content_type.len() + response.body.as_ref().map_or(0, Bytes::len)
        }
        ItemOperation::Claim | ItemOperation::Release => 0,
    };
    let name_bytes = item.id.daemon.as_str().len() + item.request.as_str().len();
    FIXED_BYTES + name_bytes + item.key.len() + response_bytes
}
