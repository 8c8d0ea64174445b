//! Runs a complete fleet in this process: the platform, upstreams and daemons on loopback.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use dogwoodturn::{
    claim::claims::Config,
    declaration::{
        DeclarationSet,
        publish::{Publication, PublishError, Step},
        wire::HeadWire,
    },
    ids::{ChangeId, DataCentre},
    store::{cloud::HostKind, http::HttpPlatform},
    units::WallTime,
    upstream::{HostRecord, HostState},
};
use dogwoodturn_daemon::{Daemon, settings::Settings};
use dogwoodturn_standins::{
    engine::{Engine, model::EngineConfig},
    http::ServerHandle,
    plain::Plain,
    platform::Platform,
};
use eyre::{Result, bail};

/// How long the daemons of a fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(2);
/// Calls that each daemon may make to the platform, per second.
const CALLS_PER_SECOND: u32 = 200;
/// How many of the first daemons serve as seeds for the later ones.
const SEEDS: usize = 2;
const HEARTBEAT: Duration = Duration::from_millis(200);
/// Bearer token of the operators of a local fleet.
pub const OPERATOR_TOKEN: &str = "local-operator";

#[derive(Clone, Debug)]
pub enum Standin {
    Engine(Engine),
    Plain(Plain),
}

#[derive(Debug)]
pub struct Upstream {
    /// The entry in the host list.
    pub record: HostRecord,
    pub standin: Standin,
    running: Option<ServerHandle>,
}

impl Upstream {
    /// Stops the upstream immediately, as when its host is lost.
    pub fn kill(&mut self) {
        self.running = None;
    }
}

/// The platform, upstreams and daemons of one process.
#[derive(Debug)]
pub struct LocalFleet {
    pub platform: Platform,
    pub platform_server: ServerHandle,
    pub upstreams: Vec<Upstream>,
    pub daemons: Vec<Daemon>,
}

/// The kind and number of upstreams to start for one version of a service.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamPlan {
    pub service: &'static str,
    pub version: &'static str,
    pub engine: bool,
    pub count: usize,
    /// Data centres over which the upstreams are distributed, round-robin.
    pub data_centres: &'static [&'static str],
}

impl LocalFleet {
    /// Starts a platform and fast upstreams, without daemons.
    pub fn start(plans: &[UpstreamPlan]) -> Result<Self> {
        Self::start_with(plans, EngineConfig::fast())
    }

    /// Starts a platform and upstreams with the given engine configuration, without daemons.
    pub fn start_with(plans: &[UpstreamPlan], engine: EngineConfig) -> Result<Self> {
        let platform = Platform::new();
        let platform_server = platform.start(loopback())?;
        let mut fleet =
            Self { platform, platform_server, upstreams: Vec::new(), daemons: Vec::new() };
        for plan in plans {
            for index in 0..plan.count {
                fleet.upstreams.push(start_upstream(plan, index, engine)?);
            }
        }
        fleet.publish_hosts();
        Ok(fleet)
    }

    /// Writes the host list from the upstreams' records.
    pub fn publish_hosts(&self) {
        self.platform.set_hosts(self.upstreams.iter().map(|up| up.record.clone()).collect());
    }

    /// Announces that a share of a service's hosts, from 0 to 1, will leave at a time.
    pub fn announce_leaving(&mut self, service: &str, share: f64, at: WallTime) {
        let of_service = |up: &&mut Upstream| up.record.service.as_str() == service;
        let count = self.upstreams.iter_mut().filter(of_service).count();
        let leaving = (count as f64 * share).round() as usize;
        for up in self.upstreams.iter_mut().filter(of_service).take(leaving) {
            up.record.state = HostState::Leaving { at };
        }
        self.publish_hosts();
    }

    /// Stops the hosts that were announced to leave and removes them from the host list.
    pub fn kill_leaving(&mut self) {
        self.upstreams.retain(|up| up.record.state == HostState::Live);
        self.publish_hosts();
    }

    /// Publishes a declaration set and returns the new head.
    pub fn publish(&self, set: &DeclarationSet, change: &str) -> Result<HeadWire> {
        let change: ChangeId = change.parse()?;
        let author = "local".into();
        let (mut publication, mut operation) = Publication::begin(set, change, author, now(), None);
        let url = self.platform_server.url();
        let head: Result<HeadWire, PublishError> = actix_rt::System::new().block_on(async move {
            let platform = HttpPlatform::new(&url);
            loop {
                match publication.handle(platform.call(&operation).await) {
                    Step::Call(next) => operation = next,
                    Step::Done(done) => return done,
                }
            }
        });
        Ok(head?)
    }

    /// Returns settings for one more daemon.
    pub fn settings(&self, index: usize, data_centre: &str, threads: usize) -> Result<Settings> {
        let data_centre: DataCentre = data_centre.parse()?;
        Ok(Settings {
            name: format!("{data_centre}-{index}").parse()?,
            data_centre,
            region: "local".parse()?,
            callers: loopback(),
            operators: loopback(),
            peers: loopback(),
            traffic_threads: threads,
            drain_timeout: Duration::from_secs(10),
            platform: self.platform_server.url().into(),
            calls_per_second: CALLS_PER_SECOND,
            claims: Config::default(),
            operator_token: OPERATOR_TOKEN.into(),
            peer_key: [7; 32],
            seeds: self.daemons.iter().take(SEEDS).map(Daemon::peers).collect(),
            heartbeat: HEARTBEAT,
        })
    }

    pub fn add_daemon(&mut self, data_centre: &str, threads: usize) -> Result<()> {
        let settings = self.settings(self.daemons.len(), data_centre, threads)?;
        self.add_daemon_with(&settings)
    }

    /// Starts a daemon with the given settings.
    pub fn add_daemon_with(&mut self, settings: &Settings) -> Result<()> {
        self.daemons.push(Daemon::start(settings)?);
        Ok(())
    }

    /// Waits until each daemon is ready and has received a host list that is not empty.
    pub fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let is_ready = |daemon: &Daemon| daemon.ready() && !daemon.snapshot().hosts.is_empty();
        while !self.daemons.iter().all(is_ready) {
            if Instant::now() > deadline {
                bail!("the daemons are not ready after {READY_TIMEOUT:?}");
            }
            std::thread::sleep(READY_POLL);
        }
        Ok(())
    }
}

/// Returns the wall-clock time.
pub fn now() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since.as_millis() as u64)
}

/// Returns the loopback address with port 0, so that the system chooses the port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start_upstream(plan: &UpstreamPlan, index: usize, engine: EngineConfig) -> Result<Upstream> {
    let (standin, running) = if plan.engine {
        let engine = Engine::new(engine);
        let running = engine.start(loopback())?;
        (Standin::Engine(engine), running)
    } else {
        let plain = Plain::new();
        let running = plain.start(loopback())?;
        (Standin::Plain(plain), running)
    };
    let data_centre: DataCentre = plan.data_centres[index % plan.data_centres.len()].parse()?;
    let name = format!("{}-{}-{index}", plan.service, plan.version);
    let record = HostRecord {
        host: name.parse()?,
        upstream: name.parse()?,
        address: running.address(),
        zone: data_centre.as_str().parse()?,
        data_centre,
        class: "standard".parse()?,
        kind: HostKind::Reclaimable,
        service: plan.service.parse()?,
        version: plan.version.parse()?,
        state: HostState::Live,
    };
    Ok(Upstream { record, standin, running: Some(running) })
}
