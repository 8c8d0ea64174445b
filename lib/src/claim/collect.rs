//! Collects what is past its retention: records, and sealed pages that no head lists.
//!
//! A sealed page named by a revision below the head's, and not listed by that head, is never
//! listed again: a head that seals it would have to rest on a revision that is gone.

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

/// One round of collection over some shards, one call at a time.
#[derive(Clone, Debug)]
pub struct Collection {
    shards: VecDeque<ShardKey>,
    work: Work,
}

impl Collection {
    /// Makes a round over these shards.
    pub fn new(shards: impl IntoIterator<Item = ShardKey>) -> Self {
        Self { shards: shards.into_iter().collect(), work: Work::Begin }
    }

    /// Returns the first call; `None` if there is nothing to collect.
    pub fn first_call(&mut self) -> Option<Operation> {
        let shard = self.shards.front()?;
        self.work = Work::Listing;
        Some(Operation::List(shard.prefix()))
    }

    /// Takes the result of the last call and returns the next; `None` at the end of the round.
    ///
    /// A shard whose calls fail is left to the next round.
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
                // The pages that the head has just dropped are found by the next round.
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

/// Returns the sealed pages and summaries that no head lists or ever will.
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
