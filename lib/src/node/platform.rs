//! Routes platform calls through the platform client, which schedules them within its budget.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ids::{CallId, DaemonId},
    node::control::{CallOwner, Control, Output},
    store::{
        CallError, Reply,
        client::{self, Client, Effect},
    },
    units::Time,
};

/// Identifies a platform call by its owner and the id unique within the owner.
pub(super) type CallTag = (CallOwner, CallId);

impl Control {
    /// Sets the budget of calls to the platform; must be called before the first input.
    #[must_use]
    pub fn with_platform(mut self, cfg: client::Config, daemon: &DaemonId) -> Self {
        self.client = Client::new(cfg, xxh3_64(daemon.as_str().as_bytes()));
        self
    }

    /// Returns the numbers of issued and refused calls to the platform.
    pub fn platform_counts(&self) -> client::Counts {
        self.client.counts()
    }

    /// Queues the calls found in `out` and replaces them with the calls that may be issued now.
    pub(super) fn schedule_calls(&mut self, now: Time, out: &mut Vec<Output>) {
        for output in std::mem::take(out) {
            match output {
                Output::Call { owner, call, priority, operation } => {
                    self.client.submit(now, (owner, call), priority, operation);
                }
                output => out.push(output),
            }
        }
        let mut effects = Vec::new();
        self.client.advance(now, &mut effects);
        for effect in effects {
            match effect {
                Effect::Issue((owner, call), priority, operation) => {
                    out.push(Output::Call { owner, call, priority, operation });
                }
                // Delivered with the next input, because a component may retry immediately.
                Effect::Refuse(tag, error) => self.rejected_calls.push((tag, error)),
            }
        }
    }

    /// Delivers refused calls to the components that issued them.
    pub(super) fn deliver_rejected_calls(&mut self, now: Time, out: &mut Vec<Output>) {
        for ((owner, call), error) in std::mem::take(&mut self.rejected_calls) {
            self.deliver_call_result(now, owner, call, Err(error), out);
        }
    }

    pub(super) fn handle_call_result(
        &mut self,
        now: Time,
        tag: CallTag,
        result: Result<Reply, CallError>,
        out: &mut Vec<Output>,
    ) {
        self.client.ended(now, &tag, &result);
        self.deliver_call_result(now, tag.0, tag.1, result, out);
    }
}
