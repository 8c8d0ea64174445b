//! Counts of the requests that started to run, by customer and wall clock window.
//!
//! Each daemon counts its own requests and reports the sums, which only grow, to its peers. The
//! leader adds them up, including the last reports of daemons that are gone.

use std::time::Duration;

use dogwoodturn::{
    ids::{CustomerName, DaemonId, Incarnation},
    units::WallTime,
};
use indexmap::IndexMap;

use crate::store::{RunCounts, UsageWindow};

/// Windows that are kept and reported; a window is reported at most two windows after its end.
const KEPT_WINDOWS: u64 = 4;

/// One run of a daemon.
pub type Run = (DaemonId, Incarnation);

/// The counts that are stored with the lease.
#[derive(Clone, Debug, Default)]
pub struct OpenCounts {
    pub runs: Vec<RunCounts>,
    /// Their length in the store, approximately.
    pub bytes: usize,
    /// Runs for which there was no space.
    pub left_out: usize,
}

/// The counts of all daemons.
#[derive(Clone, Debug)]
pub struct Usage {
    window: Duration,
    local: IndexMap<u64, IndexMap<CustomerName, u64>>,
    peers: IndexMap<Run, IndexMap<u64, IndexMap<CustomerName, u64>>>,
}

impl Usage {
    pub fn new(window: Duration) -> Self {
        Self { window, local: IndexMap::new(), peers: IndexMap::new() }
    }

    /// Changes the window length. Counts by the old length are dropped, since they fit no new
    /// window.
    pub fn set_window(&mut self, window: Duration) {
        if self.window != window {
            *self = Self::new(window);
        }
    }

    /// Returns the number of the window that contains a time.
    pub fn window_number(&self, at: WallTime) -> u64 {
        at.0 / (self.window.as_millis() as u64).max(1)
    }

    /// Returns the time since a window ended, or `None` if it has not.
    pub fn time_since_end(&self, number: u64, now: WallTime) -> Option<Duration> {
        let end = (number + 1) * self.window.as_millis() as u64;
        now.0.checked_sub(end).map(Duration::from_millis)
    }

    /// Counts a request that started to run.
    pub fn record_start(&mut self, at: WallTime, customer: &CustomerName) {
        let number = self.window_number(at);
        *self.local.entry(number).or_default().entry(customer.clone()).or_default() += 1;
        self.local.retain(|kept, _| kept + KEPT_WINDOWS > number);
    }

    /// Returns this daemon's counts, to be sent to the peers.
    pub fn local_counts(&self) -> Vec<(u64, Vec<(CustomerName, u64)>)> {
        let to_list = |counts: &IndexMap<CustomerName, u64>| {
            counts.iter().map(|(customer, count)| (customer.clone(), *count)).collect()
        };
        self.local.iter().map(|(number, counts)| (*number, to_list(counts))).collect()
    }

    /// Merges the counts of a peer's run; of two counts, the larger is the newer.
    pub fn apply_peer_counts(&mut self, run: Run, windows: &[(u64, Vec<(CustomerName, u64)>)]) {
        let kept = self.peers.entry(run).or_default();
        for (number, counts) in windows {
            let kept = kept.entry(*number).or_default();
            for (customer, count) in counts {
                let largest = kept.entry(customer.clone()).or_default();
                *largest = (*largest).max(*count);
            }
        }
        let newest = kept.keys().copied().max().unwrap_or(0);
        kept.retain(|number, _| number + KEPT_WINDOWS > newest);
    }

    /// Returns the counts of all runs from window `from` on, to be stored where they outlast the daemons, in at most
    /// `max_bytes`.
    ///
    /// Runs that report (`is_reporting`) come last: a later leader receives their counts again unless all daemons are
    /// lost at once, and it has no other source for those that are gone.
    pub fn open_counts(
        &self,
        own_run: &Run,
        from: u64,
        is_reporting: impl Fn(&Run) -> bool,
        max_bytes: usize,
    ) -> OpenCounts {
        let mut runs: Vec<_> = self.peers.iter().chain([(own_run, &self.local)]).collect();
        runs.sort_by_key(|(run, _)| is_reporting(run));
        let mut open = OpenCounts::default();
        for ((daemon, incarnation), windows) in runs {
            let windows = windows.iter().filter(|(number, _)| **number >= from);
            let windows: Vec<_> = windows
                .map(|(number, counts)| UsageWindow { number: *number, counts: counts.clone() })
                .collect();
            if windows.is_empty() {
                continue;
            }
            let run = RunCounts { daemon: daemon.clone(), incarnation: *incarnation, windows };
            let bytes = stored_bytes(&run);
            if open.bytes + bytes > max_bytes {
                open.left_out += 1;
                continue;
            }
            open.bytes += bytes;
            open.runs.push(run);
        }
        open
    }

    /// Merges stored counts, except those of this run, whose own counts are newer.
    pub fn restore(&mut self, own_run: &Run, runs: &[RunCounts]) {
        for run in runs {
            let key = (run.daemon.clone(), run.incarnation);
            if key == *own_run {
                continue;
            }
            let to_list = |window: &UsageWindow| {
                let counts = window.counts.iter().map(|(name, count)| (name.clone(), *count));
                (window.number, counts.collect())
            };
            let windows: Vec<_> = run.windows.iter().map(to_list).collect();
            self.apply_peer_counts(key, &windows);
        }
    }

    /// Sums one window over all runs.
    pub fn window_total(&self, number: u64) -> UsageWindow {
        let mut sum = UsageWindow { number, counts: IndexMap::new() };
        let peers = self.peers.values().filter_map(|windows| windows.get(&number));
        for counts in self.local.get(&number).into_iter().chain(peers) {
            for (customer, count) in counts {
                *sum.counts.entry(customer.clone()).or_default() += count;
            }
        }
        sum
    }
}

/// Returns the length of counts in the store: names, numbers and what stands between them in JSON.
fn stored_bytes(run: &RunCounts) -> usize {
    const RUN_BYTES: usize = 64;
    const WINDOW_BYTES: usize = 48;
    const COUNT_BYTES: usize = 5;
    let digits = |count: u64| count.checked_ilog10().unwrap_or(0) as usize;
    let count_bytes =
        |(name, count): (&CustomerName, &u64)| name.as_str().len() + COUNT_BYTES + digits(*count);
    let window_bytes =
        |window: &UsageWindow| WINDOW_BYTES + window.counts.iter().map(count_bytes).sum::<usize>();
    let windows: usize = run.windows.iter().map(window_bytes).sum();
    run.daemon.as_str().len() + RUN_BYTES + windows
}
