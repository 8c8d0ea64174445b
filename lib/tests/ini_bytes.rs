//! Declarations of any text: a set or faults with places in the text, never a panic.

use dogwoodturn::{
    declaration::{check, wire},
    ini::Source,
};
use quickcheck::{Arbitrary, Gen};

/// Runs with each of this many seeds, or `DOGWOODTURN_SEEDS` if it is set.
const SEEDS: u64 = 2000;
/// How many pieces a text has at most.
const SIZE: usize = 60;
const PIECES: [&str; 26] = [
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

fn text(seed: u64) -> String {
    let mut g = Gen::from_size_and_seed(SIZE, seed);
    let mut text = String::new();
    for _ in 0..usize::arbitrary(&mut g) % SIZE {
        if u8::arbitrary(&mut g) < 32 {
            text.push(char::arbitrary(&mut g));
        } else {
            text.push_str(g.choose(&PIECES).expect("there are pieces"));
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
fn check_any_text_gives_a_set_or_faults() {
    for seed in 0..seeds() {
        let text = text(seed);
        let lines = text.split('\n').count() + 1;
        let source = Source { file: "any.ini".into(), text: text.as_str().into() };
        match check::check(&[source]) {
            Ok(checked) => {
                let (_, encoded) = wire::encode_set(&checked.set);
                let decoded = wire::decode_set(&encoded);
                assert_eq!(decoded.as_ref(), Ok(&checked.set), "seed {seed}: {text:?}");
            }
            Err(faults) => {
                assert!(!faults.is_empty(), "seed {seed}: {text:?}");
                let in_text = faults.iter().all(|fault| fault.location.line <= lines);
                assert!(in_text, "seed {seed}: {faults:?} of {text:?}");
            }
        }
    }
}

#[test]
fn decode_any_bytes_is_a_set_or_an_error() {
    for seed in 0..seeds() {
        let mut g = Gen::from_size_and_seed(SIZE, seed);
        let bytes = Vec::<u8>::arbitrary(&mut g);
        // A panic is what this looks for; any result is right.
        let _ = wire::decode_set(&bytes);
        let _ = wire::decode::<wire::HeadWire>(&bytes);
    }
}
