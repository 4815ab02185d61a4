//! Crowds that send bodies: of legal size, stopping just short of their end, or far over
//! the limit.

use std::time::Duration;

use googletest::prelude::*;

use crate::crowd::SendPlan;
use crate::door::CrowdDoor;
use crate::support::{BODY_BYTES, SmallStage};

/// Bytes of a piece of a body that is sent in small pieces.
const PIECE_BYTES: usize = 1 << 10;
/// Bytes of a chunk of a body that is sent in chunks.
const CHUNK_BYTES: usize = 512;
/// Factor by which a body exceeds the limit.
const EXCESS: usize = 64;

fn head_with_length(door: &CrowdDoor, number: usize, length: usize) -> Vec<u8> {
    door.head(number, &format!("Content-Length: {length}\r\n"))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_one_piece_that_stop_short_of_their_end() {
    let mut stage = SmallStage::start("hostile-whole").await;
    let plan = |door: &CrowdDoor, number| SendPlan {
        pieces: vec![
            head_with_length(door, number, BODY_BYTES),
            vec![b'x'; BODY_BYTES - 1],
        ],
        pause: Duration::ZERO,
    };
    stage.expect_bounds_kept(plan).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_pieces_that_stop_short_of_their_end() {
    let mut stage = SmallStage::start("hostile-pieces").await;
    let plan = |door: &CrowdDoor, number| {
        let head = head_with_length(door, number, BODY_BYTES);
        let body = vec![b'x'; BODY_BYTES - 1];
        let pieces = body.chunks(PIECE_BYTES).map(<[u8]>::to_vec);
        SendPlan {
            pieces: std::iter::once(head).chain(pieces).collect(),
            pause: Duration::from_millis(1),
        }
    };
    stage.expect_bounds_kept(plan).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_that_stop_short_of_their_end() {
    let mut stage = SmallStage::start("hostile-chunks").await;
    let plan = |door: &CrowdDoor, number| {
        let head = door.head(number, "Transfer-Encoding: chunked\r\n");
        let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
        // All chunks, but not the one that ends the body.
        let body = chunk.repeat(BODY_BYTES / CHUNK_BYTES);
        SendPlan {
            pieces: vec![head, body.into_bytes()],
            pause: Duration::ZERO,
        }
    };
    stage.expect_bounds_kept(plan).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_sixteen_kibibytes() {
    let mut stage = SmallStage::start("hostile-short").await;
    let length = 16 << 10;
    let plan = |door: &CrowdDoor, number| SendPlan {
        pieces: vec![
            head_with_length(door, number, length),
            vec![b'x'; length - 1],
        ],
        pause: Duration::ZERO,
    };
    stage.expect_bounds_kept(plan).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit() {
    let mut stage = SmallStage::start("hostile-over").await;
    let plan = |door: &CrowdDoor, number| {
        let mut pieces = vec![head_with_length(door, number, EXCESS * BODY_BYTES)];
        pieces.extend(vec![vec![b'x'; BODY_BYTES]; 4]);
        SendPlan {
            pieces,
            pause: Duration::ZERO,
        }
    };
    stage.expect_bounds_kept(plan).await;
}
