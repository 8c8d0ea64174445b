//! Unit tests of the request state: events, responses, ids, dispatch states and poison requests.

use std::time::Duration;

use bytes::Bytes;
use dogwoodturn::{
    ids::{CustomerName, DaemonId, Incarnation, RequestId},
    limit::upstream,
    request::{
        CallerId,
        crash_evidence::{BarReport, Cause, CrashReport, PartId, Report, Suspect},
        message::{Fetch, FetchEnd, FetchId, FetchResponse, Message, MessageWire},
        outcome::{DispatchState, RunOutcome, Undispatched, UpstreamRefusal},
        poison::{POISON_TTL, PoisonRequests},
        request_id::{RequestOrigin, owning_thread, rendezvous},
        response_tokens::ResponseTokens,
        retained::{MAX_RETAINED_BYTES, RESPONSE_RETENTION, RetainedResponse, RetainedResponses},
        sse::{EventScanner, MAX_EVENT_BYTES, SseError, SseEvent, SseReader},
    },
    units::Time,
};
use quickcheck::{Arbitrary as _, Gen};

const SEEDS: u64 = 200;

fn at(millis: u64) -> Time {
    Time(millis * 1000)
}

#[test]
fn sse_split_anywhere_gives_the_same_events() {
    let text =
        ": hello\r\nid: 0\r\ndata: {\"a\":1}\r\n\r\nid: 1\ndata: b\ndata: c\n\ndata: [DONE]\n\n";
    let mut whole = Vec::new();
    SseReader::default().read_chunk(text.as_bytes(), &mut whole).expect("valid events");
    let event =
        |id: Option<&str>, data: &str| SseEvent { id: id.map(Into::into), data: data.into() };
    let expected = [event(Some("0"), "{\"a\":1}"), event(Some("1"), "b\nc"), event(None, "[DONE]")];
    assert_eq!(whole, expected);
    for first in 0..text.len() {
        for second in first..text.len() {
            let mut reader = SseReader::default();
            let mut events = Vec::new();
            for part in [&text[..first], &text[first..second], &text[second..]] {
                reader.read_chunk(part.as_bytes(), &mut events).expect("valid events");
            }
            assert_eq!(events, expected, "split at {first} and {second}");
        }
    }
}

#[test]
fn event_scanner_split_anywhere_finds_the_same_ends() {
    let ends = ["\n\n", "\r\n\r\n", "\r\r", "\n\r\n", "\r\n\n"];
    for (first, second) in ends.iter().flat_map(|first| ends.map(|second| (*first, second))) {
        let text = format!("id: 1{first}: c{second}");
        for split in 0..text.len() {
            let (mut scanner, mut scanned, mut found) = (EventScanner::default(), 0, Vec::new());
            for part in [&text[..split], &text[split..]] {
                let mut rest = part.as_bytes();
                while let Some(end) = scanner.find_end(rest) {
                    rest = &rest[end..];
                    found.push(scanned + part.len() - rest.len());
                }
                scanned += part.len();
                // After two line ends, a line feed may still belong to the second one.
                let may_go_on = text[..scanned].ends_with("\n\r");
                let is_between = found.last().is_some_and(|end| *end == scanned) || scanned == 0;
                assert_eq!(
                    !scanner.is_inside_event(),
                    is_between && !may_go_on,
                    "{text:?} {split}"
                );
            }
            assert_eq!(found, ["id: 1".len() + first.len(), text.len()], "{text:?} {split}");
        }
    }
}

#[test]
fn sse_endless_event_is_refused() {
    let mut reader = SseReader::default();
    let mut events = Vec::new();
    let line = vec![b'x'; MAX_EVENT_BYTES / 2];
    assert_eq!(reader.read_chunk(&line, &mut events), Ok(()));
    assert_eq!(reader.read_chunk(&line, &mut events), Ok(()));
    assert_eq!(reader.read_chunk(b"x", &mut events), Err(SseError::TooLong));
    let mut reader = SseReader::default();
    let many = "data: 0123456789abcdef\n".repeat(MAX_EVENT_BYTES / 16);
    assert_eq!(reader.read_chunk(many.as_bytes(), &mut events), Err(SseError::TooLong));
    assert_eq!(
        SseReader::default().read_chunk(b"data: \xff\n\n", &mut events),
        Err(SseError::NotUtf8)
    );
}

