//! Names and numbers that identify things, each a type of its own.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest name, in bytes, that any declared object or daemon may carry.
pub const MAX_NAME_BYTES: usize = 128;

/// Says why a text is no valid name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum NameError {
    /// The text was empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text was longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The text held a character outside letters, digits, `.`, `_`, `-` and `:`.
    #[error("a name holds letters, digits, '.', '_', '-' and ':' only, not {0:?}")]
    Character(char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = NameError;

            fn try_from(text: Box<str>) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

name! {
    /// Names a declared service.
    ServiceName
}
name! {
    /// Names a version of one service.
    VersionName
}
name! {
    /// Names a declared route.
    RouteName
}
name! {
    /// Names a declared move between two versions.
    MoveName
}
name! {
    /// Names a declared customer.
    CustomerName
}
name! {
    /// Names a data centre.
    DataCentre
}
name! {
    /// Names a region, a group of near data centres.
    Region
}
name! {
    /// Names a zone, the unit that the cloud prices and reclaims.
    ZoneName
}
name! {
    /// Names a machine class of the cloud.
    ClassName
}
name! {
    /// Names a host of the cloud or host list.
    HostId
}
name! {
    /// Names an upstream, one server of one version of a service.
    UpstreamId
}
name! {
    /// Names a daemon; it stays the same when the daemon restarts at its address.
    DaemonId
}
name! {
    /// Names one request of a caller.
    RequestId
}
name! {
    /// Names one change of the configuration, chosen by the publisher.
    ChangeId
}

number! {
    /// Counts the published configurations; it only grows.
    Generation
}
number! {
    /// Tells the runs of one daemon apart; a later run has a larger number.
    Incarnation
}
number! {
    /// Orders the writes of the platform's object API.
    Revision
}
number! {
    /// Counts the attempts of one request, from 1.
    AttemptNumber
}
number! {
    /// Orders the holders of a lease; a larger number is a later holder.
    FencingNumber
}
number! {
    /// Matches an effect that asks for a call with the event that answers it.
    CallId
}
