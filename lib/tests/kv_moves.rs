//! Moves of KV caches between engines that do not keep to the protocol.

use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use dogwoodturn::{
    edge::{
        client::Client,
        upstream::{KV_COPIES, MAX_KV_BYTES, move_kv},
    },
    limit::memory::MemoryBudget,
};
use futures_util::future::join_all;

/// As many as a daemon moves at a time.
const MOVES: usize = 32;
/// What the sockets of one connection hold.
const SOCKET_BYTES: usize = 8 << 20;

// Each of 32 moves read up to 64 MiB of a cache without end, on hosts of 160 MB.
#[actix_rt::test]
async fn move_kv_caches_without_end_use_up_the_memory() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().take(MOVES) {
            let (mut stream, counter) = (stream.unwrap(), counter.clone());
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let mut bytes = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
                while stream.write_all(&bytes).is_ok() {
                    counter.fetch_add(bytes.len(), Ordering::Relaxed);
                    bytes = vec![b'a'; 64 * 1024];
                }
            });
        }
    });
    let (client, memory) =
        (Rc::new(Client::default()), MemoryBudget::for_buffers(MAX_KV_BYTES, 0, KV_COPIES));
    let moves = (0..MOVES).map(|_| move_kv(&client, &memory, "r.1", address, address));
    assert!(join_all(moves).await.iter().all(|is_moved| !is_moved));
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MAX_KV_BYTES + MOVES * SOCKET_BYTES, "{} MiB were read", sent >> 20);
}
