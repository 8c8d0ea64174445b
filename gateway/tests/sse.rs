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
    assert_eq!(events.partial_bytes(), b"id: 2\nda".len());
    events.push(b"ta: b\n\n").unwrap();
    assert_eq!(&*events.next_event().unwrap().bytes, b"id: 2\ndata: b\n\n");
    assert_eq!(events.partial_bytes(), 0);
}

#[test]
fn next_event_lines_end_with_lf_cr_or_crlf() {
    let ends = [["\n", "\n"], ["\r\n", "\r\n"], ["\r", "\r"], ["\n", "\r\n"], ["\r\n", "\n"]];
    for [line_end, last] in ends {
        let text = format!("id: 7{line_end}data: a{line_end}{last}");
        let mut events = EventBuffer::default();
        // Byte by byte, so that no end of a line depends on what arrives with it.
        for byte in text[..text.len() - 1].bytes() {
            events.push(&[byte]).unwrap();
            assert_eq!(events.next_event(), None, "{text:?}");
        }
        events.push(&text.as_bytes()[text.len() - 1..]).unwrap();
        let event = events.next_event().unwrap_or_else(|| panic!("no event in {text:?}"));
        assert_eq!((event.id, &*event.bytes), (Some(7), text.as_bytes()));
        assert_eq!(events.partial_bytes(), 0, "{text:?}");
    }
}
