//! Finds the requests, and the parts of prompts, that crash the upstreams that run them.
//!
//! Load patterns: one caller repeats a request, to any daemon, and each time an upstream crashes; it
//! is recognised by its content. Or requests of which no two are alike share one part of their
//! prompts, and each upstream that begins to respond to one crashes, while many sound requests are in
//! progress there, which share their customer and all other parts with them.
//!
//! A crash therefore makes all parts of all requests in progress suspect, and a complete response
//! clears its parts. A part that stays suspect through several crashes is barred: requests with it
//! are refused. A crash that a barred part explains is no evidence against the other parts.
//!
//! The cause belongs to the request or the part and not to the daemon, so all daemons share the
//! evidence. See `docs/design/crash-evidence.md`.

use std::{
    cmp::Reverse, collections::VecDeque, fmt, num::ParseIntError, str::FromStr, time::Duration,
};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{ids::UpstreamId, units::Time};

/// The number of crashes without a response in between that bar a part.
const MIN_PART_CRASHES: usize = 3;
/// The number of different requests among them. A single request that comes again is barred itself.
const MIN_REQUESTS: usize = 2;
/// Crashes within this time count as one: upstreams that are lost together have one cause, which is
/// no request.
const CRASH_INTERVAL: Duration = Duration::from_millis(200);
/// The age from which a crash counts. In the meantime, peers report their requests at the upstream
/// and the parts that have been served.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// Reports on the same upstream within this time are about the same crash; an upstream takes longer
/// to return.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// The time for which crashes and responses count as evidence.
const EVIDENCE_TTL: Duration = Duration::from_secs(60);
/// The time for which a cause is barred at first. Each probe that fails multiplies it by
/// [`BAR_FACTOR`], since each costs an upstream.
const FIRST_BAR: Duration = Duration::from_secs(20);
const BAR_FACTOR: u32 = 4;
const MAX_BAR: Duration = Duration::from_mins(10);
/// The time for which the outcome of a probe is awaited before another one is sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay between probes of daemons of consecutive ranks, so that only one sends a probe.
const PROBE_STAGGER: Duration = Duration::from_secs(1);
/// The time for which an observation is reported to peers.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// The interval between responses that are recorded while there is no evidence of crashes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which expired evidence is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);
/// A response that has been produced for this long clears its parts, since the crash follows the
/// first token of a response.
pub const SOUND_AFTER: Duration = Duration::from_millis(500);

const MAX_CRASH_RECORDS: usize = 64;
const MAX_SUSPECTS: usize = 64;
const MAX_PARTS: usize = 16;
const MAX_SERVED: usize = 4096;
const MAX_BARS: usize = 256;
const MAX_REPORTED_SUSPECTS: usize = 256;

/// Returns the shared parts of a prompt that consists of text: its lines, but for the last one, which
/// is the request's own.
pub fn prompt_lines(prompt: &str) -> impl Iterator<Item = PartId> + Clone {
    let shared = prompt.trim_end().rsplit_once('\n').map_or("", |(shared, _)| shared);
    let lines = shared.lines().filter(|line| !line.trim().is_empty());
    lines.take(MAX_PARTS).map(|line| PartId(xxh3_64(line.as_bytes())))
}

/// Identifies a part of a prompt that other requests may share.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// What may have crashed an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// All requests with the same content, by its hash.
    #[serde(rename = "c")]
    Content(u64),
    /// All requests with the same part of their prompts.
    #[serde(rename = "p")]
    Part(PartId),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(content) => write!(f, "content:{content:016x}"),
            Self::Part(part) => write!(f, "part:{part}"),
        }
    }
}

/// A request in progress at an upstream that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// A hash of its content, which is the same when its caller repeats it.
    pub content: u64,
    /// The parts that other requests may share, in the order of the prompt.
    pub parts: Vec<PartId>,
}

impl Suspect {
    /// Creates a suspect; parts beyond the first [`MAX_PARTS`] are dropped.
    pub fn new(content: u64, parts: impl IntoIterator<Item = PartId>) -> Self {
        Self { content, parts: parts.into_iter().take(MAX_PARTS).collect() }
    }

