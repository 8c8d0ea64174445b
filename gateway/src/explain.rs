//! Explains the outcome of a request from the log lines of all daemons.
//!
//! Besides the request's own lines, events that the same daemon logged shortly before are shown:
//! that the store was lost, that the upstream was leaving, or which table was in force.

use indexmap::IndexMap;

/// Events of the daemon are shown from this long before the request's last line, in microseconds.
const CONTEXT_WINDOW_US: i64 = 10_000_000;
/// Events that change a daemon's state and can explain the outcome of any request.
const CONTEXT_EVENTS: &[&str] = &[
    "start",
    "stop",
    "stopped",
    "reload",
    "hub",
    "table",
    "upstream",
    "upstream-leaving",
    "upstream-gone",
    "upstream-limit",
    "upstream-limit-ended",
    "upstreams-lost",
    "upstreams-regained",
    "upstream-brittle",
    "upstream-brittle-ended",
    "upstream-cold",
    "upstream-warm",
    "upstream-ramp-started",
    "upstream-ramp-backed-off",
    "upstream-ramp-ended",
    "evacuation-started",
    "evacuation-ended",
    "contention-started",
    "contention-level",
    "contention-ended",
    "barred",
    "cleared",
    "store-lost",
    "store-regained",
    "lease-taken",
    "move",
    "move-step",
    "order",
];

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// The log file, which identifies the daemon.
    pub file: Box<str>,
    /// Microseconds since 1970.
    pub timestamp_us: i64,
    /// The fields in order, without those that the logger adds.
    pub fields: IndexMap<Box<str>, Box<str>>,
}

impl LogLine {
    /// Parses a line of key=value pairs, skipping text before the first pair. Returns `None` if it
    /// has no valid timestamp.
    pub fn read(file: &str, text: &str) -> Option<Self> {
        let mut fields = read_fields(text);
        let at = fields.shift_remove("timestamp")?;
        let at: jiff::Timestamp = at.parse().ok()?;
        for key in ["level", "module", "position", "message"] {
            fields.shift_remove(key);
        }
        Some(Self { file: file.into(), timestamp_us: at.as_microsecond(), fields })
    }

    fn field(&self, key: &str) -> &str {
        self.fields.get(key).map_or("", |value| value)
    }
}

fn read_fields(text: &str) -> IndexMap<Box<str>, Box<str>> {
    let mut fields = IndexMap::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once('=') {
        let key = before.rsplit(' ').next().unwrap_or_default();
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key.into(), value.into());
        rest = next;
    }
    fields
}

/// Returns the request's lines and the context events of its daemons, in order of time.
pub fn trace(lines: &[LogLine], request: &str) -> Vec<LogLine> {
    let own: Vec<_> = lines.iter().filter(|line| line.field("request") == request).collect();
    let Some(last) = own.iter().map(|line| line.timestamp_us).max() else { return Vec::new() };
    let files: Vec<_> = own.iter().map(|line| &line.file).collect();
    let upstreams: Vec<_> = own.iter().map(|line| line.field("upstream")).collect();
    let is_context = |line: &&LogLine| {
        let event = line.field("event");
        let upstream = line.field("upstream");
        files.contains(&&line.file)
            && (last - CONTEXT_WINDOW_US..=last).contains(&line.timestamp_us)
            && CONTEXT_EVENTS.contains(&event)
            && (upstream.is_empty() || upstreams.contains(&upstream))
    };
    let is_own = |line: &&LogLine| line.field("request") == request;
    let mut traced: Vec<_> =
        lines.iter().filter(|line| is_own(line) || is_context(line)).cloned().collect();
    traced.sort_by_key(|line| line.timestamp_us);
    traced
}

/// Returns a sentence that describes the outcome of a request, from its last outcome line.
pub fn summarize(traced: &[LogLine], request: &str) -> Option<String> {
    let mut own = traced.iter().rev().filter(|line| line.field("request") == request);
    let last = own.find(|line| matches!(line.field("event"), "request" | "refused"))?;
    let outcome = match last.field("event") {
        "refused" => last.field("reason"),
        _ => last.field("outcome"),
    };
    Some(format!("{outcome}: {}", describe_outcome(outcome)))
}

/// Returns whether the request ran and the cause, for an outcome as logged.
pub fn describe_outcome(outcome: &str) -> &'static str {
    match outcome {
        "answered" => "an upstream answered, and the answer was delivered whole",
        "upstream-failure" => "an upstream ran it and answered with a failure, which was delivered",
        "refused-wait" => {
            "not run: the wait was too long at every upstream, or limits or brittle upstreams allowed none"
        }
        "refused-contention" => {
            "not run: the demand exceeded the capacity, and requests of its rank and customer gave way"
        }
        "refused-quota" => "not run: its customer had used up the quota of all daemons together",
        "refused-nobody" => "not run: no upstream of the service took new work",
        "refused-unreachable" => "not run: no connection to an upstream could be opened",
        "refused-by-upstream" => "not run: the upstream said so, and no other could be asked",
        "refused-late" => "not run: its time was up before an upstream was chosen",
        "refused-starting" => "not run: the daemon had no configuration or list of upstreams yet",
        "refused-stopping" => "not run: the daemon was stopping and had no time left for it",
        "refused-no-memory" => "not run: the gateway held too many bytes of bodies",
        "refused-no-service" => "not run: its route names no service with a weight",
        "refused-crashes-upstreams" => {
            "not run: upstreams crashed with it, or with a part of its prompt"
        }
        "denied-no-route" => "not run: no route of the table in force takes its host and path",
        "denied-key" => "not run: no customer of the table in force holds its key",
        "lost-by-upstream" => "may have run: the upstream broke the connection before an answer",
        "lost-no-other-upstream" => "may have run: one upstream failed and no other took it",
        "lost-resume-failed" => "ran in part: no other upstream went on with the stream",
        "timed-out" => "may have run: no answer came within its time",
        "interrupted" => "may have run: no answer came before the daemon ended",
        "cut" => "ran in part: the upstream broke off the answer, which was cut where it stopped",
        _ => "see the lines above",
    }
}
