//! Text forms of ids, units and references: parsing, printing and round trips.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use proptest::prelude::*;
use ward_protocol::{
    DayTime, MemorySize, ModelReference, PriorityLevel, RecordId, ReplicaKey, RowTarget, TimeSpan,
};

#[googletest::test]
fn memory_size_parse() {
    expect_that!(
        "24GiB".parse::<MemorySize>(),
        ok(eq(&MemorySize::from_gib(24)))
    );
    expect_that!(
        "512 MiB".parse::<MemorySize>(),
        ok(eq(&MemorySize::from_mib(512)))
    );
    expect_that!("24".parse::<MemorySize>(), err(anything()));
    expect_that!(
        "99999999999999999999GiB".parse::<MemorySize>(),
        err(anything())
    );
    expect_that!("99999999999GiB".parse::<MemorySize>(), err(anything()));
}

#[googletest::test]
fn reference_parse() {
    let reference: ModelReference = "colours:wedding@3".parse().unwrap();
    expect_that!(reference.to_string(), eq("colours:wedding@3"));
    expect_that!("colours@".parse::<ModelReference>(), err(anything()));
    expect_that!("colours".parse::<ReplicaKey>(), err(anything()));
}

#[googletest::test]
fn row_target_parse() {
    for text in ["services/booking", "colours@1", "colours:wedding@1"] {
        let target: RowTarget = text.parse().unwrap();
        expect_that!(target.to_string(), eq(text));
    }
}

#[googletest::test]
fn day_time_parse() {
    expect_that!("07:30".parse::<DayTime>().unwrap().minutes(), eq(450));
    expect_that!("24:00".parse::<DayTime>(), err(anything()));
}

#[googletest::test]
fn priority_range() {
    expect_that!("7".parse::<PriorityLevel>(), ok(eq(&PriorityLevel::LAST)));
    expect_that!("8".parse::<PriorityLevel>(), err(anything()));
}

proptest! {
    #[test]
    fn memory_size_round_trip(bytes in any::<u64>()) {
        let size = MemorySize::from_bytes(bytes);
        prop_assert_eq!(size.to_string().parse(), Ok(size));
    }

    #[test]
    fn record_id_round_trip(number in any::<u128>()) {
        let id = RecordId(number);
        prop_assert_eq!(id.to_string().parse(), Ok(id));
    }

    #[test]
    fn time_span_round_trip(millis in 0_u64..1_000_000_000) {
        let span = TimeSpan::from_millis(millis);
        prop_assert_eq!(span.to_string().parse(), Ok(span));
    }
}
