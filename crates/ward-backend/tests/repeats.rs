//! An engine that writes its answer to an order or a status query once more on a kept
//! connection, where the answer to the next one is expected.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use googletest::prelude::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use ward_backend::order::send_order;
use ward_backend::status::fetch_status;
use ward_http::UnpooledClient;
use ward_protocol::{
    BackendId, BackendOrder, BackendStatus, EngineRole, FenceNumber, MemorySize, OrderKind,
    OrderRefusal, OrderResult, RecordId, TimeSpan,
};

const TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Answers in the order in which requests come, whatever their connections.
type AnswerList = Arc<Mutex<Vec<String>>>;

/// Starts an engine that gives these answers one after another, and before each writes the
/// former one on the same connection once more.
async fn repeating_engine(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answers: AnswerList = Arc::new(Mutex::new(answers));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&answers)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answers: AnswerList) {
    let mut buffer = vec![0; 64 << 10];
    let mut former = String::new();
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        let answer = answers.lock().unwrap().remove(0);
        let text = former + &answer;
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        former = answer;
    }
}

fn answer(status: &str, body: &impl serde::Serialize) -> String {
    let body = serde_json::to_string(body).unwrap();
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn order(key: &str) -> BackendOrder {
    BackendOrder {
        order: RecordId::random(),
        fence: FenceNumber(1),
        kind: OrderKind::Load {
            key: key.parse().unwrap(),
            memory: MemorySize::from_gib(10),
        },
    }
}

#[googletest::test]
#[tokio::test]
async fn repeated_order_answer_was_taken_for_that_of_the_next_order() {
    let taken = answer("200 OK", &json!({"taken": true}));
    let refused = answer("409 Conflict", &OrderRefusal::Memory);
    let address = repeating_engine(vec![taken.clone(), refused, taken]).await;
    let client = UnpooledClient::new();
    let mut results = Vec::new();
    for key in ["a@1", "b@1", "c@1"] {
        results.push(send_order(&client, address, &order(key), TIMEOUT).await);
    }
    let memory = OrderResult::Refused(OrderRefusal::Memory);
    expect_that!(
        results,
        eq(&vec![OrderResult::Taken, memory, OrderResult::Taken])
    );
}

fn status(id: &BackendId, running: u32) -> BackendStatus {
    BackendStatus {
        backend: id.clone(),
        boot: 1,
        fence: FenceNumber(1),
        role: EngineRole::Standby,
        memory: MemorySize::from_gib(24),
        resident: Vec::new(),
        cached: Vec::new(),
        running,
        queued: 0,
        leaving: false,
    }
}

#[googletest::test]
#[tokio::test]
async fn repeated_status_was_taken_for_a_new_one() {
    let id: BackendId = "engine-1".parse().unwrap();
    let answers = (0..3).map(|running| answer("200 OK", &status(&id, running)));
    let address = repeating_engine(answers.collect()).await;
    let client = UnpooledClient::new();
    for running in 0..3 {
        let status = fetch_status(&client, address, &id, TIMEOUT).await.unwrap();
        expect_that!(status.running, eq(running));
    }
}
