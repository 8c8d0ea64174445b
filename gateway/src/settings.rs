//! Settings of a gateway, read from an INI file and validated as a whole.

use std::{net::SocketAddr, time::Duration};

use dogwoodturn::{
    ids::{DaemonId, DataCentre, Region},
    ini::{self, ConfigError, Location, Section, Source, section_reader::SectionReader},
    limit::ramp::RampStart,
};

use indexmap::IndexMap;

use crate::{quota, retry};

/// Default of `forget-members-seconds`. A host that is only stopped and not replaced comes back
/// within this time.
const DEFAULT_FORGET_AFTER: Duration = Duration::from_secs(600);
/// Default of `contact-milliseconds`.
pub const DEFAULT_CONTACT: Duration = Duration::from_secs(3);
const SECTIONS: [&str; 6] = ["daemon", "store", "cloud", "limits", "bounds", "regions"];

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the daemon, unique in the system.
    pub name: DaemonId,
    pub data_centre: DataCentre,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the readiness checks of the load balancer.
    pub readiness: SocketAddr,
    /// Listening address for other daemons: state messages by UDP, tables and metrics by TCP.
    pub peers: SocketAddr,
    /// Listening address for metrics, if it differs from the one for peers.
    pub metrics: Option<SocketAddr>,
    /// Whether the system is started for the first time, so that no daemon has run before.
    pub first_start: bool,
    pub store: SocketAddr,
    /// Address of the cloud interface.
    pub cloud: SocketAddr,
    pub reports_usage: bool,
    pub orders_hosts: bool,
    /// Bandwidth of the host's network link, in megabits per second.
    pub link: f64,
    /// Time without messages after which a daemon is removed from the list of members. A host that
    /// was replaced never comes back, and while its daemon is listed, a share of the common limits
    /// stays reserved for it.
    pub forget_after: Duration,
    pub bounds: Bounds,
    /// The region of each data centre.
    pub regions: IndexMap<DataCentre, Region>,
}

/// Times and limits that the operators of a deployment guarantee or require.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Budget of retries.
    pub retries: retry::Bounds,
    /// Window of the quotas and by how much they may be exceeded.
    pub quotas: quota::Tolerance,
    /// Length of the windows of usage reports.
    pub usage_window: Duration,
    /// Time after the end of a usage window within which it may be reported.
    pub usage_delay: Duration,
    /// Time for which an upstream keeps serving after it was reported as leaving.
    pub drain: Duration,
    /// Time after the end of a disruption after which all other bounds hold again.
    pub contact: Duration,
    /// Duration of the lease: time within which leadership must not alternate between two daemons.
    pub lease: Duration,
    /// Whether the cloud refuses calls with a lower fence than it has seen. Where it does not, the daemons
    /// alone keep their calls in order.
    pub checks_fences: bool,
    /// Share of a service's requests, from 0 to 1, that a new version may get before evidence shows
    /// that it is not faulty.
    pub canary_share: f64,
    /// Time within which upstreams of an evacuated data centre get no more requests; `None` if operators
    /// evacuate none.
    pub evacuation: Option<Duration>,
    /// By how much the rate of cold upstreams may be exceeded.
    pub warm_up: WarmUpTolerance,
    /// The requests over all daemons with which the ramp of an upstream begins; `None` if upstreams do not
    /// ramp up.
    pub ramp_start: Option<RampStart>,
}

/// By how much the rate that a cold upstream tolerates may be exceeded in a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpTolerance {
    /// Multiple of the rate.
    pub overshoot: f64,
    /// Requests in addition to this.
    pub allowance: f64,
}

impl Settings {
    /// Reads the settings, or returns all errors in them at once.
    pub fn read(source: &Source) -> Result<Self, Vec<ConfigError>> {
        let sections = ini::read(source).map_err(|config_error| vec![config_error])?;
        let mut errors = Vec::new();
        for section in &sections {
            if !SECTIONS.contains(&&*section.title) {
                let reason = format!("[{}] is no section of the settings", section.title);
                let hint = format!("use {}", SECTIONS.join(", "));
                errors.push(ConfigError::new(&section.location, reason).with_hint(hint));
            }
        }
        let find = |title: &str| {
            let found = sections.iter().find(|section| &*section.title == title).cloned();
            found.unwrap_or_else(|| Section {
                title: title.into(),
                location: Location { file: source.file.clone(), line: 1 },
                properties: Vec::new(),
            })
        };
        let settings = read_sections(&SECTIONS.map(find), &mut errors);
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => {
                errors.sort();
                Err(errors)
            }
        }
    }
}

impl Settings {
    /// Resets the settings that need a restart to those of the running daemon and returns the keys
    /// that differed.
    pub fn keep_fixed(&mut self, running: &Self) -> Vec<&'static str> {
        let mut ignored = Vec::new();
        let mut report = |key, differs| {
            if differs {
                ignored.push(key);
            }
        };
        report("name", self.name != running.name);
        report("data-centre", self.data_centre != running.data_centre);
        report("callers", self.callers != running.callers);
        report("readiness", self.readiness != running.readiness);
        report("peers", self.peers != running.peers);
        report("metrics", self.metrics != running.metrics);
        self.name.clone_from(&running.name);
        self.data_centre.clone_from(&running.data_centre);
        self.callers = running.callers;
        self.readiness = running.readiness;
        self.peers = running.peers;
        self.metrics = running.metrics;
        // `first-start` only applies when the process starts.
        self.first_start = running.first_start;
        ignored
    }
}

