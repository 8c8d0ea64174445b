//! The memory of this process.

use std::{fs, io};

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next());
    let kilobytes: Option<u64> = kilobytes.and_then(|number| number.parse().ok());
    kilobytes.map(|kb| kb * 1024).ok_or_else(|| io::Error::other("VmRSS is missing"))
}
