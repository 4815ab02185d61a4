//! Keys that ownership rules move when a member joins or leaves.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_bench::owners::{OwnerTask, jump_hash, measure_owners};

#[googletest::test]
fn jump_hash_moves_keys_only_to_new_member() {
    for key in 0..2_000_u64 {
        let key = key.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let before = jump_hash(key, 9).unwrap();
        let after = jump_hash(key, 10).unwrap();
        expect_that!(after == before || after == 9, eq(true));
    }
    expect_that!(jump_hash(1, 0), none());
}

#[googletest::test]
fn rendezvous_moves_only_keys_of_leaving_member() {
    let task = OwnerTask {
        members: 9,
        zones: 3,
        keys: 2_000,
        trials: 3,
        seed: 1,
    };
    let rows = measure_owners(&task);
    let row = rows.iter().find(|row| row.rule == "rendezvous").unwrap();
    // Only the keys of the member that leaves may move.
    expect_that!(row.leave_worst, lt(row.balance * 1.5 / 9.0));
}
