//! Which connection a call uses, and that no answer meets a call that it doesn't belong to.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use ward_http::{CallBounds, CallError, HttpClient, HttpReply, UnpooledClient, json_request};
use ward_protocol::TimeSpan;

const BOUNDS: CallBounds = CallBounds {
    timeout: TimeSpan::from_millis(100),
    answer_bytes: 1 << 10,
};
/// Time after which a late answer comes.
const LATE: Duration = Duration::from_millis(200);

/// Parts of an answer, each written after a time.
type AnswerParts = Vec<(Duration, String)>;

/// Connections to a server, open ones and all so far.
#[derive(Clone, Default)]
struct ConnectionCounts {
    open: Arc<AtomicUsize>,
    all: Arc<AtomicUsize>,
}

/// Starts a server that answers the numbers in the bodies of requests as `parts` says.
async fn start_server(
    parts: impl Fn(u32) -> AnswerParts + Send + Sync + 'static,
) -> (SocketAddr, ConnectionCounts) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counts = ConnectionCounts::default();
    let (shared, parts) = (counts.clone(), Arc::new(parts));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            shared.all.fetch_add(1, Ordering::Relaxed);
            shared.open.fetch_add(1, Ordering::Relaxed);
            let (shared, parts) = (shared.clone(), Arc::clone(&parts));
            tokio::spawn(async move {
                serve(stream, &*parts).await;
                shared.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    (address, counts)
}

async fn serve(mut stream: TcpStream, parts: &impl Fn(u32) -> AnswerParts) {
    stream.set_nodelay(true).unwrap();
    let mut text = String::new();
    let mut buffer = vec![0; 4 << 10];
    loop {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return;
        }
        text.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
        // A body ends with a full stop.
        let Some(body) = text.strip_suffix('.') else {
            continue;
        };
        let number = body.rsplit("\r\n\r\n").next().unwrap().parse().unwrap();
        text.clear();
        for (delay, part) in parts(number) {
            tokio::time::sleep(delay).await;
            if stream.write_all(part.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

fn echo(number: u32) -> String {
    let body = number.to_string();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn prompt_echo(number: u32) -> AnswerParts {
    vec![(Duration::ZERO, echo(number))]
}

fn is_late(number: u32) -> bool {
    number % 3 == 2
}

/// Answers every third number late: all of it, from the middle of its head on, or from the
/// middle of its body on.
fn late_echo(number: u32, cut: impl Fn(&str) -> usize) -> AnswerParts {
    let text = echo(number);
    if !is_late(number) {
        return prompt_echo(number);
    }
    let (prompt, late) = text.split_at(cut(&text));
    vec![(Duration::ZERO, prompt.to_owned()), (LATE, late.to_owned())]
}

async fn call(
    client: &HttpClient,
    address: SocketAddr,
    number: u32,
    bounds: CallBounds,
) -> std::result::Result<HttpReply, CallError> {
    let body = format!("{number}.");
    let request = json_request(Method::POST, address, "/", body).unwrap();
    client.call(request, bounds).await
}

#[googletest::test]
#[tokio::test]
async fn late_answer_to_a_call_that_was_given_up_met_the_next_call() {
    let cuts: [fn(&str) -> usize; 3] = [
        |_| 0,
        |text| text.find("content").unwrap(),
        |text| text.len() - 1,
    ];
    // The next call comes at once, or after the late answer.
    for pause in [Duration::ZERO, LATE * 2] {
        for cut in cuts {
            let (address, counts) = start_server(move |number| late_echo(number, cut)).await;
            let client = HttpClient::new();
            for number in 10..19 {
                let result = call(&client, address, number, BOUNDS).await;
                if is_late(number) {
                    let error = result.unwrap_err();
                    expect_that!(error, pat!(CallError::Timeout(anything())), "{number}");
                    tokio::time::sleep(pause).await;
                } else {
                    let reply = result.unwrap();
                    expect_that!(reply.json::<u32>(), ok(eq(&number)));
                }
            }
            // Only the three connections whose answers were late are not used again.
            expect_that!(counts.all.load(Ordering::Relaxed), eq(4));
        }
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread")]
async fn answer_at_the_time_limit_met_the_next_call() {
    let bounds = CallBounds {
        timeout: TimeSpan::from_millis(4),
        ..BOUNDS
    };
    let (address, _) = start_server(|number| {
        let micros = 2_500 + u64::from(number % 13) * 200;
        vec![(Duration::from_micros(micros), echo(number))]
    })
    .await;
    let client = HttpClient::new();
    for number in 0..600 {
        // Whether it is given up depends on the machine; its answer must be its own.
        if let Ok(reply) = call(&client, address, number, bounds).await {
            expect_that!(reply.json::<u32>(), ok(eq(&number)));
        }
    }
}

#[googletest::test]
#[tokio::test]
async fn unpooled_call_has_a_connection_of_its_own() {
    let (address, counts) = start_server(prompt_echo).await;
    let client = UnpooledClient::new();
    for number in 0..4 {
        let body = format!("{number}.");
        let request = json_request(Method::POST, address, "/", body).unwrap();
        let reply = client.call(request, BOUNDS).await.unwrap();
        expect_that!(reply.json::<u32>(), ok(eq(&number)));
    }
    expect_that!(counts.all.load(Ordering::Relaxed), eq(4));
    tokio::time::sleep(LATE).await;
    expect_that!(counts.open.load(Ordering::Relaxed), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn pooled_calls_share_a_connection() {
    let (address, counts) = start_server(prompt_echo).await;
    let client = HttpClient::new();
    for number in 0..4 {
        let reply = call(&client, address, number, BOUNDS).await.unwrap();
        expect_that!(reply.json::<u32>(), ok(eq(&number)));
    }
    expect_that!(counts.all.load(Ordering::Relaxed), eq(1));
}