fn read_sections(sections: &[Section; 6], errors: &mut Vec<ConfigError>) -> Option<Settings> {
    let [daemon, store, cloud, limits, bounds, regions] = sections;
    let mut fields = SectionReader::new(daemon, errors);
    let name = fields.required("name");
    let data_centre = fields.required("data-centre");
    let callers = fields.required("callers");
    let readiness = fields.required("readiness");
    let peers = fields.required("peers");
    let metrics = fields.optional("metrics");
    let first_start = fields.optional("first-start").unwrap_or(false);
    fields.finish();

    let mut fields = SectionReader::new(store, errors);
    let store = fields.required("address");
    fields.finish();

    let mut fields = SectionReader::new(cloud, errors);
    let cloud = fields.required("address");
    let duties: Box<str> = fields.optional::<String>("duties").unwrap_or_default().into();
    fields.finish();
    let has_duty = |duty: &str| duties.split(',').any(|part| part.trim() == duty);
    let (reports_usage, orders_hosts) = (has_duty("usage"), has_duty("hosts"));

    let mut fields = SectionReader::new(limits, errors);
    let link = not_negative(&mut fields, "link-megabits");
    let forget_after = fields.optional("forget-members-seconds").map(Duration::from_secs);
    fields.finish();

    let bounds = read_bounds(bounds, errors);
    let regions = read_regions(regions, errors);
    Some(Settings {
        name: name?,
        data_centre: data_centre?,
        callers: callers?,
        readiness: readiness?,
        peers: peers?,
        metrics,
        first_start,
        store: store?,
        cloud: cloud?,
        reports_usage,
        orders_hosts,
        link: link?,
        forget_after: forget_after.unwrap_or(DEFAULT_FORGET_AFTER),
        bounds: bounds?,
        regions,
    })
}

fn read_regions(section: &Section, errors: &mut Vec<ConfigError>) -> IndexMap<DataCentre, Region> {
    let mut regions = IndexMap::new();
    let mut fields = SectionReader::new(section, errors);
    for property in &section.properties {
        let region = fields.required(&property.key);
        if let (Some(data_centre), Some(region)) = (fields.name(&property.key), region) {
            regions.insert(data_centre, region);
        }
    }
    fields.finish();
    regions
}

fn read_bounds(section: &Section, errors: &mut Vec<ConfigError>) -> Option<Bounds> {
    let mut fields = SectionReader::new(section, errors);
    let ratio = not_negative(&mut fields, "retry-ratio");
    let allowance = not_negative(&mut fields, "retry-allowance");
    let overshoot = not_negative(&mut fields, "quota-overshoot");
    let quota_allowance = not_negative(&mut fields, "quota-allowance");
    let mut time = |key: &str| {
        let unit = if key.ends_with("-milliseconds") { 1e-3 } else { 1.0 };
        let seconds = not_negative(&mut fields, key)? * unit;
        let time = Duration::try_from_secs_f64(seconds).ok().filter(|time| !time.is_zero());
        if time.is_none() {
            fields.add_error(format!("{key} must be a time above zero"));
        }
        time
    };
    let grace = time("grace-seconds");
    let retry_window = time("retry-window-seconds");
    let quota_window = time("quota-window-seconds");
    let usage_window = time("usage-window-seconds");
    let usage_delay = time("usage-delay-seconds");
    let drain = time("drain-milliseconds");
    let lease = time("lease-milliseconds");
    let checks_fences = fields.optional("fencing-enforced").unwrap_or(false);
    let canary_share = not_negative(&mut fields, "canary-share");
    if canary_share.is_some_and(|share| share > 1.0) {
        fields.add_error("canary-share must not be above 1");
    }
    let mut optional_time = |key: &str| {
        let ms = fields.optional::<f64>(key)?;
        let time = Duration::try_from_secs_f64(ms / 1000.0).ok().filter(|time| !time.is_zero());
        if time.is_none() {
            fields.add_error(format!("{key} must be a time above zero"));
        }
        time
    };
    let evacuation = optional_time("evacuation-milliseconds");
    let contact = optional_time("contact-milliseconds");
    let mut tolerance = |key: &str, default: f64| {
        let value = fields.optional(key).unwrap_or(default);
        if !value.is_finite() || value < 0.0 {
            fields.add_error(format!("{key} must not be negative"));
        }
        value
    };
    // Without these keys, cold upstreams get no more than they tolerate.
    let warm_up = WarmUpTolerance {
        overshoot: tolerance("warm-up-overshoot", 1.0),
        allowance: tolerance("warm-up-allowance", 0.0),
    };
    let ramp_start = fields.optional("ramp-start");
    fields.finish();
    let retries = retry::Bounds { ratio: ratio?, allowance: allowance?, window: retry_window? };
    let quotas = quota::Tolerance {
        window: quota_window?,
        overshoot: overshoot?,
        allowance: quota_allowance?,
    };
    Some(Bounds {
        grace: grace?,
        retries,
        quotas,
        usage_window: usage_window?,
        usage_delay: usage_delay?,
        drain: drain?,
        contact: contact.unwrap_or(DEFAULT_CONTACT),
        lease: lease?,
        checks_fences,
        canary_share: canary_share?,
        evacuation,
        warm_up,
        ramp_start,
    })
}

fn not_negative(fields: &mut SectionReader<'_>, key: &str) -> Option<f64> {
    let value = fields.required::<f64>(key)?;
    if !value.is_finite() || value < 0.0 {
        fields.add_error(format!("{key} must not be negative"));
        return None;
    }
    Some(value)
}
