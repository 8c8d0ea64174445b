//! Divides a window of work among customers in proportion to their weights.

use indexmap::IndexMap;

use crate::ids::CustomerName;

/// The percentage of the window up to which any customer is admitted.
const UNRESTRICTED_PERCENT: u64 = 70;
/// The percentage of the window that total work may reach while customers above their share finish
/// theirs.
const MAX_PERCENT: u64 = 150;

/// The outstanding work, by customer.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    by_customer: IndexMap<Option<CustomerName>, u64>,
    total: u64,
}

impl Shares {
    /// Returns the outstanding work of all customers.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Reports whether a customer may add work.
    ///
    /// Up to `UNRESTRICTED_PERCENT` of the window every customer is admitted. Above it only
    /// customers below their share are, even while others exceed theirs, so that a large customer
    /// cannot lock out a small one. `MAX_PERCENT` bounds the total. If nothing is outstanding,
    /// one request of any size is admitted.
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

    pub fn add(&mut self, customer: Option<&CustomerName>, work: u64) {
        *self.by_customer.entry(customer.cloned()).or_insert(0) += work;
        self.total += work;
    }

    /// Removes work that was added by [`Shares::add`].
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

    /// Returns a customer's share of the window, relative to the customers with outstanding work.
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
