//! Limits of the log buffer: lines per call site and bytes for a slow reader.

use std::time::{Duration, Instant};

use dogwoodturn_gateway::logs::{LogBuffer, MAX_BUFFERED_BYTES, MAX_LINES_PER_SECOND};

fn lines(buffer: &mut LogBuffer) -> (usize, u64) {
    let (bytes, dropped) = buffer.drain();
    (String::from_utf8(bytes).unwrap().lines().count(), dropped)
}

#[test]
fn add_each_call_site_has_its_own_limit_per_second() {
    let (mut buffer, now) = (LogBuffer::default(), Instant::now());
    let many = MAX_LINES_PER_SECOND + 5;
    for _ in 0..many {
        buffer.add(now, ("one.rs", 7), b"event=a");
    }
    buffer.add(now, ("other.rs", 7), b"event=b");
    assert_eq!(lines(&mut buffer), (MAX_LINES_PER_SECOND as usize + 1, 5));
    buffer.add(now + Duration::from_secs(1), ("one.rs", 7), b"event=a");
    assert_eq!(lines(&mut buffer), (1, 0));
}

#[test]
fn add_buffered_bytes_are_bounded() {
    let (mut buffer, now) = (LogBuffer::default(), Instant::now());
    let line = vec![b'x'; 1000];
    for call_site in 0..2 * MAX_BUFFERED_BYTES as u32 / 1000 {
        buffer.add(now, ("one.rs", call_site), &line);
    }
    let (bytes, dropped) = buffer.drain();
    assert!(bytes.len() <= MAX_BUFFERED_BYTES && dropped > 0, "{} bytes", bytes.len());
}
