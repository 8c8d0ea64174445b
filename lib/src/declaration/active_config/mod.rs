//! Updates a daemon to the latest published generation, and never to an older one.
//!
//! [`WATCHERS`] daemons of each data centre watch the head; the others learn of new generations
//! from the heartbeats of their neighbours and pull the changes from one of them. A daemon that
//! reaches neither the platform nor most of its peers cannot know the latest generation, and
//! reports this with [`Effect::ConfigFresh`]. See `docs/design/dissemination.md`.

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
    pull::{PartResult, Pull},
    reach::{Reachability, STALE_AFTER},
};

/// The number of daemons per data centre that watch the head.
pub const WATCHERS: usize = 2;
/// How long the platform may hold a watch on the head without a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// The wait after the first of consecutive failed calls; doubled with each further failure.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(500);
/// The maximum wait after a failed call, for a daemon that watches the head.
const MAX_WATCHER_RETRY_WAIT: Duration = Duration::from_secs(2);
/// The maximum wait after a failed call, for a daemon that does not watch the head.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(8);
/// The interval at which a daemon that does not reach most of its peers reads the head.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which a daemon that does not watch the head reads it nevertheless.
const VERIFY_INTERVAL: Duration = Duration::from_mins(1);

/// The events that [`ActiveConfig`] handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The daemon has started.
    Started,
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The live members have changed; the first field is this daemon, which is among them.
    Members(DaemonId, Arc<[Member]>),
    /// Whether the daemon reaches most of its peers.
    Reaches(bool),
    /// A peer has this generation, which may be newer than the active one.
    NewerGeneration(DaemonId, Generation),
    /// A peer has sent a message.
    Peer(DaemonId, Message),
    /// The time of [`ActiveConfig::next_wakeup`] has been reached.
    Woken,
}

/// The effects that the caller of [`ActiveConfig::handle`] performs.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and report the result with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
    /// This generation is active at this daemon from now on.
    Activated(Generation, Arc<DeclarationSet>),
    /// Whether the daemon's configuration is known to be up to date.
    ConfigFresh(bool),
    /// Send a message to peers.
    Send(Recipient, Message),
    /// The platform or a peer has an older or damaged configuration, which is rejected; the text
    /// gives the reason.
    Rejected(Box<str>),
}

#[derive(Clone, Debug)]
enum State {
    /// No call to the platform is made until this time.
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

/// The active configuration of one daemon.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    installed: Option<InstalledSet>,
    head_revision: Revision,
    state: State,
    call: CallId,
    pull: Pull,
    watches: bool,
    reach: Reachability,
    failures: u32,
    jitter: u64,
    last_rejected: Option<(Generation, SetDigest)>,
}

impl Default for ActiveConfig {
    fn default() -> Self {
        Self::new()
    }
}

impl ActiveConfig {
    /// Creates the state of a daemon that has no configuration yet.
    pub fn new() -> Self {
        Self {
            installed: None,
            head_revision: Revision(0),
            state: State::Idle { until: Time(0) },
            call: CallId(0),
            pull: Pull::default(),
            watches: true,
            reach: Reachability::default(),
            failures: 0,
            jitter: 0,
            last_rejected: None,
        }
    }

    /// Returns the active generation, or zero if there is none.
    pub fn generation(&self) -> Generation {
        self.installed.as_ref().map_or(Generation(0), |installed| installed.generation)
    }

    /// Reports whether this daemon is one of those that watch the head.
    pub fn watches(&self) -> bool {
        self.watches
    }

