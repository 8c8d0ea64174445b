//! Sends orders to engines over HTTP.

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{
    edge::client::{Client, ClientRequest},
    ids::{FencingNumber, VersionName},
    supply::orders::{Order, OrderOutcome, OrderRequest},
    units::Time,
};

/// The timeout of a request to an engine; it bounds how long an order can be in transit.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of an engine's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;
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

/// Sends one order; `now` reads the monotonic clock right before the order is sent, on a connection that is open.
pub async fn send_order(
    client: &Rc<Client>,
    request: &OrderRequest,
    now: impl Fn() -> Time,
) -> OrderOutcome {
    let wire = OrderRequestWire::from(request);
    let body = serde_json::to_vec(&wire).expect("a wire type is valid JSON");
    let req = ClientRequest::new("POST", request.address, ORDERS_PATH)
        .header("content-type", b"application/json")
        .body(&body);
    let exchange = async {
        let connection = match client.connect(request.address).await {
            Ok(connection) => connection,
            Err(error) => return OrderOutcome::Refused(error.to_string().into()),
        };
        if !request.may_be_sent(now()) {
            return OrderOutcome::TooLate;
        }
        let Ok(res) = client.send_on(connection, request.address, &req).await else {
            return OrderOutcome::Unknown;
        };
        let status = res.head.status;
        match (status, res.read_body(MAX_RESPONSE_BYTES).await) {
            (409, Ok(body)) => match serde_json::from_slice::<StaleWire>(&body) {
                Ok(wire) => OrderOutcome::Stale(wire.fencing),
                Err(_) => OrderOutcome::Unknown,
            },
            (200..300, _) => OrderOutcome::Applied,
            (400..500, Ok(_)) => OrderOutcome::Refused(format!("status {status}").into()),
            _ => OrderOutcome::Unknown,
        }
    };
    timeout(ORDER_TIMEOUT, exchange).await.unwrap_or(OrderOutcome::Unknown)
}
