//! Reads the memory and CPU time of this process.

use std::{fs, io, time::Duration};

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next());
    let kilobytes: Option<u64> = kilobytes.and_then(|number| number.parse().ok());
    kilobytes
        .map(|kb| kb * 1024)
        .ok_or_else(|| io::Error::other("VmRSS is missing in /proc/self/status"))
}

/// Returns the CPU time of this process, in user mode and in the kernel.
pub fn cpu_time() -> io::Result<Duration> {
    /// Clock ticks per second in which Linux reports CPU time.
    const TICKS_PER_SECOND: u64 = 100;
    let stat = fs::read_to_string("/proc/self/stat")?;
    // The process name is in parentheses and may contain spaces, so fields are counted after it.
    let fields = stat.rsplit_once(") ").map(|(_, rest)| rest).unwrap_or_default();
    let mut ticks = fields.split_whitespace().skip(11).map_while(|field| field.parse::<u64>().ok());
    let (Some(user), Some(kernel)) = (ticks.next(), ticks.next()) else {
        return Err(io::Error::other("the CPU time is missing in /proc/self/stat"));
    };
    Ok(Duration::from_millis((user + kernel) * 1000 / TICKS_PER_SECOND))
}