    /// Returns when [`Event::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        let idle = match self.state {
            State::Idle { until } => Some(until),
            // A call that does not return must not hide that the platform is unreachable.
            _ if !self.reach.peers_reached() => Some(self.state_since() + STALE_AFTER),
            _ => None,
        };
        let reach = self.reach.next_wakeup(self.installed.is_some());
        [idle, reach, self.pull.next_wakeup()].into_iter().flatten().min()
    }

    /// Handles an event and appends the resulting effects to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Started => {
                self.reach.start(now);
                self.read_head(now, out);
            }
            Event::Woken => self.handle_wakeup(now, out),
            Event::CallEnded(call, result) if call == self.call => self.on_reply(now, result, out),
            Event::CallEnded(..) => {}
            Event::Members(own, members) => self.update_members(now, &own, &members, out),
            Event::Reaches(reached) => {
                self.reach.set_peers_reached(reached);
                if !reached {
                    // A pending watch does not show whether the platform is available.
                    self.read_head(now, out);
                }
            }
            Event::NewerGeneration(peer, generation) => {
                if generation > self.generation() {
                    self.pull.add_source(peer, generation);
                }
            }
            Event::Peer(peer, message) => self.handle_message(now, &peer, message, out),
        }
        self.request_from_peer(now, out);
        let latest = self.installed.is_some() && !self.pull.has_newer(self.generation());
        if let Some(config_fresh) = self.reach.update(now, latest) {
            out.push(Effect::ConfigFresh(config_fresh));
        }
    }

    // Calls to the platform.

    fn call(&mut self, operation: Operation, out: &mut Vec<Effect>) {
        self.call = self.call.next();
        out.push(Effect::Call(self.call, Priority::Configuration, operation));
    }

    fn state_since(&self) -> Time {
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

    /// Starts a watch on the head if this daemon is a watcher, or waits until the next read.
    fn watch_or_wait(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.reach.peers_reached() {
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

    fn handle_wakeup(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.pull.expire(now);
        match self.state {
            State::Idle { until } if until <= now => self.read_head(now, out),
            State::Idle { .. } => {}
            _ if !self.reach.peers_reached() && now.since(self.state_since()) >= STALE_AFTER => {
                self.reach.set_platform_available(false);
                self.read_head(now, out);
            }
            _ => {}
        }
    }

    /// Schedules the next call after a failure, with exponential backoff.
    fn schedule_retry(&mut self, now: Time) {
        self.reach.set_platform_available(false);
        let max_wait = if self.watches { MAX_WATCHER_RETRY_WAIT } else { MAX_RETRY_WAIT };
        let wait = FIRST_RETRY_WAIT.saturating_mul(1 << self.failures.min(4)).min(max_wait);
        self.failures += 1;
        let wait = if self.reach.peers_reached() { wait } else { wait.min(PROBE_INTERVAL) };
        self.state = State::Idle { until: now + wait };
    }

    fn on_reply(&mut self, now: Time, result: Result<Reply, CallError>, out: &mut Vec<Effect>) {
        let Ok(reply) = result else { return self.schedule_retry(now) };
        self.failures = 0;
        self.reach.set_platform_available(true);
        match (std::mem::replace(&mut self.state, State::Idle { until: now }), reply) {
            (State::ReadingHead { .. }, Reply::Object(Some(object))) => {
                self.head_revision = object.revision;
                self.handle_head(now, &object.value, out);
            }
            (State::ReadingHead { .. }, _) => {
                if let Some(installed) = &self.installed {
                    let (generation, digest) = (installed.generation, installed.digest);
                    self.reject_older(Generation(0), digest, generation, out);
                }
                self.head_revision = Revision(0);
                self.watch_or_wait(now, out);
            }
            (State::ReadingPart { head, encoded, part, .. }, Reply::Object(Some(object))) => {
                self.handle_part(now, head, encoded, part, &object.value, out);
            }
            (State::Watching { .. }, Reply::Changes { changes, revision })
                if !changes.is_empty() || revision < self.head_revision =>
            {
                self.read_head(now, out);
            }
            (State::Watching { .. }, _) => self.watch_or_wait(now, out),
            _ => self.state = State::Idle { until: now + FIRST_RETRY_WAIT },
        }
    }

    fn handle_head(&mut self, now: Time, value: &[u8], out: &mut Vec<Effect>) {
        let head: HeadWire = match wire::decode(value) {
            Ok(head) => head,
            Err(error) => {
                out.push(Effect::Rejected(format!("the head object is damaged: {error}").into()));
                return self.watch_or_wait(now, out);
            }
        };
        if let Some(installed) = &self.installed {
            let same = head.generation == installed.generation && head.digest == installed.digest;
            if head.generation <= installed.generation {
                let generation = installed.generation;
                if !same {
                    self.reject_older(head.generation, head.digest, generation, out);
                }
                return self.watch_or_wait(now, out);
            }
            match installed.apply_deltas(&head.deltas) {
                Some(Ok(installed)) if installed.digest == head.digest => {
                    self.activate(installed, out);
                    return self.watch_or_wait(now, out);
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

    fn reject_older(
        &mut self,
        generation: Generation,
        digest: SetDigest,
        installed: Generation,
        out: &mut Vec<Effect>,
    ) {
        if self.last_rejected.replace((generation, digest)) == Some((generation, digest)) {
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

    fn handle_part(
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
                Ok(base) => match base.apply_deltas(&head.deltas) {
                    Some(Ok(installed)) => Ok(installed),
                    Some(Err(error)) => Err(error.to_string()),
                    None => Err("its deltas are not based on its base set".into()),
                },
                Err(error) => Err(error.to_string()),
            };
        match installed {
            Ok(installed)
                if installed.digest == head.digest && installed.generation == head.generation =>
            {
                // A peer may have sent a newer set in the meantime.
                if installed.generation > self.generation() {
                    self.activate(installed, out);
                }
                self.watch_or_wait(now, out);
            }
            Ok(_) => self.reject_damaged(
                now,
                &head,
                "its base and deltas yield another generation or digest",
                out,
            ),
            Err(error) => self.reject_damaged(now, &head, &error, out),
        }
    }

    fn reject_damaged(&mut self, now: Time, head: &HeadWire, detail: &str, out: &mut Vec<Effect>) {
        let reason = format!("generation {} is damaged: {detail}", head.generation);
        out.push(Effect::Rejected(reason.into()));
        self.state = State::Idle { until: now + FIRST_RETRY_WAIT };
    }

    fn activate(&mut self, installed: InstalledSet, out: &mut Vec<Effect>) {
        out.push(Effect::Activated(installed.generation, installed.set.clone()));
        self.installed = Some(installed);
    }

    // Messages of peers.

    fn update_members(
        &mut self,
        now: Time,
        own: &DaemonId,
        members: &[Member],
        out: &mut Vec<Effect>,
    ) {
        self.jitter = xxh3_64(own.as_str().as_bytes());
        let Some(own) = members.iter().find(|member| member.daemon == *own) else { return };
        let local = members.iter().filter(|member| member.data_centre == own.data_centre);
        let mut local: Vec<_> =
            local.map(|member| (xxh3_64(member.daemon.as_str().as_bytes()), member)).collect();
        local.sort();
        let watches = local.iter().take(WATCHERS).any(|(_, member)| member.daemon == own.daemon);
        let becomes_watcher = watches && !self.watches;
        self.watches = watches;
        if becomes_watcher
            && matches!(self.state, State::Idle { .. })
            && !self.reach.platform_failing()
        {
            self.read_head(now, out);
        }
    }

    fn handle_message(
        &mut self,
        now: Time,
        peer: &DaemonId,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        match message {
            Message::Pull { have, part } => {
                if let Some(response) =
                    self.installed.as_ref().and_then(|installed| installed.response_for(have, part))
                {
                    out.push(Effect::Send(Recipient::Daemon(peer.clone()), response));
                }
            }
            Message::Deltas(deltas) => {
                self.pull.finish_request(peer);
                match self.installed.as_ref().and_then(|installed| installed.apply_deltas(&deltas))
                {
                    Some(Ok(installed)) if installed.generation > self.generation() => {
                        self.activate(installed, out);
                    }
                    Some(Err(error)) => self.reject_from_peer(peer, &error.to_string(), out),
                    // A watch or another peer has already delivered this set or a newer one.
                    Some(Ok(_)) | None => {}
                }
            }
            Message::Part(part) => {
                if part.parts > MAX_PEER_PARTS {
                    return self.reject_from_peer(peer, "the set has too many parts", out);
                }
                match self.pull.add_part(now, peer, part) {
                    PartResult::Next(part) => self.pull_from(peer.clone(), part, out),
                    PartResult::Unexpected => self.pull.drop_source(peer),
                    PartResult::Complete(received) => {
                        self.pull.finish_request(peer);
                        match InstalledSet::from_encoded(
                            received.generation,
                            received.digest,
                            &received.bytes,
                        ) {
                            Ok(installed) if installed.generation > self.generation() => {
                                self.activate(installed, out);
                            }
                            Ok(_) => {}
                            Err(error) => self.reject_from_peer(peer, &error.to_string(), out),
                        }
                    }
                }
            }
        }
    }

    fn reject_from_peer(&mut self, peer: &DaemonId, detail: &str, out: &mut Vec<Effect>) {
        self.pull.drop_source(peer);
        out.push(Effect::Rejected(format!("peer {peer}: {detail}").into()));
    }

    fn request_from_peer(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(peer) = self.pull.next_source(now, self.generation()) {
            self.pull_from(peer, 0, out);
        }
    }

    fn pull_from(&self, peer: DaemonId, part: u32, out: &mut Vec<Effect>) {
        let have =
            self.installed.as_ref().map(|installed| (installed.generation, installed.digest));
        // The parts after the first one belong to a whole set, so the request omits `have`, to
        // which the peer would respond with deltas.
        let have = have.filter(|_| part == 0);
        out.push(Effect::Send(Recipient::Daemon(peer), Message::Pull { have, part }));
    }
}
