//! The memory and processor time of this process.

use std::{fs, io, time::Duration};

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next());
    let kilobytes: Option<u64> = kilobytes.and_then(|number| number.parse().ok());
    kilobytes.map(|kb| kb * 1024).ok_or_else(|| io::Error::other("VmRSS is missing"))
}

/// Returns the processor time that this process has spent, in user mode and in the kernel.
pub fn processor_time() -> io::Result<Duration> {
    /// The clock ticks in a second that Linux reports processor time in.
    const TICKS_PER_SECOND: u64 = 100;
    let stat = fs::read_to_string("/proc/self/stat")?;
    // The name of the process stands in brackets and may hold blanks; fields are counted after it.
    let fields = stat.rsplit_once(") ").map(|(_, rest)| rest).unwrap_or_default();
    let mut ticks = fields.split_whitespace().skip(11).map_while(|field| field.parse::<u64>().ok());
    let (Some(user), Some(kernel)) = (ticks.next(), ticks.next()) else {
        return Err(io::Error::other("the processor time is missing"));
    };
    Ok(Duration::from_millis((user + kernel) * 1000 / TICKS_PER_SECOND))
}
