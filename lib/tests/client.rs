//! Tests of the platform client: rate budget, priorities and outages.

use std::time::Duration;

use dogwoodturn::{
    ids::Revision,
    store::{
        CallError, Condition, ObjectKey, Operation, Priority, Reply,
        client::{Client, Config, Effect},
    },
    units::Time,
};

const DONE: Result<Reply, CallError> = Ok(Reply::Written(Revision(1)));

fn client(calls_per_second: f64, burst: u32) -> Client<u32> {
    Client::new(Config { calls_per_second, burst, ..Config::default() }, 1)
}

fn write() -> Operation {
    let condition = Condition::Absent;
    Operation::Put { key: ObjectKey::new("k"), value: "v".into(), condition }
}

fn issued(client: &mut Client<u32>, now: Time) -> Vec<u32> {
    let mut out = Vec::new();
    client.advance(now, &mut out);
    let tag = |effect| match effect {
        Effect::Issue(tag, ..) => Some(tag),
        Effect::Refuse(..) => None,
    };
    out.into_iter().filter_map(tag).collect()
}

fn refused(client: &mut Client<u32>, now: Time) -> Vec<(u32, CallError)> {
    let mut out = Vec::new();
    client.advance(now, &mut out);
    let refusal = |effect| match effect {
        Effect::Refuse(tag, error) => Some((tag, error)),
        Effect::Issue(..) => None,
    };
    out.into_iter().filter_map(refusal).collect()
}

#[test]
fn client_budget_bounds_calls() {
    let mut client = client(10.0, 2);
    let mut issued_count = 0;
    let mut tag = 0;
    for step in 0..1_000 {
        let now = Time(step * 10_000);
        tag += 1;
        client.submit(now, tag, Priority::Safety, Operation::Get(ObjectKey::new("k")));
        for tag in issued(&mut client, now) {
            issued_count += 1;
            client.ended(now, &tag, &DONE);
        }
    }
    assert!(issued_count <= 10 * 10 + 2, "{issued_count} calls in 10 s");
    assert!(issued_count >= 95, "{issued_count} calls in 10 s");
}

#[test]
fn client_calls_are_made_in_order_of_priority() {
    let mut client = client(1.0, 1);
    client.submit(Time(0), 1, Priority::Background, write());
    client.submit(Time(0), 2, Priority::Configuration, write());
    client.submit(Time(0), 3, Priority::Safety, write());
    assert_eq!(issued(&mut client, Time(0)), [3]);
    assert_eq!(issued(&mut client, Time(1_000_000)), [2]);
}

#[test]
fn client_overdue_call_is_refused() {
    let mut client = client(0.1, 1);
    client.submit(Time(0), 1, Priority::Safety, write());
    client.submit(Time(0), 2, Priority::Safety, write());
    assert_eq!(issued(&mut client, Time(0)), [1]);
    let at = client.next_wakeup().expect("a wakeup");
    assert_eq!(refused(&mut client, at), [(2, CallError::RateLimited)]);
}

#[test]
fn client_outage_refuses_at_once_and_probes_with_one_call() {
    let mut client = client(100.0, 10);
    client.submit(Time(0), 1, Priority::Safety, write());
    assert_eq!(issued(&mut client, Time(0)), [1]);
    client.ended(Time(0), &1, &Err(CallError::Unavailable));
    client.submit(Time(1), 2, Priority::Safety, write());
    assert_eq!(refused(&mut client, Time(1)), [(2, CallError::Unavailable)]);
    let later = Time(0) + Duration::from_secs(1);
    client.submit(later, 3, Priority::Safety, write());
    client.submit(later, 4, Priority::Safety, write());
    assert_eq!(issued(&mut client, later), [3]);
    client.ended(later, &3, &DONE);
    assert_eq!(issued(&mut client, later), [4]);
    assert!(!client.is_unavailable());
}

#[test]
fn client_long_outage_costs_few_calls() {
    let mut client = client(100.0, 10);
    let mut issued_count = 0;
    for step in 0..36_000 {
        let now = Time(step * 100_000);
        client.submit(now, step as u32, Priority::Safety, write());
        for tag in issued(&mut client, now) {
            issued_count += 1;
            client.ended(now, &tag, &Err(CallError::Unavailable));
        }
    }
    assert!(issued_count < 1_200, "{issued_count} calls in an hour of outage");
}

#[test]
fn client_unknown_outcome_is_not_repeated() {
    let mut client = client(100.0, 10);
    client.submit(Time(0), 1, Priority::Safety, write());
    assert_eq!(issued(&mut client, Time(0)), [1]);
    client.ended(Time(0), &1, &Err(CallError::Unknown));
    assert!(issued(&mut client, Time(0) + Duration::from_mins(1)).is_empty());
}

#[test]
fn client_rate_limit_halves_the_rate_for_a_while() {
    let mut client = client(10.0, 1);
    client.submit(Time(0), 1, Priority::Safety, write());
    assert_eq!(issued(&mut client, Time(0)), [1]);
    client.ended(Time(0), &1, &Err(CallError::RateLimited));
    let count = |client: &mut Client<u32>, from: u64| {
        let mut issued_count = 0;
        for step in 0..100 {
            let now = Time(from + step * 10_000);
            client.submit(now, (from + step) as u32, Priority::Safety, write());
            for tag in issued(client, now) {
                issued_count += 1;
                client.ended(now, &tag, &DONE);
            }
        }
        issued_count
    };
    let after = count(&mut client, 0);
    assert!(after <= 6, "{after} calls in the second after");
    let later = count(&mut client, 20_000_000);
    assert!(later >= 9, "{later} calls in a second later on");
}
