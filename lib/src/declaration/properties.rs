//! The objects of a set as the keys and values of the files that declare them.

use std::time::Duration;

use crate::declaration::{Customer, Move, Route, Service, Version};

/// A key and its value; `None` if an optional key is not set.
pub type Property = (Box<str>, Option<Box<str>>);

/// An object that can be written as the properties of a section.
pub trait Properties {
    /// Returns all properties in the order of the documentation, defaults included.
    fn properties(&self) -> Vec<Property>;
}

fn set(key: &str, value: &impl ToString) -> Property {
    (key.into(), Some(value.to_string().into()))
}

fn optional(key: &str, value: Option<impl ToString>) -> Property {
    (key.into(), value.map(|value| value.to_string().into()))
}

fn duration(key: &str, value: Duration) -> Property {
    set(key, &humantime::format_duration(value))
}

impl Properties for Service {
    fn properties(&self) -> Vec<Property> {
        // Without `..`, a field that is added to the type cannot be forgotten here.
        let Self {
            name: _,
            kind,
            version,
            retry_policy,
            retry_policy_by_method,
            checks_fencing,
            reports_load,
            target,
            supply,
        } = self;
        let mut properties =
            vec![set("kind", kind), set("version", version), set("repeat", retry_policy)];
        for (method, policy) in retry_policy_by_method {
            properties.push(set(&format!("repeat-{}", method.to_ascii_lowercase()), policy));
        }
        properties.extend([
            set("checks-fencing", checks_fencing),
            set("reports-load", reports_load),
            duration("first-token", target.first_token),
            duration("between-tokens", target.between_tokens),
            set("managed", &supply.managed),
            set("paused", &supply.paused),
            set("smallest", &supply.smallest),
            set("largest", &supply.largest),
            optional("budget-per-hour", supply.budget),
        ]);
        properties
    }
}

impl Properties for Version {
    fn properties(&self) -> Vec<Property> {
        let Self { service: _, name: _, model } = self;
        vec![optional("model", model.as_ref())]
    }
}

impl Properties for Route {
    fn properties(&self) -> Vec<Property> {
        let Self { name: _, path, service, class, deadline } = self;
        vec![
            set("path", path),
            set("service", service),
            set("class", class),
            duration("deadline", *deadline),
        ]
    }
}

impl Properties for Move {
    fn properties(&self) -> Vec<Property> {
        let Self { name: _, service, from, to, start, finish_by, watch } = self;
        vec![
            set("service", service),
            set("from", from),
            set("to", to),
            set("start", start),
            set("finish-by", finish_by),
            duration("watch", *watch),
        ]
    }
}

impl Properties for Customer {
    fn properties(&self) -> Vec<Property> {
        let Self { name: _, weight, token_sha256 } = self;
        vec![set("weight", weight), set("token-sha256", &hex::encode(token_sha256))]
    }
}
