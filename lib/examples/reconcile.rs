//! Simulates the network cost of set reconciliation methods for sets of this project's sizes.
//!
//! `cargo run --release -p dogwoodturn --example reconcile` prints the bytes needed to find out
//! which records differ. The differing records themselves are not counted, since every method sends
//! them; the equal records that the bucket method sends as well are counted. See
//! `docs/design/reconciliation.md`.

use std::collections::HashSet;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const RUNS: u64 = 20;
const BUCKETS: u64 = 32;
const DIGEST_BYTES: f64 = 8.0;
/// A cell consists of the XOR of digests, the XOR of their hashes, and a count.
const CELL_BYTES: f64 = 8.0 + 8.0 + 2.0;
/// The average number of cells per difference, used by the stop rule of the hybrid method.
const CELLS_PER_DIFFERENCE: f64 = 1.35;

struct Case {
    name: &'static str,
    records: u64,
    record_bytes: f64,
    differing: u64,
}

fn main() {
    let case =
        |name, records, record_bytes, differing| Case { name, records, record_bytes, differing };
    let cases = [
        case("members, one restarted", 670, 70.0, 1),
        case("members, one region back", 670, 70.0, 134),
        case("members, all restarted", 670, 70.0, 670),
        case("objects, 10 changes behind", 2_000, 120.0, 10),
        case("objects, one hour behind", 2_000, 120.0, 800),
    ];
    println!(
        "{:<28} {:>8} {:>8} {:>10} {:>10} {:>10} {:>12}",
        "set", "records", "differ", "buckets B", "rateless B", "hybrid B", "whole list B"
    );
    for case in &cases {
        let mut totals = [0.0; 3];
        for seed in 0..RUNS {
            let (a, b) = replicas(case, seed);
            totals[0] += buckets(case, &a, &b);
            totals[1] += rateless(&a, &b);
            totals[2] += hybrid(&a, &b);
        }
        let [buckets, rateless, hybrid] = totals.map(|total| total / RUNS as f64);
        let whole = case.records as f64 * case.record_bytes;
        println!(
            "{:<28} {:>8} {:>8} {buckets:>10.0} {rateless:>10.0} {hybrid:>10.0} {whole:>12.0}",
            case.name, case.records, case.differing
        );
    }
}

/// Generates the digests of two replicas; where they differ, each has a record of its own.
fn replicas(case: &Case, seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let common: Vec<u64> = (case.differing..case.records).map(|_| rng.random()).collect();
    let own = |rng: &mut Pcg64| {
        let own = (0..case.differing).map(|_| rng.random()).collect::<Vec<u64>>();
        own.into_iter().chain(common.iter().copied()).collect::<Vec<u64>>()
    };
    let a = own(&mut rng);
    (a, own(&mut rng))
}

/// Returns the bytes of the bucket method: the digests of all buckets, and in both directions the
/// equal records of the buckets that differ, which are sent needlessly.
fn buckets(case: &Case, a: &[u64], b: &[u64]) -> f64 {
    // Differing records have the same name and so fall into the same bucket.
    let bucket = |index: usize| xxh3_64_with_seed(&index.to_be_bytes(), 0) % BUCKETS;
    let differs = |index: &usize| a[*index] != b[*index];
    let differing_buckets: HashSet<u64> = (0..a.len()).filter(differs).map(bucket).collect();
    let needless_records =
        (0..a.len()).filter(|index| !differs(index) && differing_buckets.contains(&bucket(*index)));
    BUCKETS as f64 * DIGEST_BYTES + needless_records.count() as f64 * case.record_bytes * 2.0
}

#[derive(Clone, Copy, Default)]
struct Cell {
    sum: u64,
    check: u64,
    count: i64,
}

/// The indexes of the cells of one digest: cell 0, then ever sparser ones.
struct Cells {
    state: u64,
    next: u64,
}

impl Cells {
    fn of(digest: u64) -> Self {
        Self { state: digest, next: 0 }
    }

    fn advance(&mut self) {
        self.state = xxh3_64_with_seed(&self.state.to_be_bytes(), 9);
        let part = (self.state as f64 + 1.0) / 18_446_744_073_709_551_616.0;
        let skip = (1.5 + self.next as f64) * (1.0 / part.sqrt() - 1.0);
        self.next += skip.ceil().max(1.0) as u64;
    }
}

/// Returns the bytes of the cells of a rateless table that are needed to decode the difference.
fn rateless(a: &[u64], b: &[u64]) -> f64 {
    let left: HashSet<u64> = a.iter().copied().collect();
    let right: HashSet<u64> = b.iter().copied().collect();
    // Common digests cancel out in every cell.
    let difference: Vec<(u64, i64)> = (left.difference(&right).map(|&digest| (digest, 1)))
        .chain(right.difference(&left).map(|&digest| (digest, -1)))
        .collect();
    let mut size = 1;
    while !decodes(&difference, size) {
        size += 1 + size / 50;
    }
    size as f64 * CELL_BYTES
}

fn decodes(difference: &[(u64, i64)], size: u64) -> bool {
    let check = |digest: u64| xxh3_64_with_seed(&digest.to_be_bytes(), 7);
    let mut table = vec![Cell::default(); size as usize];
    let change =
        |table: &mut Vec<Cell>, digest: u64, count: i64, changed_cells: &mut Vec<usize>| {
            let mut cells = Cells::of(digest);
            while cells.next < size {
                let cell = &mut table[cells.next as usize];
                cell.sum ^= digest;
                cell.check ^= check(digest);
                cell.count += count;
                changed_cells.push(cells.next as usize);
                cells.advance();
            }
        };
    let mut candidates = Vec::new();
    for &(digest, count) in difference {
        change(&mut table, digest, count, &mut candidates);
    }
    let mut found = 0;
    while let Some(index) = candidates.pop() {
        let cell = table[index];
        if cell.count.abs() == 1 && cell.check == check(cell.sum) {
            found += 1;
            change(&mut table, cell.sum, -cell.count, &mut candidates);
        }
    }
    found == difference.len()
}

/// Returns the bytes of the hybrid method: one-hash filters in each direction until one saves
/// less than it costs, then a rateless table.
fn hybrid(a: &[u64], b: &[u64]) -> f64 {
    let (first, suspected_b) = filter(a, b);
    let (second, suspected_a) = filter(&suspected_b, a);
    first + second + rateless(&suspected_a, &suspected_b)
}

/// Sends filters of `from`; returns their bytes and the digests of `to` that pass all of them.
fn filter(from: &[u64], to: &[u64]) -> (f64, Vec<u64>) {
    let bits = (from.len() as f64 / std::f64::consts::LN_2).ceil().max(1.0) as u64;
    let bit_index =
        |digest: u64, slice: u64| xxh3_64_with_seed(&digest.to_be_bytes(), slice) % bits;
    let mut suspected = to.to_vec();
    let mut bytes = 0.0;
    for slice in 100.. {
        let set: HashSet<u64> = from.iter().map(|&digest| bit_index(digest, slice)).collect();
        let before = suspected.len();
        suspected.retain(|&digest| set.contains(&bit_index(digest, slice)));
        bytes += bits as f64 / 8.0;
        let revealed = (before - suspected.len()) as f64;
        if revealed * CELLS_PER_DIFFERENCE * CELL_BYTES < bits as f64 / 8.0 {
            break;
        }
    }
    (bytes, suspected)
}
