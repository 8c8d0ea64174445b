//! Builds a [`DeclarationSet`] from files and reports every error of the whole set at once.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    declaration::{
        Customer, DeclarationSet, LatencyTarget, Move, RequestClass, Route, Service, SupplyBounds,
        Version,
        findings::{self, Finding, ServedVersions},
        update_validation::UpdateViolation,
    },
    ids::{CustomerName, MoveName, RouteName, ServiceName, VersionName},
    ini::{self, ConfigError, Location, Section, Source, section_reader::SectionReader},
};

/// A validated set with the location of each object, for error messages.
#[derive(Clone, Debug, Default)]
pub struct ValidatedSet {
    pub set: DeclarationSet,
    locations: IndexMap<Box<str>, SectionLocation>,
}

/// The lines of a section.
#[derive(Clone, Debug)]
struct SectionLocation {
    title: Location,
    keys: IndexMap<Box<str>, Location>,
}

impl From<&Section> for SectionLocation {
    fn from(section: &Section) -> Self {
        let keys = section.properties.iter();
        let keys = keys.map(|property| (property.key.clone(), property.location.clone()));
        Self { title: section.location.clone(), keys: keys.collect() }
    }
}

impl ValidatedSet {
    /// Returns the line of a key, or that of the section's title if the key has its default.
    ///
    /// An object that is not in the set has no line.
    pub fn location(&self, title: &str, key: Option<&str>) -> Option<&Location> {
        let section = self.locations.get(title)?;
        Some(key.and_then(|key| section.keys.get(key)).unwrap_or(&section.title))
    }

    /// Returns the findings about the set with their lines, in the order of the files.
    pub fn findings(&self, served: Option<&ServedVersions>) -> Vec<(Location, Finding)> {
        let located = |finding: Finding| {
            let location = self.location(&finding.title, finding.key).cloned();
            (location.unwrap_or_else(|| no_location(&finding.title)), finding)
        };
        let mut findings: Vec<_> =
            findings::find(&self.set, served).into_iter().map(located).collect();
        findings.sort_by(|(a, _), (b, _)| a.cmp(b));
        findings
    }

    /// Converts the violations found before publication into errors with file and line.
    ///
    /// An object that is no longer in the set has no line; its title is reported instead, with
    /// line 0.
    pub fn errors(&self, violations: &[UpdateViolation]) -> Vec<ConfigError> {
        let config_error = |violation: &UpdateViolation| {
            let no_location = no_location(&violation.title);
            let location = self.location(&violation.title, None).unwrap_or(&no_location);
            let reason = format!("[{}] {}", violation.title, violation.reason);
            ConfigError::new(location, reason).with_hint(violation.hint.clone())
        };
        violations.iter().map(config_error).collect()
    }
}

/// Returns what is reported as the location of an object that is not in the files.
fn no_location(title: &str) -> Location {
    Location { file: format!("[{title}]").into(), line: 0 }
}

/// Parses and validates all files as one set.
pub fn check(sources: &[Source]) -> Result<ValidatedSet, Vec<ConfigError>> {
    let mut reader = Reader::default();
    for source in sources {
        match ini::read(source) {
            Ok(sections) => sections.iter().for_each(|section| reader.read_section(section)),
            Err(config_error) => reader.errors.push(config_error),
        }
    }
    reader.check_references();
    reader.check_duplicate_paths();
    reader.check_moves();
    if reader.errors.is_empty() {
        return Ok(ValidatedSet { set: reader.set, locations: reader.locations });
    }
    reader.errors.sort();
    Err(reader.errors)
}

#[derive(Default)]
struct Reader {
    set: DeclarationSet,
    locations: IndexMap<Box<str>, SectionLocation>,
    errors: Vec<ConfigError>,
}

