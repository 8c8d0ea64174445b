//! The settings of a gateway, read from an INI file and checked as a whole.

use std::{net::SocketAddr, time::Duration};

use dogwoodturn::{
    ids::{DaemonId, DataCentre},
    ini::{self, ConfigError, Location, Section, Source, section_reader::SectionReader},
};

use crate::{quota, retry};

/// The default of `forget-members-seconds`; a host that is only stopped is back sooner.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// The sections of the file.
const SECTIONS: [&str; 5] = ["daemon", "store", "cloud", "limits", "bounds"];

/// All settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The daemon's name, unique among all daemons.
    pub name: DaemonId,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the daemon is ready.
    pub readiness: SocketAddr,
    /// Where other daemons send what they know, by UDP, and read tables and metrics, by TCP.
    pub peers: SocketAddr,
    /// Where metrics are read, if that is not where peers read them.
    pub metrics: Option<SocketAddr>,
    /// Whether no daemon of the system ran before.
    pub first_start: bool,
    /// Where the object store listens.
    pub store: SocketAddr,
    /// Where the cloud listens.
    pub cloud: SocketAddr,
    /// Whether this system reports usage.
    pub reports_usage: bool,
    /// Whether this system orders hosts.
    pub orders_hosts: bool,
    /// The host's link in megabits a second.
    pub link: f64,
    /// How long a daemon must be silent to be taken off the list of members. Hosts are replaced for
    /// good, and shares of common limits are set aside for each daemon that is listed.
    pub forget_after: Duration,
    /// What the operators promise or demand.
    pub bounds: Bounds,
}

/// Times and shares that the operators of a deployment set.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// The budget for second sends.
    pub retries: retry::Bounds,
    /// The window of quotas and by how much they may be exceeded.
    pub quotas: quota::Tolerance,
    /// The window of usage reports.
    pub usage_window: Duration,
    /// How long after its end a usage window may still be reported.
    pub usage_delay: Duration,
    /// How long an upstream serves after its leaving was told.
    pub drain: Duration,
    /// The time within which two daemons must not act by turns.
    pub lease: Duration,
    /// The part of a service's requests that a version may get before it is trusted.
    pub canary_share: f64,
}

impl Settings {
    /// Reads the settings and names every fault at once.
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
    /// Keeps what a running daemon cannot change as it was, and returns the keys that differed.
    pub fn keep_fixed(&mut self, running: &Self) -> Vec<&'static str> {
        let mut kept = Vec::new();
        let mut keep = |key, differs| {
            if differs {
                kept.push(key);
            }
        };
        keep("name", self.name != running.name);
        keep("data-centre", self.data_centre != running.data_centre);
        keep("callers", self.callers != running.callers);
        keep("readiness", self.readiness != running.readiness);
        keep("peers", self.peers != running.peers);
        keep("metrics", self.metrics != running.metrics);
        self.name.clone_from(&running.name);
        self.data_centre.clone_from(&running.data_centre);
        self.callers = running.callers;
        self.readiness = running.readiness;
        self.peers = running.peers;
        self.metrics = running.metrics;
        // Only a start can be the first one.
        self.first_start = running.first_start;
        kept
    }
}

fn read_sections(sections: &[Section; 5], errors: &mut Vec<ConfigError>) -> Option<Settings> {
    let [daemon, store, cloud, limits, bounds] = sections;
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
        forget_after: forget_after.unwrap_or(FORGET_AFTER),
        bounds: bounds?,
    })
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
    let canary_share = not_negative(&mut fields, "canary-share");
    if canary_share.is_some_and(|share| share > 1.0) {
        fields.add_error("canary-share must not be above 1");
    }
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
        lease: lease?,
        canary_share: canary_share?,
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
