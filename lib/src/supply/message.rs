//! What daemons tell each other about demand and refused starts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    declaration::wire::WireError,
    ids::{ClassName, DataCentre, ServiceName, ZoneName},
    supply::{plan::Pool, rate::Work},
};

/// What the hosts of one class did for a service within one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassTotals {
    /// The work done.
    pub work: Work,
    /// The requests within the latency target.
    pub within: u64,
    /// The requests outside the latency target, those that were refused for lack of room included.
    pub outside: u64,
    /// The sum over the requests of their latency as a part of the target, in thousandths.
    pub pressure: u64,
}

/// Where a sum comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DemandScope {
    /// One daemon, told to the daemon that adds up its data centre.
    Daemon,
    /// A whole data centre, told to the holders of the service's leases.
    DataCentre,
}

/// A sum of the demand for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: ServiceName,
    /// The data centre whose callers asked.
    pub data_centre: DataCentre,
    /// Whether it is of one daemon or of the data centre.
    pub demand_scope: DemandScope,
    /// The span that the sum covers.
    pub interval: Duration,
    /// The work by machine class.
    pub classes: Vec<(ClassName, ClassTotals)>,
}

/// A message of this slice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Tells a sum of demand.
    Demand(Demand),
    /// Tells that the cloud refuses starts of a pool for a while.
    Refused(Pool, Duration),
}

/// A [`Message`] as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageWire {
    /// See [`Message::Demand`].
    #[serde(rename = "d")]
    Demand(ServiceName, DataCentre, DemandScope, u32, Vec<(ClassName, Work, u64, u64, u64)>),
    /// See [`Message::Refused`].
    #[serde(rename = "r")]
    Refused(ZoneName, ClassName, bool, u32),
}

/// The longest span that a message may state, so that a damaged one does little harm.
const LONGEST_SPAN: Duration = Duration::from_hours(1);

fn span(millis: u32) -> Result<Duration, WireError> {
    let span = Duration::from_millis(u64::from(millis));
    if span.is_zero() || span > LONGEST_SPAN {
        return Err(WireError::Malformed(format!("a span of {millis} ms").into()));
    }
    Ok(span)
}

impl From<Message> for MessageWire {
    fn from(message: Message) -> Self {
        match message {
            Message::Demand(demand) => {
                let classes = demand.classes.into_iter();
                let classes =
                    classes.map(|(c, sum)| (c, sum.work, sum.within, sum.outside, sum.pressure));
                Self::Demand(
                    demand.service,
                    demand.data_centre,
                    demand.demand_scope,
                    demand.interval.as_millis() as u32,
                    classes.collect(),
                )
            }
            Message::Refused(pool, wait) => {
                Self::Refused(pool.zone, pool.class, pool.reclaimable, wait.as_millis() as u32)
            }
        }
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        Ok(match wire {
            MessageWire::Demand(service, data_centre, demand_scope, interval, classes) => {
                let classes = classes.into_iter();
                let classes = classes.map(|(class, work, within, outside, pressure)| {
                    (class, ClassTotals { work, within, outside, pressure })
                });
                let interval = span(interval)?;
                let classes = classes.collect();
                Self::Demand(Demand { service, data_centre, demand_scope, interval, classes })
            }
            MessageWire::Refused(zone, class, reclaimable, wait) => {
                Self::Refused(Pool { zone, class, reclaimable }, span(wait)?)
            }
        })
    }
}
