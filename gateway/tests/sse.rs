//! Splitting a stream into events: a partial event is not returned.

use dogwoodturn_gateway::sse::EventBuffer;

#[test]
fn next_event_partial_event_is_not_returned() {
    let mut events = EventBuffer::default();
    events.push(b"id: 1\ndata: a\n").unwrap();
    assert_eq!(events.next_event(), None);
    events.push(b"\nid: 2\nda").unwrap();
    assert_eq!(events.next_event().unwrap().id, Some(1));
    assert_eq!(events.next_event(), None);
    assert_eq!(&*events.drain(), b"id: 2\nda");
}
