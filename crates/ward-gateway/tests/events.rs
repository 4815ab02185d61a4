//! Splitting of streams into events.

use googletest::prelude::*;
use ward_gateway::events::{EventCursor, EventSplitter};

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
