//! Finds entries of a valid set that can never match, and limits that contradict each other.
//!
//! [`check`](super::check) rejects sets that cannot be served at all. The findings here are of sets
//! that can be published, but that do not do what their author presumably meant.
//! See `docs/operators/declarations.md`.

use std::fmt;

use indexmap::{IndexMap, IndexSet};

use crate::{
    declaration::{DeclarationSet, Route, Service},
    edge::caller::REQUESTS_PATH,
    ids::{ServiceName, VersionName},
    units::PricePerHour,
};

/// The versions that live upstreams serve.
pub type ServedVersions = IndexSet<(ServiceName, VersionName)>;

/// What is wrong with an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FindingKind {
    /// The path of a route has a character that the path of no request has.
    UnmatchablePath,
    /// The path of a route is below one that daemons serve themselves.
    ShadowedRoute,
    /// No route leads to a service.
    ServiceWithoutRoute,
    /// Neither a service nor a move names a version.
    UnusedVersion,
    /// No live upstream serves a version that a service or a move names.
    VersionWithoutUpstream,
    /// Two customers have the same token, which identifies the first one only.
    SharedToken,
    /// Requests of a route are cancelled before the latency target of its service has passed.
    DeadlineBelowTarget,
    /// The minimum number of hosts of a service is above the maximum.
    HostsContradict,
    /// A service must have hosts, but its budget is zero.
    BudgetContradicts,
    /// A customer has no share of the capacity.
    ZeroWeight,
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::UnmatchablePath => "unmatchable-path",
            Self::ShadowedRoute => "shadowed-route",
            Self::ServiceWithoutRoute => "service-without-route",
            Self::UnusedVersion => "unused-version",
            Self::VersionWithoutUpstream => "version-without-upstream",
            Self::SharedToken => "shared-token",
            Self::DeadlineBelowTarget => "deadline-below-target",
            Self::HostsContradict => "hosts-contradict",
            Self::BudgetContradicts => "budget-contradicts",
            Self::ZeroWeight => "zero-weight",
        })
    }
}

/// A warning about one entry of a set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub kind: FindingKind,
    /// The section title of the entry, such as `route phrases`.
    pub title: Box<str>,
    /// The key that the finding is about; `None` if it is about the whole entry.
    pub key: Option<&'static str>,
    pub reason: Box<str>,
    /// A suggestion how to fix it.
    pub hint: &'static str,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] ", self.title)?;
        if let Some(key) = self.key {
            write!(f, "{key}: ")?;
        }
        write!(f, "{} (hint: {})", self.reason, self.hint)
    }
}

/// Returns all findings of a valid set.
///
/// `served` are the versions that live upstreams serve; `None` if they are not known, so that
/// nothing is found about them.
pub fn find(set: &DeclarationSet, served: Option<&ServedVersions>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for route in set.routes.values() {
        check_path(route, &mut findings);
        if let Some(service) = set.services.get(&route.service) {
            check_deadline(route, service, &mut findings);
        }
    }
    for service in set.services.values() {
        check_is_routed(set, service, &mut findings);
        check_supply(service, &mut findings);
    }
    check_unused_versions(set, &mut findings);
    if let Some(served) = served {
        check_served_versions(set, served, &mut findings);
    }
    check_customers(set, &mut findings);
    findings
}

fn check_path(route: &Route, findings: &mut Vec<Finding>) {
    let title = || format!("route {}", route.name).into();
    let never_in_path = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '?' | '#');
    if let Some(c) = route.path.chars().find(|&c| never_in_path(c)) {
        findings.push(Finding {
            kind: FindingKind::UnmatchablePath,
            title: title(),
            key: Some("path"),
            reason: format!("no request matches {:?}: a path has no {c:?}", route.path).into(),
            hint: "remove the query or encode the character in per cent notation",
        });
    }
    if route.path.starts_with(REQUESTS_PATH) {
        let reason = format!(
            "no request matches {}: daemons answer all requests below {REQUESTS_PATH} themselves",
            route.path
        );
        findings.push(Finding {
            kind: FindingKind::ShadowedRoute,
            title: title(),
            key: Some("path"),
            reason: reason.into(),
            hint: "choose another path",
        });
    }
}

