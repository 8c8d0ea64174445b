//! The settings of a daemon, read from an INI file and checked as a whole.

use std::{net::SocketAddr, time::Duration};

use dogwoodturn::{
    claim::claims,
    ids::{DaemonId, DataCentre, Region},
    ini::{self, ConfigError, Location, Section, Source, section_reader::SectionReader},
};

/// The number of traffic threads if the settings have none.
const DEFAULT_TRAFFIC_THREADS: usize = 2;
/// The limit on calls per second to the platform if the settings have none.
const DEFAULT_CALLS_PER_SECOND: u32 = 200;
/// The longest duration of a graceful shutdown if the settings have none.
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(25);

/// The interval between heartbeats if the settings have none.
pub const DEFAULT_HEARTBEAT: Duration = Duration::from_secs(1);

/// The shortest interval between heartbeats that the settings may have.
const MIN_HEARTBEAT: Duration = Duration::from_millis(100);

/// The settings of a daemon, checked as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Unique among all daemons.
    pub name: DaemonId,
    /// The data centre where the daemon runs.
    pub data_centre: DataCentre,
    pub region: Region,
    /// The address of the callers' listener.
    pub callers: SocketAddr,
    /// The address of the operators' listener.
    pub operators: SocketAddr,
    /// The address of the listener for other daemons.
    pub peers: SocketAddr,
    /// The number of threads that answer callers, at least 1.
    pub traffic_threads: usize,
    /// The longest duration of a graceful shutdown.
    pub drain_timeout: Duration,
    /// The base of the platform's URLs, beginning with `http://`.
    pub platform: Box<str>,
    /// The limit on this daemon's calls per second to the platform, at least 1.
    pub calls_per_second: u32,
    /// The retention, write rate and timeout of claims.
    pub claims: claims::Config,
    /// The bearer token of operators.
    pub operator_token: Box<str>,
    /// The key that authenticates daemons to each other; all daemons share it.
    pub peer_key: [u8; 32],
    /// The addresses of the daemons to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The interval at which something is sent over each link to another daemon, at least 100 ms.
    pub heartbeat: Duration,
}

impl Settings {
    /// Reads the settings, or returns all their errors at once.
    pub fn read(source: &Source) -> Result<Self, Vec<ConfigError>> {
        let sections = ini::read(source).map_err(|config_error| vec![config_error])?;
        let mut errors = Vec::new();
        let empty = |title: &str| Section {
            title: title.into(),
            location: Location { file: source.file.clone(), line: 1 },
            properties: Vec::new(),
        };
        for section in &sections {
            if !["daemon", "platform", "operators", "peers", "claims"].contains(&&*section.title) {
                let reason = format!("[{}] is no section of the settings", section.title);
                errors.push(
                    ConfigError::new(&section.location, reason)
                        .with_hint("use daemon, platform, operators, peers and claims"),
                );
            }
        }
        let find = |title: &str| {
            let found = sections.iter().find(|section| &*section.title == title);
            found.cloned().unwrap_or_else(|| empty(title))
        };
        let settings = read_sections(
            &find("daemon"),
            &find("platform"),
            &find("operators"),
            &find("peers"),
            &find("claims"),
            &mut errors,
        );
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => {
                errors.sort();
                Err(errors)
            }
        }
    }
}

fn read_sections(
    daemon: &Section,
    platform: &Section,
    operators: &Section,
    peers: &Section,
    claims: &Section,
    errors: &mut Vec<ConfigError>,
) -> Option<Settings> {
    let mut fields = SectionReader::new(daemon, errors);
    let name = fields.required("name");
    let data_centre = fields.required("data-centre");
    let region = fields.required("region");
    let callers = fields.required("callers");
    let operators_address = fields.required("operators");
    let peers_address = fields.required("peers");
    let traffic_threads = fields.optional("traffic-threads").unwrap_or(DEFAULT_TRAFFIC_THREADS);
    let drain_timeout = fields.duration("drain-timeout").unwrap_or(DEFAULT_DRAIN_TIMEOUT);
    if traffic_threads == 0 {
        fields.add_error("traffic-threads must be at least 1");
    }
    fields.finish();

    let mut fields = SectionReader::new(platform, errors);
    let platform = fields.required::<String>("url");
    if let Some(url) = &platform
        && !url.starts_with("http://")
    {
        fields.add_error(format!("url: {url:?} must begin with http://"));
    }
    let calls_per_second = fields.optional("calls-per-second").unwrap_or(DEFAULT_CALLS_PER_SECOND);
    if calls_per_second == 0 {
        fields.add_error("calls-per-second must be at least 1");
    }
    fields.finish();

    let mut fields = SectionReader::new(operators, errors);
    let operator_token = fields.required::<String>("token");
    fields.finish();

    let mut fields = SectionReader::new(peers, errors);
    let peer_key = fields.digest("key");
    let seeds = seeds(&mut fields);
    let heartbeat = fields.duration("heartbeat").unwrap_or(DEFAULT_HEARTBEAT);
    if heartbeat < MIN_HEARTBEAT {
        fields.add_error("heartbeat must be at least 100ms");
    }
    fields.finish();

    let claims = claims_config(claims, errors);

    Some(Settings {
        name: name?,
        data_centre: data_centre?,
        region: region?,
        callers: callers?,
        operators: operators_address?,
        peers: peers_address?,
        traffic_threads,
        drain_timeout,
        platform: platform?.into(),
        calls_per_second,
        claims,
        operator_token: operator_token?.into(),
        peer_key: peer_key?,
        seeds,
        heartbeat,
    })
}

fn claims_config(section: &Section, errors: &mut Vec<ConfigError>) -> claims::Config {
    let mut fields = SectionReader::new(section, errors);
    let mut cfg = claims::Config::default();
    cfg.retention = fields.duration("retention").unwrap_or(cfg.retention);
    cfg.writes_per_second = fields.optional("writes-per-second").unwrap_or(cfg.writes_per_second);
    cfg.claim_timeout = fields.duration("ask-timeout").unwrap_or(cfg.claim_timeout);
    if cfg.writes_per_second == 0 {
        fields.add_error("writes-per-second must be at least 1");
    }
    fields.finish();
    cfg
}

fn seeds(fields: &mut SectionReader<'_>) -> Vec<SocketAddr> {
    let text = fields.optional::<String>("seeds").unwrap_or_default();
    let mut seeds = Vec::new();
    for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
        match part.parse() {
            Ok(seed) => seeds.push(seed),
            Err(error) => fields.add_error(format!("seeds: {part:?}: {error}")),
        }
    }
    seeds
}
