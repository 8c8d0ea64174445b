//! Just enough HTTP/1.1 for stand-ins and clients.

use std::{
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Head {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    /// Reads more bytes. Returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 64 * 1024];
        let length = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..length]);
        Ok(length > 0)
    }

    /// Reads a head. Returns `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").split(' ').map(str::to_owned).collect();
                let header = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.to_owned(), value.trim().to_owned()))
                };
                return Ok(Some(Head { first, headers: lines.filter_map(header).collect() }));
            }
            if !self.fill()? {
                return if self.buf.is_empty() { Ok(None) } else { Err(cut()) };
            }
        }
    }

    pub fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if !self.fill()? {
                return Err(cut());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(cut());
            }
        }
    }

    /// Reads the body of a message with a length or in chunks. An error means that it is not complete.
    pub fn body(&mut self, head: &Head) -> (Vec<u8>, io::Result<()>) {
        let mut body = Vec::new();
        if !head.get("transfer-encoding").is_some_and(|value| value == "chunked") {
            let length = head.number("content-length").unwrap_or(0) as usize;
            return match self.exactly(length) {
                Ok(bytes) => (bytes, Ok(())),
                Err(error) => (body, Err(error)),
            };
        }
        let mut read = || -> io::Result<()> {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).map_err(|_| cut())?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                body.extend(self.exactly(size)?);
                self.exactly(2)?;
            }
        };
        let result = read();
        (body, result)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a body of known length.
    pub fn respond(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.write(format!("{head}{body}").as_bytes())
    }
}

fn cut() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}
