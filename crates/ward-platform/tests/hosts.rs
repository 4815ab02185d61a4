//! The host list: lag, leaving hosts, outages.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use googletest::prelude::*;
use http::Method;
use ward_platform::{HostClient, HostsError};
use ward_protocol::{HostState, MemorySize, TimeSpan};
use ward_standin::HostsFaults;
use ward_test_support::{
    SetSettings, StandinControl, StandinSet, engine_settings, service_settings,
};

const TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

async fn start() -> (StandinSet, HostClient, StandinControl) {
    let engine = engine_settings("engine-1", "vic", MemorySize::from_gib(24)).unwrap();
    let service = service_settings("booking-1", "moste", &["booking"]).unwrap();
    let settings = SetSettings {
        engines: vec![engine],
        services: vec![service],
        ..SetSettings::default()
    };
    let set = StandinSet::start(settings).await.unwrap();
    let client = HostClient::new(set.hosts.address, TIMEOUT);
    let control = StandinControl::new(set.hosts.address);
    (set, client, control)
}

#[googletest::test]
#[tokio::test]
async fn list_registered() {
    let (set, client, _) = start().await;
    let hosts = client.list().await.unwrap();
    expect_that!(hosts.len(), eq(2));
    expect_that!(hosts[0].info.address, eq(set.engines[0].address));
    expect_that!(hosts[0].info.memory, eq(MemorySize::from_gib(24)));
    expect_that!(hosts[1].info.services[0].as_str(), eq("booking"));
}

#[googletest::test]
#[tokio::test]
async fn list_lags() {
    let (_set, client, control) = start().await;
    tokio::time::sleep(std::time::Duration::from_millis(150)).await;
    let faults = HostsFaults {
        lag_ms: 150,
        ..HostsFaults::default()
    };
    control.set_faults(&faults).await.unwrap();
    control
        .send(Method::POST, "/hosts/engine-1/leave", &())
        .await
        .unwrap();
    let state = async || client.list().await.unwrap()[0].state;
    expect_that!(state().await, eq(HostState::Live));
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    expect_that!(state().await, eq(HostState::Leaving));
}

#[googletest::test]
#[tokio::test]
async fn list_removed() {
    let (_set, client, control) = start().await;
    control
        .send(Method::DELETE, "/hosts/engine-1", &())
        .await
        .unwrap();
    let hosts = client.list().await.unwrap();
    expect_that!(hosts.len(), eq(1));
    let again = control.send(Method::DELETE, "/hosts/engine-1", &()).await;
    expect_that!(again, err(anything()));
}

#[googletest::test]
#[tokio::test]
async fn list_down() {
    let (_set, client, control) = start().await;
    let faults = HostsFaults {
        down: true,
        ..HostsFaults::default()
    };
    control.set_faults(&faults).await.unwrap();
    expect_that!(client.list().await, err(pat!(HostsError::Call(anything()))));
}

#[googletest::test]
#[tokio::test]
async fn list_wrong_server() {
    let (set, _, _) = start().await;
    let client = HostClient::new(set.log.address, TIMEOUT);
    expect_that!(
        client.list().await,
        err(pat!(HostsError::Reply(anything())))
    );
}
