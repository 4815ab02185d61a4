//! Any input gives either a sheet or located mistakes; writing a checked sheet and reading it
//! again gives the same sheet.

#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use ward_plan::{PlanSheet, SheetDifference};

const HEADER: &str = "target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable";

fn valid_row() -> impl Strategy<Value = String> {
    (
        0..40_u8,
        prop::sample::subsequence(vec!["vic", "moste", "bezigrad"], 0..=3),
        prop::sample::subsequence(vec!["serving", "prefill", "decode"], 0..=3),
        0..4_u16,
        0..4_u16,
        0..1_440_u16,
        0..8_u8,
        1..1_u64 << 40,
    )
        .prop_map(
            |(name, zones, roles, replicas, not_ready, time, priority, memory)| {
                let ready = replicas.saturating_sub(not_ready);
                let time = match ready {
                    0 => String::new(),
                    _ => format!("{:02}:{:02}", time / 60, time % 60),
                };
                format!(
                    "m{name}@1;{};{};{replicas};{ready};{time};{priority};{memory}B;yes",
                    zones.join(" "),
                    roles.join(" "),
                )
            },
        )
}

/// The text of a valid sheet with distinct targets.
fn valid_sheet() -> impl Strategy<Value = String> {
    prop::collection::btree_map(0..40_u8, valid_row(), 0..12).prop_map(|rows| {
        let rows = rows.into_iter().map(|(name, row)| {
            let (_, rest) = row.split_once(';').unwrap();
            format!("m{name}@1;{rest}\n")
        });
        format!("{HEADER}\n{}", rows.collect::<String>())
    })
}

fn check_mistakes(bytes: &[u8]) {
    if let Err(error) = PlanSheet::read(bytes) {
        assert!(!error.mistakes.is_empty());
        assert!(error.mistakes.iter().all(|mistake| mistake.line > 0));
        assert!(!error.to_string().is_empty());
    }
}

proptest! {
    #[test]
    fn read_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        check_mistakes(&bytes);
    }

    #[test]
    fn read_random_cells(text in "([a-z0-9@:/;,\"\r\n \u{feff}é]{0,12}[;,\n\"]){0,60}") {
        check_mistakes(text.as_bytes());
        check_mistakes(format!("{HEADER}\n{text}").as_bytes());
    }

    #[test]
    fn read_damaged_sheet(text in valid_sheet(), index in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = text.into_bytes();
        let position = index.index(bytes.len());
        bytes[position] = byte;
        check_mistakes(&bytes);
    }

    #[test]
    fn write_round_trip(text in valid_sheet()) {
        let sheet = PlanSheet::read(text.as_bytes()).unwrap();
        let reread = PlanSheet::read(sheet.to_csv().as_bytes()).unwrap();
        prop_assert_eq!(sheet, reread);
    }

    #[test]
    fn difference_is_exact(from in valid_sheet(), to in valid_sheet()) {
        let from = PlanSheet::read(from.as_bytes()).unwrap();
        let to = PlanSheet::read(to.as_bytes()).unwrap();
        let difference = SheetDifference::between(&from, &to);
        prop_assert!(SheetDifference::between(&to, &to).is_empty());
        for row in to.rows() {
            let added = difference.added.contains(row);
            let changed = difference.changed.iter().any(|change| &change.to == row);
            let same = from.row(&row.target) == Some(row);
            prop_assert_eq!(u8::from(added) + u8::from(changed) + u8::from(same), 1);
        }
        for row in from.rows() {
            let removed = difference.removed.contains(&row.target);
            prop_assert_eq!(removed, to.row(&row.target).is_none());
        }
    }
}
