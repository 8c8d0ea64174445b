//! What a refusal may state about whether the request ran.
//!
//! The dispatch states of a request are types. [`RunOutcome::NotRun`] requires a [`NotRunProof`],
//! which a request yields only as [`Undispatched`]. An [`Indeterminate`] request never becomes
//! [`Undispatched`] again.
//!
//! A request that was dispatched cannot be refused as not run:
//!
//! ```compile_fail
//! # use dogwoodturn::request::outcome::Undispatched;
//! let dispatched = Undispatched::begin().dispatch();
//! let proof = dispatched.refuse();
//! ```
//!
//! The proof cannot be constructed outside this module either:
//!
//! ```compile_fail
//! # use dogwoodturn::request::outcome::{NotRunProof, RunOutcome};
//! let outcome = RunOutcome::NotRun(NotRunProof(()));
//! ```

use std::fmt;

/// Proves that no upstream has acted on any byte of a request, and that none will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Returns the proof for a call that this process handles itself, such as one of an operator.
    pub(crate) fn not_routed() -> Self {
        Self(())
    }
}

/// Whether a request without a complete response has run at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// No upstream can have acted on any byte of it, or the upstream's own refusal proves that it
    /// did not run.
    NotRun(NotRunProof),
    /// An upstream may have acted on it.
    MayHaveRun,
    /// An upstream has run it.
    Ran,
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun(_) => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}

/// A request of which no byte has reached an upstream that may act on it.
///
/// It can neither be copied nor cloned, so that a refusal ends the request.
#[derive(Debug)]
pub struct Undispatched(());

impl Undispatched {
    /// Creates the state of a new request; must be called once per request.
    pub fn begin() -> Self {
        Self(())
    }

    /// Ends the request, which has not run and will not run.
    pub fn refuse(self) -> NotRunProof {
        NotRunProof(())
    }

    /// Marks the request as sent to an upstream.
    pub fn dispatch(self) -> Dispatched {
        Dispatched(())
    }
}

/// A request that was sent to one upstream, which has not responded.
#[derive(Debug)]
pub struct Dispatched(());

impl Dispatched {
    /// Returns to the undispatched state because no connection to the upstream was made.
    pub fn mark_unreachable(self) -> Undispatched {
        Undispatched(())
    }

    /// Returns to the undispatched state because the upstream proves that it did not run the
    /// request.
    pub fn mark_refused(self, _proof: UpstreamRefusal) -> Undispatched {
        Undispatched(())
    }

    /// Records that it is unknown whether the upstream runs the request.
    pub fn mark_indeterminate(self) -> Indeterminate {
        Indeterminate(())
    }
}

/// A request that an upstream may have acted on, or may still act on.
#[derive(Debug)]
pub struct Indeterminate(());

/// An upstream's own statement that it did not run a request.
#[derive(Debug)]
pub struct UpstreamRefusal(());

impl UpstreamRefusal {
    /// Returns the statement made by the head of an upstream's response, if it makes one.
    ///
    /// Any upstream may respond with 503 or 429 and `x-not-run: true`. A 429 of a model engine
    /// needs no header, since an engine that is too busy adds nothing to its batch.
    pub fn read(status: u16, says_not_run: bool, is_engine: bool) -> Option<Self> {
        match status {
            503 if says_not_run => Some(Self(())),
            429 if says_not_run || is_engine => Some(Self(())),
            _ => None,
        }
    }
}

/// The dispatch state of a request.
#[derive(Debug)]
pub enum DispatchState {
    /// See [`Undispatched`].
    Undispatched(Undispatched),
    /// See [`Dispatched`].
    Dispatched(Dispatched),
    /// See [`Indeterminate`].
    Indeterminate(Indeterminate),
}

impl DispatchState {
    /// Records that the request is sent to an upstream, for the first time or again.
    #[must_use]
    pub fn dispatch(self) -> Self {
        match self {
            Self::Undispatched(undispatched) => Self::Dispatched(undispatched.dispatch()),
            Self::Dispatched(dispatched) => Self::Indeterminate(dispatched.mark_indeterminate()),
            Self::Indeterminate(indeterminate) => Self::Indeterminate(indeterminate),
        }
    }

    /// Records that no connection to the upstream was made.
    #[must_use]
    pub fn mark_unreachable(self) -> Self {
        match self {
            Self::Dispatched(dispatched) => Self::Undispatched(dispatched.mark_unreachable()),
            other => other,
        }
    }

    /// Records that the upstream proves that it did not run the request.
    #[must_use]
    pub fn mark_refused(self, proof: UpstreamRefusal) -> Self {
        match self {
            Self::Dispatched(dispatched) => Self::Undispatched(dispatched.mark_refused(proof)),
            other => other,
        }
    }

    /// Records that the upstream may have run the request.
    #[must_use]
    pub fn mark_indeterminate(self) -> Self {
        match self {
            Self::Dispatched(dispatched) => Self::Indeterminate(dispatched.mark_indeterminate()),
            other => other,
        }
    }

    /// Ends the request and returns what is known about whether it ran.
    pub fn into_outcome(self) -> RunOutcome {
        match self {
            Self::Undispatched(undispatched) => RunOutcome::NotRun(undispatched.refuse()),
            Self::Dispatched(_) | Self::Indeterminate(_) => RunOutcome::MayHaveRun,
        }
    }
}