#[test]
fn response_tokens_in_any_order_and_repeated() {
    for seed in 0..SEEDS {
        let mut source = Gen::from_size_and_seed(30, seed);
        let count = u64::from(u8::arbitrary(&mut source) % 30);
        let mut offsets: Vec<u64> = (0..count).chain(0..count).collect();
        for index in (1..offsets.len()).rev() {
            offsets.swap(index, usize::arbitrary(&mut source) % (index + 1));
        }
        let mut answer = ResponseTokens::default();
        let words: Vec<String> = (0..count).map(|offset| format!("w{offset} ")).collect();
        let expected = words.concat();
        for offset in offsets {
            answer.insert_token(offset, &format!("w{offset} ")).expect("a small response");
            assert!(expected.starts_with(answer.text()), "seed {seed}: {}", answer.text());
        }
        assert_eq!((answer.text(), answer.has_gap()), (&*expected, false), "seed {seed}");
        let tokens: String = answer.tokens_from(count / 2).collect();
        assert!(expected.ends_with(&tokens), "seed {seed}");
    }
}

#[test]
fn response_tokens_endless_gap_is_refused() {
    let mut answer = ResponseTokens::default();
    let refused = (1..10_000).find(|&offset| answer.insert_token(offset, "x").is_err());
    assert!(refused.is_some());
    assert_eq!(answer.next_offset(), 0);
}

fn refusal() -> UpstreamRefusal {
    UpstreamRefusal::read(503, true, false)
        .expect("the upstream states that it did not run the request")
}

#[test]
fn outcome_not_run_needs_proof() {
    let fresh = || DispatchState::Undispatched(Undispatched::begin());
    let not_run = |dispatch_state: DispatchState| {
        matches!(dispatch_state.into_outcome(), RunOutcome::NotRun(_))
    };
    assert!(not_run(fresh()));
    assert!(!not_run(fresh().dispatch()));
    assert!(not_run(fresh().dispatch().mark_unreachable()));
    assert!(not_run(fresh().dispatch().mark_refused(refusal())));
    assert!(!not_run(fresh().dispatch().mark_indeterminate()));
    // Proof that a later attempt did not run is no proof for an earlier one.
    assert!(!not_run(fresh().dispatch().mark_indeterminate().dispatch().mark_unreachable()));
    assert!(!not_run(fresh().dispatch().mark_indeterminate().dispatch().mark_refused(refusal())));
    assert!(!not_run(fresh().dispatch().dispatch().mark_unreachable()));
}

#[test]
fn outcome_responses_that_prove_not_run() {
    let proves = |status, says, engine| UpstreamRefusal::read(status, says, engine).is_some();
    assert!(proves(503, true, false) && proves(429, false, true) && proves(429, true, false));
    assert!(!proves(503, false, true) && !proves(429, false, false) && !proves(500, true, true));
}

#[test]
fn request_id_keeps_its_origin_for_any_daemon_name() {
    for daemon in ["a", "salish-a-0", "a:b:1:2"] {
        let daemon: DaemonId = daemon.parse().expect("a name");
        let origin = RequestOrigin { daemon, incarnation: Incarnation(7), thread: 3 };
        let name = origin.request_id(99).expect("a name");
        assert_eq!(RequestOrigin::from_request_id(&name), Some(origin.clone()));
        assert_eq!(owning_thread(&name, &origin.daemon, 4), 3);
        assert!(owning_thread(&name, &"other".parse().expect("a name"), 4) < 4);
    }
    let foreign: RequestId = "whatever".parse().expect("a name");
    assert_eq!(RequestOrigin::from_request_id(&foreign), None);
}

#[test]
fn rendezvous_order_is_stable_without_the_first() {
    let daemons: Vec<DaemonId> = (0..9).map(|n| format!("d{n}").parse().expect("a name")).collect();
    for number in 0..50 {
        let request: RequestId = format!("a:1:0:{number}").parse().expect("a name");
        let all = rendezvous(&request, &daemons);
        let rest: Vec<&DaemonId> = daemons.iter().rev().filter(|d| *d != all[0]).collect();
        assert_eq!(rendezvous(&request, rest), all[1..]);
    }
}

