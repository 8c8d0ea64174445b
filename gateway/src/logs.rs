//! Logs as one line of key=value pairs for each event, on standard output.
//!
//! Writing never blocks what it reports on: lines go into a bounded buffer that a thread of its
//! own empties. Each place in the code may write a bounded number of lines a second; what was left
//! out is counted and told in a line of its own.

use std::{
    io::Write as _,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use logforth::{
    Diagnostic, Error, append::Append, filter::rustlog::RustLogFilterBuilder, layout::Layout,
    layout::LogfmtLayout, record::Record,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The bytes that may wait for a slow reader of standard output.
pub const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// The lines that one place in the code may write in a second: every request of a small daemon.
pub const MAX_LINES_PER_SECOND: u32 = 120;
/// How often the buffer is emptied.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Lines that wait to be written, and the count of those that were left out.
#[derive(Debug, Default)]
pub struct LogBuffer {
    bytes: Vec<u8>,
    /// The lines of each place in the code in the current second, by a hash of the place.
    lines: IndexMap<u64, u32>,
    dropped: u64,
    second_started: Option<Instant>,
}

impl LogBuffer {
    /// Adds a line of a place, named by file and line, unless there are too many.
    pub fn add(&mut self, now: Instant, call_site: (&str, u32), line: &[u8]) {
        let second = Duration::from_secs(1);
        if self.second_started.is_none_or(|from| now.duration_since(from) >= second) {
            self.second_started = Some(now);
            self.lines.clear();
        }
        let call_site = xxh3_64_with_seed(call_site.0.as_bytes(), u64::from(call_site.1));
        let lines = self.lines.entry(call_site).or_default();
        *lines += 1;
        if *lines > MAX_LINES_PER_SECOND || self.bytes.len() + line.len() >= MAX_BUFFERED_BYTES {
            self.dropped += 1;
            return;
        }
        self.bytes.extend_from_slice(line);
        self.bytes.push(b'\n');
    }

    /// Takes what waits, with the number of lines that were left out.
    pub fn drain(&mut self) -> (Vec<u8>, u64) {
        (std::mem::take(&mut self.bytes), std::mem::take(&mut self.dropped))
    }
}

/// Collects lines for the thread that writes them.
#[derive(Debug)]
struct Buffered {
    layout: LogfmtLayout,
    buffer: Arc<Mutex<LogBuffer>>,
}

impl Append for Buffered {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        let call_site = (record.file().unwrap_or_default(), record.line().unwrap_or_default());
        lock(&self.buffer).add(Instant::now(), call_site, &line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        write_buffer(&self.buffer);
        Ok(())
    }
}

fn lock(buffer: &Mutex<LogBuffer>) -> MutexGuard<'_, LogBuffer> {
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes what waits; the buffer is free for new lines while the reader is slow.
fn write_buffer(buffer: &Mutex<LogBuffer>) {
    let (lines, dropped) = lock(buffer).drain();
    let mut out = std::io::stdout();
    // Nobody could be told that standard output is gone.
    let _ = out.write_all(&lines);
    if dropped > 0 {
        let _ = writeln!(out, "event=lines-left-out count={dropped}");
    }
    let _ = out.flush();
}

/// Sends the logs of this process to standard output; call [`flush`] before it ends.
pub fn init() {
    let buffer = Arc::new(Mutex::new(LogBuffer::default()));
    let writer = buffer.clone();
    let spawned = thread::Builder::new().name("logs".into()).spawn(move || {
        loop {
            thread::sleep(WRITE_INTERVAL);
            write_buffer(&writer);
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
                .append(Buffered { layout, buffer })
        })
        .apply();
}

/// Writes what waits.
pub fn flush() {
    log::logger().flush();
}
