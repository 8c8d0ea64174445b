//! Requests that break off have no effect at the stand-ins.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
};

use dogwoodturn_standins::{plain::Plain, platform::Platform};

/// Sends a request that ends before its last byte, and waits until the connection is closed.
fn send_truncated(address: SocketAddr, request: &str) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    // The response does not matter; it may be missing.
    let _ = stream.read_to_end(&mut Vec::new());
}

#[test]
fn truncated_booking_counted_as_run() {
    let plain = Plain::new();
    let running = plain.start(([127, 0, 0, 1], 0).into()).unwrap();
    let head = "POST /book HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n";
    let address = running.address();
    send_truncated(address, &format!("{head}Content-Length: 9\r\n\r\nhalf"));
    send_truncated(address, &format!("{head}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"));
    assert!(plain.runs().is_empty(), "{:?}", plain.runs());
}

#[test]
fn truncated_value_written_to_the_platform() {
    let platform = Platform::new();
    let running = platform.start(([127, 0, 0, 1], 0).into()).unwrap();
    let head = "PUT /objects/a HTTP/1.1\r\nHost: a\r\nIf-None-Match: *\r\n";
    send_truncated(running.address(), &format!("{head}Content-Length: 9\r\n\r\nhalf"));
    let mut stream = TcpStream::connect(running.address()).unwrap();
    let get = "GET /objects/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(get.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
}
