//! Garbage collection of expired records, and of sealed pages and summaries that no head lists.
//!
//! A sealed page whose revision is below the head's and that the head does not list is never listed
//! again: a head that lists it would have to be written on a revision that no longer exists.

use std::collections::VecDeque;

use crate::{
    claim::{
        page::{Page, ShardKey},
        shard::Context,
        wire::PageWire,
    },
    declaration::wire,
    ids::Revision,
    store::{CallError, Condition, Object, ObjectKey, Operation, Reply},
};

#[derive(Clone, Debug, Default)]
enum Work {
    #[default]
    Begin,
    Listing,
    ReadingHead(Vec<(ObjectKey, Revision)>),
    Trimming(VecDeque<(ObjectKey, Revision)>),
    Deleting(VecDeque<(ObjectKey, Revision)>),
}

/// One collection over some shards, with one call to the platform at a time.
#[derive(Clone, Debug)]
pub struct Collection {
    shards: VecDeque<ShardKey>,
    work: Work,
}

impl Collection {
    pub fn new(shards: impl IntoIterator<Item = ShardKey>) -> Self {
        Self { shards: shards.into_iter().collect(), work: Work::Begin }
    }

    /// Returns the first call for the next shard, or `None` if no shard is left.
    pub fn first_call(&mut self) -> Option<Operation> {
        let shard = self.shards.front()?;
        self.work = Work::Listing;
        Some(Operation::List(shard.prefix()))
    }

    /// Processes the result of the last call and returns the next one, or `None` at the end.
    ///
    /// A shard with a failed call is skipped until the next collection.
    pub fn handle_call_result(
        &mut self,
        cx: &Context,
        result: Result<Reply, CallError>,
    ) -> Option<Operation> {
        let shard = self.shards.front()?.clone();
        match (std::mem::take(&mut self.work), result) {
            (Work::Listing, Ok(Reply::Listed(listed))) => {
                self.work = Work::ReadingHead(listed);
                Some(Operation::Get(shard.head()))
            }
            (Work::ReadingHead(listed), Ok(Reply::Object(Some(head)))) => {
                self.handle_head(cx, &shard, &listed, &head)
            }
            (Work::Trimming(garbage), Ok(_)) => {
                // The next collection finds the pages that the head has just dropped.
                self.delete(garbage)
            }
            (Work::Deleting(mut garbage), Ok(_) | Err(CallError::Conflict(_))) => {
                garbage.pop_front();
                self.delete(garbage)
            }
            _ => self.next_shard(),
        }
    }

    fn handle_head(
        &mut self,
        cx: &Context,
        shard: &ShardKey,
        listed: &[(ObjectKey, Revision)],
        head: &Object,
    ) -> Option<Operation> {
        let Ok(page) = wire::decode::<PageWire>(&head.value) else { return self.next_shard() };
        let mut page = Page::from(page);
        let garbage = garbage(shard, listed, head.revision, &page);
        if page.expire(cx.wall, cx.retention) {
            self.work = Work::Trimming(garbage);
            let value = wire::encode(&PageWire::from(page)).into();
            let condition = Condition::Revision(head.revision);
            return Some(Operation::Put { key: shard.head(), value, condition });
        }
        self.delete(garbage)
    }

    fn delete(&mut self, garbage: VecDeque<(ObjectKey, Revision)>) -> Option<Operation> {
        let Some((key, revision)) = garbage.front().cloned() else { return self.next_shard() };
        self.work = Work::Deleting(garbage);
        Some(Operation::Delete { key, condition: Condition::Revision(revision) })
    }

    fn next_shard(&mut self) -> Option<Operation> {
        self.shards.pop_front();
        self.first_call()
    }
}

/// Returns the sealed pages and summaries that neither this head nor a later one lists.
fn garbage(
    shard: &ShardKey,
    listed: &[(ObjectKey, Revision)],
    head: Revision,
    page: &Page,
) -> VecDeque<(ObjectKey, Revision)> {
    let parse_revision = |key: &ObjectKey, prefix: &str| -> Option<Revision> {
        key.as_str().strip_prefix(prefix)?.parse().ok()
    };
    let (sealed, summary) = (shard.sealed_prefix(), shard.summary_prefix());
    let unlisted = |key: &ObjectKey| {
        if let Some(revision) = parse_revision(key, &sealed) {
            return revision < head && !page.needs(revision);
        }
        let lists = |revision| page.summaries.iter().any(|s| s.revision == revision);
        parse_revision(key, &summary).is_some_and(|revision| revision < head && !lists(revision))
    };
    listed.iter().filter(|(key, _)| unlisted(key)).cloned().collect()
}
