//! Tests of admission: customers' shares, adaptive windows, and retry budgets.

use std::{sync::Arc, time::Duration};

use dogwoodturn::{
    declaration::{Customer, DeclarationSet, RequestClass},
    ids::{CustomerName, ServiceName},
    limit::{Admission, AdmissionRequest, Limits},
    units::Time,
};

fn service() -> ServiceName {
    "lantern".parse().expect("a valid name")
}

fn customer(name: &str) -> CustomerName {
    name.parse().expect("a valid name")
}

fn limits(customers: &[(&str, u32)]) -> Limits {
    let mut set = DeclarationSet::default();
    for &(name, weight) in customers {
        let name = customer(name);
        let token_sha256 = [0; 32];
        set.customers.insert(name.clone(), Customer { name, weight, token_sha256 });
    }
    let mut limits = Limits::new();
    limits.refresh(Arc::new(set));
    limits
}

fn request<'a>(
    service: &'a ServiceName,
    customer: &'a CustomerName,
    class: RequestClass,
) -> AdmissionRequest<'a> {
    AdmissionRequest { customer: Some(customer), service, class, tokens: 0 }
}

fn admitted(limits: &mut Limits, request: &AdmissionRequest<'_>, count: usize) -> usize {
    (0..count).filter(|_| limits.admit(Time(0), request) == Admission::Admitted).count()
}

#[test]
fn admit_large_customer_leaves_room_for_a_small_one() {
    let mut limits = limits(&[("large", 9), ("small", 1)]);
    let (service, large, small) = (service(), customer("large"), customer("small"));
    let by_large = request(&service, &large, RequestClass::Interactive);
    let by_small = request(&service, &small, RequestClass::Interactive);
    let window = 64;
    assert!(admitted(&mut limits, &by_large, 1000) >= window * 6 / 10);
    let admitted_small = admitted(&mut limits, &by_small, 1000);
    assert!(
        admitted_small >= window / 10,
        "the small customer got {admitted_small} of a window of {window}"
    );
}

#[test]
fn admit_batch_leaves_room_for_interactive() {
    let mut limits = limits(&[("one", 1)]);
    let (service, one) = (service(), customer("one"));
    let batch = request(&service, &one, RequestClass::Batch);
    let interactive = request(&service, &one, RequestClass::Interactive);
    admitted(&mut limits, &batch, 1000);
    assert!(admitted(&mut limits, &interactive, 1000) >= 64 / 5);
}

#[test]
fn admit_refusal_has_a_retry_time() {
    let mut limits = limits(&[("one", 1)]);
    let (service, one) = (service(), customer("one"));
    let request = request(&service, &one, RequestClass::Interactive);
    admitted(&mut limits, &request, 1000);
    let Admission::Refused(overload) = limits.admit(Time(0), &request) else {
        panic!("admitted although the window is full");
    };
    assert!(overload.retry_after > Duration::ZERO);
}

/// Completes 100 requests per second for `seconds`, each with this latency, and admits a new one
/// after each.
fn complete_requests(
    limits: &mut Limits,
    request: &AdmissionRequest<'_>,
    latency: Duration,
    seconds: u64,
) {
    admitted(limits, request, 50);
    for tenth in 1..=seconds * 10 {
        let now = Time(0) + Duration::from_millis(tenth * 100);
        for _ in 0..10 {
            limits.record_latency(now, request, latency);
            limits.release_work(now, request);
            limits.admit(now, request);
        }
    }
}

#[test]
fn record_latency_late_answers_shrink_the_window() {
    let mut limits = limits(&[("one", 1)]);
    let (service, one) = (service(), customer("one"));
    let request = request(&service, &one, RequestClass::Interactive);
    complete_requests(&mut limits, &request, Duration::from_secs(2), 5);
    let (_, window) = limits.usage(&service, request.class);
    assert!(window < 16, "the window is {window}");
}

#[test]
fn record_latency_timely_answers_grow_the_window() {
    let mut limits = limits(&[("one", 1)]);
    let (service, one) = (service(), customer("one"));
    let request = request(&service, &one, RequestClass::Interactive);
    complete_requests(&mut limits, &request, Duration::from_millis(100), 5);
    let (_, window) = limits.usage(&service, request.class);
    assert!(window >= 100, "the window is {window}");
}

#[test]
fn record_latency_late_interactive_answers_shrink_the_batch_window() {
    let mut limits = limits(&[("one", 1)]);
    let (service, one) = (service(), customer("one"));
    let batch = request(&service, &one, RequestClass::Batch);
    admitted(&mut limits, &batch, 50);
    let late_request = request(&service, &one, RequestClass::Interactive);
    complete_requests(&mut limits, &late_request, Duration::from_secs(2), 5);
    let (_, window) = limits.usage(&service, batch.class);
    assert!(window < 16, "the batch window is {window}");
}

#[test]
fn release_work_leaves_nothing_outstanding() {
    let mut limits = limits(&[("one", 1)]);
    let (service, one) = (service(), customer("one"));
    let request = request(&service, &one, RequestClass::Batch);
    let count = admitted(&mut limits, &request, 1000);
    for _ in 0..count {
        limits.release_work(Time(0), &request);
    }
    assert_eq!(limits.usage(&service, request.class).0, 0);
}

#[test]
fn try_withdraw_retry_budget_runs_out() {
    let mut limits = limits(&[("one", 1)]);
    let (service, one) = (service(), customer("one"));
    let request = request(&service, &one, RequestClass::Interactive);
    admitted(&mut limits, &request, 20);
    let retries = (0..1000).filter(|_| limits.try_withdraw_retry(Time(0), &service)).count();
    assert!(retries <= 12, "{retries} retries for 20 requests");
}

#[test]
fn backoff_stays_below_a_doubling_bound() {
    let limits = Limits::new();
    for attempts in 0..20 {
        let longest = Duration::from_millis(10 << attempts.min(6));
        assert!(limits.backoff(attempts, u64::MAX) <= longest);
    }
}