impl Reader {
    fn read_section(&mut self, section: &Section) {
        if let Some(SectionLocation { title: first, .. }) = self.locations.get(&section.title) {
            let reason = format!("[{}] is declared already at {first}", section.title);
            self.errors.push(ConfigError::new(&section.location, reason));
            return;
        }
        self.locations.insert(section.title.clone(), section.into());
        let (kind, name) = section.title.split_once(' ').unwrap_or((&section.title, ""));
        let mut fields = SectionReader::new(section, &mut self.errors);
        match kind {
            "service" => read_service(&mut self.set, name, &mut fields),
            "version" => read_version(&mut self.set, name, &mut fields),
            "route" => read_route(&mut self.set, name, &mut fields),
            "move" => read_move(&mut self.set, name, &mut fields),
            "customer" => read_customer(&mut self.set, name, &mut fields),
            _ => {
                let config_error = ConfigError::new(
                    &section.location,
                    format!("[{kind}] is not a kind of object"),
                )
                .with_hint("use service, version, route, move or customer");
                self.errors.push(config_error);
                return;
            }
        }
        fields.finish();
    }

    fn add_error(&mut self, title: &str, reason: String, hint: &str) {
        let unknown_location = Location { file: "".into(), line: 0 };
        let section = self.locations.get(title);
        let location = section.map_or(&unknown_location, |section| &section.title);
        self.errors.push(ConfigError::new(location, reason).with_hint(hint));
    }

    fn has_version(&self, service: &ServiceName, version: &VersionName) -> bool {
        self.set.versions.contains_key(&(service.clone(), version.clone()))
    }

    fn check_references(&mut self) {
        let mut references: Vec<(String, ServiceName, Option<VersionName>)> = Vec::new();
        for service in self.set.services.values() {
            let title = format!("service {}", service.name);
            references.push((title, service.name.clone(), Some(service.version.clone())));
        }
        for version in self.set.versions.values() {
            let title = format!("version {}/{}", version.service, version.name);
            references.push((title, version.service.clone(), None));
        }
        for route in self.set.routes.values() {
            references.push((format!("route {}", route.name), route.service.clone(), None));
        }
        for m in self.set.moves.values() {
            let title = format!("move {}", m.name);
            references.push((title.clone(), m.service.clone(), Some(m.from.clone())));
            references.push((title, m.service.clone(), Some(m.to.clone())));
        }
        for (title, service, version) in references {
            if !self.set.services.contains_key(&service) {
                let reason =
                    format!("[{title}] refers to service {service}, which is not declared");
                self.add_error(&title, reason, &format!("declare [service {service}]"));
                continue;
            }
            let Some(version) = version else { continue };
            if !self.has_version(&service, &version) {
                let reason = format!(
                    "[{title}] refers to version {service}/{version}, which is not declared"
                );
                self.add_error(&title, reason, &format!("declare [version {service}/{version}]"));
            }
        }
    }

    fn check_duplicate_paths(&mut self) {
        let routes: Vec<Route> = self.set.routes.values().cloned().collect();
        for (index, route) in routes.iter().enumerate() {
            if let Some(first) = routes[..index].iter().find(|first| first.path == route.path) {
                let reason = format!(
                    "routes {} and {} have the same path {}",
                    first.name, route.name, route.path
                );
                self.add_error(
                    &format!("route {}", route.name),
                    reason,
                    "give each route a path of its own",
                );
            }
        }
    }

    fn check_moves(&mut self) {
        let moves: Vec<Move> = self.set.moves.values().cloned().collect();
        for (index, m) in moves.iter().enumerate() {
            let title = format!("move {}", m.name);
            if let Some(first) = moves[..index].iter().find(|first| first.service == m.service) {
                let reason = format!(
                    "moves {} and {} are both of service {}",
                    first.name, m.name, m.service
                );
                self.add_error(&title, reason, "finish or remove one of them first");
            }
            let declared_version =
                self.set.services.get(&m.service).map(|service| &service.version);
            if declared_version.is_some_and(|declared_version| *declared_version != m.from) {
                let reason = format!(
                    "move {} goes from {}, which is not the version of service {}",
                    m.name, m.from, m.service
                );
                self.add_error(&title, reason, "name the version that the service declares");
            }
            if m.from == m.to {
                let reason = format!("move {} goes from {} to itself", m.name, m.from);
                self.add_error(&title, reason, "name two versions");
            }
            if m.start + m.watch >= m.finish_by {
                let reason = format!(
                    "move {} cannot finish: from start to finish-by is no longer than its watch",
                    m.name
                );
                self.add_error(&title, reason, "set a later finish-by or a shorter watch");
            }
        }
    }
}

