//! What the system reports of bytes on their way, against sockets on loopback.

use std::{
    io::{Read as _, Write as _},
    net::{TcpListener, TcpStream},
    thread::sleep,
    time::Duration,
};

use dogwoodturn::http::tcp_info::TcpInfo;

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0)
}

#[test]
fn read_unread_bytes_have_the_age_of_their_arrival() {
    let (mut client, mut server) = pair();
    client.write_all(b"request").unwrap();
    sleep(Duration::from_millis(300));
    let age = TcpInfo::read(&server).unwrap().since_received;
    assert!(age >= Duration::from_millis(250), "{age:?}");
    server.read_exact(&mut [0; 7]).unwrap();
    client.write_all(b"more").unwrap();
    sleep(Duration::from_millis(20));
    let age = TcpInfo::read(&server).unwrap().since_received;
    assert!(age < Duration::from_millis(250), "{age:?}");
}

#[test]
fn is_acknowledged_until_the_peer_has_no_room() {
    let (mut client, server) = pair();
    client.write_all(b"request").unwrap();
    sleep(Duration::from_millis(100));
    assert!(TcpInfo::read(&client).unwrap().is_acknowledged());
    client.set_nonblocking(true).unwrap();
    let bytes = vec![0; 65536];
    while client.write(&bytes).is_ok() {}
    sleep(Duration::from_millis(100));
    assert!(!TcpInfo::read(&client).unwrap().is_acknowledged());
    drop(server);
}
