//! Looks now and then at all that depends on time.

use std::{rc::Rc, time::Duration};

use tokio::time::interval;

use crate::{
    gateway::{Gateway, State},
    leader,
};

/// How often decisions that depend on time are looked at.
const TICK: Duration = Duration::from_millis(200);

/// Looks at what depends on time.
pub async fn keep_up(cx: Rc<Gateway>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let now = cx.now();
        let expired = {
            let mut state = cx.state.borrow_mut();
            let rank = state.peer_table.rank(now);
            let silence_timeout = state.peer_table.silence_timeout();
            state.lease.set_succession(rank, silence_timeout);
            state.decide_hub(now);
            assume_bursts_spent(&mut state);
            state.directory.evict_expired(now)
        };
        {
            let mut pool = cx.pool.borrow_mut();
            pool.sweep(now);
            for upstream in &expired {
                pool.forget(upstream);
                cx.state.borrow_mut().forget_upstream(upstream);
            }
        }
        leader::run_duties(&cx);
    }
}

/// Takes the parts of the customers' bursts as used that an earlier run of this daemon had.
fn assume_bursts_spent(state: &mut State) {
    let Some(table) = state.table_in_force().cloned() else { return };
    let daemons = state.peer_table.size();
    for customer in table.customers.values() {
        if let Some(quota) = customer.quota {
            state.quotas.assume_burst_spent(&customer.name, quota, daemons);
        }
    }
}
