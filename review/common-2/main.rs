//! Stand-ins and checks of the cases in `review/6` to `review/10`. Standard library only.
//!
//! `stand-ins CASE RECORD` runs a case from the root of the repository. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod directory;
mod gateway;
mod http;
mod leaving;
mod memory;
mod platform;
mod streams;

use std::{
    fs::File,
    io::Write as _,
    panic, process,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// A case that takes longer has not run.
const TIME_LIMIT: Duration = Duration::from_secs(100);

/// The record of one run: what was sent, answered and run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:8.3} {text}", self.began.elapsed().as_secs_f64()).unwrap();
    }
}

/// A small generator of random numbers, seeded by the clock.
pub struct Random(u64);

impl Random {
    pub fn new(salt: u64) -> Self {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        Self((now.as_nanos() as u64) ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit
    }

    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }

    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

/// Prints a line, unless nobody reads standard output.
pub fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, record) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let file = File::create(&record).unwrap_or_else(|error| {
        eprintln!("cannot write {record}: {error}");
        process::exit(2);
    });
    let record: &'static Record =
        Box::leak(Box::new(Record { began: Instant::now(), file: Mutex::new(file) }));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption: {trouble}"));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        gateway::kill_all();
        say("the case took too long");
        process::exit(2);
    });
    let run = || match case.as_str() {
        "directory" => directory::run(record, trouble),
        "leaving" => leaving::run(record, trouble),
        "memory" => memory::run(record, trouble),
        "streams" => streams::run(record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let result = panic::catch_unwind(run).unwrap_or_else(|_| Err("a stand-in failed".into()));
    gateway::kill_all();
    let code = match result {
        Ok(broken) if broken.is_empty() => {
            record.line("RESULT the rule held");
            say("the rule held");
            0
        }
        Ok(broken) => {
            record.line(&format!("RESULT the rule was broken: {broken}"));
            say(&format!("the rule was broken: {broken}"));
            1
        }
        Err(error) => {
            record.line(&format!("RESULT the case could not run: {error}"));
            say(&format!("the case could not run: {error}"));
            2
        }
    };
    // Threads of stand-ins end with the process.
    process::exit(code);
}
