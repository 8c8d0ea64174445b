//! Messages between daemons about demand and refused starts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    declaration::wire::WireError,
    ids::{ClassName, DataCentre, ServiceName, ZoneName},
    supply::{plan::Pool, rate::Work},
};

/// Totals of the attempts for a service at the hosts of one machine class in one interval.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassTotals {
    /// The work of the attempts that were neither refused nor timed out.
    pub work: Work,
    /// The number of attempts that met the latency target.
    pub within_target: u64,
    /// The number of attempts that missed the latency target, including those that timed out or
    /// were refused for lack of capacity.
    pub outside_target: u64,
    /// The sum over the successful attempts of their latency, in thousandths of the target.
    pub latency_per_mille_sum: u64,
}

/// The scope of a sum of demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DemandScope {
    /// One daemon; sent to the daemon that aggregates its data centre.
    Daemon,
    /// A whole data centre; sent to the holders of the service's leases.
    DataCentre,
}

/// A sum of the demand for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    pub service: ServiceName,
    /// The data centre of the daemons that counted the attempts.
    pub data_centre: DataCentre,
    pub demand_scope: DemandScope,
    /// The time span that the sum covers.
    pub interval: Duration,
    /// The totals by machine class.
    pub classes: Vec<(ClassName, ClassTotals)>,
}

/// A message of the supply module.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Reports a sum of demand.
    Demand(Demand),
    /// Reports that the cloud refuses starts of a pool, and for how long to avoid it.
    Refused(Pool, Duration),
}

/// A [`Message`] as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageWire {
    /// See [`Message::Demand`].
    #[serde(rename = "d")]
    Demand(ServiceName, DataCentre, DemandScope, u32, Vec<(ClassName, Work, u64, u64, u64)>),
    /// See [`Message::Refused`].
    #[serde(rename = "r")]
    Refused(ZoneName, ClassName, bool, u32),
}

/// The longest time span accepted in a message, which bounds the effect of a corrupt message.
const MAX_SPAN: Duration = Duration::from_hours(1);

fn parse_span(millis: u32) -> Result<Duration, WireError> {
    let span = Duration::from_millis(u64::from(millis));
    if span.is_zero() || span > MAX_SPAN {
        return Err(WireError::Malformed(format!("a span of {millis} ms").into()));
    }
    Ok(span)
}

impl From<Message> for MessageWire {
    fn from(message: Message) -> Self {
        match message {
            Message::Demand(demand) => {
                let classes = demand.classes.into_iter();
                let classes = classes.map(|(c, sum)| {
                    (c, sum.work, sum.within_target, sum.outside_target, sum.latency_per_mille_sum)
                });
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
                let classes = classes.map(
                    |(class, work, within_target, outside_target, latency_per_mille_sum)| {
                        (
                            class,
                            ClassTotals {
                                work,
                                within_target,
                                outside_target,
                                latency_per_mille_sum,
                            },
                        )
                    },
                );
                let interval = parse_span(interval)?;
                let classes = classes.collect();
                Self::Demand(Demand { service, data_centre, demand_scope, interval, classes })
            }
            MessageWire::Refused(zone, class, reclaimable, wait) => {
                Self::Refused(Pool { zone, class, reclaimable }, parse_span(wait)?)
            }
        })
    }
}