#[test]
fn poison_two_crashes_without_progress() {
    let mut poison_requests = PoisonRequests::default();
    let digest = [1; 32];
    assert!(!poison_requests.record_crash(at(0), digest, 0));
    assert_eq!(poison_requests.refused_for(at(1), &digest), None);
    assert!(poison_requests.record_crash(at(1), digest, 1));
    assert_eq!(poison_requests.refused_for(at(1), &digest), Some(POISON_TTL));
    assert_eq!(poison_requests.refused_for(at(1) + POISON_TTL, &digest), None);
    assert_eq!(poison_requests.refused_for(at(1), &[2; 32]), None);
}

#[test]
fn poison_progress_clears() {
    let mut poison_requests = PoisonRequests::default();
    for crash in 0..10 {
        assert!(!poison_requests.record_crash(at(crash), [1; 32], crash * 50));
    }
    // Long after the last crash, a further crash counts as the first.
    assert!(!poison_requests.record_crash(at(0) + POISON_TTL, [1; 32], 450));
}

#[test]
fn poison_requests_are_bounded() {
    let mut poison_requests = PoisonRequests::default();
    for number in 0..20_000_u32 {
        let mut digest = [0; 32];
        digest[..4].copy_from_slice(&number.to_le_bytes());
        poison_requests.refuse(at(0), digest, POISON_TTL);
    }
    let mut last = [0; 32];
    last[..4].copy_from_slice(&19_999_u32.to_le_bytes());
    assert!(poison_requests.refused_for(at(0), &last).is_some());
    assert!(poison_requests.refused_for(at(0), &[0; 32]).is_none());
}

fn retained_response(bytes: usize) -> RetainedResponse {
    let answer = ResponseTokens::from_tokens([&*"x".repeat(bytes)]).expect("a small response");
    RetainedResponse { customer: None, answer, usage: None, stream: true }
}

#[test]
fn retained_responses_expire_and_are_bounded() {
    let name = |number: usize| -> RequestId { format!("r{number}").parse().expect("a name") };
    let mut responses = RetainedResponses::default();
    for number in 0..20 {
        responses.store(at(0), name(number), retained_response(MAX_RETAINED_BYTES / 10));
    }
    let retained = (0..20).filter(|&number| responses.get(&name(number)).is_some()).count();
    assert!((1..=10).contains(&retained), "{retained} responses are retained");
    assert!(responses.get(&name(19)).is_some());
    responses.expire(at(0) + RESPONSE_RETENTION + Duration::from_millis(1));
    assert!(responses.get(&name(19)).is_none());
}

#[test]
fn message_wire_round_trip() {
    let request: RequestId = "a:1:0:1".parse().expect("a name");
    let customer: Option<CustomerName> = Some("ferries".parse().expect("a name"));
    let id = FetchId { thread: 1, caller: CallerId(5) };
    let fetch = Fetch { id, request: request.clone(), customer, next: 4 };
    let tokens = vec!["a ".into(), "b ".into()];
    let end = Some(FetchEnd::Complete(None));
    let fetched =
        FetchResponse { id, request: request.clone(), stream: true, offset: 4, tokens, end };
    let refused_for = Duration::from_secs(3);
    let (upstream, age) = ("u1".parse().expect("a name"), Duration::from_millis(7));
    let limit = upstream::Report { upstream, rate: upstream::RequestRate::new(2.5), age };
    let cause = Cause::Part(PartId(66));
    let suspects = vec![Suspect::new(9, [PartId(66)])];
    let evidence = Report {
        crashes: vec![CrashReport { upstream: limit.upstream.clone(), age, suspects }],
        served: vec![(Cause::Content(9), age)],
        bars: vec![BarReport { cause, crash_age: age, left: age, failed_probes: 1 }],
    };
    let messages = [
        Message::Poison { digest: [9; 32], refused_for },
        Message::CrashEvidence(Box::new(evidence)),
        Message::UpstreamLimits(vec![limit]),
        Message::Fetch(fetch),
        Message::FetchResponse(fetched),
        Message::HandOverReply { request, accepted: true },
    ];
    for message in messages {
        let mut bytes = Vec::new();
        ciborium::into_writer(&MessageWire::from(message.clone()), &mut bytes).expect("encoded");
        let wire: MessageWire = ciborium::from_reader(&*Bytes::from(bytes)).expect("decoded");
        assert_eq!(Message::try_from(wire).expect("valid"), message);
    }
}
