//! Defines the named scenarios: their upstreams, callers, declarations and faults.

use std::{fmt, str::FromStr, time::Duration};

use dogwoodturn::units::WallTime;
use dogwoodturn_standins::{
    engine::{
        faults::{Bad, BadKind, Faults as EngineFaults},
        model::EngineConfig,
    },
    platform::Faults as PlatformFaults,
};
use eyre::{Report, eyre};

use crate::{
    local::{LocalFleet, Standin, UpstreamPlan},
    sample::{self, LK_CENTRAL},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No faults.
    Steady,
    /// A third of the engines of one service is reclaimed with 10 s of notice.
    Wave,
    /// The platform is unavailable for 5 s.
    Outage,
    /// A service moves to a version that fails every request.
    BadVersion,
    /// About six times as many callers, on slower engines with smaller batches.
    Overload,
    /// A daemon is shut down gracefully.
    DaemonLoss,
}

/// All scenarios, in the order of the report.
pub const ALL: [Scenario; 6] = [
    Scenario::Steady,
    Scenario::Wave,
    Scenario::Outage,
    Scenario::BadVersion,
    Scenario::Overload,
    Scenario::DaemonLoss,
];

/// A fault that is injected at a set time.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Announces that a share of a service's hosts will leave.
    Announce {
        service: &'static str,
        /// The share, from 0 to 1.
        share: f64,
        /// How long until they leave.
        after: Duration,
    },
    /// Stops the hosts that were announced.
    Reclaim,
    Platform(PlatformFaults),
    /// Shuts a daemon down gracefully.
    Drain,
}

/// The callers of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct CallerPlan {
    /// Callers that send short urgent requests, bookings among them.
    pub urgent: usize,
    /// Callers that send requests with long responses.
    pub batch: usize,
    /// Tokens of a long response.
    pub long_tokens: u64,
}

impl Scenario {
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Wave => "wave",
            Self::Outage => "outage",
            Self::BadVersion => "bad-version",
            Self::Overload => "overload",
            Self::DaemonLoss => "daemon-loss",
        }
    }

    /// Returns how long the callers send requests.
    pub fn duration(self) -> Duration {
        match self {
            Self::BadVersion => Duration::from_secs(30),
            Self::Wave => Duration::from_secs(25),
            _ => Duration::from_secs(12),
        }
    }

    pub fn upstreams(self) -> Vec<UpstreamPlan> {
        let mut plans = sample::UPSTREAMS.to_vec();
        if self == Self::BadVersion {
            plans.push(UpstreamPlan {
                service: "appraiser-llm",
                version: "v2",
                engine: true,
                count: 6,
                data_centres: &LK_CENTRAL,
            });
        }
        plans
    }

    /// Returns the speed and capacity of the engines.
    pub fn engine(self) -> EngineConfig {
        match self {
            Self::Overload => EngineConfig { max_batch: 4, ..EngineConfig::default() },
            _ => EngineConfig { step: Duration::from_millis(4), ..EngineConfig::fast() },
        }
    }

    pub fn callers(self) -> CallerPlan {
        match self {
            Self::Overload => CallerPlan { urgent: 120, batch: 80, long_tokens: 100 },
            Self::Wave => CallerPlan { urgent: 24, batch: 24, long_tokens: 3000 },
            _ => CallerPlan { urgent: 24, batch: 8, long_tokens: 300 },
        }
    }

    /// Returns the declarations in addition to the samples.
    pub fn declarations(self, begin: WallTime) -> String {
        if self != Self::BadVersion {
            return String::new();
        }
        let start = begin + Duration::from_secs(3);
        let finish_by = begin + Duration::from_secs(40);
        format!(
            "[version appraiser-llm/v2]\n[move appraiser-llm-v2]\nservice = appraiser-llm\n\
             from = v1\nto = v2\nstart = {start}\nfinish-by = {finish_by}\nwatch = 5s\n"
        )
    }

    /// Sets the faults that hold from the start.
    pub fn prepare(self, fleet: &LocalFleet) {
        let bad = Bad { kind: BadKind::Fail, after_ms: 0, above_running: 0, path: String::new() };
        for up in &fleet.upstreams {
            if let Standin::Engine(engine) = &up.standin
                && up.record.version.as_str() == "v2"
            {
                engine
                    .set_faults(EngineFaults { bad: Some(bad.clone()), ..EngineFaults::default() });
            }
        }
    }

    /// Returns the faults with their times since the start, in order of time.
    pub fn faults(self) -> Vec<(Duration, Fault)> {
        let at = Duration::from_secs;
        let outage = PlatformFaults { outage: true, ..PlatformFaults::default() };
        match self {
            Self::Steady | Self::BadVersion | Self::Overload => Vec::new(),
            Self::Wave => {
                let after = Duration::from_secs(10);
                let share = 1.0 / 3.0;
                let announce = Fault::Announce { service: "lantern", share, after };
                vec![(at(4), announce), (at(14), Fault::Reclaim)]
            }
            Self::Outage => vec![
                (at(3), Fault::Platform(outage)),
                (at(8), Fault::Platform(PlatformFaults::default())),
            ],
            Self::DaemonLoss => vec![(at(4), Fault::Drain)],
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Scenario {
    type Err = Report;

    fn from_str(text: &str) -> Result<Self, Report> {
        let found = ALL.into_iter().find(|scenario| scenario.name() == text);
        let names = ALL.map(Scenario::name).join(", ");
        found.ok_or_else(|| eyre!("unknown scenario {text:?}; expected all, {names}"))
    }
}
