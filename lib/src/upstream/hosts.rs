//! Keeps the host list up to date by long polling the platform.

use std::{sync::Arc, time::Duration};

use crate::{
    ids::{CallId, Revision},
    store::{CallError, Operation, Priority, Reply},
    units::Time,
    upstream::HostRecord,
};

/// Time for which the platform may hold a call until the list has changed.
const LIST_WAIT: Duration = Duration::from_secs(20);
/// Delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// An input of [`HostList`].
#[derive(Clone, Debug)]
pub enum Event {
    Started,
    /// A call has returned.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time returned by [`HostList::next_wakeup`] has been reached.
    Woken,
}

/// An action that [`HostList`] requests.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and report the result by [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
    /// The host list has changed.
    Changed(Arc<[HostRecord]>),
}

/// Reads the host list for one daemon.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    revision: Revision,
    call: CallId,
    wakeup: Option<Time>,
}

impl HostList {
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns when [`Event::Woken`] is due; `None` if no retry is scheduled.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.wakeup
    }

    /// Handles an event and appends the resulting effects.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Started => self.request_list(out),
            Event::Woken if self.wakeup.is_some_and(|at| at <= now) => self.request_list(out),
            Event::CallEnded(call, result) if call == self.call => self.on_reply(now, result, out),
            Event::CallEnded(..) | Event::Woken => {}
        }
    }

    fn request_list(&mut self, out: &mut Vec<Effect>) {
        self.wakeup = None;
        self.call = self.call.next();
        let operation =
            Operation::Hosts { data_centre: None, after: self.revision, wait: LIST_WAIT };
        out.push(Effect::Call(self.call, Priority::Configuration, operation));
    }

    fn on_reply(&mut self, now: Time, result: Result<Reply, CallError>, out: &mut Vec<Effect>) {
        match result {
            Ok(Reply::Hosts { revision, hosts }) => {
                if revision != self.revision {
                    self.revision = revision;
                    out.push(Effect::Changed(hosts.into()));
                }
                self.request_list(out);
            }
            Ok(_) | Err(_) => self.wakeup = Some(now + RETRY_DELAY),
        }
    }
}
