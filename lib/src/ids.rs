//! Typed names and numbers that identify objects, daemons, requests and versions of state.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The reason why a text is not a valid name.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum NameError {
    /// The text was empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text was longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The text contained a character other than ASCII letters, digits, `.`, `_`, `-` and `:`.
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
            /// Returns this number plus one.
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
    /// The name of a declared service.
    ServiceName
}
name! {
    /// The name of a version, unique within its service.
    VersionName
}
name! {
    /// The name of a declared route.
    RouteName
}
name! {
    /// The name of a declared move between two versions.
    MoveName
}
name! {
    /// The name of a declared customer.
    CustomerName
}
name! {
    /// The name of a data centre.
    DataCentre
}
name! {
    /// The name of a region, a group of nearby data centres.
    Region
}
name! {
    /// The name of a zone, the unit in which the cloud prices and reclaims hosts.
    ZoneName
}
name! {
    /// The name of a machine class of the cloud.
    ClassName
}
name! {
    /// The name of a host in the cloud or the host list.
    HostId
}
name! {
    /// The name of an upstream, a server of one version of a service.
    UpstreamId
}
name! {
    /// The name of a daemon; unchanged when the daemon restarts at its address.
    DaemonId
}
name! {
    /// The name of a caller's request.
    RequestId
}
name! {
    /// The name of a configuration change, chosen by the publisher.
    ChangeId
}

number! {
    /// The number of a published configuration; it only increases.
    Generation
}
number! {
    /// The number of a run of a daemon; a later run has a larger number.
    Incarnation
}
number! {
    /// The number of a write to the platform's object API; later writes have larger numbers.
    Revision
}
number! {
    /// The number of times that the store was restored from a backup, as it reports; zero if it reports none.
    Era
}
number! {
    /// The number of an attempt of one request, from 1.
    AttemptNumber
}
number! {
    /// The number of a lease holder; a later holder has a larger number.
    FencingNumber
}
number! {
    /// Links an effect that requests a call to the event with its result.
    CallId
}
