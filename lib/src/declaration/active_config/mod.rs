//! Brings a daemon to the latest published generation, and never back.
//!
//! A few daemons of each data centre watch the head; the others hear of generations in the beats
//! of their neighbours and pull the changes from one of them. A daemon that reaches neither the
//! platform nor most of its peers cannot know what is in force, and says so. See
//! `docs/design/dissemination.md`.

mod installed_set;
mod pull;
mod reach;

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    declaration::{
        DeclarationSet,
        message::Message,
        wire::{self, HEAD_KEY, HeadWire, SetDigest},
    },
    ids::{CallId, DaemonId, Generation, Revision},
    peer::{Member, Recipient},
    store::{CallError, ObjectKey, Operation, Priority, Reply},
    units::Time,
};

use self::{
    installed_set::{InstalledSet, MAX_PEER_PARTS},
    pull::{Parts, Pull},
    reach::{Reach, UNINFORMED_AFTER},
};

/// How many daemons of each data centre watch the head.
pub const WATCHERS: usize = 2;
/// How long the platform may hold a watch on the head.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// How long to wait after the first of several calls that failed.
const RETRY_WAIT: Duration = Duration::from_millis(500);
/// How long to wait at most after a call that failed, for a daemon that watches for others.
const WATCHER_RETRY: Duration = Duration::from_secs(2);
/// How long to wait at most after a call that failed, for any other daemon.
const LONGEST_RETRY: Duration = Duration::from_secs(8);
/// How often a daemon that does not reach its peers asks the platform.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a daemon that does not watch reads the head all the same.
const VERIFY_INTERVAL: Duration = Duration::from_mins(1);

/// What the slice is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The daemon has started.
    Started,
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The live members have changed; the daemon itself is among them.
    Members(DaemonId, Arc<[Member]>),
    /// Whether the daemon reaches most of its peers.
    Reaches(bool),
    /// A peer has a later generation.
    NewerGeneration(DaemonId, Generation),
    /// A peer has sent a message.
    Peer(DaemonId, Message),
    /// The time of [`ActiveConfig::next_wakeup`] has come.
    Woken,
}

/// What the slice wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and answer with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
    /// This generation is in force at this daemon from now on.
    Activated(Generation, Arc<DeclarationSet>),
    /// Whether the daemon knows what is in force.
    ConfigFresh(bool),
    /// Send a message to peers.
    Send(Recipient, Message),
    /// The platform or a peer holds an older or damaged configuration; it is refused.
    Rejected(Box<str>),
}

#[derive(Clone, Debug)]
enum State {
    /// Nothing is asked of the platform until this time.
    Idle {
        until: Time,
    },
    ReadingHead {
        since: Time,
    },
    ReadingPart {
        since: Time,
        head: Box<HeadWire>,
        encoded: Vec<u8>,
        part: u32,
    },
    Watching {
        since: Time,
    },
}

/// The configuration in force at one daemon.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    installed: Option<InstalledSet>,
    head_revision: Revision,
    state: State,
    call: CallId,
    pull: Pull,
    watches: bool,
    reach: Reach,
    failures: u32,
    jitter: u64,
    refused: Option<(Generation, SetDigest)>,
}

impl Default for ActiveConfig {
    fn default() -> Self {
        Self::new()
    }
}

impl ActiveConfig {
    /// Makes the slice of a daemon that holds no configuration yet.
    pub fn new() -> Self {
        Self {
            installed: None,
            head_revision: Revision(0),
            state: State::Idle { until: Time(0) },
            call: CallId(0),
            pull: Pull::default(),
            watches: true,
            reach: Reach::default(),
            failures: 0,
            jitter: 0,
            refused: None,
        }
    }

    /// Returns the generation in force, zero if none.
    pub fn generation(&self) -> Generation {
        self.installed.as_ref().map_or(Generation(0), |installed| installed.generation)
    }

    /// Says whether this daemon watches the head for others.
    pub fn watches(&self) -> bool {
        self.watches
    }

