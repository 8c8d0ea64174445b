//! What waits for callers: limits, and callers that leave.

use std::{rc::Rc, time::Duration};

use dogwoodturn::{
    edge::response_queue::{MAX_BUFFERED_BYTES, Part, ResponseQueue},
    limit::memory::MemoryBudget,
};
use tokio::time::timeout;

const LIMIT: usize = 4 * MAX_BUFFERED_BYTES;

fn chunk(bytes: usize) -> Part {
    Part::Chunk(vec![b'a'; bytes].into())
}

// The call of a key, whose caller had left, waited for that caller until its deadline.
#[actix_rt::test]
async fn wait_for_room_waits_for_a_caller_that_has_left() {
    let memory = MemoryBudget::for_buffers(LIMIT, MAX_BUFFERED_BYTES, 1);
    let queue = Rc::new(ResponseQueue::new(memory.begin()));
    assert!(queue.push(chunk(2 * MAX_BUFFERED_BYTES)));
    let waiting = queue.clone();
    let upstream = actix_rt::spawn(async move { waiting.wait_for_room().await });
    actix_rt::task::yield_now().await;
    queue.close();
    let is_read_on = timeout(Duration::from_secs(5), upstream).await;
    assert!(is_read_on.is_ok());
}

// Callers that did not read kept the memory, and those that read were cut off with them.
#[actix_rt::test]
async fn push_beside_callers_that_do_not_read_cuts_off_one_that_does() {
    let memory = MemoryBudget::for_buffers(LIMIT, MAX_BUFFERED_BYTES, 1);
    let slow: Vec<_> = (0..4).map(|_| ResponseQueue::new(memory.begin())).collect();
    let fast = ResponseQueue::new(memory.begin());
    let mut pushed = 0;
    while slow.iter().all(|queue| queue.push(chunk(MAX_BUFFERED_BYTES / 2))) {
        pushed += 1;
        assert!(fast.push(chunk(MAX_BUFFERED_BYTES)), "after {pushed} rounds");
        assert!(matches!(fast.recv().await, Some(Part::Chunk(_))));
    }
    assert!(pushed >= 4, "the limit was reached after {pushed} rounds");
    let mut closed = 0;
    for queue in &slow {
        let part = timeout(Duration::from_millis(10), queue.recv()).await;
        closed += usize::from(matches!(part, Ok(None)));
    }
    assert_eq!(closed, 1, "only the caller that lagged when the limit was reached");
    assert!(slow[1].push(chunk(MAX_BUFFERED_BYTES)), "its memory is free again");
}
