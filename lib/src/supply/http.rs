//! Sends orders to engines over HTTP.

use std::time::Duration;

use awc::{Client, error::SendRequestError, http::StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    ids::{FencingNumber, VersionName},
    supply::orders::{Order, OrderOutcome, OrderRequest},
    units::Time,
};

/// The timeout of a request to an engine; it bounds how long an order can be in transit.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// The path at which engines accept orders.
const ORDERS_PATH: &str = "/orders";

/// The JSON body of a request that sends an order to an engine.
#[derive(Debug, Serialize, Deserialize)]
pub struct OrderRequestWire {
    id: Box<str>,
    fencing: FencingNumber,
    order: OrderWire,
}

/// An [`Order`] in JSON.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderWire {
    /// Load the model of a version.
    LoadModel { version: VersionName },
    /// Load an adapter.
    LoadAdapter { adapter: Box<str> },
    /// Change the role.
    SetRole { role: Box<str> },
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
    fn from(request: &OrderRequest) -> Self {
        let order = request.order.clone().into();
        Self { id: request.id.clone(), fencing: request.fencing, order }
    }
}

/// The body of a 409 response, with the later fencing number that the engine has seen.
#[derive(Debug, Deserialize)]
struct StaleWire {
    fencing: FencingNumber,
}

/// Sends one order; `now` reads the monotonic clock right before the order is sent.
pub async fn send_order(
    client: &Client,
    request: &OrderRequest,
    now: impl Fn() -> Time,
) -> OrderOutcome {
    let url = format!("http://{}{ORDERS_PATH}", request.address);
    let req = client.post(url).timeout(ORDER_TIMEOUT);
    if !request.may_be_sent(now()) {
        return OrderOutcome::TooLate;
    }
    let mut res = match req.send_json(&OrderRequestWire::from(request)).await {
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
