//! Events of a stream, cut out of its bytes.

use dogwoodturn_gateway::sse::EventBuffer;

#[test]
fn next_event_parts_of_an_event_are_kept_back() {
    let mut events = EventBuffer::default();
    events.push(b"id: 1\ndata: a\n").unwrap();
    assert_eq!(events.next_event(), None);
    events.push(b"\nid: 2\nda").unwrap();
    assert_eq!(events.next_event().unwrap().id, Some(1));
    assert_eq!(events.next_event(), None);
    assert_eq!(&*events.drain(), b"id: 2\nda");
}
