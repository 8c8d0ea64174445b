//! Which services have ranks that contradict the time-outs of their routes.

mod support;

use std::time::Duration;

use dogwoodturn_gateway::table::{RetrySafety, Route, Table};

fn route(name: &str, service: &str, priority: u8, timeout_s: u64) -> Route {
    Route {
        priority,
        timeout: Duration::from_secs(timeout_s),
        services: vec![(service.parse().unwrap(), 1)],
        ..support::route(name, &format!("/{name}/"), RetrySafety::Idempotent, 1)
    }
}

fn contradicts(routes: Vec<Route>) -> bool {
    support::table(routes).ranks_contradict_timeouts(&"model".parse().unwrap())
}

#[test]
fn ranks_contradict_timeouts_only_if_the_urgent_route_waits_longest() {
    assert!(contradicts(vec![route("long", "model", 0, 12), route("short", "model", 2, 3)]));
    // Deployments whose urgent route has the shortest time-out are served as before.
    assert!(!contradicts(vec![route("short", "model", 0, 3), route("long", "model", 1, 12)]));
    assert!(!contradicts(vec![route("a", "model", 0, 10), route("b", "model", 1, 10)]));
    // Less urgent routes on both sides of it.
    let both = [route("a", "model", 0, 10), route("b", "model", 1, 12), route("c", "model", 2, 2)];
    assert!(!contradicts(both.to_vec()));
    assert!(!contradicts(vec![route("only", "model", 0, 10)]), "there is nothing to favour");
    assert!(!contradicts(vec![route("a", "plain", 0, 12), route("b", "plain", 1, 3)]));
}

#[test]
fn is_most_urgent_compares_with_routes_of_the_same_service() {
    let routes =
        vec![route("a", "model", 0, 12), route("b", "model", 2, 3), route("c", "plain", 2, 2)];
    let table: Table = support::table(routes);
    let [model, plain] = ["model", "plain"].map(|name| name.parse().unwrap());
    assert!(table.is_most_urgent(&model, 0) && !table.is_most_urgent(&model, 2));
    assert!(table.is_most_urgent(&plain, 2));
}
