//! Datagrams and transfers between daemons.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use slog::{Discard, Logger, o};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::timeout;
use ward_peer::{
    DatagramSocket, KeyBytes, LevelReport, PeerAnswer, PeerCounters, PeerKeys, PeerRequest,
    StateAnswer, StateRequest, fetch_level, fetch_state, serve_peers,
};
use ward_protocol::{Incarnation, LogOffset, PeerMessage, PlanRevision};

const MAX_WAIT: Duration = Duration::from_secs(5);

fn logger() -> Logger {
    Logger::root(Discard, o!())
}

fn key(text: &str) -> KeyBytes {
    let mut key = KeyBytes::default();
    key[..text.len()].copy_from_slice(text.as_bytes());
    key
}

fn keys(current: &str, previous: Option<&str>) -> PeerKeys {
    PeerKeys::new(Some(key(current)), previous.map(key))
}

fn socket(name: &str, keys: PeerKeys) -> (DatagramSocket, PeerCounters) {
    let counters = PeerCounters::register(&prometheus::Registry::new()).unwrap();
    let socket = DatagramSocket::new(
        std::net::UdpSocket::bind("127.0.0.1:0").unwrap(),
        keys,
        name.parse().unwrap(),
        Incarnation(1),
        counters.clone(),
        logger(),
    )
    .unwrap();
    (socket, counters)
}

fn probe(sequence: u64) -> PeerMessage {
    PeerMessage::Probe {
        sequence,
        applied: LogOffset(4),
    }
}

#[googletest::test]
fn keys_rotation() {
    let old = keys("the-old-key-of-1st", None);
    let both = keys("the-new-key-of-2nd", Some("the-old-key-of-1st"));
    let new = keys("the-new-key-of-2nd", None);
    expect_that!(both.open(&old.seal(b"x")), ok(eq(&b"x".as_slice())));
    expect_that!(new.open(&both.seal(b"x")), ok(eq(&b"x".as_slice())));
    expect_that!(new.open(&old.seal(b"x")), err(anything()));
    expect_that!(new.open(b"short"), err(anything()));
}

#[tokio::test]
async fn datagram_authentic_only() {
    let (receiver, counters) = socket("entry-1", keys("the-new-key-of-2nd", None));
    let address = receiver.local_address().unwrap();
    let (good, _) = socket("entry-2", keys("the-new-key-of-2nd", None));
    let (bad, _) = socket("entry-3", keys("some-other-key-3rd", None));
    let (sender, mut inbox) = mpsc::unbounded_channel();
    tokio::spawn(receiver.run(move |envelope| sender.send(envelope).unwrap()));

    bad.sender().send(address, probe(1));
    let raw = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    raw.send_to(&[7; 900], address).await.unwrap();
    raw.send_to(&[], address).await.unwrap();
    good.sender().send(address, probe(2));

    let envelope = timeout(MAX_WAIT, inbox.recv()).await.unwrap().unwrap();
    assert_that!(envelope.message, eq(&probe(2)));
    assert_that!(counters.rejected.get(), eq(3));
}

fn level_report() -> LevelReport {
    LevelReport {
        applied: LogOffset(9),
        adopted: PlanRevision(2),
    }
}

fn answer(request: PeerRequest) -> PeerAnswer {
    match request {
        PeerRequest::Level => PeerAnswer::Level(level_report()),
        PeerRequest::State(request) if request.applied < level_report().applied => {
            PeerAnswer::State(StateAnswer::Snapshot(vec![1; 100_000]))
        }
        PeerRequest::State(_) => PeerAnswer::State(StateAnswer::Nothing),
    }
}

async fn state_server(keys: PeerKeys) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_peers(
        listener,
        keys,
        logger(),
        |request| async move { answer(request) },
    ));
    address
}

#[tokio::test]
async fn transfer_state() {
    let keys = keys("the-new-key-of-2nd", None);
    let peer = state_server(keys.clone()).await;
    let behind = StateRequest {
        applied: LogOffset(3),
        plan: LogOffset::ZERO,
    };
    let answer = fetch_state(peer, &keys, behind).await.unwrap();
    assert_that!(answer, eq(&StateAnswer::Snapshot(vec![1; 100_000])));
    let up_to_date = StateRequest {
        applied: LogOffset(9),
        plan: LogOffset::ZERO,
    };
    let answer = fetch_state(peer, &keys, up_to_date).await.unwrap();
    assert_that!(answer, eq(&StateAnswer::Nothing));
}

#[tokio::test]
async fn transfer_level() {
    let keys = keys("the-new-key-of-2nd", None);
    let peer = state_server(keys.clone()).await;
    let report = fetch_level(peer, &keys, MAX_WAIT).await.unwrap();
    assert_that!(report, eq(level_report()));
}

#[tokio::test]
async fn transfer_wrong_key() {
    let peer = state_server(keys("the-new-key-of-2nd", None)).await;
    let request = StateRequest {
        applied: LogOffset(3),
        plan: LogOffset::ZERO,
    };
    let answer = fetch_state(peer, &keys("some-other-key-3rd", None), request).await;
    assert_that!(answer, err(anything()));
}

proptest! {
    #[test]
    fn open_random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        let keys = keys("the-new-key-of-2nd", None);
        prop_assert!(keys.open(&bytes).is_err());
    }
}
