//! Tests of upstream selection: affinity, bounded load, ejection, data centres.

use std::time::Duration;

use dogwoodturn::{
    declaration::RequestClass,
    ids::{ServiceName, UpstreamId, VersionName},
    placement::{AttemptResult, Placement, SelectionCriteria, load::LoadReport},
    store::cloud::HostKind,
    units::{Time, WallTime},
    upstream::{HostRecord, HostState},
};

fn hosts(count: usize, data_centre: &str) -> Vec<HostRecord> {
    let host = |index: usize| HostRecord {
        host: format!("{data_centre}-h{index}").parse().expect("a valid name"),
        upstream: format!("{data_centre}-u{index}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: data_centre.parse().expect("a valid name"),
        zone: data_centre.parse().expect("a valid name"),
        class: "standard".parse().expect("a valid name"),
        kind: HostKind::Reclaimable,
        service: "lantern".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        state: HostState::Live,
    };
    (0..count).map(host).collect()
}

struct Fixture {
    placement: Placement,
    hosts: Vec<HostRecord>,
    service: ServiceName,
    version: VersionName,
}

impl Fixture {
    fn new(hosts: Vec<HostRecord>, seed: u64) -> Self {
        let mut placement = Placement::with_seed("a".parse().expect("a valid name"), seed);
        placement.refresh(&hosts);
        let service = "lantern".parse().expect("a valid name");
        let version = "v1".parse().expect("a valid name");
        Self { placement, hosts, service, version }
    }

    fn choose(
        &mut self,
        now: Time,
        prefix_hash: Option<u64>,
        excluded: &[UpstreamId],
    ) -> Option<UpstreamId> {
        let class = RequestClass::Interactive;
        let criteria = SelectionCriteria {
            service: &self.service,
            version: &self.version,
            class,
            prefix_hash,
            excluded,
        };
        let chosen = self.placement.choose(now, &self.hosts, &criteria)?;
        Some(chosen.upstream.clone())
    }
}

#[test]
fn choose_is_the_same_at_each_daemon() {
    let mut one = Fixture::new(hosts(50, "a"), 1);
    let mut two = Fixture::new(hosts(50, "a"), 2);
    for prefix in 0..100 {
        assert_eq!(one.choose(Time(0), Some(prefix), &[]), two.choose(Time(0), Some(prefix), &[]));
    }
}

#[test]
fn choose_a_lost_upstream_moves_only_its_prefixes() {
    let all = hosts(20, "a");
    let mut before = Fixture::new(all.clone(), 1);
    let mut after = Fixture::new(all[1..].to_vec(), 1);
    let mut moved = 0;
    for prefix in 0..1000 {
        let old = before.choose(Time(0), Some(prefix), &[]);
        let new = after.choose(Time(0), Some(prefix), &[]);
        if old != new {
            assert_eq!(old, Some(all[0].upstream.clone()));
            moved += 1;
        }
    }
    assert!((20..=100).contains(&moved), "{moved} of 1000 prefixes moved");
}

#[test]
fn choose_popular_prefix_is_bounded() {
    let mut fixture = Fixture::new(hosts(10, "a"), 1);
    for _ in 0..300 {
        let chosen = fixture.choose(Time(0), Some(7), &[]).expect("there are upstreams");
        fixture.placement.record_start(&chosen);
    }
    let ids: Vec<UpstreamId> = fixture.hosts.iter().map(|host| host.upstream.clone()).collect();
    let most = ids.iter().map(|id| fixture.placement.outstanding(id)).max();
    assert!(most.is_some_and(|most| most <= 110), "one upstream has {most:?} of 300");
}

#[test]
fn choose_skips_leaving_and_excluded_upstreams() {
    let mut all = hosts(3, "a");
    all[0].state = HostState::Leaving { at: WallTime(1) };
    let excluded = [all[1].upstream.clone()];
    let last = all[2].upstream.clone();
    let mut fixture = Fixture::new(all, 1);
    for prefix in 0..50 {
        assert_eq!(fixture.choose(Time(0), Some(prefix), &excluded), Some(last.clone()));
    }
    let all_excluded: Vec<UpstreamId> =
        fixture.hosts.iter().map(|host| host.upstream.clone()).collect();
    assert_eq!(fixture.choose(Time(0), Some(1), &all_excluded), None);
}

#[test]
fn choose_failing_upstream_is_ejected_and_readmitted() {
    let mut fixture = Fixture::new(hosts(4, "a"), 1);
    let bad = fixture.hosts[0].upstream.clone();
    for _ in 0..3 {
        fixture.placement.record_start(&bad);
        fixture.placement.record_end(Time(0), &bad, AttemptResult::Failed);
    }
    let chosen: Vec<_> = (0..100).map(|p| fixture.choose(Time(1), Some(p), &[])).collect();
    assert!(!chosen.contains(&Some(bad.clone())));
    let later = Time(0) + Duration::from_mins(1);
    let chosen: Vec<_> = (0..100).map(|p| fixture.choose(later, Some(p), &[])).collect();
    assert!(chosen.contains(&Some(bad)));
}

#[test]
fn choose_the_last_upstreams_are_not_all_ejected() {
    let mut fixture = Fixture::new(hosts(4, "a"), 1);
    for host in fixture.hosts.clone() {
        for _ in 0..3 {
            fixture.placement.record_start(&host.upstream);
            fixture.placement.record_end(Time(0), &host.upstream, AttemptResult::Failed);
        }
    }
    assert!(fixture.choose(Time(1), Some(1), &[]).is_some());
}

#[test]
fn choose_other_data_centre_only_when_this_one_is_full() {
    let mut all = hosts(4, "a");
    all.extend(hosts(4, "b"));
    let mut fixture = Fixture::new(all, 1);
    let is_local = |id: &UpstreamId| id.as_str().starts_with("a-");
    for prefix in 0..100 {
        assert!(is_local(
            &fixture.choose(Time(0), Some(prefix), &[]).expect("an upstream is chosen")
        ));
    }
    let full = LoadReport { running: 64, waiting: 100, age: Duration::ZERO };
    for id in fixture.hosts.iter().map(|host| host.upstream.clone()).filter(is_local) {
        fixture.placement.record_load(Time(0), &id, full);
    }
    assert!(!is_local(&fixture.choose(Time(0), Some(1), &[]).expect("an upstream is chosen")));
    let later = Time(0) + Duration::from_secs(20);
    assert!(is_local(
        &fixture.choose(later, Some(1), &[]).expect("the weight of an old report has decayed")
    ));
}

#[test]
fn affinity_keeps_documents_together_despite_a_shared_prefix() {
    let mut fixture = Fixture::new(hosts(10, "a"), 1);
    let service = fixture.service.clone();
    let system: String = "you are a helpful clerk ".repeat(20);
    let document = |n: usize| format!("{system} {}", format!("sheet {n} wool ").repeat(40));
    let mut hashes = Vec::new();
    for round in 0..20 {
        for n in 0..20 {
            let prompt = format!("{} question {round}", document(n));
            let hash = fixture.placement.affinity(&service, &prompt);
            if round == 19 {
                hashes.push(hash);
            }
        }
    }
    hashes.sort_unstable();
    hashes.dedup();
    assert!(hashes.len() >= 15, "20 documents share {} hashes", hashes.len());
    let again = fixture.placement.affinity(&service, &format!("{} question x", document(3)));
    let last = fixture.placement.affinity(&service, &format!("{} question y", document(3)));
    assert_eq!(again, last);
}
