//! Choice of a ready replica for a request.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_policy::{PickCandidate, pick_replica};

fn candidate(name: &str, outstanding: u32) -> PickCandidate {
    PickCandidate {
        backend: name.parse().unwrap(),
        outstanding,
        reported: 0,
        same_zone: false,
    }
}

#[googletest::test]
fn pick_same_prefix() {
    let candidates = [candidate("e1", 1), candidate("e2", 1), candidate("e3", 1)];
    let first = pick_replica(&candidates, 32, 77);
    let reversed: Vec<_> = candidates.iter().rev().cloned().collect();
    let second = pick_replica(&reversed, 32, 77);
    expect_that!(first.map(|index| 2 - index), eq(second));
}

#[googletest::test]
fn pick_bounded_load() {
    for prefix in 0..100 {
        let candidates = [candidate("e1", 20), candidate("e2", 0)];
        expect_that!(pick_replica(&candidates, 32, prefix), some(eq(1)));
    }
}

#[googletest::test]
fn pick_all_full() {
    let candidates = [candidate("e1", 32), candidate("e2", 40)];
    expect_that!(pick_replica(&candidates, 32, 1), none());
    expect_that!(pick_replica(&[], 32, 1), none());
}