    fn causes(&self) -> impl Iterator<Item = Cause> {
        causes(self.content, self.parts.iter().copied())
    }
}

#[derive(Clone, Debug)]
struct Crash {
    upstream: UpstreamId,
    at: Time,
    /// The requests of this daemon, which it reports to its peers.
    own_suspects: Vec<Suspect>,
    peer_suspects: Vec<Suspect>,
}

impl Crash {
    fn suspects(&self) -> impl Iterator<Item = &Suspect> {
        self.own_suspects.iter().chain(&self.peer_suspects)
    }

    fn contains(&self, suspect: &Suspect) -> bool {
        self.suspects().any(|other| other == suspect)
    }
}

#[derive(Clone, Copy, Debug)]
struct Bar {
    last_crash: Time,
    /// When the cause may be probed.
    until: Time,
    failed_probes: u32,
    /// Whether a probe of this daemon is in progress.
    is_probing: bool,
}

impl Bar {
    fn duration(&self) -> Duration {
        FIRST_BAR.saturating_mul(BAR_FACTOR.saturating_pow(self.failed_probes)).min(MAX_BAR)
    }
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Allowed,
    /// The request is the probe of a barred cause. It must be sent to one upstream only.
    Probe(Cause),
    /// The request must not be sent, as it crashes upstreams.
    Barred {
        cause: Cause,
        /// The time after which the cause may be probed.
        retry_after: Duration,
    },
}

/// A cause that was barred or is no longer barred, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Barred {
        cause: Cause,
        crashes: usize,
        requests: usize,
    },
    BarredByPeer(Cause),
    /// A response was served, or the bar has expired.
    Cleared(Cause),
}

/// What a daemon reports to its peers. All times are ages, since daemons share no clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    pub crashes: Vec<CrashReport>,
    /// Suspects and the time since a response was served.
    pub served: Vec<(Cause, Duration)>,
    pub bars: Vec<BarReport>,
}

impl Report {
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.served.is_empty() && self.bars.is_empty()
    }
}

/// A crash and the requests of the reporting daemon that were in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    pub upstream: UpstreamId,
    pub age: Duration,
    pub suspects: Vec<Suspect>,
}

/// A barred cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BarReport {
    pub cause: Cause,
    /// The time since the last crash.
    pub crash_age: Duration,
    /// The time until the cause may be probed.
    pub left: Duration,
    pub failed_probes: u32,
}

/// The content and the parts of a [`Suspect`].
type SuspectWire = (u64, Vec<PartId>);

/// The wire format of a [`Report`]; times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportWire(
    Vec<(UpstreamId, u64, Vec<SuspectWire>)>,
    Vec<(Cause, u64)>,
    Vec<(Cause, u64, u64, u32)>,
);

