//! Hosts, prices, leases and orders to engines.