fn check_deadline(route: &Route, service: &Service, findings: &mut Vec<Finding>) {
    let target = service.target.first_token;
    if route.deadline < target {
        let reason = format!(
            "{} is below the first-token target of service {}, {}",
            humantime::format_duration(route.deadline),
            service.name,
            humantime::format_duration(target)
        );
        findings.push(Finding {
            kind: FindingKind::DeadlineBelowTarget,
            title: format!("route {}", route.name).into(),
            key: Some("deadline"),
            reason: reason.into(),
            hint: "set a longer deadline or a shorter first-token",
        });
    }
}

fn check_is_routed(set: &DeclarationSet, service: &Service, findings: &mut Vec<Finding>) {
    if set.routes.values().any(|route| route.service == service.name) {
        return;
    }
    findings.push(Finding {
        kind: FindingKind::ServiceWithoutRoute,
        title: format!("service {}", service.name).into(),
        key: None,
        reason: "no route leads to it, so it gets no requests".into(),
        hint: "declare a route or remove the service",
    });
}

fn check_supply(service: &Service, findings: &mut Vec<Finding>) {
    let bounds = &service.supply;
    let title = || format!("service {}", service.name).into();
    // Zero stands for unlimited.
    if bounds.largest != 0 && bounds.smallest > bounds.largest {
        findings.push(Finding {
            kind: FindingKind::HostsContradict,
            title: title(),
            key: Some("smallest"),
            reason: format!(
                "{} is above largest, {}, which decides",
                bounds.smallest, bounds.largest
            )
            .into(),
            hint: "set smallest to at most largest",
        });
    }
    if bounds.smallest > 0 && bounds.budget == Some(PricePerHour(0)) {
        findings.push(Finding {
            kind: FindingKind::BudgetContradicts,
            title: title(),
            key: Some("budget-per-hour"),
            reason: format!("0 allows no host, but smallest is {}", bounds.smallest).into(),
            hint: "set a budget above zero, or remove it for no limit",
        });
    }
}

fn check_unused_versions(set: &DeclarationSet, findings: &mut Vec<Finding>) {
    for (service, version) in set.versions.keys() {
        let in_service = set.services.get(service).is_some_and(|s| s.version == *version);
        let mut moves = set.moves.values().filter(|m| m.service == *service);
        if in_service || moves.any(|m| m.from == *version || m.to == *version) {
            continue;
        }
        findings.push(Finding {
            kind: FindingKind::UnusedVersion,
            title: format!("version {service}/{version}").into(),
            key: None,
            reason: "neither its service nor a move names it, so it gets no requests".into(),
            hint: "declare a move to it or remove it",
        });
    }
}

/// Reports the versions that no live upstream serves.
///
/// Managed services are passed over, as the system starts hosts for them and loads their versions.
fn check_served_versions(
    set: &DeclarationSet,
    served: &ServedVersions,
    findings: &mut Vec<Finding>,
) {
    let mut check = |service: &ServiceName, version: &VersionName, title: String, key| {
        let supply = set.services.get(service).map(|service| service.supply);
        let is_supplied = supply.is_some_and(|supply| supply.managed && !supply.paused);
        if is_supplied || served.contains(&(service.clone(), version.clone())) {
            return;
        }
        findings.push(Finding {
            kind: FindingKind::VersionWithoutUpstream,
            title: title.into(),
            key: Some(key),
            reason: format!("no live upstream serves {service}/{version}").into(),
            hint: "start upstreams of this version first",
        });
    };
    for service in set.services.values() {
        check(&service.name, &service.version, format!("service {}", service.name), "version");
    }
    for m in set.moves.values() {
        check(&m.service, &m.to, format!("move {}", m.name), "to");
    }
}

fn check_customers(set: &DeclarationSet, findings: &mut Vec<Finding>) {
    let mut first_by_token = IndexMap::new();
    for customer in set.customers.values() {
        let title = || format!("customer {}", customer.name).into();
        let first = *first_by_token.entry(customer.token_sha256).or_insert(&customer.name);
        if *first != customer.name {
            let reason = format!(
                "customer {first} has the same token, so all of its requests count as {first}'s"
            );
            findings.push(Finding {
                kind: FindingKind::SharedToken,
                title: title(),
                key: Some("token-sha256"),
                reason: reason.into(),
                hint: "give each customer a token of its own",
            });
        }
        if customer.weight == 0 {
            findings.push(Finding {
                kind: FindingKind::ZeroWeight,
                title: title(),
                key: Some("weight"),
                reason: "0 gives it no share: it is refused once its service is more than 70% full"
                    .into(),
                hint: "set a weight of at least 1",
            });
        }
    }
}
