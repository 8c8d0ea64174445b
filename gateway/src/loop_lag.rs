//! How long the event loop has been busy with other work.
//!
//! Load pattern: a host whose processor is used up, or a process that was suspended. What callers sent
//! meanwhile waits in sockets, and a request that is read at last looks as if it had just arrived. Its
//! deadline may have passed, and its caller may have left.

use std::time::Duration;

use dogwoodturn::units::Time;

/// Lag that counts as none: timers fire late, and all work of one turn of the loop takes some time.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Lag that is logged; most callers notice it.
const LOGGED_LAG: Duration = Duration::from_millis(500);

/// The lag of the event loop, measured by regular ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLag {
    last_tick: Option<Time>,
    /// How late the last tick was.
    last_lag: Duration,
}

impl LoopLag {
    /// Records a tick, which should be one `period` after the last one. Returns how late it was if that has to be
    /// logged.
    pub fn tick(&mut self, now: Time, period: Duration) -> Option<Duration> {
        self.last_lag = self.overdue(now, period);
        self.last_tick = Some(now);
        (self.last_lag >= LOGGED_LAG).then_some(self.last_lag)
    }

    /// Returns how long what is read now may have waited; zero below a tolerance.
    ///
    /// In one turn of the loop, the tick may come before or after what is read.
    pub fn waiting_time(&self, now: Time, period: Duration) -> Duration {
        let lag = self.overdue(now, period).max(self.last_lag);
        if lag > TOLERANCE { lag } else { Duration::ZERO }
    }

    fn overdue(&self, now: Time, period: Duration) -> Duration {
        self.last_tick.map_or(Duration::ZERO, |at| now.since(at).saturating_sub(period))
    }
}
