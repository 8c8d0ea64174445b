//! Validation of random text returns a set or errors with lines in the text, and never panics.

use dogwoodturn::{
    declaration::{check, wire},
    ini::Source,
};
use quickcheck::{Arbitrary, Gen};

/// The number of seeds per test, unless `DOGWOODTURN_SEEDS` sets another.
const SEEDS: u64 = 2000;
/// The size parameter of the generator; a text has fewer fragments than this.
const GEN_SIZE: usize = 60;
const FRAGMENTS: [&str; 26] = [
    "[service a]",
    "[version a/v1]",
    "[route r]",
    "[move m]",
    "[customer c]",
    "[",
    "]",
    "\n",
    "\r\n",
    "=",
    " = ",
    ";",
    "#",
    "\"",
    "\\",
    "kind",
    "model",
    "repeat = safe",
    "version = v1",
    "path = /",
    "deadline = 99999999999999999999s",
    "finish-by = 2027-01-01T00:00:00Z",
    "watch = 1m",
    "\u{0}",
    "\u{feff}",
    "weight = -1",
];

fn random_text(seed: u64) -> String {
    let mut g = Gen::from_size_and_seed(GEN_SIZE, seed);
    let mut text = String::new();
    for _ in 0..usize::arbitrary(&mut g) % GEN_SIZE {
        if u8::arbitrary(&mut g) < 32 {
            text.push(char::arbitrary(&mut g));
        } else {
            text.push_str(g.choose(&FRAGMENTS).expect("the list of fragments is not empty"));
        }
        if bool::arbitrary(&mut g) {
            text.push('\n');
        }
    }
    text
}

fn seeds() -> u64 {
    std::env::var("DOGWOODTURN_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

#[test]
fn check_random_text_returns_set_or_errors() {
    for seed in 0..seeds() {
        let text = random_text(seed);
        let lines = text.split('\n').count() + 1;
        let source = Source { file: "any.ini".into(), text: text.as_str().into() };
        match check::check(&[source]) {
            Ok(validated) => {
                let (_, encoded) = wire::encode_set(&validated.set);
                let decoded = wire::decode_set(&encoded);
                assert_eq!(decoded.as_ref(), Ok(&validated.set), "seed {seed}: {text:?}");
            }
            Err(errors) => {
                assert!(!errors.is_empty(), "seed {seed}: {text:?}");
                let all_in_text = errors.iter().all(|error| error.location.line <= lines);
                assert!(all_in_text, "seed {seed}: {errors:?} of {text:?}");
            }
        }
    }
}

#[test]
fn decode_random_bytes_does_not_panic() {
    for seed in 0..seeds() {
        let mut g = Gen::from_size_and_seed(GEN_SIZE, seed);
        let bytes = Vec::<u8>::arbitrary(&mut g);
        // Any result is valid; the test fails only if decoding panics.
        let _ = wire::decode_set(&bytes);
        let _ = wire::decode::<wire::HeadWire>(&bytes);
    }
}
