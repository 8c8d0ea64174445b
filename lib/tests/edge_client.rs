//! The HTTP client for upstreams: which connections it uses again.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use dogwoodturn::edge::client::{Client, ClientRequest, SendError};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};

/// Starts a server that sends the same response to each request, and counts its connections.
async fn serve(response: &'static str) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Rc::new(Cell::new(0));
    let count = connections.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            actix_rt::spawn(async move {
                let mut buf = [0; 1024];
                // Each request fits into one read.
                while stream.read(&mut buf).await.unwrap_or(0) > 0 {
                    stream.write_all(response.as_bytes()).await.unwrap();
                }
            });
        }
    });
    (address, connections)
}

/// Sends three requests one after the other and returns the number of connections.
async fn connections_of_three(response: &'static str) -> u32 {
    let (address, connections) = serve(response).await;
    let client = Rc::new(Client::default());
    for _ in 0..3 {
        let req = ClientRequest::new("GET", address, "/").body(b"");
        let res = client.send(address, &req).await.unwrap();
        assert_eq!(res.head.status, 200);
        assert_eq!(&*res.read_body(100).await.unwrap(), b"hi");
    }
    connections.get()
}

#[actix_rt::test]
async fn send_connection_is_reused_after_a_complete_response() {
    assert_eq!(connections_of_three("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").await, 1);
}

#[actix_rt::test]
async fn send_connection_with_unread_bytes_is_not_reused() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n";
    assert_eq!(connections_of_three(response).await, 3);
}

#[actix_rt::test]
async fn send_connection_is_not_reused_if_the_upstream_closes_it() {
    let response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
    assert_eq!(connections_of_three(response).await, 3);
}

#[actix_rt::test]
async fn send_without_listener_is_unreachable() {
    let address = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let client = Rc::new(Client::default());
    let req = ClientRequest::new("GET", address, "/").body(b"");
    let sent = client.send(address, &req).await;
    assert!(matches!(sent, Err(SendError::Unreachable(..))), "{sent:?}");
}

#[actix_rt::test]
async fn read_body_truncated_fails() {
    let client = Rc::new(Client::default());
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 1024];
            assert!(stream.read(&mut buf).await.unwrap() > 0);
            stream.write_all(response.as_bytes()).await.unwrap();
        });
        let req = ClientRequest::new("GET", address, "/").body(b"");
        let res = client.send(address, &req).await.unwrap();
        assert!(res.read_body(100).await.is_err(), "{response}");
    }
}
