//! Heads of answers inside bodies.

use googletest::prelude::*;
use http::HeaderValue;
use ward_adapter::AnswerMarks;
use ward_adapter::served::signed_answer_headers;
use ward_gateway::embedded::{HeadFinding, HeadScanner};

/// What a body shows of another answer, when it comes in pieces of this size.
fn finding(body: &str, size: usize) -> HeadFinding {
    let id = HeaderValue::from_static("r1");
    let marks = AnswerMarks::of(&signed_answer_headers(Some(&id), "s1"));
    let mut scanner = HeadScanner::new(marks);
    for piece in body.as_bytes().chunks(size) {
        scanner.advance(piece);
    }
    scanner.finding_at_end()
}

fn expect_finding(body: &str, expected: HeadFinding) {
    for size in 1..=body.len() {
        expect_that!(finding(body, size), eq(expected), "{body:?} in {size}");
    }
}

#[gtest]
fn copy_completed_a_broken_off_body_in_any_pieces() {
    for copy in [
        "HTTP/1.1 200 OK\r\nX-Persimmonward-Request-Id: r1\r\n\r\nthe bo",
        "HTTP/1.1 200 OK\r\ncontent-length: 8\r\nx-persimmonward-server-signature: s1\r\n",
    ] {
        expect_finding(&format!("the {copy}"), HeadFinding::Copy);
        expect_finding(&format!("id: 1\ndata: a\n\nid: 2{copy}"), HeadFinding::Copy);
    }
    let long = "x".repeat(5_000);
    let body = format!("{long}HTTP/1.1 200 OK\r\nX-Persimmonward-Request-Id: r1\r\n\r\n{long}");
    expect_that!(finding(&body, 700), eq(HeadFinding::Copy));
}

#[gtest]
fn body_that_ends_within_a_head_or_quotes_another_is_settled_by_its_connection() {
    for body in [
        "the H",
        "the HTTP/1.1 2",
        "the HTTP/1.1 200 OK",
        "the HTTP/1.1 200 OK is a status line.\n",
        "the HTTP/1.1 200 OK\r\nConnection: close\r\nX-Persimmonward-Req",
        "see:\nHTTP/1.1 200 OK\nX-Persimmonward-Request-Id: other\n\nand so on\n",
    ] {
        expect_finding(body, HeadFinding::Possible);
    }
}

#[gtest]
fn body_that_holds_such_text_is_not_refused() {
    for body in [
        "HTTP/1.1 200 OK is a status line.\nThat is all.\n",
        "POST /a HTTP/1.1\r\nX-Persimmonward-Request-Id: r1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc\nX-Persimmonward-Request-Id: r1\n",
        "HTTP/1.1 200 OK\nno field\nX-Persimmonward-Request-Id: r1\n",
        "data: HTTP/1.1 200 OK\ndata: X-Persimmonward-Request-Id: r1\n\n",
        "the body",
    ] {
        expect_finding(body, HeadFinding::Nothing);
    }
}
