//! Reads of a shard: its head, sealed pages and summaries.

use super::{Context, Effect, Head, Shard, Work};
use crate::{
    claim::{
        index::Sealed,
        page::Page,
        wire::{PageWire, SummaryWire},
    },
    declaration::wire,
    ids::Revision,
    store::{Object, ObjectKey, Operation},
};

impl Shard {
    pub(super) fn read_sealed(&mut self, cx: &Context, revision: Revision, out: &mut Vec<Effect>) {
        let operation = Operation::Get(self.key.sealed(revision));
        self.issue(cx, Work::ReadingSealed(revision), operation, out);
    }

    pub(super) fn handle_head(
        &mut self,
        cx: &Context,
        object: Option<Object>,
        out: &mut Vec<Effect>,
    ) {
        self.failures = 0;
        let (issued_at, confirmed_at_step) = self.issued;
        let head = match object {
            None => Head {
                revision: None,
                page: Page::default(),
                bytes: 0,
                issued_at,
                confirmed_at_step,
            },
            Some(object) => match wire::decode::<PageWire>(&object.value) {
                Ok(page) => Head {
                    revision: Some(object.revision),
                    page: page.into(),
                    bytes: object.value.len(),
                    issued_at,
                    confirmed_at_step,
                },
                Err(error) => {
                    report_damaged(&self.key.head(), &error, out);
                    return self.back_off_and_fail_claims(cx, out);
                }
            },
        };
        self.replace_head(head);
    }

    pub(super) fn replace_head(&mut self, head: Head) {
        if let Some(sealed) = self.sealed.take()
            && head.page.sealed.iter().any(|listed| listed.revision == sealed.revision)
        {
            self.index.add_sealed(sealed);
        }
        let same = self.head.as_ref().is_some_and(|old| old.revision == head.revision);
        self.summary_written &= same;
        self.index.retain_listed(&head.page);
        self.head = Some(head);
    }

    pub(super) fn read_summary(&mut self, cx: &Context, revision: Revision, out: &mut Vec<Effect>) {
        let operation = Operation::Get(self.key.summary(revision));
        self.issue(cx, Work::ReadingSummary(revision), operation, out);
    }

    pub(super) fn handle_summary(
        &mut self,
        cx: &Context,
        revision: Revision,
        object: &Object,
        out: &mut Vec<Effect>,
    ) {
        match wire::decode::<SummaryWire>(&object.value) {
            Ok(summary) => self.index.add_summary(revision, &Vec::from(summary)),
            Err(error) => {
                report_damaged(&self.key.summary(revision), &error, out);
                self.back_off_and_fail_claims(cx, out);
            }
        }
    }

    pub(super) fn handle_sealed(
        &mut self,
        cx: &Context,
        revision: Revision,
        object: &Object,
        out: &mut Vec<Effect>,
    ) {
        match wire::decode::<PageWire>(&object.value) {
            Ok(page) => {
                let page = Page::from(page);
                self.index.add_sealed(Sealed::of(revision, &page));
                self.cache_page(revision, page);
            }
            Err(error) => {
                report_damaged(&self.key.sealed(revision), &error, out);
                self.back_off_and_fail_claims(cx, out);
            }
        }
    }
}

fn report_damaged(key: &ObjectKey, error: &wire::WireError, out: &mut Vec<Effect>) {
    out.push(Effect::Rejected(format!("claims page {key} is damaged: {error}").into()));
}
