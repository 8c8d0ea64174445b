//! Forwards a connection for another daemon, so that both ends see what they would see without it.
//!
//! A response that ends with its connection is complete if the connection was closed and truncated if
//! it was reset, and an upstream stops working on a request whose connection is gone. So a close is
//! passed on as a close, and a reset, or the end of this process, as a reset. A reset also withdraws what has not
//! been passed on: a request that its sender has abandoned must not reach the upstream because this process was late.

use std::{cell::Cell, future::pending, io};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
};

/// Bytes that are forwarded at a time.
const BUFFER_BYTES: usize = 8 * 1024;

enum ReadEnd {
    Closed,
    Broken(io::Error),
}

enum CopyEnd {
    Read(ReadEnd),
    NotWritten(io::Error),
}

/// Forwards bytes in both directions until one end closes or breaks its connection.
///
/// # Errors
///
/// Returns the error of the connection that broke.
pub async fn forward(origin: &mut TcpStream, upstream: &mut TcpStream) -> io::Result<()> {
    origin.set_zero_linger()?;
    let (mut from_origin, mut to_origin) = origin.split();
    let (mut from_upstream, mut to_upstream) = upstream.split();
    // The system reports a reset to one call only: after a write that took it, reads see a regular close.
    let write_error = Cell::new(None);
    let request = async {
        match copy(&mut from_origin, &mut to_upstream, Withdrawn::Discarded).await {
            CopyEnd::Read(end) => end,
            CopyEnd::NotWritten(error) => {
                write_error.set(Some(error));
                // The upstream may have responded before it stopped reading.
                pending().await
            }
        }
    };
    let response = copy(&mut from_upstream, &mut to_origin, Withdrawn::Delivered);
    tokio::select! {
        end = request => match end {
            ReadEnd::Closed => Ok(()),
            ReadEnd::Broken(error) => {
                upstream.set_zero_linger()?;
                Err(error)
            }
        },
        end = response => match end {
            CopyEnd::Read(ReadEnd::Closed) => {
                if let Some(error) = write_error.take() {
                    return Err(error);
                }
                SockRef::from(&*origin).set_linger(None)?;
                origin.shutdown().await
            }
            CopyEnd::Read(ReadEnd::Broken(error)) => Err(error),
            CopyEnd::NotWritten(error) => {
                upstream.set_zero_linger()?;
                Err(error)
            }
        },
    }
}

/// What becomes of bytes that arrived before a reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Withdrawn {
    Delivered,
    Discarded,
}

async fn copy(from: &mut ReadHalf<'_>, to: &mut WriteHalf<'_>, withdrawn: Withdrawn) -> CopyEnd {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buf).await {
            Ok(0) => return CopyEnd::Read(ReadEnd::Closed),
            Ok(length) => {
                // The system delivers bytes before it reports a reset that came after them.
                if withdrawn == Withdrawn::Discarded
                    && let Ok(Some(error)) | Err(error) = from.as_ref().take_error()
                {
                    return CopyEnd::Read(ReadEnd::Broken(error));
                }
                if let Err(error) = to.write_all(&buf[..length]).await {
                    return CopyEnd::NotWritten(error);
                }
            }
            Err(error) => return CopyEnd::Read(ReadEnd::Broken(error)),
        }
    }
}
