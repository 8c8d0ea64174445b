//! The calls to the cloud that serve all units of a daemon: offers, lists and notices.

use std::time::Duration;

use crate::{
    ids::{CallId, HostId},
    store::{
        CallError, Operation, Priority, Reply,
        cloud::{CloudCall, CloudHost, CloudReply},
    },
    supply::{CallFor, Effect, Supply, UnitKey, cloud, rendezvous},
    units::{Time, WallTime},
    upstream::{HostRecord, HostState},
};

/// How often the offers are read.
const OFFERS_EVERY: Duration = Duration::from_secs(30);
/// How often the hosts are listed when nothing asks for it.
const LIST_EVERY: Duration = Duration::from_secs(10);
/// How often reclaim notices are read, by each of the daemons that read them.
const NOTICES_EVERY: Duration = Duration::from_secs(1);
/// How many daemons read reclaim notices, so that the loss of one delays none.
const NOTICE_READERS: usize = 2;
/// How many hosts of a zone must leave together to be a wave.
const WAVE_HOSTS: u32 = 2;
/// How long notices of one zone count together.
const WAVE_SPREAD: Duration = Duration::from_mins(1);

impl Supply {
    pub(super) fn poll_cloud(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.known.set.services.values().any(|service| service.supply.managed) {
            return;
        }
        if self.schedule.offers <= now && !self.is_calling(&CallFor::Offers) {
            self.schedule.offers = now + OFFERS_EVERY;
            self.cloud(CallFor::Offers, Priority::Configuration, CloudCall::Offers, out);
        }
        let is_reader = self.has_duty("supply/notices", NOTICE_READERS);
        if is_reader && self.schedule.notices <= now && !self.is_calling(&CallFor::Notices) {
            self.schedule.notices = now + NOTICES_EVERY;
            let call = CloudCall::Notices(self.notices_after);
            self.cloud(CallFor::Notices, Priority::Safety, call, out);
        }
        let is_listing = self.calls.values().any(|why| matches!(why, CallFor::List(_)));
        let lists = self.holds_any(now) || self.has_duty("supply/orphans", 1);
        if lists && self.schedule.list <= now && !is_listing {
            self.schedule.list = now + LIST_EVERY;
            self.cloud(CallFor::List(now), Priority::Configuration, CloudCall::Hosts, out);
        }
    }

    fn is_calling(&self, why: &CallFor) -> bool {
        self.calls.values().any(|call| call == why)
    }

    fn has_duty(&self, duty: &str, count: usize) -> bool {
        let ranked = rendezvous::rank(&self.known.members, duty, count);
        let me = self.me.as_ref().map(|me| &me.holder.daemon);
        ranked.is_empty() || ranked.into_iter().any(|daemon| Some(daemon) == me)
    }

    fn cloud(&mut self, why: CallFor, priority: Priority, call: CloudCall, out: &mut Vec<Effect>) {
        self.call(why, priority, Operation::Cloud(call), out);
    }

    pub(super) fn called(
        &mut self,
        now: Time,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        match (self.calls.shift_remove(&call), result) {
            (Some(CallFor::Lease(key, call)), result) => {
                self.lease_called(now, &key, call, result, out);
            }
            (Some(CallFor::Hosts(key, call)), result) => {
                self.tell_hosts(now, &key, cloud::Event::CallEnded(call, result), out);
            }
            (Some(CallFor::Offers), Ok(Reply::Cloud(CloudReply::Offers(offers)))) => {
                self.market.set_offers(&offers);
            }
            (Some(CallFor::List(asked)), Ok(Reply::Cloud(CloudReply::Hosts(hosts)))) => {
                self.listed(now, asked, &hosts, out);
            }
            (Some(CallFor::Notices), Ok(Reply::Cloud(CloudReply::Notices(next, notices)))) => {
                self.notices_after = next;
                for notice in notices {
                    self.announce(now, &notice.host, notice.at, out);
                }
            }
            // A failed poll is made again when its time comes.
            _ => {}
        }
        self.poll_cloud(now, out);
    }

    fn listed(&mut self, now: Time, asked: Time, hosts: &[CloudHost], out: &mut Vec<Effect>) {
        let keys: Vec<UnitKey> = self.units.keys().cloned().collect();
        for key in keys {
            self.tell_hosts(now, &key, cloud::Event::Listed(asked, hosts.to_vec()), out);
        }
        if self.has_duty("supply/orphans", 1) {
            self.release_unowned(hosts, out);
        }
    }

    fn release_unowned(&mut self, hosts: &[CloudHost], out: &mut Vec<Effect>) {
        let set = self.known.set.clone();
        let is_declared = |service: &_| set.services.contains_key(service);
        for host in cloud::undeclared_hosts(hosts, self.known.generation, is_declared) {
            let object = format!("host {host}").into();
            let action = "released, its service is not declared".into();
            out.push(Effect::Recorded { object, action });
            self.cloud(CallFor::Orphan, Priority::Background, CloudCall::Release(host), out);
        }
    }

    /// Follows the host list: hosts that leave there are told to all, as the cloud's notices are.
    pub(super) fn follow_hosts(&mut self, now: Time, out: &mut Vec<Effect>) {
        let leaving: Vec<(HostId, WallTime)> = self
            .known
            .hosts
            .iter()
            .filter_map(|host| match host.state {
                HostState::Leaving { at } => Some((host.host.clone(), at)),
                HostState::Live => None,
            })
            .filter(|(host, _)| !self.told_leaving.contains(host))
            .collect();
        let is_reader = self.has_duty("supply/notices", NOTICE_READERS);
        for (host, at) in leaving {
            if is_reader {
                self.announce(now, &host, at, out);
            } else if self.told_leaving.insert(host.clone()) {
                self.left(now, &host);
            }
        }
        let listed = self.known.hosts.clone();
        self.told_leaving.retain(|host| listed.iter().any(|record| record.host == *host));
    }

    /// Notes that a host leaves, whoever told it.
    pub(super) fn left(&mut self, now: Time, host: &HostId) {
        self.told_leaving.insert(host.clone());
        self.units.values_mut().for_each(|unit| unit.left(now, host));
        let hosts = self.known.hosts.clone();
        if let Some(record) = hosts.iter().find(|record| record.host == *host) {
            self.count_wave(now, record);
        }
        self.schedule.act = now;
    }

    fn count_wave(&mut self, now: Time, record: &HostRecord) {
        let in_zone = self.known.hosts.iter().filter(|host| host.zone == record.zone).count();
        let fresh = (now, 0);
        let entry = self.zone_leaving.entry(record.zone.clone()).or_insert(fresh);
        if now.since(entry.0) > WAVE_SPREAD {
            *entry = fresh;
        }
        entry.1 += 1;
        if entry.1 >= WAVE_HOSTS.max(in_zone.div_ceil(2) as u32) {
            self.market.record_wave(now, &record.zone);
        }
    }
}