impl ReportWire {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty() && self.1.is_empty() && self.2.is_empty()
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl From<Report> for ReportWire {
    fn from(report: Report) -> Self {
        let suspect = |suspect: Suspect| (suspect.content, suspect.parts);
        let crash = |crash: CrashReport| {
            let suspects = crash.suspects.into_iter().map(suspect).collect();
            (crash.upstream, millis(crash.age), suspects)
        };
        let bar = |bar: BarReport| {
            (bar.cause, millis(bar.crash_age), millis(bar.left), bar.failed_probes)
        };
        Self(
            report.crashes.into_iter().map(crash).collect(),
            report.served.into_iter().map(|(cause, age)| (cause, millis(age))).collect(),
            report.bars.into_iter().map(bar).collect(),
        )
    }
}

impl From<ReportWire> for Report {
    fn from(ReportWire(crashes, served, bars): ReportWire) -> Self {
        let crash = |(upstream, age, suspects): (_, _, Vec<_>)| CrashReport {
            upstream,
            age: Duration::from_millis(age),
            suspects: suspects
                .into_iter()
                .map(|(content, parts)| Suspect::new(content, parts))
                .collect(),
        };
        let bar = |(cause, crash_age, left, failed_probes)| BarReport {
            cause,
            crash_age: Duration::from_millis(crash_age),
            left: Duration::from_millis(left),
            failed_probes,
        };
        Self {
            crashes: crashes.into_iter().map(crash).collect(),
            served: served
                .into_iter()
                .map(|(cause, age)| (cause, Duration::from_millis(age)))
                .collect(),
            bars: bars.into_iter().map(bar).collect(),
        }
    }
}

/// The evidence of this daemon and its peers.
#[derive(Clone, Debug)]
pub struct CrashEvidence {
    /// The number of crashes without a response in between that bar a content.
    min_content_crashes: usize,
    crashes: VecDeque<Crash>,
    /// When a response to a request with this content or part was last served.
    served: IndexMap<Cause, Time>,
    bars: IndexMap<Cause, Bar>,
    /// Causes that are no longer barred, and since when.
    cleared: Vec<(Cause, Time)>,
    /// When crashes that have settled have to be evaluated.
    evaluate_at: Option<Time>,
    expired_at: Time,
    /// When a response was last recorded while there was no crash.
    sampled_at: Time,
    has_news: bool,
    changes: Vec<Change>,
}

impl Default for CrashEvidence {
    /// Creates evidence for a daemon that records no crashes itself.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl CrashEvidence {
    pub fn new(min_content_crashes: usize) -> Self {
        Self {
            min_content_crashes,
            crashes: VecDeque::new(),
            served: IndexMap::new(),
            bars: IndexMap::new(),
            cleared: Vec::new(),
            evaluate_at: None,
            expired_at: Time::default(),
            sampled_at: Time::default(),
            has_news: false,
            changes: Vec::new(),
        }
    }

    /// Decides whether a request with this content and these parts may be sent to an upstream.
    ///
    /// `rank` is this daemon's position in the order in which daemons probe barred causes.
    pub fn check(
        &mut self,
        now: Time,
        content: u64,
        parts: impl Iterator<Item = PartId> + Clone,
        rank: impl Fn() -> u32,
    ) -> Verdict {
        self.evaluate(now);
        if self.bars.is_empty() {
            return Verdict::Allowed;
        }
        let mut probed = None;
        for cause in causes(content, parts.clone()) {
            let Some(bar) = self.bars.get(&cause) else { continue };
            let probe_at = bar.until + PROBE_STAGGER * rank();
            if now < probe_at {
                return Verdict::Barred { cause, retry_after: probe_at.since(now) };
            }
            probed = Some(cause);
        }
        let Some(probed) = probed else { return Verdict::Allowed };
        for cause in causes(content, parts) {
            if let Some(bar) = self.bars.get_mut(&cause) {
                bar.until = now + PROBE_TIMEOUT;
                bar.is_probing = true;
            }
        }
        self.has_news = true;
        Verdict::Probe(probed)
    }

    /// Returns why a request that has been sent to an upstream must not be sent to another one.
    pub fn barred_cause(
        &mut self,
        now: Time,
        content: u64,
        parts: impl Iterator<Item = PartId>,
    ) -> Option<Cause> {
        self.evaluate(now);
        if self.bars.is_empty() {
            return None;
        }
        causes(content, parts).find(|cause| self.bars.contains_key(cause))
    }

    /// Records that a request was in progress at an upstream that crashed at `at`. Returns whether no
    /// request with the same content and parts was known to be in progress there.
    pub fn record_crash(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        at: Time,
        suspect: Suspect,
    ) -> bool {
        for cause in suspect.causes() {
            if let Some(bar) = self.bars.get_mut(&cause) {
                bar.last_crash = bar.last_crash.max(at);
                bar.failed_probes += u32::from(std::mem::take(&mut bar.is_probing));
                bar.until = bar.until.max(now + bar.duration());
            }
        }
        let crash = self.crash_mut(now, upstream, at);
        let (at, is_new, content) = (crash.at, !crash.contains(&suspect), suspect.content);
        if is_new && crash.own_suspects.len() < MAX_SUSPECTS {
            crash.own_suspects.push(suspect);
        }
        self.has_news = true;
        self.evaluate_by(at + SETTLE_TIME);
        self.bar_content(now, content);
        is_new
    }

