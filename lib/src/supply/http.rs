//! Gives orders to engines over HTTP.

use std::time::Duration;

use awc::{Client, error::SendRequestError, http::StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    ids::{FencingNumber, VersionName},
    supply::orders::{Order, OrderOutcome, OrderRequest},
    units::Time,
};

/// How long an engine may take to answer; it bounds how long an order can be on its way.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// The path at which engines take orders.
const ORDERS_PATH: &str = "/orders";

/// An order as engines take it, in JSON.
#[derive(Debug, Serialize, Deserialize)]
pub struct OrderRequestWire {
    id: Box<str>,
    fencing: FencingNumber,
    order: OrderWire,
}

/// What an engine is to do, in JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderWire {
    /// Load the model of a version.
    LoadModel {
        /// The version.
        version: VersionName,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: Box<str>,
    },
    /// Change the role.
    SetRole {
        /// The role.
        role: Box<str>,
    },
}

impl From<Order> for OrderWire {
    fn from(order: Order) -> Self {
        match order {
            Order::LoadModel { version } => Self::LoadModel { version },
            Order::LoadAdapter { adapter } => Self::LoadAdapter { adapter },
            Order::SetRole { role } => Self::SetRole { role },
        }
    }
}

impl From<&OrderRequest> for OrderRequestWire {
    fn from(call: &OrderRequest) -> Self {
        let order = call.order.clone().into();
        Self { id: call.id.clone(), fencing: call.fencing, order }
    }
}

/// The number that an engine answers when it has seen a later one.
#[derive(Debug, Deserialize)]
struct StaleWire {
    fencing: FencingNumber,
}

/// Gives one order; `now` reads the monotonic clock right before the order is sent.
pub async fn send_order(
    client: &Client,
    call: &OrderRequest,
    now: impl Fn() -> Time,
) -> OrderOutcome {
    let url = format!("http://{}{ORDERS_PATH}", call.address);
    let req = client.post(url).timeout(ORDER_TIMEOUT);
    if !call.may_be_sent(now()) {
        return OrderOutcome::TooLate;
    }
    let mut res = match req.send_json(&OrderRequestWire::from(call)).await {
        Ok(res) => res,
        Err(SendRequestError::Connect(error)) => {
            return OrderOutcome::Refused(error.to_string().into());
        }
        Err(_) => return OrderOutcome::Unknown,
    };
    match res.status() {
        StatusCode::CONFLICT => match res.json::<StaleWire>().await {
            Ok(wire) => OrderOutcome::Stale(wire.fencing),
            Err(_) => OrderOutcome::Unknown,
        },
        status if status.is_success() => OrderOutcome::Applied,
        status if status.is_client_error() => OrderOutcome::Refused(status.to_string().into()),
        _ => OrderOutcome::Unknown,
    }
}
