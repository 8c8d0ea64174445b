//! The handshake, the packets and the links of daemons. Arbitrary or forged bytes must be refused
//! without a panic and without large allocations.

use std::time::Duration;

use dogwoodturn::{
    declaration::wire::{decode, encode},
    ids::{Generation, Incarnation},
    peer::{
        Member,
        handshake::{Handshake, HandshakeError, NONCE_BYTES, Side},
        links::{LinkId, MAX_LINKS},
        message::{Frame, Heartbeat, MemberState, Packet, PacketWire, Record, Suspicion},
        peers::{Config, Effect, Event, LinkEffect, LinkEvent, Peers},
    },
    units::Time,
};
use quickcheck::{Gen, QuickCheck, TestResult};

const KEY: [u8; 32] = [1; 32];
const CASE_COUNT: u64 = 2_000;
const MAX_INPUT_BYTES: usize = 512;

fn member(name: &str) -> Member {
    Member {
        daemon: name.parse().expect("a name"),
        incarnation: Incarnation(7),
        address: ([10, 0, 0, 1], 7000).into(),
        data_centre: "salish-a".parse().expect("a name"),
        region: "salish".parse().expect("a name"),
    }
}

fn begin(side: Side, key: [u8; 32], nonce: u8) -> (Handshake, Vec<u8>) {
    Handshake::begin(side, key, member("a"), [nonce; NONCE_BYTES])
}

/// Runs a handshake; returns the results of the dialler and of the acceptor.
fn shake_hands(
    dialler_key: [u8; 32],
    acceptor_key: [u8; 32],
) -> (Result<(), HandshakeError>, Result<(), HandshakeError>) {
    let (mut dialler, dialler_hello) = begin(Side::Dialler, dialler_key, 1);
    let (mut acceptor, acceptor_hello) = begin(Side::Acceptor, acceptor_key, 2);
    let (_, dialler_proof) = dialler.hello(&acceptor_hello).expect("a hello");
    let (_, acceptor_proof) = acceptor.hello(&dialler_hello).expect("a hello");
    (dialler.proof(&acceptor_proof), acceptor.proof(&dialler_proof))
}

#[test]
fn handshake_keys_agree_or_differ() {
    assert_eq!(shake_hands(KEY, KEY), (Ok(()), Ok(())));
    let refused = Err(HandshakeError::Unauthenticated);
    assert_eq!(shake_hands(KEY, [2; 32]), (refused.clone(), refused));
}

#[test]
fn handshake_replayed_proof_is_refused() {
    let (mut dialler, dialler_hello) = begin(Side::Dialler, KEY, 1);
    let (mut acceptor, acceptor_hello) = begin(Side::Acceptor, KEY, 2);
    let (_, recorded) = dialler.hello(&acceptor_hello).expect("a hello");
    acceptor.hello(&dialler_hello).expect("a hello");
    assert_eq!(acceptor.proof(&recorded), Ok(()));
    let (mut later, _) = begin(Side::Acceptor, KEY, 3);
    later.hello(&dialler_hello).expect("a hello");
    assert_eq!(later.proof(&recorded), Err(HandshakeError::Unauthenticated));
}

#[test]
fn handshake_reflected_proof_is_refused() {
    let (mut dialler, dialler_hello) = begin(Side::Dialler, KEY, 1);
    let (_, own_proof) = dialler.hello(&dialler_hello).expect("its own hello sent back");
    assert_eq!(dialler.proof(&own_proof), Err(HandshakeError::Unauthenticated));
}

#[test]
fn handshake_other_version_is_refused() {
    let (mut acceptor, _) = begin(Side::Acceptor, KEY, 2);
    let (_, mut hello) = begin(Side::Dialler, KEY, 1);
    // The version is the first element of the array.
    assert_eq!(hello[1], 1);
    hello[1] = 2;
    assert_eq!(acceptor.hello(&hello).expect_err("refused"), HandshakeError::Version(2));
}

fn check(property: fn(Vec<u8>) -> TestResult) {
    let random = Gen::from_size_and_seed(MAX_INPUT_BYTES, 11);
    QuickCheck::new().rng(random).tests(CASE_COUNT).quickcheck(property);
}

fn packet() -> Packet {
    let record = Record { member: member("b"), refutation: 3, state: MemberState::Failed };
    let suspicion = Suspicion {
        target: record.member.daemon.clone(),
        incarnation: Incarnation(7),
        refutation: 3,
        reporter: member("c").daemon,
    };
    let lowest_within = vec![Generation(8), Generation(7)];
    let heartbeat =
        Heartbeat { members: 1 << 63, generation: Generation(9), keep_link: true, lowest_within };
    Packet(vec![
        Frame::Heartbeat(heartbeat),
        Frame::Records(vec![record]),
        Frame::Suspect(suspicion),
        Frame::CompareDigests(vec![0, u64::MAX]),
        Frame::RequestBuckets(vec![0, 31]),
    ])
}

#[test]
fn packet_round_trip() {
    let wire: PacketWire = decode(&encode(&PacketWire::from(packet()))).expect("a packet");
    assert_eq!(Packet::try_from(wire), Ok(packet()));
}

#[test]
fn packet_arbitrary_bytes_are_refused_or_read() {
    check(|bytes| {
        // Neither may panic, or allocate more memory than the bytes justify.
        if let Ok(wire) = decode::<PacketWire>(&bytes) {
            let _ = Packet::try_from(wire);
        }
        let (mut acceptor, _) = begin(Side::Acceptor, KEY, 2);
        let _ = acceptor.hello(&bytes);
        TestResult::from_bool(acceptor.proof(&bytes).is_err())
    });
}

#[test]
fn packet_with_changed_bytes_is_refused_or_read() {
    check(|bytes| {
        let mut encoded = encode(&PacketWire::from(packet()));
        for pair in bytes.chunks_exact(2) {
            let position = usize::from(pair[0]) % encoded.len();
            encoded[position] = pair[1];
        }
        if let Ok(wire) = decode::<PacketWire>(&encoded) {
            let _ = Packet::try_from(wire);
        }
        TestResult::passed()
    });
}

#[test]
fn packet_claimed_length_takes_no_memory() {
    // The heads of an array of 2^40 frames and of a byte string of 2^40 bytes, without the content.
    for head in [0x9b_u8, 0x5b] {
        let mut bytes = vec![head];
        bytes.extend((1_u64 << 40).to_be_bytes());
        assert!(decode::<PacketWire>(&bytes).is_err());
    }
}

#[test]
fn links_of_a_seed_make_room_for_daemons_that_start() {
    let config =
        Config { own: member("seed"), seeds: Vec::new(), heartbeat: Duration::from_secs(1) };
    let mut seed = Peers::new(config);
    let mut out = Vec::new();
    seed.handle(Time(0), Event::Started, &mut out);
    for index in 0..3 * MAX_LINKS as u64 {
        let id = LinkId::Accepted(index);
        let mut visitor = member(&format!("d{index}"));
        visitor.address = ([10, 1, (index / 200) as u8, (index % 200) as u8], 7000).into();
        out.clear();
        seed.handle(Time(index), Event::Link(LinkEvent::Opened(id, visitor)), &mut out);
        let closed = Effect::Link(LinkEffect::Close(id));
        assert!(!out.contains(&closed), "the seed refuses daemon {index}");
        let packet = Packet(vec![Frame::Heartbeat(Heartbeat::default())]);
        seed.handle(Time(index), Event::Link(LinkEvent::Received(id, packet)), &mut out);
    }
}
