//! The sample fleets of both example users, with the declarations in `examples/`.

use dogwoodturn::{
    declaration::{DeclarationSet, check},
    ini::{ConfigError, Source},
};

use crate::local::UpstreamPlan;

/// Data centres of the `wayfarer` example.
pub const SALISH: [&str; 3] = ["salish-a", "salish-b", "salish-c"];
/// Data centres of the `clip-desk` example.
pub const LK_CENTRAL: [&str; 3] = ["kandy-a", "nuwara-b", "badulla-c"];

pub const UPSTREAMS: [UpstreamPlan; 4] = [
    UpstreamPlan {
        service: "lantern",
        version: "v1",
        engine: true,
        count: 10,
        data_centres: &SALISH,
    },
    UpstreamPlan {
        service: "ledger",
        version: "v1",
        engine: false,
        count: 3,
        data_centres: &SALISH,
    },
    UpstreamPlan {
        service: "appraiser-llm",
        version: "v1",
        engine: true,
        count: 12,
        data_centres: &LK_CENTRAL,
    },
    UpstreamPlan {
        service: "clip-ledger",
        version: "v1",
        engine: false,
        count: 3,
        data_centres: &LK_CENTRAL,
    },
];

macro_rules! example {
    ($file:literal) => {
        (concat!("examples/", $file), include_str!(concat!("../../examples/", $file)))
    };
}

const FILES: [(&str, &str); 6] = [
    example!("wayfarer/services.ini"),
    example!("wayfarer/routes.ini"),
    example!("wayfarer/customers.ini"),
    example!("clip-desk/services.ini"),
    example!("clip-desk/routes.ini"),
    example!("clip-desk/customers.ini"),
];

/// Returns the declarations of both fleets as one set.
pub fn declarations() -> Result<DeclarationSet, Vec<ConfigError>> {
    declarations_with("")
}

/// Returns the declarations of both fleets and the additional ones in `further` as one set.
pub fn declarations_with(further: &str) -> Result<DeclarationSet, Vec<ConfigError>> {
    let source = |(file, text): (&str, &str)| Source { file: file.into(), text: text.into() };
    let files = FILES.into_iter().chain([("further.ini", further)]);
    let sources: Vec<Source> = files.map(source).collect();
    check::check(&sources).map(|checked| checked.set)
}
