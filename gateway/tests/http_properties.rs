//! Framing holds however bytes are cut, and no bytes make it panic.

// quickcheck passes what it draws by value.
#![allow(clippy::needless_pass_by_value)]

use bytes::BytesMut;
use dogwoodturn_gateway::http::{
    body::{BodyDecoder, LAST_CHUNK, Step, put_chunk},
    head::{Framing, RequestHead, ResponseHead},
};
use quickcheck::{Gen, QuickCheck};

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 7)).tests(400)
}

/// Feeds bytes in pieces and returns the body with what is left over, if it ended.
fn decode(framing: Framing, bytes: &[u8], cuts: &[u8]) -> Option<(Vec<u8>, Vec<u8>)> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut buf, mut body, mut rest) = (BytesMut::new(), Vec::new(), bytes);
    let mut cuts = cuts.iter().cycle();
    loop {
        match decoder.step(&mut buf).ok()? {
            Step::Data(data) => body.extend_from_slice(&data),
            Step::End => {
                buf.extend_from_slice(rest);
                return Some((body, buf.to_vec()));
            }
            Step::NeedsMore if rest.is_empty() => return None,
            Step::NeedsMore => {
                let cut = usize::from(*cuts.next().unwrap_or(&1) % 16 + 1).min(rest.len());
                let (piece, after) = rest.split_at(cut);
                buf.extend_from_slice(piece);
                rest = after;
            }
        }
    }
}

#[test]
fn step_chunks_survive_any_cuts_and_leave_what_follows() {
    fn property(chunks: Vec<Vec<u8>>, cuts: Vec<u8>, after: Vec<u8>) -> bool {
        let mut bytes = BytesMut::new();
        for chunk in &chunks {
            put_chunk(&mut bytes, chunk);
        }
        bytes.extend_from_slice(LAST_CHUNK);
        bytes.extend_from_slice(&after);
        decode(Framing::Chunked, &bytes, &cuts) == Some((chunks.concat(), after))
    }
    check().quickcheck(property as fn(Vec<Vec<u8>>, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn step_truncated_chunks_never_end() {
    fn property(chunks: Vec<Vec<u8>>, cuts: Vec<u8>, cut_off: u8) -> bool {
        let mut bytes = BytesMut::new();
        for chunk in &chunks {
            put_chunk(&mut bytes, chunk);
        }
        bytes.extend_from_slice(LAST_CHUNK);
        let keep = bytes.len() - 1 - usize::from(cut_off) % bytes.len();
        decode(Framing::Chunked, &bytes[..keep], &cuts).is_none()
    }
    check().quickcheck(property as fn(Vec<Vec<u8>>, Vec<u8>, u8) -> bool);
}

#[test]
fn step_length_takes_exactly_its_bytes() {
    fn property(body: Vec<u8>, after: Vec<u8>, cuts: Vec<u8>) -> bool {
        let bytes = [body.clone(), after.clone()].concat();
        decode(Framing::Length(body.len() as u64), &bytes, &cuts) == Some((body, after))
    }
    check().quickcheck(property as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn take_arbitrary_bytes_never_panic() {
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
