//! The calls to the cloud that all units of a daemon share: offers, host lists and reclaim notices.

use std::time::Duration;

use crate::{
    ids::{CallId, HostId},
    store::{
        CallError, Operation, Priority, Reply,
        cloud::{CloudCall, CloudHost, CloudReply},
    },
    supply::{CallPurpose, Effect, Supply, UnitKey, cloud, rendezvous},
    units::{Time, WallTime},
    upstream::{HostRecord, HostState},
};

/// The interval at which offers are read.
const OFFERS_INTERVAL: Duration = Duration::from_secs(30);
/// The interval at which hosts are listed unless a list is requested earlier.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The interval at which each reader reads reclaim notices.
const NOTICES_INTERVAL: Duration = Duration::from_secs(1);
/// The number of daemons that read reclaim notices; with two, the loss of one delays no notice.
const NOTICE_READER_COUNT: usize = 2;
/// The smallest number of hosts of a zone that leave together in a wave; a wave is also at least
/// half of the zone's hosts.
const MIN_WAVE_HOSTS: u32 = 2;
/// The time window in which the leaving hosts of a zone are counted together.
const WAVE_WINDOW: Duration = Duration::from_mins(1);

impl Supply {
    pub(super) fn poll_cloud(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.cluster.set.services.values().any(|service| service.supply.managed) {
            return;
        }
        if self.schedule.offers <= now && !self.is_calling(&CallPurpose::Offers) {
            self.schedule.offers = now + OFFERS_INTERVAL;
            self.call_cloud(CallPurpose::Offers, Priority::Configuration, CloudCall::Offers, out);
        }
        let is_reader = self.has_duty("supply/notices", NOTICE_READER_COUNT);
        if is_reader && self.schedule.notices <= now && !self.is_calling(&CallPurpose::Notices) {
            self.schedule.notices = now + NOTICES_INTERVAL;
            let call = CloudCall::Notices(self.notices_after);
            self.call_cloud(CallPurpose::Notices, Priority::Safety, call, out);
        }
        let is_listing = self.calls.values().any(|purpose| matches!(purpose, CallPurpose::List(_)));
        let is_lister = self.holds_any_lease(now) || self.has_duty("supply/orphans", 1);
        if is_lister && self.schedule.list <= now && !is_listing {
            self.schedule.list = now + LIST_INTERVAL;
            self.call_cloud(CallPurpose::List(now), Priority::Configuration, CloudCall::Hosts, out);
        }
    }

    fn is_calling(&self, purpose: &CallPurpose) -> bool {
        self.calls.values().any(|call| call == purpose)
    }

    fn has_duty(&self, duty: &str, count: usize) -> bool {
        let ranked = rendezvous::rank(&self.cluster.members, duty, count);
        let me = self.identity.as_ref().map(|me| &me.holder.daemon);
        ranked.is_empty() || ranked.into_iter().any(|daemon| Some(daemon) == me)
    }

    fn call_cloud(
        &mut self,
        purpose: CallPurpose,
        priority: Priority,
        call: CloudCall,
        out: &mut Vec<Effect>,
    ) {
        self.call(purpose, priority, Operation::Cloud(call), out);
    }

    pub(super) fn call_ended(
        &mut self,
        now: Time,
        call: CallId,
        result: Result<Reply, CallError>,
        out: &mut Vec<Effect>,
    ) {
        match (self.calls.shift_remove(&call), result) {
            (Some(CallPurpose::Lease(key, call)), result) => {
                self.lease_call_ended(now, &key, call, result, out);
            }
            (Some(CallPurpose::Hosts(key, call)), result) => {
                self.handle_hosts(now, &key, cloud::Event::CallEnded(call, result), out);
            }
            (Some(CallPurpose::Offers), Ok(Reply::Cloud(CloudReply::Offers(offers)))) => {
                self.market.set_offers(&offers);
            }
            (Some(CallPurpose::List(requested_at)), Ok(Reply::Cloud(CloudReply::Hosts(hosts)))) => {
                self.hosts_listed(now, requested_at, &hosts, out);
            }
            (Some(CallPurpose::Notices), Ok(Reply::Cloud(CloudReply::Notices(next, notices)))) => {
                self.notices_after = next;
                for notice in notices {
                    self.announce_leaving(now, &notice.host, notice.at, out);
                }
            }
            // A failed poll is repeated at its next regular time.
            _ => {}
        }
        self.poll_cloud(now, out);
    }

