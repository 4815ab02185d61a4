//! Packed bytes: round trips, and truncated, altered and random ones.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use proptest::prelude::*;
use ward_protocol::packing::{PackingError, pack, unpack, unpacked_len};

#[googletest::test]
fn bytes_that_do_not_get_shorter_stay_as_they_are() {
    let alike_never: Vec<u8> = (0..=u8::MAX).collect();
    expect_that!(pack(&alike_never), none());
    expect_that!(pack(&[]), none());
}

#[googletest::test]
fn truncated_bytes_are_refused() {
    let packed = pack(&b"engine i-1, engine i-2, ".repeat(100)).unwrap();
    for length in 0..packed.len() {
        expect_that!(unpack(&packed[..length]), err(eq(&PackingError::Malformed)));
    }
}

#[googletest::test]
fn bytes_longer_than_they_say_are_not_unpacked() {
    let mut packed = pack(&vec![0; 1 << 20]).unwrap();
    packed[..4].copy_from_slice(&1_000_u32.to_be_bytes());
    expect_that!(unpacked_len(&packed), ok(eq(&1_000)));
    expect_that!(unpack(&packed), err(eq(&PackingError::Malformed)));
}

#[googletest::test]
fn bytes_shorter_than_they_say_are_refused() {
    let mut packed = pack(&[0; 2_000]).unwrap();
    packed[..4].copy_from_slice(&2_001_u32.to_be_bytes());
    expect_that!(unpack(&packed), err(eq(&PackingError::Malformed)));
}

proptest! {
    #[test]
    fn packed_bytes_come_back(part in proptest::collection::vec(any::<u8>(), 1..60), times in 2_usize..90) {
        let bytes = part.repeat(times);
        if let Some(packed) = pack(&bytes) {
            prop_assert!(packed.len() < bytes.len());
            prop_assert_eq!(unpack(&packed), Ok(bytes));
        }
    }

    #[test]
    fn random_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut() {
            *first = 0;
        }
        drop(unpack(&bytes));
    }
}
