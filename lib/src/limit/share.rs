//! Divides a window of work among customers by weight.

use indexmap::IndexMap;

use crate::ids::CustomerName;

/// The part of the window up to which any customer may use it, in percent.
const UNRESTRICTED_PERCENT: u64 = 70;
/// The most that may be outstanding while customers above their share give back, in percent.
const MAX_PERCENT: u64 = 150;

/// The work outstanding, by customer.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    by_customer: IndexMap<Option<CustomerName>, u64>,
    total: u64,
}

impl Shares {
    /// Returns the work outstanding.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Says whether a customer may add work.
    ///
    /// Up to [`OPEN_PERCENT`] of the window anyone may. Beyond it only customers below their share
    /// may, even if others hold more than theirs at the moment, so that a large customer cannot
    /// keep a small one out; [`FULL_PERCENT`] bounds what that adds. One request may always go on.
    pub fn can_admit(
        &self,
        customer: Option<&CustomerName>,
        work: u64,
        window: u64,
        weight: &dyn Fn(&CustomerName) -> u32,
    ) -> bool {
        if self.total == 0 {
            return true;
        }
        if (self.total + work) * 100 <= window * UNRESTRICTED_PERCENT {
            return true;
        }
        if (self.total + work) * 100 > window * MAX_PERCENT {
            return false;
        }
        let used = self.used(customer);
        used + work <= self.share(customer, window, weight)
    }

    /// Adds work of a customer.
    pub fn add(&mut self, customer: Option<&CustomerName>, work: u64) {
        *self.by_customer.entry(customer.cloned()).or_insert(0) += work;
        self.total += work;
    }

    /// Removes work that was added.
    pub fn remove(&mut self, customer: Option<&CustomerName>, work: u64) {
        let customer = customer.cloned();
        if let Some(used) = self.by_customer.get_mut(&customer) {
            *used = used.saturating_sub(work);
            if *used == 0 {
                self.by_customer.swap_remove(&customer);
            }
        }
        self.total = self.total.saturating_sub(work);
    }

    fn used(&self, customer: Option<&CustomerName>) -> u64 {
        self.by_customer.get(&customer.cloned()).copied().unwrap_or(0)
    }

    /// Returns a customer's share of the window among the customers that are active now.
    fn share(
        &self,
        customer: Option<&CustomerName>,
        window: u64,
        weight: &dyn Fn(&CustomerName) -> u32,
    ) -> u64 {
        let weight_of = |name: Option<&CustomerName>| u64::from(name.map_or(1, weight));
        let own_weight = weight_of(customer);
        let others = self.by_customer.keys().filter(|other| other.as_ref() != customer);
        let total_weight: u64 =
            others.map(|other| weight_of(other.as_ref())).sum::<u64>() + own_weight;
        (window * own_weight).div_ceil(total_weight.max(1))
    }
}
