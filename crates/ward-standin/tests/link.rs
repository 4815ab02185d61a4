//! A link whose faults affect only the client that connects through it.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use googletest::prelude::*;
use ward_platform::{AppendError, LogClient, LogTimeouts};
use ward_protocol::{AppendResult, LogOffset, LogStream, TimeSpan};
use ward_standin::{
    LinkFaults, LinkHistory, LinkSettings, LinkStandin, LogFaults, LogSettings, LogStandin,
    RunningLink, RunningStandin,
};
use ward_test_support::StandinControl;

const TIMEOUTS: LogTimeouts = LogTimeouts {
    append: TimeSpan::from_millis(200),
    read: TimeSpan::from_millis(200),
};

/// A log with one client that connects directly and one that connects through the link.
struct Fixture {
    _log: RunningStandin,
    link: RunningLink,
    control: StandinControl,
    direct: LogClient,
    linked: LogClient,
}

impl Fixture {
    async fn start() -> Self {
        let listen = "127.0.0.1:0".parse().unwrap();
        let faults = LogFaults::default();
        let log = LogStandin::start(LogSettings { listen, faults })
            .await
            .unwrap();
        let settings = LinkSettings {
            listen,
            control: listen,
            target: log.address,
            faults: LinkFaults::default(),
        };
        let link = LinkStandin::start(settings).await.unwrap();
        Self {
            control: StandinControl::new(link.control.address),
            direct: LogClient::new(log.address, TIMEOUTS),
            linked: LogClient::new(link.address, TIMEOUTS),
            link,
            _log: log,
        }
    }

    async fn set(&self, faults: LinkFaults) {
        self.control.set_faults(&faults).await.unwrap();
    }

    async fn stored_end(&self) -> LogOffset {
        let read = self
            .direct
            .read(LogStream::Control, LogOffset::ZERO, 1, TimeSpan::ZERO);
        read.await.unwrap().end
    }
}

async fn append(client: &LogClient) -> std::result::Result<LogOffset, AppendError> {
    client.append(LogStream::Control, vec![vec![1]]).await
}

fn outcome(result: &std::result::Result<LogOffset, AppendError>) -> AppendResult {
    match result {
        Ok(_) => AppendResult::Stored,
        Err(error) => error.result(),
    }
}

#[googletest::test]
#[tokio::test]
async fn link_forwards() {
    let fixture = Fixture::start().await;
    expect_that!(append(&fixture.linked).await, ok(eq(&LogOffset(1))));
    let history: LinkHistory = fixture.control.history().await.unwrap();
    expect_that!(history.connections, eq(1));
    expect_that!(history.request_bytes, gt(0));
    expect_that!(history.answer_bytes, gt(0));
}

#[googletest::test]
#[tokio::test]
async fn link_down_for_one_client() {
    let fixture = Fixture::start().await;
    append(&fixture.linked).await.unwrap();
    let faults = LinkFaults {
        down: true,
        ..LinkFaults::default()
    };
    fixture.set(faults).await;
    expect_that!(
        outcome(&append(&fixture.linked).await),
        eq(AppendResult::Unknown)
    );
    expect_that!(append(&fixture.direct).await, ok(eq(&LogOffset(2))));
    fixture.set(LinkFaults::default()).await;
    expect_that!(append(&fixture.linked).await, ok(eq(&LogOffset(3))));
}

#[googletest::test]
#[tokio::test]
async fn link_holds_answers() {
    let fixture = Fixture::start().await;
    let faults = LinkFaults {
        hold_answers: true,
        ..LinkFaults::default()
    };
    fixture.set(faults).await;
    expect_that!(
        outcome(&append(&fixture.linked).await),
        eq(AppendResult::Unknown)
    );
    expect_that!(fixture.stored_end().await, eq(LogOffset(1)));
}

#[googletest::test]
#[tokio::test]
async fn link_holds_requests() {
    let fixture = Fixture::start().await;
    let faults = LinkFaults {
        hold_requests: true,
        ..LinkFaults::default()
    };
    fixture.set(faults).await;
    expect_that!(
        outcome(&append(&fixture.linked).await),
        eq(AppendResult::Unknown)
    );
    expect_that!(fixture.stored_end().await, eq(LogOffset::ZERO));
    // Held bytes arrive after the fault ends although their sender has timed out.
    fixture.set(LinkFaults::default()).await;
    let late = fixture
        .direct
        .read(LogStream::Control, LogOffset(1), 1, TimeSpan::from_secs(5));
    expect_that!(late.await.unwrap().end, eq(LogOffset(1)));
}

#[googletest::test]
#[tokio::test]
async fn link_stopped() {
    let fixture = Fixture::start().await;
    let linked = fixture.linked.clone();
    drop(fixture.link);
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    expect_that!(outcome(&append(&linked).await), eq(AppendResult::Refused));
}
