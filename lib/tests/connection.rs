//! How the end of a connection is judged, whichever call learns of it first.

use std::{io, time::Duration};

use dogwoodturn::http::{
    body::{BodyDecoder, Step},
    connection::Connection,
    head::Framing,
    received::{ConnectionEnd, Received},
};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Opens a connection and returns it with its other end.
async fn open() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (address, limit) = (listener.local_addr().unwrap(), Duration::from_secs(5));
    let (near, far) = tokio::join!(Connection::open(address, limit), listener.accept());
    (near.unwrap(), far.unwrap().0)
}

/// Sends a part of a body and resets the connection.
async fn send_part_and_reset(mut peer: TcpStream) {
    peer.write_all(b"part").await.unwrap();
    sleep(Duration::from_millis(20)).await;
    peer.set_zero_linger().unwrap();
    drop(peer);
    sleep(Duration::from_millis(20)).await;
}

/// Reads a body that ends with its connection. Returns its bytes and how it ended.
async fn read_until_close(connection: &mut Connection) -> (Vec<u8>, io::Result<()>) {
    let (mut decoder, mut body) = (BodyDecoder::new(Framing::UntilClose), Vec::new());
    loop {
        match connection.read_body(&mut decoder).await {
            Ok(Some(data)) => body.extend_from_slice(&data),
            Ok(None) => return (body, Ok(())),
            Err(error) => return (body, Err(error)),
        }
    }
}

// MIXED of other operators: a write took the reset, so that a read saw the regular end of a body without length.
#[actix_rt::test]
async fn read_body_after_a_write_took_the_reset_looks_complete() {
    let (mut connection, peer) = open().await;
    send_part_and_reset(peer).await;
    assert!(connection.write(b"more of the request").await.is_err());
    let (body, end) = read_until_close(&mut connection).await;
    assert_eq!(body, b"part");
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}

// The system reports a reset to one call only.
#[actix_rt::test]
async fn read_body_after_another_read_took_the_reset_looks_complete() {
    let (mut connection, peer) = open().await;
    send_part_and_reset(peer).await;
    while connection.read().await.is_ok() {}
    for _ in 0..2 {
        let (_, end) = read_until_close(&mut connection).await;
        assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    }
}

#[actix_rt::test]
async fn read_body_that_its_peer_closed_is_complete() {
    let (mut connection, mut peer) = open().await;
    peer.write_all(b"whole").await.unwrap();
    drop(peer);
    let (body, end) = read_until_close(&mut connection).await;
    assert_eq!(body, b"whole");
    end.unwrap();
}

// ORDER of review/7: a copy was decoded without the end, and the end was judged without the bytes.
#[test]
fn decode_judges_the_end_after_the_bytes_before_it() {
    let failed = ConnectionEnd::Failed(io::ErrorKind::ConnectionReset);
    let cases = [
        (Framing::UntilClose, ConnectionEnd::Closed, Ok(Step::End)),
        (Framing::UntilClose, failed, Err(io::ErrorKind::ConnectionReset)),
        (Framing::Length(9), ConnectionEnd::Closed, Err(io::ErrorKind::UnexpectedEof)),
        (Framing::Length(9), failed, Err(io::ErrorKind::ConnectionReset)),
        (Framing::Length(4), ConnectionEnd::Closed, Ok(Step::End)),
        (Framing::Length(4), failed, Ok(Step::End)),
    ];
    for (framing, end, expected) in cases {
        let mut received = Received::default();
        received.bytes.extend_from_slice(b"part");
        received.record_end(end);
        for mut received in [received.clone(), received] {
            let mut decoder = BodyDecoder::new(framing);
            let step = received.decode(&mut decoder).unwrap();
            assert_eq!(step, Step::Data("part".into()), "{framing:?} {end:?}");
            let end_step = received.decode(&mut decoder).map_err(|error| error.kind());
            assert_eq!(end_step, expected, "{framing:?} {end:?}");
        }
    }
}
