//! Message framing does not depend on how the bytes are split, and arbitrary bytes cause no panic.

// quickcheck passes generated values by value.
#![allow(clippy::needless_pass_by_value)]

use bytes::BytesMut;
use dogwoodturn::http::{
    body::{BodyDecoder, LAST_CHUNK, Step, put_chunk},
    head::{Framing, HeadError, RequestHead, ResponseHead},
};
use quickcheck::{Gen, QuickCheck};

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 7)).tests(400)
}

/// Decodes bytes in pieces. Returns the body and the bytes after it, or `None` if it did not end.
fn decode(framing: Framing, bytes: &[u8], splits: &[u8]) -> Option<(Vec<u8>, Vec<u8>)> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut buf, mut body, mut rest) = (BytesMut::new(), Vec::new(), bytes);
    let mut splits = splits.iter().cycle();
    loop {
        match decoder.step(&mut buf).ok()? {
            Step::Data(data) => body.extend_from_slice(&data),
            Step::End => {
                buf.extend_from_slice(rest);
                return Some((body, buf.to_vec()));
            }
            Step::NeedsMore if rest.is_empty() => return None,
            Step::NeedsMore => {
                let length = usize::from(*splits.next().unwrap_or(&1) % 16 + 1).min(rest.len());
                let (piece, after) = rest.split_at(length);
                buf.extend_from_slice(piece);
                rest = after;
            }
        }
    }
}

#[test]
fn step_chunks_decode_at_any_split_and_leave_what_follows() {
    fn property(chunks: Vec<Vec<u8>>, splits: Vec<u8>, after: Vec<u8>) -> bool {
        let mut bytes = BytesMut::new();
        for chunk in &chunks {
            put_chunk(&mut bytes, chunk);
        }
        bytes.extend_from_slice(LAST_CHUNK);
        bytes.extend_from_slice(&after);
        decode(Framing::Chunked, &bytes, &splits) == Some((chunks.concat(), after))
    }
    check().quickcheck(property as fn(Vec<Vec<u8>>, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn step_truncated_chunks_never_end() {
    fn property(chunks: Vec<Vec<u8>>, splits: Vec<u8>, cut_off: u8) -> bool {
        let mut bytes = BytesMut::new();
        for chunk in &chunks {
            put_chunk(&mut bytes, chunk);
        }
        bytes.extend_from_slice(LAST_CHUNK);
        let keep = bytes.len() - 1 - usize::from(cut_off) % bytes.len();
        decode(Framing::Chunked, &bytes[..keep], &splits).is_none()
    }
    check().quickcheck(property as fn(Vec<Vec<u8>>, Vec<u8>, u8) -> bool);
}

#[test]
fn step_length_consumes_exactly_its_bytes() {
    fn property(body: Vec<u8>, after: Vec<u8>, splits: Vec<u8>) -> bool {
        let bytes = [body.clone(), after.clone()].concat();
        decode(Framing::Length(body.len() as u64), &bytes, &splits) == Some((body, after))
    }
    check().quickcheck(property as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn try_parse_arbitrary_bytes_never_panic() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut request = b"GET / HTTP/1.1\r\n".to_vec();
        request.extend_from_slice(&bytes);
        let mut response = b"HTTP/1.1 200 OK\r\n".to_vec();
        response.extend_from_slice(&bytes);
        let _ = RequestHead::try_parse(&mut BytesMut::from(&*bytes), 1024);
        let _ = RequestHead::try_parse(&mut BytesMut::from(&*request), 1024);
        let _ = ResponseHead::try_parse(&mut BytesMut::from(&*response), 1024, false);
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let mut buf = BytesMut::from(&*bytes);
        while let Ok(Step::Data(_)) = decoder.step(&mut buf) {}
        true
    }
    check().quickcheck(property as fn(Vec<u8>) -> bool);
}

// MIXED of other operators: a response with status 000 was passed on to the caller.
#[test]
fn try_parse_accepts_a_status_that_http_does_not_have() {
    for status in 0..1000 {
        let text = format!("HTTP/1.1 {status:03} Odd\r\nContent-Length: 0\r\n\r\n");
        let head = ResponseHead::try_parse(&mut BytesMut::from(&*text), 1024, false);
        match status {
            // An interim response is skipped.
            100..200 => assert!(matches!(head, Ok(None)), "{status}"),
            200..600 => assert_eq!(head.unwrap().unwrap().status, status),
            _ => assert_eq!(head.unwrap_err(), HeadError::Status(status)),
        }
    }
}
