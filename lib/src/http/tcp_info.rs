//! What the system knows about the bytes of a connection on their way.
//!
//! Times that a process measures begin when it reads and end when it writes. What lies before and after, in the
//! buffers of sockets and on links, only the system sees. See `docs/design/platform.md`, "Time on the way".

use std::{os::fd::AsRawFd, time::Duration};

use uapi::c::{IPPROTO_TCP, TCP_INFO};

/// Length of the part of the kernel's `struct tcp_info` that is read. Later kernels only append to it.
const TCP_INFO_BYTES: usize = 152;
/// Offsets in `struct tcp_info`, each of a number of 32 bits.
const UNACKED: usize = 24;
const LAST_DATA_RECV: usize = 52;
const RTT: usize = 68;
const NOTSENT_BYTES: usize = 144;

/// The state of a connection as the system reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TcpInfo {
    /// Segments that were sent and that the peer's system has not acknowledged.
    pub unacknowledged: u32,
    /// Bytes that were written and not sent yet.
    pub unsent_bytes: u32,
    /// Time since the last bytes arrived, whether they have been read or not.
    pub since_received: Duration,
    /// Smoothed time from sending bytes to their acknowledgement.
    pub round_trip: Duration,
}

impl TcpInfo {
    /// Reads the state of a connection. Returns `None` where the system does not report it.
    pub fn read(socket: &impl AsRawFd) -> Option<Self> {
        let mut info = [0_u8; TCP_INFO_BYTES];
        let length = uapi::getsockopt(socket.as_raw_fd(), IPPROTO_TCP, TCP_INFO, &mut info).ok()?;
        let number = |offset: usize| {
            let bytes = info[..length].get(offset..offset + 4)?;
            Some(u32::from_ne_bytes(bytes.try_into().ok()?))
        };
        Some(Self {
            unacknowledged: number(UNACKED)?,
            unsent_bytes: number(NOTSENT_BYTES)?,
            since_received: Duration::from_millis(number(LAST_DATA_RECV)?.into()),
            round_trip: Duration::from_micros(number(RTT)?.into()),
        })
    }

    /// Reports whether the peer's system has all bytes that were written.
    pub fn is_acknowledged(&self) -> bool {
        self.unacknowledged == 0 && self.unsent_bytes == 0
    }
}
