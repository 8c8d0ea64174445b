//! Authenticates both ends of a link by the key that all daemons share.
//!
//! Each end sends a hello with a nonce and then proves, by an HMAC over both hellos, that it holds
//! the key. The two proofs use different labels, so that neither can be reflected to its sender.
//! See `docs/design/membership.md`.

use hmac::{Hmac, KeyInit as _, Mac as _};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::{
    declaration::wire::{self, WireError},
    peer::{Member, MemberWire},
};

/// The version of the protocol between daemons; links to daemons of other versions are refused.
pub const PROTOCOL_VERSION: u32 = 1;
pub const NONCE_BYTES: usize = 32;

/// The reason for refusing a link.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HandshakeError {
    /// The other end sent bytes that are not a handshake message.
    #[error("the handshake is malformed: {0}")]
    Malformed(#[from] WireError),
    /// The other end uses another version of the protocol.
    #[error("the other end speaks version {0} of the protocol, not {PROTOCOL_VERSION}")]
    Version(u32),
    /// The other end did not prove that it holds the key.
    #[error("the other end does not hold the peer key")]
    Unauthenticated,
}

/// Which end of a link or tunnel a daemon is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Dialler,
    Acceptor,
    TunnelDialler,
    TunnelAcceptor,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialler => b"dogwoodturn dialler",
            Self::Acceptor => b"dogwoodturn acceptor",
            Self::TunnelDialler => b"dogwoodturn tunnel dialler",
            Self::TunnelAcceptor => b"dogwoodturn tunnel acceptor",
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Dialler => Self::Acceptor,
            Self::Acceptor => Self::Dialler,
            Self::TunnelDialler => Self::TunnelAcceptor,
            Self::TunnelAcceptor => Self::TunnelDialler,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct HelloWire(u32, #[serde(with = "serde_bytes")] [u8; NONCE_BYTES], MemberWire);

#[derive(Clone, Debug, Serialize, Deserialize)]
struct ProofWire(#[serde(with = "serde_bytes")] [u8; 32]);

/// One end of a handshake.
#[derive(Clone)]
pub struct Handshake {
    side: Side,
    key: [u8; 32],
    own_hello: Vec<u8>,
    other_hello: Vec<u8>,
}

impl Handshake {
    /// Begins a handshake and returns the hello to send. A `nonce` must never be reused.
    pub fn begin(
        side: Side,
        key: [u8; 32],
        own: Member,
        nonce: [u8; NONCE_BYTES],
    ) -> (Self, Vec<u8>) {
        let hello = wire::encode(&HelloWire(PROTOCOL_VERSION, nonce, own.into()));
        let handshake = Self { side, key, own_hello: hello.clone(), other_hello: Vec::new() };
        (handshake, hello)
    }

    /// Handles the hello of the other end; returns the identity that it claims and the proof to
    /// send.
    pub fn hello(&mut self, hello: &[u8]) -> Result<(Member, Vec<u8>), HandshakeError> {
        let HelloWire(version, _, member) = wire::decode(hello)?;
        if version != PROTOCOL_VERSION {
            return Err(HandshakeError::Version(version));
        }
        self.other_hello = hello.to_vec();
        let proof: [u8; 32] = self.mac(self.side).finalize().into_bytes().into();
        Ok((member.into(), wire::encode(&ProofWire(proof))))
    }

    /// Verifies the proof of the other end in constant time.
    pub fn proof(&self, proof: &[u8]) -> Result<(), HandshakeError> {
        let ProofWire(proof) = wire::decode(proof)?;
        let verified = self.mac(self.side.other()).verify_slice(&proof);
        verified.map_err(|_| HandshakeError::Unauthenticated)
    }

    fn mac(&self, prover: Side) -> Hmac<Sha256> {
        let (dialler, acceptor) = match self.side {
            Side::Dialler | Side::TunnelDialler => (&self.own_hello, &self.other_hello),
            Side::Acceptor | Side::TunnelAcceptor => (&self.other_hello, &self.own_hello),
        };
        let mut mac = Hmac::new_from_slice(&self.key).expect("HMAC takes a key of any size");
        mac.update(prover.label());
        mac.update(&(dialler.len() as u64).to_be_bytes());
        mac.update(dialler);
        mac.update(acceptor);
        mac
    }
}
