//! Logs as one line of key=value pairs for each event, on standard output.
//!
//! Writing never blocks what it reports on: lines go into a bounded buffer that a thread of its
//! own empties. Each place in the code may write a bounded number of lines a second; what was left
//! out is counted and told in a line of its own.

use std::{
    io::Write as _,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use logforth::{
    Diagnostic, Error, append::Append, filter::rustlog::RustLogFilterBuilder, layout::Layout,
    layout::LogfmtLayout, record::Record,
};

/// The bytes that may wait for a slow reader of standard output.
const MAX_WAITING: usize = 256 * 1024;
/// The lines that one place in the code may write in a second: every request of a small daemon.
const MAX_LINES_PER_SECOND: u32 = 120;
/// How often the buffer is emptied.
const WRITE_EVERY: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Shared {
    waiting: Vec<u8>,
    lines: IndexMap<u32, u32>,
    left_out: u64,
    counted_from: Option<Instant>,
}

/// Collects lines for the thread that writes them.
#[derive(Debug)]
struct Buffered {
    layout: LogfmtLayout,
    shared: Arc<Mutex<Shared>>,
}

impl Append for Buffered {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let second = Duration::from_secs(1);
        if shared.counted_from.is_none_or(|from| from.elapsed() >= second) {
            shared.counted_from = Some(Instant::now());
            shared.lines.clear();
        }
        let place = record.line().unwrap_or_default();
        let lines = shared.lines.entry(place).or_default();
        *lines += 1;
        if *lines > MAX_LINES_PER_SECOND || shared.waiting.len() + line.len() > MAX_WAITING {
            shared.left_out += 1;
            return Ok(());
        }
        shared.waiting.extend_from_slice(&line);
        shared.waiting.push(b'\n');
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        write_waiting(&self.shared);
        Ok(())
    }
}

/// Writes what waits; the buffer is free for new lines while the reader is slow.
fn write_waiting(shared: &Mutex<Shared>) {
    let (lines, left_out) = {
        let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
        (std::mem::take(&mut shared.waiting), std::mem::take(&mut shared.left_out))
    };
    let mut out = std::io::stdout();
    // Nobody could be told that standard output is gone.
    let _ = out.write_all(&lines);
    if left_out > 0 {
        let _ = writeln!(out, "event=lines-left-out count={left_out}");
    }
    let _ = out.flush();
}

/// Sends the logs of this process to standard output; call [`flush`] before it ends.
pub fn init() {
    let shared = Arc::new(Mutex::new(Shared::default()));
    let writer = shared.clone();
    let spawned = thread::Builder::new().name("logs".into()).spawn(move || {
        loop {
            thread::sleep(WRITE_EVERY);
            write_waiting(&writer);
        }
    });
    if let Err(error) = spawned {
        eprintln!("event=no-log-thread error={error}");
    }
    let layout = LogfmtLayout::default();
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(Buffered { layout, shared })
        })
        .apply();
}

/// Writes what waits.
pub fn flush() {
    log::logger().flush();
}
