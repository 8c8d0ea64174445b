//! What a daemon that forwards a connection does with bytes that their sender has withdrawn.

use std::time::Duration;

use dogwoodturn::http::tunnel::forward;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (near, far) =
        tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
    (near.unwrap(), far.unwrap().0)
}

/// Writes a request into a tunnel, ends it, and lets the daemon that forwards it run only then. Returns what
/// the upstream received.
async fn received_after(end: impl FnOnce(TcpStream) -> Option<TcpStream>) -> Vec<u8> {
    let (mut sender, mut origin) = pair().await;
    let (mut to_upstream, mut upstream) = pair().await;
    sender.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let kept = end(sender);
    sleep(Duration::from_millis(100)).await;
    let forwarding = async move { forward(&mut origin, &mut to_upstream).await };
    let mut received = Vec::new();
    let _ = timeout(Duration::from_millis(300), async {
        tokio::join!(forwarding, upstream.read_to_end(&mut received))
    })
    .await;
    drop(kept);
    received
}

// DRAIN and BUDGET of wayfarer-dogwood-large: a daemon that stood still forwarded a request that had been abandoned
// in the meantime, after its deadline.
#[actix_rt::test]
async fn forward_request_that_was_reset_while_the_daemon_stood_still() {
    let reset = |sender: TcpStream| {
        sender.set_zero_linger().unwrap();
        None
    };
    assert_eq!(received_after(reset).await, b"");
}

#[actix_rt::test]
async fn forward_request_that_waited_is_sent_while_its_sender_waits() {
    assert_eq!(received_after(Some).await, b"GET / HTTP/1.1\r\n\r\n");
}
