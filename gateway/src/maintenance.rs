//! Periodic evaluation of everything that depends on time.

use std::{rc::Rc, time::Duration};

use tokio::time::interval;

use crate::{
    gateway::{Gateway, State},
    leader,
};

/// Interval of the evaluation.
const TICK: Duration = Duration::from_millis(200);

/// Evaluates time-dependent state until the daemon ends.
pub async fn run(cx: Rc<Gateway>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let now = cx.now();
        let expired = {
            let mut state = cx.state.borrow_mut();
            let rank = state.peer_table.rank(now);
            let silence_timeout = state.peer_table.silence_timeout();
            state.lease.set_succession(rank, silence_timeout);
            let first_read = cx.startup.first_lease_read(state.peer_table.size());
            state.lease.set_first_read(first_read);
            state.decide_hub(now);
            assume_bursts_spent(&mut state);
            state.update_crash_evidence(now);
            state.update_upstream_limits(now);
            state.update_warm_ups(now);
            state.update_paces();
            cx.metrics.ramping_upstreams.set(state.update_ramps(now).into());
            state.update_brittle(now);
            state.send_delays.expire(now);
            state.directory.evict_expired(now)
        };
        cx.update_contention(now);
        if cx.peer_traffic.borrow_mut().log(now) {
            let mut state = cx.state.borrow_mut();
            let daemons = state.peer_table.size();
            state.retries.log(now, daemons);
        }
        {
            let mut pool = cx.pool.borrow_mut();
            pool.evict_idle(now);
            for upstream in &expired {
                pool.remove_upstream(upstream);
                cx.state.borrow_mut().reset_upstream(upstream);
            }
        }
        leader::run_duties(&cx);
    }
}

/// Counts this daemon's shares of the customers' bursts as used by its previous run.
fn assume_bursts_spent(state: &mut State) {
    let Some(table) = state.active_table().cloned() else { return };
    let daemons = state.peer_table.size();
    for customer in table.customers.values() {
        if let Some(quota) = customer.quota {
            state.quotas.assume_burst_spent(&customer.name, quota, daemons);
        }
    }
}
