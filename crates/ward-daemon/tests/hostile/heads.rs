//! Crowds that send heads: of very many short fields, or without their end.

use std::fmt::Write;
use std::time::Duration;

use googletest::prelude::*;
use http::{HeaderName, HeaderValue, StatusCode};
use ward_stage::CallerRequest;

use crate::crowd::SendPlan;
use crate::door::CrowdDoor;
use crate::support::{HEADER_BYTES, SmallStage};

/// Fields of a request with very many.
const FIELDS: usize = 4_000;
/// Fields of the single request that must be served.
const SINGLE_FIELDS: usize = 2_000;

/// Short fields with different names, which together are shorter than the limit.
fn short_fields() -> String {
    let mut fields = String::new();
    for number in 0..FIELDS {
        write!(fields, "{number:x}:\r\n").unwrap();
    }
    fields
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn very_many_short_fields_before_a_body_that_stops_short() {
    let mut stage = SmallStage::start("hostile-fields").await;
    let fields = format!("Content-Length: 8\r\n{}", short_fields());
    let plan = |door: &CrowdDoor, number| SendPlan {
        pieces: vec![door.head(number, &fields), vec![b'x'; 7]],
        pause: Duration::ZERO,
    };
    stage.expect_bounds_kept(plan).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn single_request_of_very_many_short_fields_was_refused() {
    let stage = SmallStage::start("hostile-single").await;
    let mut request = CallerRequest::new("single", "/book/a", None);
    for number in 0..SINGLE_FIELDS {
        let name: HeaderName = format!("{number:x}").parse().unwrap();
        request.headers.append(name, HeaderValue::from_static("1"));
    }
    expect_that!(stage.send(&request).await, some(eq(StatusCode::OK)));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_stop_short_of_their_end() {
    let mut stage = SmallStage::start("hostile-heads").await;
    let plan = |door: &CrowdDoor, number| {
        let mut head = door.head(
            number,
            &format!("Long: {}\r\n", "x".repeat(HEADER_BYTES - 600)),
        );
        // Without the empty line that ends the head.
        head.truncate(head.len() - 2);
        SendPlan {
            pieces: vec![head],
            pause: Duration::ZERO,
        }
    };
    stage.expect_bounds_kept(plan).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn heads_sent_a_few_bytes_at_a_time() {
    let mut stage = SmallStage::start("hostile-dribble").await;
    let plan = |door: &CrowdDoor, number| {
        let head = door.head(number, &format!("Long: {}", "x".repeat(4 << 10)));
        SendPlan {
            pieces: head.chunks(20).map(<[u8]>::to_vec).collect(),
            pause: Duration::from_millis(20),
        }
    };
    stage.expect_bounds_kept(plan).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn heads_far_over_the_limit() {
    let mut stage = SmallStage::start("hostile-long-heads").await;
    let plan = |door: &CrowdDoor, number| {
        let mut head = door.head(number, &format!("Long: {}", "x".repeat(10 * HEADER_BYTES)));
        head.truncate(head.len() - 2);
        SendPlan {
            pieces: vec![head],
            pause: Duration::ZERO,
        }
    };
    stage.expect_bounds_kept(plan).await;
}