    /// Returns when the slice wants [`Event::Woken`].
    pub fn next_wakeup(&self) -> Option<Time> {
        let idle = match self.state {
            State::Idle { until } => Some(until),
            // A call that is overdue must not hide that the platform is not reached.
            _ if !self.reach.peers() => Some(self.asked_since() + UNINFORMED_AFTER),
            _ => None,
        };
        let reach = self.reach.next_wakeup(self.installed.is_some());
        [idle, reach, self.pull.next_wakeup()].into_iter().flatten().min()
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Started => {
                self.reach.started(now);
                self.read_head(now, out);
            }
            Event::Woken => self.woken(now, out),
            Event::CallEnded(call, result) if call == self.call => self.called(now, result, out),
            Event::CallEnded(..) => {}
            Event::Members(own, members) => self.members(now, &own, &members, out),
            Event::Reaches(reaches) => {
                self.reach.set_peers(reaches);
                if !reaches {
                    // A watch says nothing about the platform until it ends.
                    self.read_head(now, out);
                }
            }
            Event::NewerGeneration(peer, generation) => {
                if generation > self.generation() {
                    self.pull.heard(peer, generation);
                }
            }
            Event::Peer(peer, message) => self.peer(now, &peer, message, out),
        }
        self.ask_peer(now, out);
        let latest = self.installed.is_some() && !self.pull.has_later(self.generation());
        if let Some(config_fresh) = self.reach.judge(now, latest) {
            out.push(Effect::ConfigFresh(config_fresh));
        }
    }

    // The platform.

    fn call(&mut self, operation: Operation, out: &mut Vec<Effect>) {
        self.call = self.call.next();
        out.push(Effect::Call(self.call, Priority::Configuration, operation));
    }

    fn asked_since(&self) -> Time {
        match self.state {
            State::Idle { until } => until,
            State::ReadingHead { since }
            | State::ReadingPart { since, .. }
            | State::Watching { since } => since,
        }
    }

    fn read_head(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.state = State::ReadingHead { since: now };
        self.call(Operation::Get(ObjectKey::new(HEAD_KEY)), out);
    }

    /// Goes on after the head was read: watches it, or leaves that to others.
    fn rest(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.reach.peers() {
            self.state = State::Idle { until: now + PROBE_INTERVAL };
        } else if self.watches {
            self.state = State::Watching { since: now };
            let after = self.head_revision;
            self.call(Operation::Watch { prefix: HEAD_KEY.into(), after, wait: WATCH_WAIT }, out);
        } else {
            let jitter = Duration::from_millis(self.jitter % 10_000);
            self.state = State::Idle { until: now + VERIFY_INTERVAL + jitter };
        }
    }

    fn woken(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.pull.expire(now);
        match self.state {
            State::Idle { until } if until <= now => self.read_head(now, out),
            State::Idle { .. } => {}
            _ if !self.reach.peers() && now.since(self.asked_since()) >= UNINFORMED_AFTER => {
                self.reach.set_platform(false);
                self.read_head(now, out);
            }
            _ => {}
        }
    }

    /// Waits before the next call, longer after each failure.
    fn failed(&mut self, now: Time) {
        self.reach.set_platform(false);
        let longest = if self.watches { WATCHER_RETRY } else { LONGEST_RETRY };
        let wait = RETRY_WAIT.saturating_mul(1 << self.failures.min(4)).min(longest);
        self.failures += 1;
        let wait = if self.reach.peers() { wait } else { wait.min(PROBE_INTERVAL) };
        self.state = State::Idle { until: now + wait };
    }

    fn called(&mut self, now: Time, result: Result<Reply, CallError>, out: &mut Vec<Effect>) {
        let Ok(reply) = result else { return self.failed(now) };
        self.failures = 0;
        self.reach.set_platform(true);
        match (std::mem::replace(&mut self.state, State::Idle { until: now }), reply) {
            (State::ReadingHead { .. }, Reply::Object(Some(object))) => {
                self.head_revision = object.revision;
                self.head(now, &object.value, out);
            }
            (State::ReadingHead { .. }, _) => {
                if let Some(installed) = &self.installed {
                    let (generation, digest) = (installed.generation, installed.digest);
                    self.refuse_older(Generation(0), digest, generation, out);
                }
                self.head_revision = Revision(0);
                self.rest(now, out);
            }
            (State::ReadingPart { head, encoded, part, .. }, Reply::Object(Some(object))) => {
                self.part(now, head, encoded, part, &object.value, out);
            }
            (State::Watching { .. }, Reply::Changes { changes, revision })
                if !changes.is_empty() || revision < self.head_revision =>
            {
                self.read_head(now, out);
            }
            (State::Watching { .. }, _) => self.rest(now, out),
            _ => self.state = State::Idle { until: now + RETRY_WAIT },
        }
    }

    fn head(&mut self, now: Time, value: &[u8], out: &mut Vec<Effect>) {
        let head: HeadWire = match wire::decode(value) {
            Ok(head) => head,
            Err(error) => {
                out.push(Effect::Rejected(format!("the head object is damaged: {error}").into()));
                return self.rest(now, out);
            }
        };
        if let Some(installed) = &self.installed {
            let same = head.generation == installed.generation && head.digest == installed.digest;
            if head.generation <= installed.generation {
                let generation = installed.generation;
                if !same {
                    self.refuse_older(head.generation, head.digest, generation, out);
                }
                return self.rest(now, out);
            }
            match installed.advance(&head.deltas) {
                Some(Ok(installed)) if installed.digest == head.digest => {
                    self.activate(installed, out);
                    return self.rest(now, out);
                }
                Some(Err(error)) => {
                    let reason = format!("generation {}: {error}", head.generation);
                    out.push(Effect::Rejected(reason.into()));
                }
                Some(Ok(_)) | None => {}
            }
        }
        self.read_part(now, Box::new(head), Vec::new(), 0, out);
    }

    fn refuse_older(
        &mut self,
        generation: Generation,
        digest: SetDigest,
        installed: Generation,
        out: &mut Vec<Effect>,
    ) {
        if self.refused.replace((generation, digest)) == Some((generation, digest)) {
            return;
        }
        let reason = format!(
            "the platform holds generation {generation}, which does not follow {installed} in force; \
             publish with --above {installed} if it was restored"
        );
        out.push(Effect::Rejected(reason.into()));
    }

    fn read_part(
        &mut self,
        now: Time,
        head: Box<HeadWire>,
        encoded: Vec<u8>,
        part: u32,
        out: &mut Vec<Effect>,
    ) {
        let key = ObjectKey::new(wire::part_key(&head.base, part));
        self.state = State::ReadingPart { since: now, head, encoded, part };
        self.call(Operation::Get(key), out);
    }

    fn part(
        &mut self,
        now: Time,
        head: Box<HeadWire>,
        mut encoded: Vec<u8>,
        part: u32,
        value: &[u8],
        out: &mut Vec<Effect>,
    ) {
        encoded.extend_from_slice(value);
        if part + 1 < head.base.parts {
            return self.read_part(now, head, encoded, part + 1, out);
        }
        let installed =
            match InstalledSet::from_encoded(head.base.generation, head.base.digest, &encoded) {
                Ok(base) if head.deltas.is_empty() => Ok(base),
                Ok(base) => match base.advance(&head.deltas) {
                    Some(Ok(installed)) => Ok(installed),
                    Some(Err(error)) => Err(error.to_string()),
                    None => Err("its deltas do not begin at its base".into()),
                },
                Err(error) => Err(error.to_string()),
            };
        match installed {
            Ok(installed)
                if installed.digest == head.digest && installed.generation == head.generation =>
            {
                // A peer may have been faster.
                if installed.generation > self.generation() {
                    self.activate(installed, out);
                }
                self.rest(now, out);
            }
            Ok(_) => self.refuse_damaged(now, &head, "it does not lead to its digest", out),
            Err(error) => self.refuse_damaged(now, &head, &error, out),
        }
    }

    fn refuse_damaged(&mut self, now: Time, head: &HeadWire, why: &str, out: &mut Vec<Effect>) {
        let reason = format!("generation {} is damaged: {why}", head.generation);
        out.push(Effect::Rejected(reason.into()));
        self.state = State::Idle { until: now + RETRY_WAIT };
    }

    fn activate(&mut self, installed: InstalledSet, out: &mut Vec<Effect>) {
        out.push(Effect::Activated(installed.generation, installed.set.clone()));
        self.installed = Some(installed);
    }

    // Peers.

    fn members(&mut self, now: Time, own: &DaemonId, members: &[Member], out: &mut Vec<Effect>) {
        self.jitter = xxh3_64(own.as_str().as_bytes());
        let Some(own) = members.iter().find(|member| member.daemon == *own) else { return };
        let near = members.iter().filter(|member| member.data_centre == own.data_centre);
        let mut near: Vec<_> =
            near.map(|member| (xxh3_64(member.daemon.as_str().as_bytes()), member)).collect();
        near.sort();
        let watches = near.iter().take(WATCHERS).any(|(_, member)| member.daemon == own.daemon);
        let begins = watches && !self.watches;
        self.watches = watches;
        if begins && matches!(self.state, State::Idle { .. }) && !self.reach.platform_fails() {
            self.read_head(now, out);
        }
    }

    fn peer(&mut self, now: Time, peer: &DaemonId, message: Message, out: &mut Vec<Effect>) {
        match message {
            Message::Pull { have, part } => {
                if let Some(answer) =
                    self.installed.as_ref().and_then(|installed| installed.serve(have, part))
                {
                    out.push(Effect::Send(Recipient::Daemon(peer.clone()), answer));
                }
            }
            Message::Deltas(deltas) => {
                self.pull.answered(peer);
                match self.installed.as_ref().and_then(|installed| installed.advance(&deltas)) {
                    Some(Ok(installed)) if installed.generation > self.generation() => {
                        self.activate(installed, out);
                    }
                    Some(Err(error)) => self.refuse_peer(peer, &error.to_string(), out),
                    // A watch or another peer was faster.
                    Some(Ok(_)) | None => {}
                }
            }
            Message::Part(part) => {
                if part.parts > MAX_PEER_PARTS {
                    return self.refuse_peer(peer, "the set has too many parts", out);
                }
                match self.pull.part(now, peer, part) {
                    Parts::Next(part) => self.pull_from(peer.clone(), part, out),
                    Parts::Useless => self.pull.failed(peer),
                    Parts::Whole(whole) => {
                        self.pull.answered(peer);
                        match InstalledSet::from_encoded(
                            whole.generation,
                            whole.digest,
                            &whole.bytes,
                        ) {
                            Ok(installed) if installed.generation > self.generation() => {
                                self.activate(installed, out);
                            }
                            Ok(_) => {}
                            Err(error) => self.refuse_peer(peer, &error.to_string(), out),
                        }
                    }
                }
            }
        }
    }

    fn refuse_peer(&mut self, peer: &DaemonId, why: &str, out: &mut Vec<Effect>) {
        self.pull.failed(peer);
        out.push(Effect::Rejected(format!("peer {peer}: {why}").into()));
    }

    fn ask_peer(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(peer) = self.pull.next(now, self.generation()) {
            self.pull_from(peer, 0, out);
        }
    }

    fn pull_from(&self, peer: DaemonId, part: u32, out: &mut Vec<Effect>) {
        let have =
            self.installed.as_ref().map(|installed| (installed.generation, installed.digest));
        // A part after the first one belongs to a whole set, whatever is held.
        let have = have.filter(|_| part == 0);
        out.push(Effect::Send(Recipient::Daemon(peer), Message::Pull { have, part }));
    }
}
