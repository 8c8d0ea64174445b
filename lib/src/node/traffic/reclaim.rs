//! Announced reclaim of upstreams: streams finish in time, move with their KV cache, or resume at
//! another upstream without it.

use std::time::Duration;

use indexmap::IndexMap;

use super::{Effect, Entry, Phase, Traffic, attempt::attempt_name};
use crate::{
    placement::AttemptResult,
    request::{AttemptId, ExchangeId},
    units::{Time, WallTime},
    upstream::HostState,
};

/// How long before the leave time of an upstream its streams must have finished or moved.
const RECLAIM_MARGIN: Duration = Duration::from_millis(500);
/// The minimum time left at which a KV cache is still exported.
const MIN_KV_MOVE_TIME: Duration = Duration::from_secs(1);
/// The maximum number of KV caches that one traffic thread moves concurrently.
const MAX_KV_MOVES: usize = 32;
/// The minimum number of received tokens from which the time per token is estimated; with fewer,
/// the service's between-tokens target is used.
const MIN_ESTIMATE_TOKENS: u32 = 8;
/// The interval at which a stream at a leaving upstream is checked.
const RECLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Traffic {
    /// Updates the set of leaving upstreams, and moves the streams that cannot finish there.
    pub(super) fn update_leaving(&mut self, now: Time, wall: WallTime, out: &mut Vec<Effect>) {
        let mut leaving = IndexMap::new();
        for host in self.snapshot.hosts.iter() {
            if let HostState::Leaving { at } = host.state {
                leaving.insert(host.upstream.clone(), now + at.until(wall));
            }
        }
        // An upstream that is no longer listed stays in the set until a minute after its leave
        // time, so that the end of its streams does not count as a crash.
        for (upstream, at) in std::mem::take(&mut self.leaving) {
            let listed = self.snapshot.hosts.iter().any(|host| host.upstream == upstream);
            if !listed && now < at + Duration::from_mins(1) {
                leaving.entry(upstream).or_insert(at);
            }
        }
        self.leaving = leaving;
        if self.leaving.is_empty() {
            return;
        }
        let mut ids: Vec<ExchangeId> = self.entries.keys().copied().collect();
        // Interactive requests select an upstream before batch requests. Within a class, the order
        // is that of arrival.
        ids.sort_by_key(|id| (self.entries[id].exchange.spec.class, *id));
        for id in ids {
            self.relocate_if_needed(now, id, out);
        }
    }

    /// Returns the time of the next check if the stream is at a leaving upstream.
    pub(super) fn next_reclaim_check(&self, now: Time, entry: &Entry) -> Option<Time> {
        let attempt = entry.exchange.attempt()?;
        self.leaving.get(&attempt.target.upstream)?;
        Some(now + RECLAIM_CHECK_INTERVAL)
    }

    /// Moves a stream if its upstream leaves before the stream can finish.
    pub(super) fn relocate_if_needed(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let Some(entry) = self.entries.get(&id) else { return };
        let Some(attempt) = entry.exchange.attempt() else { return };
        let Some(&at) = self.leaving.get(&attempt.target.upstream) else { return };
        if entry.phase != Phase::Running || !entry.exchange.can_retry() {
            return;
        }
        if entry.exchange.spec.completion.is_none() {
            return;
        }
        let left = at.since(now);
        if entry.kv_target.is_some() {
            // The KV cache did not arrive in time.
            if left <= RECLAIM_MARGIN {
                self.move_without_kv(now, id, out);
            }
            return;
        }
        if self.time_to_finish(entry).is_some_and(|needed| needed + RECLAIM_MARGIN < left) {
            return self.arm(id, now + RECLAIM_CHECK_INTERVAL);
        }
        let has_tokens = attempt.first_output_at.is_some();
        if !has_tokens || left < MIN_KV_MOVE_TIME {
            return self.move_without_kv(now, id, out);
        }
        if self.kv_moves >= MAX_KV_MOVES {
            return self.arm(id, now + RECLAIM_CHECK_INTERVAL);
        }
        self.move_with_kv(now, id, out);
    }

    /// Estimates how long the rest of a response takes at its current upstream.
    fn time_to_finish(&self, entry: &Entry) -> Option<Duration> {
        let spec = &entry.exchange.spec;
        let attempt = entry.exchange.attempt()?;
        let target = self.snapshot.set.services.get(&spec.service)?.target;
        let max_tokens = spec.completion.as_ref()?.max_tokens;
        let offset = entry.exchange.answer.next_offset();
        let rest = u32::try_from(max_tokens.saturating_sub(offset)).unwrap_or(u32::MAX);
        let received =
            u32::try_from(offset.saturating_sub(attempt.start_offset)).unwrap_or(u32::MAX);
        let Some(first) = attempt.first_output_at else {
            return target.between_tokens.checked_mul(rest)?.checked_add(target.first_token);
        };
        let time_per_token = match received {
            0..MIN_ESTIMATE_TOKENS => target.between_tokens,
            _ => attempt.last_output_at.since(first) / (received - 1),
        };
        time_per_token.checked_mul(rest)
    }

    fn move_with_kv(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let Some(target) = self.choose(now, id) else {
            // No upstream is available; the stream stays until one is.
            return self.arm(id, now + RECLAIM_CHECK_INTERVAL);
        };
        let Some(entry) = self.entries.get(&id) else { return };
        let Some(attempt) = entry.exchange.attempt() else { return };
        let moved = AttemptId { exchange: id, number: attempt.number };
        let name = attempt_name(&entry.exchange.spec, moved);
        let (from, to) = (attempt.target.address, target.address);
        // The load at the target is counted now, so that a wave of moves spreads over the remaining
        // upstreams.
        self.placement.record_start(&target.upstream);
        self.kv_moves += 1;
        out.push(Effect::MoveKv { attempt: moved, name, from, to });
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.kv_target = Some(target);
        }
        self.arm(id, now + RECLAIM_CHECK_INTERVAL);
    }

    fn move_without_kv(&mut self, now: Time, id: ExchangeId, out: &mut Vec<Effect>) {
        let target = match self.choose(now, id) {
            // A barred request is sent to no other upstream, but this one may still complete it.
            Some(target) if !self.is_barred(now, id) => target,
            _ => return self.arm(id, now + RECLAIM_CHECK_INTERVAL),
        };
        self.cancel(now, id, out);
        self.dispatch_to(now, id, target, out);
    }

    pub(super) fn handle_kv_moved(
        &mut self,
        now: Time,
        attempt: AttemptId,
        moved: bool,
        out: &mut Vec<Effect>,
    ) {
        self.kv_moves = self.kv_moves.saturating_sub(1);
        let id = attempt.exchange;
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if entry.exchange.attempt().is_none_or(|current| current.number != attempt.number) {
            return;
        }
        let Some(target) = entry.kv_target.take() else { return };
        self.placement.record_end(now, &target.upstream, AttemptResult::Neutral);
        if moved && !self.leaving.contains_key(&target.upstream) {
            self.cancel(now, id, out);
            return self.dispatch_to(now, id, target, out);
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.failed.push(target.upstream);
        }
        self.move_without_kv(now, id, out);
    }
}