fn read_service(set: &mut DeclarationSet, name: &str, fields: &mut SectionReader<'_>) {
    let name = fields.name::<ServiceName>(name);
    let kind = fields.required("kind");
    let version = fields.required("version");
    let retry_policy = fields.required("repeat");
    let mut retry_policy_by_method = IndexMap::new();
    for method in ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] {
        let key = format!("repeat-{}", method.to_ascii_lowercase());
        if let Some(policy) = fields.optional(&key) {
            retry_policy_by_method.insert(method.into(), policy);
        }
    }
    let checks_fencing = fields.optional("checks-fencing").unwrap_or(false);
    let reports_load = fields.optional("reports-load").unwrap_or(false);
    let default = LatencyTarget::default();
    let target = LatencyTarget {
        first_token: fields.duration("first-token").unwrap_or(default.first_token),
        between_tokens: fields.duration("between-tokens").unwrap_or(default.between_tokens),
    };
    let supply = SupplyBounds {
        managed: fields.optional("managed").unwrap_or(false),
        paused: fields.optional("paused").unwrap_or(false),
        smallest: fields.optional("smallest").unwrap_or(0),
        largest: fields.optional("largest").unwrap_or(0),
        budget: fields.optional("budget-per-hour"),
    };
    let (Some(name), Some(kind), Some(version), Some(retry_policy)) =
        (name, kind, version, retry_policy)
    else {
        return;
    };
    let service = Service {
        name: name.clone(),
        kind,
        version,
        retry_policy,
        retry_policy_by_method,
        checks_fencing,
        reports_load,
        target,
        supply,
    };
    set.services.insert(name, service);
}

fn read_version(set: &mut DeclarationSet, name: &str, fields: &mut SectionReader<'_>) {
    let (service, version) = name.split_once('/').unwrap_or((name, ""));
    let service = fields.name::<ServiceName>(service);
    let name = fields.name::<VersionName>(version);
    let model = fields.optional::<String>("model").map(Into::into);
    let (Some(service), Some(name)) = (service, name) else { return };
    set.versions.insert((service.clone(), name.clone()), Version { service, name, model });
}

fn read_route(set: &mut DeclarationSet, name: &str, fields: &mut SectionReader<'_>) {
    let name = fields.name::<RouteName>(name);
    let path = fields.required::<String>("path");
    let service = fields.required("service");
    let class = fields.optional("class").unwrap_or(RequestClass::Interactive);
    let deadline = fields.duration("deadline").unwrap_or(Duration::from_secs(30));
    if let Some(path) = &path
        && (!path.starts_with('/') || (path.len() > 1 && path.ends_with('/')))
    {
        let reason = format!("path: {path:?} must begin with a slash and not end with one");
        fields.add_error(reason);
    }
    let (Some(name), Some(path), Some(service)) = (name, path, service) else { return };
    let route = Route { name: name.clone(), path: path.into(), service, class, deadline };
    set.routes.insert(name, route);
}

fn read_move(set: &mut DeclarationSet, name: &str, fields: &mut SectionReader<'_>) {
    let name = fields.name::<MoveName>(name);
    let service = fields.required("service");
    let from = fields.required("from");
    let to = fields.required("to");
    let start = fields.required("start");
    let finish_by = fields.required("finish-by");
    let watch = fields.duration("watch").unwrap_or(Duration::from_mins(1));
    let (Some(name), Some(service), Some(from), Some(to), Some(start), Some(finish_by)) =
        (name, service, from, to, start, finish_by)
    else {
        return;
    };
    let m = Move { name: name.clone(), service, from, to, start, finish_by, watch };
    set.moves.insert(name, m);
}

fn read_customer(set: &mut DeclarationSet, name: &str, fields: &mut SectionReader<'_>) {
    let name = fields.name::<CustomerName>(name);
    let weight = fields.optional("weight").unwrap_or(1);
    let token_sha256 = fields.digest("token-sha256");
    let (Some(name), Some(token_sha256)) = (name, token_sha256) else { return };
    set.customers.insert(name.clone(), Customer { name, weight, token_sha256 });
}