    /// Records that an upstream has responded to a request with this content and these parts, and did
    /// not crash.
    pub fn record_served(&mut self, now: Time, content: u64, parts: impl Iterator<Item = PartId>) {
        // Parts are remembered before any crash, since one that was served before is less suspect. A
        // sample is enough for that.
        if self.crashes.is_empty() && self.bars.is_empty() {
            if now.since(self.sampled_at) < SAMPLE_INTERVAL {
                return;
            }
            self.sampled_at = now;
        }
        for part in parts {
            self.record_served_at(now, now, Cause::Part(part));
        }
        self.record_served_at(now, now, Cause::Content(content));
        self.limit_served(now);
    }

    /// Removes the oldest records of responses beyond [`MAX_SERVED`].
    fn limit_served(&mut self, now: Time) {
        if self.served.len() > MAX_SERVED {
            self.served.retain(|_, at| now.since(*at) < EVIDENCE_TTL);
            let excess = self.served.len().saturating_sub(MAX_SERVED);
            self.served.drain(..excess);
        }
    }

    fn record_served_at(&mut self, now: Time, at: Time, cause: Cause) {
        let last_served = self.served.entry(cause).or_default();
        *last_served = at.max(*last_served);
        if self.bars.get(&cause).is_some_and(|bar| bar.last_crash < at) {
            self.bars.shift_remove(&cause);
            if self.cleared.len() >= MAX_BARS {
                self.cleared.remove(0);
            }
            self.cleared.push((cause, now));
            self.changes.push(Change::Cleared(cause));
            // The crashes that the cause seemed to explain need another explanation.
            self.evaluate_by(now);
            self.has_news = true;
        }
    }

    /// Applies the report of a peer.
    pub fn merge(&mut self, now: Time, report: Report) {
        for (cause, age) in report.served {
            self.record_served_at(now, now.ago(age), cause);
        }
        self.limit_served(now);
        for crash in report.crashes {
            if crash.age >= EVIDENCE_TTL {
                continue;
            }
            let known = self.crash_mut(now, &crash.upstream, now.ago(crash.age));
            let (at, mut new_contents) = (known.at, Vec::new());
            for suspect in crash.suspects {
                if known.peer_suspects.len() < MAX_SUSPECTS && !known.contains(&suspect) {
                    new_contents.push(suspect.content);
                    known.peer_suspects.push(suspect);
                }
            }
            if !new_contents.is_empty() {
                self.evaluate_by(at + SETTLE_TIME);
            }
            for content in new_contents {
                self.bar_content(now, content);
            }
        }
        for bar in report.bars {
            self.merge_bar(now, bar);
        }
    }

    fn merge_bar(&mut self, now: Time, report: BarReport) {
        let (cause, last_crash) = (report.cause, now.ago(report.crash_age));
        let is_explained = matches!(cause, Cause::Content(content) if self.is_explained(content));
        if is_explained || self.served.get(&cause).is_some_and(|served| *served > last_crash) {
            return;
        }
        let until = now + report.left.min(MAX_BAR);
        if !self.bars.contains_key(&cause) {
            if self.bars.len() >= MAX_BARS {
                return;
            }
            self.changes.push(Change::BarredByPeer(cause));
        }
        let bar = self.bars.entry(cause).or_insert(Bar {
            last_crash,
            until,
            failed_probes: report.failed_probes,
            is_probing: false,
        });
        bar.last_crash = bar.last_crash.max(last_crash);
        bar.until = bar.until.max(until);
        bar.failed_probes = bar.failed_probes.max(report.failed_probes);
    }

    /// Returns the evidence that peers may lack.
    pub fn report(&self, now: Time) -> Report {
        let recent = || self.crashes.iter().filter(|crash| now.since(crash.at) < REPORT_TTL);
        let mut suspect_count = 0;
        let own = recent().rev().filter(|crash| !crash.own_suspects.is_empty());
        let own = own.take_while(|crash| {
            suspect_count += crash.own_suspects.len();
            suspect_count <= MAX_REPORTED_SUSPECTS
        });
        let crashes = own.map(|crash| CrashReport {
            upstream: crash.upstream.clone(),
            age: now.since(crash.at),
            suspects: crash.own_suspects.clone(),
        });
        let suspects = recent().flat_map(Crash::suspects).flat_map(Suspect::causes);
        let cleared = self.cleared.iter().map(|(cause, _)| *cause);
        let suspects: IndexSet<Cause> = suspects.chain(cleared).collect();
        let served =
            suspects.iter().filter_map(|cause| Some((*cause, now.since(*self.served.get(cause)?))));
        let bars = self.bars.iter().map(|(cause, bar)| BarReport {
            cause: *cause,
            crash_age: now.since(bar.last_crash),
            left: bar.until.since(now),
            failed_probes: bar.failed_probes,
        });
        Report { crashes: crashes.collect(), served: served.collect(), bars: bars.collect() }
    }

