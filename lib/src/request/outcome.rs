//! What a refusal may say about whether the request ran.
//!
//! The states of a request are types. [`RunOutcome::NotRun`] needs a [`NotRunProof`], which only
//! [`Undispatched`] gives; and once a request is [`Indeterminate`], nothing leads back to [`Undispatched`].
//!
//! A request that was dispatched cannot be refused as not run:
//!
//! ```compile_fail
//! # use dogwoodturn::request::outcome::Undispatched;
//! let dispatched = Undispatched::begin().dispatch();
//! let proof = dispatched.refuse();
//! ```
//!
//! nor can the proof be made from nothing:
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
    /// Proves it for a call that this process answers itself, such as an operator's.
    pub(crate) fn not_routed() -> Self {
        Self(())
    }
}

/// Whether a request that got no whole answer has run at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunOutcome {
    /// No upstream can have acted on any byte of it, or the upstream's own refusal proves it.
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
    /// Begins a request; call it once for each.
    pub fn begin() -> Self {
        Self(())
    }

    /// Ends the request: it has not run, and it will not.
    pub fn refuse(self) -> NotRunProof {
        NotRunProof(())
    }

    /// Sends the request to an upstream.
    pub fn dispatch(self) -> Dispatched {
        Dispatched(())
    }
}

/// A request that is at one upstream, which has not answered.
#[derive(Debug)]
pub struct Dispatched(());

impl Dispatched {
    /// Takes the request back, since no connection to the upstream was made.
    pub fn mark_unreachable(self) -> Undispatched {
        Undispatched(())
    }

    /// Takes the request back, since the upstream proves that it did not run it.
    pub fn mark_refused(self, _proof: UpstreamRefusal) -> Undispatched {
        Undispatched(())
    }

    /// Gives up knowing whether the upstream runs the request.
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
    /// Reads the statement from the head of an upstream's answer, if it makes one.
    ///
    /// Any upstream may answer 503 with `x-not-run: true`. A model engine may answer 429 as well,
    /// since an engine that is too busy takes nothing into its batch.
    pub fn read(status: u16, says_not_run: bool, is_engine: bool) -> Option<Self> {
        match status {
            503 if says_not_run => Some(Self(())),
            429 if says_not_run || is_engine => Some(Self(())),
            _ => None,
        }
    }
}

/// How far a request has come towards the upstreams.
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
    /// Sends the request to an upstream, for the first time or again.
    #[must_use]
    pub fn dispatch(self) -> Self {
        match self {
            Self::Undispatched(undispatched) => Self::Dispatched(undispatched.dispatch()),
            Self::Dispatched(dispatched) => Self::Indeterminate(dispatched.mark_indeterminate()),
            Self::Indeterminate(indeterminate) => Self::Indeterminate(indeterminate),
        }
    }

    /// Notes that no connection to the upstream was made.
    #[must_use]
    pub fn mark_unreachable(self) -> Self {
        match self {
            Self::Dispatched(dispatched) => Self::Undispatched(dispatched.mark_unreachable()),
            other => other,
        }
    }

    /// Notes that the upstream proves that it did not run the request.
    #[must_use]
    pub fn mark_refused(self, proof: UpstreamRefusal) -> Self {
        match self {
            Self::Dispatched(dispatched) => Self::Undispatched(dispatched.mark_refused(proof)),
            other => other,
        }
    }

    /// Notes that the upstream may have run the request.
    #[must_use]
    pub fn mark_indeterminate(self) -> Self {
        match self {
            Self::Dispatched(dispatched) => Self::Indeterminate(dispatched.mark_indeterminate()),
            other => other,
        }
    }

    /// Ends the request and returns what may be said about it.
    pub fn into_outcome(self) -> RunOutcome {
        match self {
            Self::Undispatched(undispatched) => RunOutcome::NotRun(undispatched.refuse()),
            Self::Dispatched(_) | Self::Indeterminate(_) => RunOutcome::MayHaveRun,
        }
    }
}