    fn hosts_listed(
        &mut self,
        now: Time,
        requested_at: Time,
        hosts: &[CloudHost],
        out: &mut Vec<Effect>,
    ) {
        let keys: Vec<UnitKey> = self.units.keys().cloned().collect();
        for key in keys {
            self.handle_hosts(now, &key, cloud::Event::Listed(requested_at, hosts.to_vec()), out);
        }
        if self.has_duty("supply/orphans", 1) {
            self.release_unowned(hosts, out);
        }
    }

    /// Releases the hosts of services that are not declared.
    fn release_unowned(&mut self, hosts: &[CloudHost], out: &mut Vec<Effect>) {
        let set = self.cluster.set.clone();
        let is_declared = |service: &_| set.services.contains_key(service);
        for host in cloud::undeclared_hosts(hosts, self.cluster.generation, is_declared) {
            let object = format!("host {host}").into();
            let action = "released, its service is not declared".into();
            out.push(Effect::Recorded { object, action });
            self.call_cloud(
                CallPurpose::Orphan,
                Priority::Background,
                CloudCall::Release(host),
                out,
            );
        }
    }

    /// Handles a change of the host list. The readers of reclaim notices also announce to all
    /// daemons which hosts the list marks as leaving.
    pub(super) fn apply_host_list(&mut self, now: Time, out: &mut Vec<Effect>) {
        let leaving: Vec<(HostId, WallTime)> = self
            .cluster
            .hosts
            .iter()
            .filter_map(|host| match host.state {
                HostState::Leaving { at } => Some((host.host.clone(), at)),
                HostState::Live => None,
            })
            .filter(|(host, _)| !self.announced_leaving.contains(host))
            .collect();
        let is_reader = self.has_duty("supply/notices", NOTICE_READER_COUNT);
        for (host, at) in leaving {
            if is_reader {
                self.announce_leaving(now, &host, at, out);
            } else if self.announced_leaving.insert(host.clone()) {
                self.mark_leaving(now, &host);
            }
        }
        let listed = self.cluster.hosts.clone();
        self.announced_leaving.retain(|host| listed.iter().any(|record| record.host == *host));
    }

    /// Records that a host is leaving, whatever the source of the announcement.
    pub(super) fn mark_leaving(&mut self, now: Time, host: &HostId) {
        self.announced_leaving.insert(host.clone());
        self.units.values_mut().for_each(|unit| unit.mark_leaving(now, host));
        let hosts = self.cluster.hosts.clone();
        if let Some(record) = hosts.iter().find(|record| record.host == *host) {
            self.detect_wave(now, record);
        }
        self.schedule.act = now;
    }

    /// Counts a leaving host of a zone, and records a wave once enough hosts leave within
    /// [`WAVE_WINDOW`].
    fn detect_wave(&mut self, now: Time, record: &HostRecord) {
        let in_zone = self.cluster.hosts.iter().filter(|host| host.zone == record.zone).count();
        let new_count = (now, 0);
        let entry = self.zone_leave_counts.entry(record.zone.clone()).or_insert(new_count);
        if now.since(entry.0) > WAVE_WINDOW {
            *entry = new_count;
        }
        entry.1 += 1;
        if entry.1 >= MIN_WAVE_HOSTS.max(in_zone.div_ceil(2) as u32) {
            self.market.record_wave(now, &record.zone);
        }
    }
}
