//! An index from the fingerprint of a key to the sealed page that holds its record.

use indexmap::{IndexMap, IndexSet};
use sha2::{Digest as _, Sha256};

use crate::{claim::page::Page, ids::Revision};

/// The fingerprint of a key: the first 128 bits of its SHA-256. The hash is cryptographic, so that
/// no caller can construct two keys with the same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    pub fn of(key: &str) -> Self {
        let digest: [u8; 32] = Sha256::digest(key).into();
        let bytes = digest.iter().take(size_of::<u128>());
        Self(bytes.fold(0, |fingerprint, &byte| fingerprint << 8 | u128::from(byte)))
    }
}

/// The fingerprints of the keys in one sealed page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sealed {
    /// The revision of the head that the page was copied from.
    pub revision: Revision,
    /// In ascending order.
    pub fingerprints: Box<[Fingerprint]>,
}

impl Sealed {
    pub fn of(revision: Revision, page: &Page) -> Self {
        let mut fingerprints: Vec<_> =
            page.records.keys().map(|key| Fingerprint::of(key)).collect();
        fingerprints.sort_unstable();
        Self { revision, fingerprints: fingerprints.into() }
    }
}

/// A listed page that must be read before the index covers every sealed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MissingPage {
    Sealed(Revision),
    Summary(Revision),
}

/// All sealed keys of a shard, each mapped to the latest page with its record.
#[derive(Clone, Debug, Default)]
pub struct Index {
    locations: IndexMap<Fingerprint, Revision>,
    loaded: IndexSet<MissingPage>,
    /// The sealed pages that no summary covers yet, as the content of the next summary.
    unsummarised: Vec<Sealed>,
}

impl Index {
    /// Returns a page that the head lists and that has not been loaded.
    pub fn missing(&self, head: &Page) -> Option<MissingPage> {
        let summaries = head.summaries.iter().map(|summary| MissingPage::Summary(summary.revision));
        let sealed = head.sealed.iter().map(|sealed| MissingPage::Sealed(sealed.revision));
        summaries.chain(sealed).find(|page| !self.loaded.contains(page))
    }

    /// Adds the keys of a sealed page that the head lists.
    pub fn add_sealed(&mut self, sealed: Sealed) {
        if self.loaded.insert(MissingPage::Sealed(sealed.revision)) {
            self.add(&sealed);
            self.unsummarised.push(sealed);
        }
    }

    /// Adds the keys of a summary that the head lists.
    pub fn add_summary(&mut self, revision: Revision, pages: &[Sealed]) {
        if self.loaded.insert(MissingPage::Summary(revision)) {
            for sealed in pages {
                self.add(sealed);
            }
        }
    }

    fn add(&mut self, sealed: &Sealed) {
        for &fingerprint in &sealed.fingerprints {
            // Revisions increase, so the larger one is the page that was sealed later.
            let location = self.locations.entry(fingerprint).or_insert(sealed.revision);
            *location = (*location).max(sealed.revision);
        }
    }

    /// Records that the head's last summary needs no read, as this daemon wrote it itself.
    pub fn mark_summary_loaded(&mut self, head: &Page) {
        if let Some(summary) = head.summaries.last() {
            self.loaded.insert(MissingPage::Summary(summary.revision));
        }
    }

    /// Returns the latest sealed page with a record of the key.
    pub fn locate(&self, key: &str) -> Option<Revision> {
        self.locations.get(&Fingerprint::of(key)).copied()
    }

    /// Returns the loaded pages that a summary of this head has to cover, in the head's order.
    pub fn pages_to_summarise(&self, head: &Page) -> Vec<Sealed> {
        let find = |revision| self.unsummarised.iter().find(|sealed| sealed.revision == revision);
        head.sealed.iter().filter_map(|listed| find(listed.revision).cloned()).collect()
    }

    /// Removes pages that this head no longer lists, and locations older than its oldest page.
    pub fn retain_listed(&mut self, head: &Page) {
        let sealed = |revision| head.sealed.iter().any(|listed| listed.revision == revision);
        let summary = |revision| head.summaries.iter().any(|listed| listed.revision == revision);
        let before = self.loaded.len();
        self.loaded.retain(|page| match *page {
            MissingPage::Sealed(revision) => sealed(revision),
            MissingPage::Summary(revision) => summary(revision),
        });
        self.unsummarised.retain(|page| sealed(page.revision));
        if self.loaded.len() != before {
            let oldest = head.oldest();
            self.locations.retain(|_, location| oldest.is_some_and(|oldest| *location >= oldest));
        }
    }
}
