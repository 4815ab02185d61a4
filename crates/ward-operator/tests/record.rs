//! Plans are split into records that the state machine can join again.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_operator::record::MAX_PART_BYTES;
use ward_operator::{SubmitRequest, plan_records};
use ward_plan::PlanSheet;
use ward_protocol::codec::encode;
use ward_protocol::{PlanChange, PlanRecord, PlanRevision, PlanRow, RecordId, WallTime};

/// Number of rows of the largest plan to support.
const ROWS: usize = 28_660;

fn request(rows: usize) -> SubmitRequest {
    let mut text =
        "target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable\n".to_owned();
    for index in 0..rows {
        let row = format!("model-{index}@1;vic;serving;2;1;07:30;3;8GiB;yes\n");
        text.push_str(&row);
    }
    let sheet = PlanSheet::read(text.as_bytes()).unwrap();
    SubmitRequest {
        record: RecordId(7),
        author: "ana".parse().unwrap(),
        base: PlanRevision(3),
        change: sheet.change_from(&PlanSheet::default()),
    }
}

fn whole_rows(request: &SubmitRequest) -> Vec<PlanRow> {
    match &request.change {
        PlanChange::Whole { rows } => rows.clone(),
        _ => panic!("not a whole plan"),
    }
}

#[googletest::test]
fn plan_records_small() {
    let request = request(100);
    let records = plan_records(&request, WallTime(1)).unwrap();
    expect_that!(records, len(eq(1)));
    expect_that!(records[0].id, eq(request.record));
}

#[googletest::test]
fn plan_records_target_size() {
    let request = request(ROWS);
    let records = plan_records(&request, WallTime(1)).unwrap();
    let (submit, parts) = records.split_last().unwrap();
    expect_that!(submit.id, eq(request.record));
    let mut joined = Vec::new();
    let mut uploads = Vec::new();
    for (record, position) in parts.iter().zip(0_u16..) {
        expect_that!(encode(record).unwrap().len(), le(MAX_PART_BYTES + 1_024));
        let PlanRecord::Part {
            upload,
            index,
            rows,
        } = &record.body
        else {
            panic!("not a part");
        };
        expect_that!(*index, eq(position));
        uploads.push(*upload);
        joined.extend(rows.clone());
    }
    expect_that!(joined == whole_rows(&request), eq(true));
    uploads.dedup();
    expect_that!(
        submit.body,
        matches_pattern!(PlanRecord::Submit {
            base: eq(&request.base),
            change: eq(&PlanChange::Parts {
                upload: uploads[0],
                count: u16::try_from(parts.len()).unwrap(),
            }),
        })
    );
    expect_that!(uploads, len(eq(1)));
}