    /// Returns the number of contents and parts whose last response is remembered.
    pub fn served_count(&self) -> usize {
        self.served.len()
    }

    /// Reports whether there is new evidence that peers need at once, and resets it.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Removes and returns the causes that were barred or cleared since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Removes the evidence that has expired.
    pub fn expire(&mut self, now: Time) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.crashes.retain(|crash| now.since(crash.at) < EVIDENCE_TTL);
        self.served.retain(|_, at| now.since(*at) < EVIDENCE_TTL);
        self.cleared.retain(|(_, at)| now.since(*at) < REPORT_TTL);
        let expired = self.bars.extract_if(.., |_, bar| now.since(bar.until) >= EVIDENCE_TTL);
        self.changes.extend(expired.map(|(cause, _)| Change::Cleared(cause)));
    }

    /// Returns the record of a crash.
    fn crash_mut(&mut self, now: Time, upstream: &UpstreamId, at: Time) -> &mut Crash {
        let is_same = |crash: &Crash| {
            crash.upstream == *upstream && crash.at.since(at).max(at.since(crash.at)) < SAME_CRASH
        };
        let index = self.crashes.iter().position(is_same).unwrap_or_else(|| {
            self.expire(now);
            if self.crashes.len() >= MAX_CRASH_RECORDS {
                self.crashes.pop_front();
            }
            let crash = Crash {
                upstream: upstream.clone(),
                at,
                own_suspects: Vec::new(),
                peer_suspects: Vec::new(),
            };
            self.crashes.push_back(crash);
            self.crashes.len() - 1
        });
        &mut self.crashes[index]
    }

    fn evaluate_by(&mut self, due: Time) {
        self.evaluate_at = Some(self.evaluate_at.map_or(due, |at| at.min(due)));
    }

    /// Bars a content if enough upstreams have crashed with it.
    fn bar_content(&mut self, now: Time, content: u64) {
        let cause = Cause::Content(content);
        if self.bars.contains_key(&cause) {
            return;
        }
        let times: Vec<Time> = self.content_crashes(content).collect();
        if times.len() >= self.min_content_crashes {
            let last_crash = times.iter().copied().max().unwrap_or(now);
            self.bar(now, cause, last_crash, times.len(), 1);
        }
    }

    /// Returns when upstreams crashed with a content in progress, without those crashes that a barred
    /// part of another request explains.
    fn content_crashes(&self, content: u64) -> impl Iterator<Item = Time> {
        let served = self.served.get(&Cause::Content(content)).copied();
        let is_barred = |part: &PartId| self.bars.contains_key(&Cause::Part(*part));
        let counted = self.crashes.iter().filter(move |crash| {
            let mut own = crash.suspects().filter(|suspect| suspect.content == content).peekable();
            own.peek().is_some()
                && served.is_none_or(|served| served < crash.at)
                && (own.any(|suspect| suspect.parts.iter().any(is_barred))
                    || !crash.suspects().any(|suspect| suspect.parts.iter().any(is_barred)))
        });
        counted.map(|crash| crash.at)
    }

    /// Reports whether a barred part of other requests explains the crashes with a content.
    fn is_explained(&self, content: u64) -> bool {
        let is_known = |crash: &Crash| crash.suspects().any(|suspect| suspect.content == content);
        self.crashes.iter().any(is_known)
            && self.content_crashes(content).count() < self.min_content_crashes
    }

