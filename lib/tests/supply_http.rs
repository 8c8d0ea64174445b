//! Sends orders over HTTP to the engine stand-in, which checks fencing numbers.

use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use dogwoodturn::{
    edge::client::Client,
    ids::FencingNumber,
    supply::{
        http::send_order,
        orders::{Order, OrderOutcome, OrderRequest},
    },
    units::Time,
};
use dogwoodturn_standins::engine::{Engine, model::EngineConfig};
use tokio::io::AsyncReadExt as _;

fn order(address: SocketAddr, id: &str, fencing: u64) -> OrderRequest {
    OrderRequest {
        id: id.into(),
        upstream: "engine".parse().expect("a name"),
        address,
        fencing: FencingNumber(fencing),
        order: Order::LoadModel { version: "v2".parse().expect("a name") },
        not_after: Time(100),
    }
}

#[test]
fn send_order_applied_repeated_stale_and_too_late() {
    let engine = Engine::new(EngineConfig::default());
    let running = engine.start(([127, 0, 0, 1], 0).into()).expect("the engine starts");
    let address = running.address();
    actix_rt::System::new().block_on(async {
        let client = Rc::new(Client::default());
        let early = || Time(1);
        let first = order(address, "a.1", 5);
        assert_eq!(send_order(&client, &first, early).await, OrderOutcome::Applied);
        assert_eq!(send_order(&client, &first, early).await, OrderOutcome::Applied);
        assert_eq!(engine.orders().len(), 1, "a repeated order is applied once");
        let stale = order(address, "b.1", 4);
        assert_eq!(send_order(&client, &stale, early).await, OrderOutcome::Stale(FencingNumber(5)));
        let late = order(address, "a.2", 6);
        assert_eq!(send_order(&client, &late, || Time(100)).await, OrderOutcome::TooLate);
        assert_eq!(engine.orders().len(), 1, "an order is not sent at or after its not_after time");
    });
}

#[test]
fn lost_answer_of_an_engine_counted_as_refused() {
    actix_rt::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            // The order arrives, and the connection ends without an answer.
            assert!(stream.read(&mut [0; 4096]).await.expect("an order") > 0);
        });
        let client = Rc::new(Client::default());
        let outcome = send_order(&client, &order(address, "a.1", 5), || Time(1)).await;
        assert_eq!(outcome, OrderOutcome::Unknown);
    });
}

// BUDGET of wayfarer-dogwood-large, for orders: the time was looked at before the connection was opened.
#[test]
fn send_order_is_sent_after_its_time_on_a_connection_that_opened_late() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a non-blocking listener");
        let address = listener.local_addr().expect("an address");
        let client = Rc::new(Client::default());
        // The order may be sent until the connection is open.
        let now = || if listener.accept().is_ok() { Time(100) } else { Time(1) };
        let order = order(address, "a.1", 5);
        let sending = send_order(&client, &order, now);
        let outcome = tokio::time::timeout(Duration::from_secs(1), sending).await;
        assert_eq!(outcome, Ok(OrderOutcome::TooLate));
    });
}
