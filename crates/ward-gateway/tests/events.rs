//! Splitting of streams into events.

use googletest::prelude::*;
use ward_gateway::events::{EventCursor, EventSplitter, ResumePoint};

/// Whether a stream that ends here was broken off inside an event.
fn is_cut(stream: &str) -> bool {
    let mut cursor = EventCursor::default();
    cursor.advance(stream.as_bytes());
    cursor.is_inside_event()
}

#[gtest]
fn is_inside_event_until_an_empty_line() {
    for stream in [
        "",
        "id: 1\ndata: a\n\n",
        "data: a\r\n\r\n",
        "data: a\r\r",
        ": note\n",
    ] {
        expect_false!(is_cut(stream), "{stream:?}");
    }
    for stream in [
        "id: 1",
        "id: 1\n",
        "data: a\n\nid: 2\ndata: b\n",
        "data: a\r\n\r\ndata",
        "data: a\r\n",
        "\n\ndata: a\n: note\n",
    ] {
        expect_true!(is_cut(stream), "{stream:?}");
    }
}

#[gtest]
fn push_any_line_ends_in_any_pieces() {
    for end in ["\n", "\r\n", "\r"] {
        let events = format!("id: 1{end}data: a{end}{end}: note{end}id: 2{end}data: b{end}{end}");
        let stream = format!("{events}id: 3");
        for size in 1..stream.len() {
            let mut splitter = EventSplitter::default();
            let mut complete = Vec::new();
            for piece in stream.as_bytes().chunks(size) {
                complete.extend_from_slice(&splitter.push(piece));
            }
            let text = String::from_utf8(complete).unwrap_or_default();
            expect_that!(text, eq(&events), "{end:?} in pieces of {size}");
            expect_that!(splitter.last_id(), some(eq("2")));
            expect_true!(splitter.cursor().is_inside_event());
            expect_that!(&splitter.take_remainder()[..], eq(b"id: 3"));
        }
    }
}

#[gtest]
fn begin_resumed_discards_a_partial_event() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    splitter.begin_resumed();
    expect_false!(splitter.cursor().is_inside_event());
    // The events of the former stream say nothing of this one.
    expect_false!(splitter.cursor().has_event());
    let event = b"id: 2\ndata: b\n\n";
    expect_that!(&splitter.push(event)[..], eq(event));
    expect_that!(splitter.last_id(), some(eq("2")));
}

/// Where a stream goes on that broke off after these events.
fn resume_point(events: &str) -> ResumePoint {
    let mut splitter = EventSplitter::default();
    splitter.push(events.as_bytes());
    splitter.resume_point().clone()
}

#[gtest]
fn resume_point_is_the_id_of_the_newest_complete_event() {
    let after = |id: &str| ResumePoint::After(id.to_owned());
    for (events, point) in [
        ("", ResumePoint::Start),
        ("id: 1\ndata: a", ResumePoint::Start),
        (": note\n\n", ResumePoint::Start),
        ("retry: 9\n\n", ResumePoint::Start),
        ("id: 1\ndata: a\n\n", after("1")),
        ("id:1\ndata:a\n\n", after("1")),
        ("data: a\nid: 1\n\n", after("1")),
        ("data: a\r\nid: 1\r\n\r\n", after("1")),
        ("data: a\rid: 1\r\rdata: b\rid: 2\r\r", after("2")),
        ("id: 1\nid: 2\ndata: a\n\n", after("2")),
        ("id: 1\ndata: a\n\nid: 2\nda", after("1")),
        ("id: 1\ndata: a\n\n: note\n\nretry: 9\n\n", after("1")),
        ("data: a\n\n", ResumePoint::Unknown),
        ("id: 1\ndata: a\n\ndata: b\n\n", ResumePoint::Unknown),
        ("id: 1\ndata: a\n\nid:\ndata: b\n\n", ResumePoint::Unknown),
        (
            "id: 1\ndata: a\n\nid: \u{7}\ndata: b\n\n",
            ResumePoint::Unknown,
        ),
        (
            "id: 1\ndata: a\n\ndata: b\n\nid: 3\ndata: c\n\n",
            after("3"),
        ),
    ] {
        expect_that!(resume_point(events), eq(&point), "{events:?}");
    }
}

#[gtest]
fn push_events_that_came_before_a_resumption() {
    let resumed = |first: &str, then: &str| {
        let mut splitter = EventSplitter::default();
        splitter.push(first.as_bytes());
        splitter.begin_resumed();
        let bytes = splitter.push(then.as_bytes());
        (bytes.len(), splitter.is_repeating())
    };
    for (last, next) in [("2", "1"), ("2", "2"), ("10", "9"), ("a", "a")] {
        let first = format!("id: {last}\ndata: x\n\n");
        let then = format!("id: {next}\ndata: x\n\nid: 77\ndata: y\n\n");
        expect_that!(resumed(&first, &then), eq((0, true)), "{next} after {last}");
    }
    for (last, next) in [("2", "3"), ("9", "10"), ("2", "5"), ("b", "a")] {
        let first = format!("id: {last}\ndata: x\n\n");
        let then = format!("id: {next}\ndata: x\n\n");
        let result = resumed(&first, &then);
        expect_that!(result, eq((then.len(), false)), "{next} after {last}");
    }
    // Later events are held to the same.
    let then = "id: 3\ndata: x\n\nid: 3\ndata: x\n\n";
    expect_that!(resumed("id: 2\ndata: x\n\n", then), eq((0, true)));
    // A stream of which no event had come begins anew.
    let then = "id: 1\ndata: x\n\n";
    expect_that!(resumed("id: 1\nda", then), eq((then.len(), false)));
}

#[gtest]
fn push_events_that_come_again_without_a_resumption() {
    for size in 1..60 {
        let mut splitter = EventSplitter::default();
        let stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: a\n\n";
        let mut complete = Vec::new();
        for piece in stream.as_bytes().chunks(size) {
            complete.extend_from_slice(&splitter.push(piece));
        }
        let text = String::from_utf8_lossy(&complete).into_owned();
        expect_true!(splitter.is_repeating(), "{size}");
        expect_false!(text.contains("id: 2\ndata: b\n\nid: 1"), "{size}");
    }
}