    /// Clears the contents that were barred because of crashes that a barred part explains.
    fn clear_explained_contents(&mut self) {
        let contents = self.bars.keys().filter_map(|cause| match cause {
            Cause::Content(content) => Some(*content),
            Cause::Part(_) => None,
        });
        let explained: Vec<u64> = contents.filter(|content| self.is_explained(*content)).collect();
        for content in explained {
            self.bars.shift_remove(&Cause::Content(content));
            self.changes.push(Change::Cleared(Cause::Content(content)));
        }
    }

    /// Bars the parts that explain the crashes, if crashes have settled since the last call.
    fn evaluate(&mut self, now: Time) {
        if self.evaluate_at.is_none_or(|at| now < at) {
            return;
        }
        let settles_at = self.crashes.iter().map(|crash| crash.at + SETTLE_TIME);
        self.evaluate_at = settles_at.filter(|at| *at > now).min();
        while let Some((part, tally)) = self.best_explanation(now) {
            let (crashes, requests) = (tally.count, tally.requests.len());
            self.bar(now, Cause::Part(part), tally.last_crash, crashes, requests);
            self.clear_explained_contents();
        }
    }

    fn bar(&mut self, now: Time, cause: Cause, last_crash: Time, crashes: usize, requests: usize) {
        if self.bars.len() >= MAX_BARS {
            self.bars.shift_remove_index(0);
        }
        let until = now + FIRST_BAR;
        self.bars.insert(cause, Bar { last_crash, until, failed_probes: 0, is_probing: false });
        self.changes.push(Change::Barred { cause, crashes, requests });
        self.has_news = true;
    }

    /// Returns the part that explains the most crashes which no barred part explains. Among equals,
    /// a part that was never served goes first, and then the one nearest to the end of the prompt,
    /// which the fewest requests share.
    fn best_explanation(&self, now: Time) -> Option<(PartId, Tally)> {
        let mut tallies = IndexMap::<PartId, Tally>::new();
        let mut crashes: Vec<_> =
            self.crashes.iter().filter(|crash| now.since(crash.at) >= SETTLE_TIME).collect();
        crashes.sort_by_key(|crash| crash.at);
        for crash in crashes {
            let mut parts = crash.suspects().flat_map(|suspect| &suspect.parts);
            if parts.any(|part| self.bars.contains_key(&Cause::Part(*part))) {
                continue;
            }
            for suspect in crash.suspects() {
                for (parts_behind, part) in suspect.parts.iter().rev().enumerate() {
                    let served = self.served.get(&Cause::Part(*part));
                    if served.is_none_or(|served| *served < crash.at) {
                        let tally = tallies.entry(*part).or_default();
                        tally.add(crash.at, suspect.content, parts_behind);
                    }
                }
            }
        }
        let is_proof = |(_, tally): &(PartId, Tally)| {
            tally.count >= MIN_PART_CRASHES && tally.requests.len() >= MIN_REQUESTS
        };
        let was_served = |part: &PartId| self.served.contains_key(&Cause::Part(*part));
        tallies.into_iter().filter(is_proof).max_by_key(|(part, tally)| {
            (!was_served(part), tally.count, Reverse(tally.parts_behind))
        })
    }
}

fn causes(content: u64, parts: impl Iterator<Item = PartId>) -> impl Iterator<Item = Cause> {
    [Cause::Content(content)].into_iter().chain(parts.map(Cause::Part))
}

/// The unexplained crashes with one part in progress.
#[derive(Clone, Debug, Default)]
struct Tally {
    /// The crashes that are at least [`CRASH_INTERVAL`] apart.
    count: usize,
    counted_at: Time,
    last_crash: Time,
    requests: IndexSet<u64>,
    /// The smallest number of parts between this one and the end of a prompt.
    parts_behind: usize,
}

impl Tally {
    fn add(&mut self, at: Time, content: u64, parts_behind: usize) {
        let is_first = self.count == 0;
        self.parts_behind =
            if is_first { parts_behind } else { self.parts_behind.min(parts_behind) };
        if is_first || at.since(self.counted_at) >= CRASH_INTERVAL {
            self.count += 1;
            self.counted_at = at;
        }
        self.last_crash = self.last_crash.max(at);
        self.requests.insert(content);
    }
}
