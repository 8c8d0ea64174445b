//! Logs each event to standard output as one line of key=value pairs.
//!
//! Logging never blocks the calling thread on output: lines are added to a bounded buffer that a
//! separate thread writes. Each call site may log a bounded number of lines per second; dropped
//! lines are counted, and their number is logged in a separate line.

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

/// Limit on bytes that wait for a slow reader of standard output.
pub const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Limit on lines that one call site logs per second; enough for every request of a small daemon.
pub const MAX_LINES_PER_SECOND: u32 = 120;
/// Interval at which the buffer is written.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Lines that wait to be written, and the number of dropped lines.
#[derive(Debug, Default)]
pub struct LogBuffer {
    bytes: Vec<u8>,
    /// The lines of each call site in the current second, by a hash of the call site.
    lines: IndexMap<u64, u32>,
    dropped: u64,
    second_started: Option<Instant>,
}

impl LogBuffer {
    /// Adds a line from a call site, given as file and line number, or drops it if the limit of the
    /// call site or of the buffer is reached.
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

    /// Removes and returns the waiting bytes and the number of dropped lines.
    pub fn drain(&mut self) -> (Vec<u8>, u64) {
        (std::mem::take(&mut self.bytes), std::mem::take(&mut self.dropped))
    }
}

/// Formats lines and buffers them for the writing thread.
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

/// Writes the waiting lines. The buffer is not locked meanwhile, so that a slow reader blocks no
/// logging.
fn write_buffer(buffer: &Mutex<LogBuffer>) {
    let (lines, dropped) = lock(buffer).drain();
    let mut out = std::io::stdout();
    // An error cannot be reported, since standard output itself has failed.
    let _ = out.write_all(&lines);
    if dropped > 0 {
        let _ = writeln!(out, "event=lines-left-out count={dropped}");
    }
    let _ = out.flush();
}

/// Directs the logs of this process to standard output. [`flush`] must be called before it ends.
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

/// Writes the waiting lines.
pub fn flush() {
    log::logger().flush();
}
