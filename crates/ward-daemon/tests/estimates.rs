//! Early refusals follow the observed load times.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::Value;
use ward_protocol::TimeSpan;
use ward_test_support::process::{FleetSettings, ProcessFleet};

const SHEET: &str = "\
target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable
a@1;;;1;0;;1;10GiB;yes
b@1;;;1;0;;1;10GiB;yes
c@1;;;1;0;;1;10GiB;yes
d@1;;;1;0;;1;10GiB;yes
e@1;;;1;0;;1;10GiB;yes
";
/// Shorter than the load time expected by the test settings, longer than an actual load.
const SHORT_DEADLINE: TimeSpan = TimeSpan::from_secs(4);
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(250);

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn estimate_follows_observed_loads() {
    let fleet = ProcessFleet::start(&FleetSettings::small()).unwrap();
    fleet.wait_until_full().await;
    let output = fleet.submit(0, SHEET, 0).unwrap();
    assert!(output.status.success(), "{output:?}");
    let caller = fleet.caller(0);

    let started = Instant::now();
    let early = caller
        .chat_within("d", "now", SHORT_DEADLINE)
        .await
        .unwrap();
    expect_that!(started.elapsed(), lt(MAX_REFUSAL_TIME));
    expect_that!(early.status.as_u16(), eq(503), "{:?}", early.body);
    let problem: Value = serde_json::from_slice(&early.body).unwrap();
    expect_that!(problem["code"], eq(202));
    for model in ["a", "b", "c"] {
        let reply = caller.chat(model, "take your time", false).await.unwrap();
        expect_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
    }
    // A model not requested before, since a refused request may have started a load.
    let reply = fleet
        .caller(1)
        .chat_within("e", "now", SHORT_DEADLINE)
        .await
        .unwrap();
    expect_that!(reply.status.as_u16(), eq(200), "{:?}", reply.body);
}
