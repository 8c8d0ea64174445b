//! What waits for a slow reader of the logs, and what is left out.

use std::time::{Duration, Instant};

use dogwoodturn_gateway::logs::{MAX_LINES_PER_SECOND, MAX_WAITING, Waiting};

fn lines(waiting: &mut Waiting) -> (usize, u64) {
    let (bytes, left_out) = waiting.take();
    (String::from_utf8(bytes).unwrap().lines().count(), left_out)
}

#[test]
fn add_each_place_has_its_own_lines_in_a_second() {
    let (mut waiting, now) = (Waiting::default(), Instant::now());
    let many = MAX_LINES_PER_SECOND + 5;
    for _ in 0..many {
        waiting.add(now, ("one.rs", 7), b"event=a");
    }
    waiting.add(now, ("other.rs", 7), b"event=b");
    assert_eq!(lines(&mut waiting), (MAX_LINES_PER_SECOND as usize + 1, 5));
    waiting.add(now + Duration::from_secs(1), ("one.rs", 7), b"event=a");
    assert_eq!(lines(&mut waiting), (1, 0));
}

#[test]
fn add_slow_reader_costs_a_bounded_number_of_bytes() {
    let (mut waiting, now) = (Waiting::default(), Instant::now());
    let line = vec![b'x'; 1000];
    for place in 0..2 * MAX_WAITING as u32 / 1000 {
        waiting.add(now, ("one.rs", place), &line);
    }
    let (bytes, left_out) = waiting.take();
    assert!(bytes.len() <= MAX_WAITING && left_out > 0, "{} bytes", bytes.len());
}
