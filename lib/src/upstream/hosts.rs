//! Follows the platform's host list.

use std::{sync::Arc, time::Duration};

use crate::{
    ids::{CallId, Revision},
    store::{CallError, Operation, Priority, Reply},
    units::Time,
    upstream::HostRecord,
};

/// How long the platform may hold a call for a newer list.
const LIST_WAIT: Duration = Duration::from_secs(20);
/// How long to wait after a call that failed.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// An input of [`HostList::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The daemon has started.
    Started,
    /// A call has ended.
    CallEnded(CallId, Result<Reply, CallError>),
    /// The time returned by [`HostList::next_wakeup`] has been reached.
    Woken,
}

/// An output of [`HostList::handle`], to be executed by the caller.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Call the platform and answer with [`Event::CallEnded`].
    Call(CallId, Priority, Operation),
    /// The list has changed.
    Changed(Arc<[HostRecord]>),
}

/// The host list as one daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    revision: Revision,
    call: CallId,
    wakeup: Option<Time>,
}

impl HostList {
    /// Creates an empty host list, before its first event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns when [`Event::Woken`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        self.wakeup
    }

    /// Takes an event and adds the effects that follow from it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Started => self.ask(out),
            Event::Woken if self.wakeup.is_some_and(|at| at <= now) => self.ask(out),
            Event::CallEnded(call, result) if call == self.call => self.called(now, result, out),
            Event::CallEnded(..) | Event::Woken => {}
        }
    }

    fn ask(&mut self, out: &mut Vec<Effect>) {
        self.wakeup = None;
        self.call = self.call.next();
        let operation =
            Operation::Hosts { data_centre: None, after: self.revision, wait: LIST_WAIT };
        out.push(Effect::Call(self.call, Priority::Configuration, operation));
    }

    fn called(&mut self, now: Time, result: Result<Reply, CallError>, out: &mut Vec<Effect>) {
        match result {
            Ok(Reply::Hosts { revision, hosts }) => {
                if revision != self.revision {
                    self.revision = revision;
                    out.push(Effect::Changed(hosts.into()));
                }
                self.ask(out);
            }
            Ok(_) | Err(_) => self.wakeup = Some(now + RETRY_WAIT),
        }
    }
}
