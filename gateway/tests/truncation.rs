//! Responses that break off: a caller never receives one that looks complete.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use dogwoodturn::http::head::Framing;
use futures_util::future::join_all;
use support::{TestGateway, Upstream, UpstreamAction, complete_body, framed, get};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

const EVENT_STREAM: &str = "text/event-stream";
const FRAMINGS: [Framing; 3] = [Framing::Length(0), Framing::Chunked, Framing::UntilClose];

fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

// ORDER in inc1 of lwcma-clipdesk.
#[actix_rt::test]
async fn truncated_stream_framed_as_complete() {
    let whole = event(1) + &event(2);
    let mut failures = Vec::new();
    for framing in FRAMINGS {
        for path in ["/build/1", "/render/1", "/look/1", "/book/1"] {
            for cut in [1, "id: 2".len(), "id: 2\nda".len(), event(2).len() - 1] {
                let sent = whole[..event(1).len() + cut].to_owned();
                let upstream = Upstream::start(move |_| {
                    // The framing itself is complete, so that only the events show the truncation.
                    UpstreamAction::WriteAndClose(framed(framing, EVENT_STREAM, &sent, sent.len()))
                });
                let gateway = TestGateway::start(&[&upstream]).await;
                let response = gateway.exchange(&get(path, "a1")).await;
                if complete_body(&response).is_some() {
                    failures.push(format!("{framing:?} {path} cut after {cut} bytes"));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

// ORDER in inc1 of lwcma-clipdesk, after a resumption.
#[actix_rt::test]
async fn truncated_resumed_stream_framed_as_complete() {
    for framing in FRAMINGS {
        let script = move |received: &support::ReceivedRequest| {
            let last: u64 =
                received.head.headers.text("X-Last-Event").map_or(0, |id| id.parse().unwrap());
            let body = event(last + 1) + "id: 9\nda";
            UpstreamAction::WriteAndClose(framed(framing, EVENT_STREAM, &body, body.len()))
        };
        let (first, second) = (Upstream::start(script), Upstream::start(script));
        let gateway = TestGateway::start(&[&first, &second]).await;
        let response = gateway.exchange(&get("/render/1", "a1")).await;
        assert_eq!(complete_body(&response), None, "{framing:?}: {response}");
        let (body, _) = support::decode_chunked(&response);
        assert_eq!(body, event(1) + &event(2), "{framing:?}");
    }
}

#[actix_rt::test]
async fn partly_relayed_response_joined_with_that_of_a_second_run() {
    // Longer than a response that is buffered until it is complete.
    let long = "x".repeat(600_000);
    let mut failures = Vec::new();
    for framing in FRAMINGS {
        for second in [long.clone(), "short".to_owned()] {
            let calls = Rc::new(Cell::new(0));
            let (first, expected) = (long.clone(), [long.clone(), second.clone()]);
            let script = {
                let calls = calls.clone();
                move |_: &support::ReceivedRequest| {
                    calls.set(calls.get() + 1);
                    if calls.get() == 1 {
                        let part = framed(framing, "text/plain", &first, first.len() - 1);
                        return UpstreamAction::WriteAndReset(part);
                    }
                    let whole = framed(framing, "text/plain", &second, second.len());
                    UpstreamAction::WriteAndClose(whole)
                }
            };
            let upstreams = [Upstream::start(script.clone()), Upstream::start(script)];
            let gateway = TestGateway::start(&[&upstreams[0], &upstreams[1]]).await;
            let response = gateway.exchange(&get("/look/1", "a1")).await;
            let is_joined = response.matches("HTTP/1.1").count() > 1
                || complete_body(&response).is_some_and(|body| !expected.contains(&body));
            if is_joined {
                failures.push(format!(
                    "{framing:?}: {} bytes in {} runs",
                    response.len(),
                    calls.get()
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// A response that breaks off or not.
#[derive(Clone, Copy, Debug)]
struct Case {
    path: &'static str,
    framing: Framing,
    content_type: &'static str,
    /// The number of bytes of the body that are sent.
    sent: usize,
    is_reset: bool,
}

impl Case {
    fn body() -> String {
        event(1) + &event(2)
    }

    /// Reports whether the bytes that were sent say that the body is complete.
    fn is_complete(&self) -> bool {
        let at_event_end = self.sent.is_multiple_of(event(1).len());
        match self.framing {
            Framing::Length(_) | Framing::Chunked => self.sent == Self::body().len(),
            Framing::UntilClose => {
                !self.is_reset && (self.content_type != EVENT_STREAM || at_event_end)
            }
        }
    }

    async fn check(self) -> Option<String> {
        let upstream = Upstream::start(move |_| {
            let text = framed(self.framing, self.content_type, &Self::body(), self.sent);
            if self.is_reset {
                UpstreamAction::WriteAndReset(text)
            } else {
                UpstreamAction::WriteAndClose(text)
            }
        });
        let gateway = TestGateway::start(&[&upstream]).await;
        let response = gateway.exchange(&get(self.path, "a1")).await;
        let expected = self.is_complete().then(|| Self::body()[..self.sent].to_owned());
        let received = complete_body(&response);
        (received != expected).then(|| format!("{self:?}: received {received:?}"))
    }
}

#[actix_rt::test]
async fn response_of_any_framing_looks_complete_only_if_it_is() {
    let mut cases = Vec::new();
    for path in ["/build/1", "/render/1", "/look/1", "/book/1"] {
        for framing in FRAMINGS {
            for content_type in [EVENT_STREAM, "application/json"] {
                for sent in 0..=Case::body().len() {
                    for is_reset in [false, true] {
                        cases.push(Case { path, framing, content_type, sent, is_reset });
                    }
                }
            }
        }
    }
    let mut failures = Vec::new();
    for batch in cases.chunks(64) {
        let results = join_all(batch.iter().map(|case| case.check())).await;
        failures.extend(results.into_iter().flatten());
    }
    assert!(failures.is_empty(), "{} of {}: {failures:#?}", failures.len(), cases.len());
}

#[actix_rt::test]
async fn stream_cut_anywhere_is_resumed_with_each_event_once() {
    for framing in FRAMINGS {
        for is_reset in [false, true] {
            for cut in 1..event(2).len() {
                let script = move |received: &support::ReceivedRequest| {
                    let last = received.head.headers.text("X-Last-Event");
                    let body = match last {
                        None => event(1) + &event(2)[..cut],
                        Some(last) => (last.parse::<u64>().unwrap() + 1..=3).map(event).collect(),
                    };
                    let text = framed(framing, EVENT_STREAM, &body, body.len());
                    if is_reset && last.is_none() {
                        UpstreamAction::WriteAndReset(text)
                    } else {
                        UpstreamAction::WriteAndClose(text)
                    }
                };
                let upstreams = [Upstream::start(script), Upstream::start(script)];
                let gateway = TestGateway::start(&[&upstreams[0], &upstreams[1]]).await;
                let response = gateway.exchange(&get("/render/1", "a1")).await;
                let expected: String = (1..=3).map(event).collect();
                assert_eq!(
                    complete_body(&response),
                    Some(expected),
                    "{framing:?} {is_reset} {cut}"
                );
            }
        }
    }
}

// ORDER of review/7: while a replacement for the silent upstream was opened, the end of the connection was
// judged before the bytes that had arrived with it were decoded.
#[actix_rt::test]
async fn stream_cut_beside_a_replacement_looks_complete() {
    // A stream is silent after three gaps of its route, and a replacement has 150 ms to refuse.
    let silent_at = Duration::from_millis(3 * 400);
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        for is_reset in [false, true] {
            for cut in 1..=event(2).len() {
                for beside in [20, 70, 120] {
                    cases.push((framing, is_reset, cut, Duration::from_millis(beside)));
                }
            }
        }
    }
    let check = async |(framing, is_reset, cut, beside): &(Framing, bool, usize, Duration)| {
        let (is_reset, pause) = (*is_reset, silent_at + *beside);
        let start =
            framed(*framing, EVENT_STREAM, &(event(1) + &event(2) + &event(3)), event(1).len());
        let part = event(2)[..*cut].to_owned();
        let part = match framing {
            Framing::Chunked => format!("{:x}\r\n{part}\r\n", part.len()),
            Framing::Length(_) | Framing::UntilClose => part,
        };
        let script = move |received: &support::ReceivedRequest| {
            let Some(last) = received.head.headers.text("X-Last-Event") else {
                let parts = vec![(Duration::ZERO, start.clone()), (pause, part.clone())];
                return if is_reset {
                    UpstreamAction::WritePartsAndReset(parts)
                } else {
                    UpstreamAction::WritePartsAndClose(parts)
                };
            };
            let rest: String = (last.parse::<u64>().unwrap() + 1..=3).map(event).collect();
            let text = framed(Framing::Chunked, EVENT_STREAM, &rest, rest.len());
            UpstreamAction::WriteAfter(Duration::from_millis(400), text)
        };
        let upstreams = [Upstream::start(script.clone()), Upstream::start(script)];
        let gateway = TestGateway::start(&[&upstreams[0], &upstreams[1]]).await;
        gateway.exchange(&get("/render/1", "a1")).await
    };
    let whole: String = (1..=3).map(event).collect();
    let mut failures = Vec::new();
    for batch in cases.chunks(64) {
        for (case, response) in batch.iter().zip(join_all(batch.iter().map(check)).await) {
            let (framing, is_reset, cut, _) = *case;
            let body = complete_body(&response);
            let is_expected = if cut < event(2).len() {
                body.as_ref() == Some(&whole)
            } else if framing == Framing::UntilClose && !is_reset {
                body.as_ref() == Some(&(event(1) + &event(2)))
            } else {
                // The stream went on, so that the replacement was given up; no attempt is left.
                body.is_none_or(|body| body == whole)
            };
            if !is_expected {
                failures.push(format!("{case:?}: {response}"));
            }
        }
    }
    assert!(failures.is_empty(), "{} of {}: {failures:#?}", failures.len(), cases.len());
}

#[actix_rt::test]
async fn stream_without_ids_repeated_after_a_break() {
    let body = "data: a\n\ndata: b\n\n";
    let script = move |_: &support::ReceivedRequest| {
        UpstreamAction::WriteAndReset(framed(Framing::UntilClose, EVENT_STREAM, body, body.len()))
    };
    let upstreams = [Upstream::start(script), Upstream::start(script)];
    let gateway = TestGateway::start(&[&upstreams[0], &upstreams[1]]).await;
    let response = gateway.exchange(&get("/render/1", "a1")).await;
    assert_eq!(support::decode_chunked(&response), (body.to_owned(), false));
}

#[actix_rt::test]
async fn stream_with_comments_without_ids_is_resumed() {
    let script =
        |received: &support::ReceivedRequest| match received.head.headers.text("X-Last-Event") {
            None => {
                let body = event(1) + ": still here\n\nretry: 10\n\n";
                let text = framed(Framing::Chunked, EVENT_STREAM, &body, body.len() - 1);
                UpstreamAction::WriteAndClose(text)
            }
            Some(_) => UpstreamAction::WriteAndClose(framed(
                Framing::Length(0),
                EVENT_STREAM,
                &event(2),
                event(2).len(),
            )),
        };
    let upstreams = [Upstream::start(script), Upstream::start(script)];
    let gateway = TestGateway::start(&[&upstreams[0], &upstreams[1]]).await;
    let body = complete_body(&gateway.exchange(&get("/render/1", "a1")).await);
    assert_eq!(body, Some(event(1) + ": still here\n\n" + &event(2)));
}

/// Sends a request as HTTP/1.0, whose responses have no chunks. Returns the body if the connection was
/// closed regularly, and `None` if it was reset.
async fn exchange_http_1_0(gateway: &TestGateway, path: &str) -> Option<String> {
    let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
    let request = get(path, "a1").replace("HTTP/1.1", "HTTP/1.0");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    assert!(!head.contains("Transfer-Encoding"), "{head}");
    Some(body.to_owned())
}

#[actix_rt::test]
async fn truncated_response_to_http_1_0_ends_like_a_complete_one() {
    let long = "x".repeat(600_000);
    for (path, content_type, body) in
        [("/build/1", EVENT_STREAM, event(1) + &event(2)), ("/book/1", "text/plain", long)]
    {
        for sent in [body.len() - 1, body.len()] {
            let text = framed(Framing::Chunked, content_type, &body, sent);
            let upstream = Upstream::start(move |_| UpstreamAction::WriteAndClose(text.clone()));
            let gateway = TestGateway::start(&[&upstream]).await;
            let received = exchange_http_1_0(&gateway, path).await;
            let expected = (sent == body.len()).then(|| body.clone());
            assert!(received == expected, "{path} {sent} of {}: {received:?}", body.len());
        }
    }
}

/// Guards against the error of a second upstream inside a stream that has begun, or a stream that it ends as if
/// it were complete.
#[actix_rt::test]
async fn stream_joined_with_the_error_of_a_second_upstream() {
    let with_length = |head: &str, body: &str| {
        format!("HTTP/1.1 {head}\r\nX-Id: {{id}}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let errors = [
        with_length("500 Internal Server Error", "boom"),
        with_length("500 Boom\r\nContent-Type: text/event-stream", &event(2)),
        with_length("502 Bad Gateway\r\nContent-Type: text/event-stream", "boom"),
        with_length("404 Not Found", "boom"),
        with_length("503 Full\r\nX-Not-Run: 1", ""),
        with_length("421 Misdirected Request", "boom"),
        with_length("204 No Content", ""),
        with_length("302 Found\r\nLocation: /boom", ""),
        // An error page that is no stream, whatever its status says.
        with_length("200 OK\r\nContent-Type: text/html", "boom"),
        with_length("200 OK", "boom"),
        with_length("200 OK\r\nContent-Type: application/json", r#"{"error":"boom"}"#),
        "boom\r\n\r\n".to_owned(),
        String::new(),
    ];
    let mut failures = Vec::new();
    for (framing, error) in FRAMINGS.iter().flat_map(|f| errors.iter().map(move |e| (*f, e))) {
        for part in [event(1), event(1) + "id: 2\nda"] {
            let (calls, error, part) = (Cell::new(0), error.clone(), part.clone());
            let script = Rc::new(move |_: &support::ReceivedRequest| {
                calls.set(calls.get() + 1);
                if calls.get() > 1 {
                    return UpstreamAction::WriteAndClose(error.clone());
                }
                let whole = part.clone() + &event(2) + &event(3);
                UpstreamAction::WriteAndReset(framed(framing, EVENT_STREAM, &whole, part.len()))
            });
            let start = || {
                let script = script.clone();
                Upstream::start(move |received| script(received))
            };
            let (first, second) = (start(), start());
            let gateway = TestGateway::start(&[&first, &second]).await;
            let response = gateway.exchange(&get("/render/1", "a1")).await;
            let (body, is_complete) = support::decode_chunked(&response);
            let heads = response.matches("HTTP/1.1").count();
            let calls = first.count() + second.count();
            if is_complete || body != event(1) || heads != 1 || calls != 2 {
                failures.push(format!("{framing:?}, {calls} calls: {response}"));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

// An upstream that stopped inside the head of its response was taken for a short response elsewhere.
#[actix_rt::test]
async fn truncated_head_is_taken_for_a_whole_short_response() {
    let mut cases = Vec::new();
    for path in ["/build/1", "/render/1", "/look/1", "/book/1"] {
        for framing in FRAMINGS {
            let whole = framed(framing, EVENT_STREAM, "", 0);
            // Also responses that come after another one on the same connection.
            for (sent, is_reset) in (0..whole.len()).flat_map(|sent| [(sent, false), (sent, true)])
            {
                cases.push((path, whole[..sent].to_owned(), is_reset, sent % 2 == 1));
            }
        }
    }
    let check = async |(path, part, is_reset, is_kept): &(&str, String, bool, bool)| {
        let (part, is_reset, is_kept) = (part.clone(), *is_reset, *is_kept);
        let upstream = Upstream::start(move |received| {
            if is_kept && received.head.headers.text("X-Id") == Some("first") {
                UpstreamAction::Write(support::ok("first"))
            } else if is_reset {
                UpstreamAction::WriteAndReset(part.clone())
            } else {
                UpstreamAction::WriteAndClose(part.clone())
            }
        });
        let gateway = TestGateway::start(&[&upstream]).await;
        if is_kept {
            gateway.exchange(&get("/look/1", "first")).await;
        }
        gateway.exchange(&get(path, "a1")).await
    };
    let mut failures = Vec::new();
    for batch in cases.chunks(64) {
        for (case, response) in batch.iter().zip(join_all(batch.iter().map(check)).await) {
            // The request may have run, so that it is no refusal either.
            if !response.starts_with("HTTP/1.1 502 ") {
                failures.push(format!("{case:?}: {response}"));
            }
        }
    }
    assert!(failures.is_empty(), "{} of {}: {failures:#?}", failures.len(), cases.len());
}

// MIXED of other operators: a response with status 000 was passed on to the caller.
#[actix_rt::test]
async fn response_with_a_status_that_http_does_not_have_is_passed_on() {
    for status in ["000", "099", "600", "999"] {
        for framing in FRAMINGS {
            for path in ["/build/1", "/render/1", "/look/1", "/book/1"] {
                let whole = framed(framing, EVENT_STREAM, &event(1), event(1).len());
                let odd = whole.replacen("200 OK", &format!("{status} Odd"), 1);
                let script =
                    move |_: &support::ReceivedRequest| UpstreamAction::WriteAndClose(odd.clone());
                let upstreams = [Upstream::start(script.clone()), Upstream::start(script)];
                let gateway = TestGateway::start(&[&upstreams[0], &upstreams[1]]).await;
                let response = gateway.exchange(&get(path, "a1")).await;
                assert!(response.starts_with("HTTP/1.1 502 "), "{status} {path}: {response}");
            }
        }
    }
}
