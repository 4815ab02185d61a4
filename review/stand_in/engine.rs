//! An engine or backend server, as a process of its own: `stand-in engine KEY=VALUE...`.
//!
//! It registers in the platform's store, answers requests, and writes a line to the run
//! log for each step of a run, so that the case can tell what ran where and when.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Conn, Head};
use crate::{body_of, now_ms, HEARTBEAT_MS};

/// How an engine gives an answer that is not a stream.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// With a length.
    Length,
    /// Without a length; it ends with its connection.
    Unframed,
    /// With a length; broken off in the middle, and then written once more in full.
    SecondCopy,
}

struct Engine {
    options: HashMap<String, String>,
    id: String,
    log: Mutex<File>,
    answers: AtomicU64,
    orders: Mutex<Orders>,
    born: u64,
}

struct Orders {
    models: Vec<String>,
    sequence: u64,
    fence: u64,
}

/// Runs an engine until the process is killed.
pub fn run(arguments: &[String]) -> ! {
    let pairs = arguments.iter().filter_map(|pair| pair.split_once('='));
    let options: HashMap<String, String> =
        pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
    let address: SocketAddr = options["address"].parse().expect("address");
    let listener = TcpListener::bind(address).expect("the engine's port");
    let address = listener.local_addr().expect("the engine's address");
    let log = OpenOptions::new().append(true).create(true).open(&options["log"]);
    let models = options.get("models").map_or("", String::as_str);
    let models = models.split(',').filter(|name| !name.is_empty());
    let engine = Arc::new(Engine {
        id: options["id"].clone(),
        log: Mutex::new(log.expect("the run log")),
        answers: AtomicU64::new(0),
        orders: Mutex::new(Orders {
            models: models.map(str::to_owned).collect(),
            sequence: 0,
            fence: 0,
        }),
        born: now_ms() as u64,
        options,
    });
    println!("{address}");
    let heart = Arc::clone(&engine);
    std::thread::spawn(move || heart.beat(address));
    for stream in listener.incoming().flatten() {
        let engine = Arc::clone(&engine);
        std::thread::spawn(move || engine.serve(Conn::new(stream)));
    }
    std::process::exit(0);
}

impl Engine {
    fn number(&self, name: &str) -> u64 {
        let value = self.options.get(name).map(|text| text.parse::<f64>());
        value.and_then(Result::ok).unwrap_or(0.0) as u64
    }

    /// Whether a window is open that begins each `every` ms after `start` and lasts `length`
    /// ms; the options are named NAME_start, NAME_every, NAME_length and NAME_rounds.
    fn is_within(&self, name: &str) -> bool {
        let option = |part: &str| self.number(&format!("{name}_{part}")) as f64;
        let (start, length) = (option("start"), option("length"));
        let since = now_ms() - start;
        if start == 0.0 || since < 0.0 {
            return false;
        }
        let every = option("every").max(length + 1.0);
        since / every < option("rounds").max(1.0) && since % every < length
    }

    fn log(&self, request: &str, what: &str) {
        let line = format!("{:.0} {request} {} {what}\n", now_ms(), self.id);
        let _ = self.log.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes the engine's entry into the store, again and again.
    fn beat(&self, address: SocketAddr) {
        let store: SocketAddr = self.options["store"].parse().expect("store");
        for sequence in 1_u64.. {
            let models = self.models_json();
            let entry = format!(
                "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{models}],\"sequence\":{sequence},\"born\":{}}}",
                self.options["service"], self.options["zone"],
                self.options.get("version").map_or("v1", String::as_str), self.number("slots"), self.born
            );
            let mut content = vec![self.id.len() as u8];
            content.extend_from_slice(self.id.as_bytes());
            content.extend_from_slice(entry.as_bytes());
            let mut body = (content.len() as u32).to_be_bytes().to_vec();
            body.extend_from_slice(&content);
            if let Ok(stream) = TcpStream::connect(store) {
                let mut conn = Conn::new(stream);
                let head = format!(
                    "POST /-/log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let _ = conn.write(head.as_bytes()).and_then(|()| conn.write(&body));
                let _ = conn.read_head();
            }
            std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }

    fn models_json(&self) -> String {
        let orders = self.orders.lock().unwrap();
        let models = orders.models.iter();
        let models = models.map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"));
        models.collect::<Vec<_>>().join(",")
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let body = conn.read_request_body(&head);
            if !body.complete {
                return;
            }
            let expected = head.get("x-persimmonward-expected-instance");
            let keeps = if expected.is_some_and(|expected| expected != self.id) {
                let id = format!("X-Persimmonward-Instance-Id: {}\r\n", self.id);
                self.answer(&mut conn, &head, 421, &id, b"")
            } else {
                match head.word(1) {
                    "/health" => {
                        let id = format!("X-Persimmonward-Instance-Id: {}\r\n", self.id);
                        self.answer(&mut conn, &head, 200, &id, b"")
                    }
                    "/-/report" => {
                        let report = self.report();
                        self.answer(&mut conn, &head, 200, "", report.as_bytes())
                    }
                    "/-/order" => {
                        let status = self.order(&String::from_utf8_lossy(&body.bytes));
                        self.answer(&mut conn, &head, status, "", b"")
                    }
                    _ => self.run_request(&mut conn, &head, &body.bytes),
                }
            };
            if !keeps {
                return;
            }
        }
    }

    /// Writes an answer with a length; returns whether the connection is kept.
    fn answer(&self, conn: &mut Conn, head: &Head, status: u16, headers: &str, body: &[u8]) -> bool {
        let id = head.get("x-persimmonward-request-id").unwrap_or("");
        let id = if id.is_empty() { String::new() } else { format!("X-Persimmonward-Request-Id: {id}\r\n") };
        let text = format!("HTTP/1.1 {status} X\r\n{id}{headers}Content-Length: {}\r\n\r\n", body.len());
        conn.write(text.as_bytes()).and_then(|()| conn.write(body)).is_ok()
    }

    fn report(&self) -> String {
        let models = self.models_json();
        let sequence = self.orders.lock().unwrap().sequence;
        format!("{{\"stage\":\"both\",\"models\":[{models}],\"busy\":false,\"sequence\":{sequence},\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":200000,\"handles\":0,\"state\":\"ready\"}}")
    }

    /// Carries out an order at once; returns the status of the answer.
    fn order(&self, text: &str) -> u16 {
        let field = |name: &str| {
            let rest = text.split(&format!("\"{name}\":")).nth(1)?;
            let value = rest.trim_start_matches('"');
            let end = value.find(['"', ',', '}'])?;
            Some(value[..end].to_owned())
        };
        let (Some(operation), Some(model)) = (field("operation"), field("model")) else { return 400 };
        let Some(fence) = field("fence").and_then(|text| text.parse::<u64>().ok()) else { return 400 };
        let mut orders = self.orders.lock().unwrap();
        if fence < orders.fence {
            return 412;
        }
        orders.fence = fence;
        let expect = field("expect").and_then(|text| text.parse::<u64>().ok());
        if expect.is_some_and(|expect| expect != orders.sequence) {
            return 409;
        }
        let holds = orders.models.contains(&model);
        if field("adapter").is_some() || (operation == "load") == holds {
            return 200;
        }
        orders.sequence += 1;
        if operation == "load" {
            orders.models.push(model);
        } else {
            orders.models.retain(|name| *name != model);
        }
        202
    }

    fn run_request(&self, conn: &mut Conn, head: &Head, body: &[u8]) -> bool {
        let Some(id) = head.get("x-persimmonward-request-id").map(str::to_owned) else {
            return self.answer(conn, head, 400, "X-Persimmonward-Not-Executed: 1\r\n", b"");
        };
        if self.options.get("kind").is_some_and(|kind| kind == "stream") {
            return self.run_stream(conn, head, &id);
        }
        self.log(&id, &format!("runs {} {} body={}", head.word(0), head.word(1), body.len()));
        std::thread::sleep(Duration::from_millis(self.number("work_ms")));
        if self.is_endless() {
            return self.write_endless_head(conn, &id);
        }
        let framing = self.next_framing();
        let text = body_of(&id);
        let (first, second) = text.as_bytes().split_at(text.len() / 2);
        let signature = format!(
            "X-Persimmonward-Request-Id: {id}\r\nX-Persimmonward-Server-Signature: {}.{}\r\n",
            self.id, id
        );
        let length = match framing {
            Framing::Unframed => "Connection: close\r\n".to_owned(),
            Framing::Length | Framing::SecondCopy => format!("Content-Length: {}\r\n", text.len()),
        };
        let answer_head = format!("HTTP/1.1 200 OK\r\n{signature}{length}\r\n");
        let begun = conn.write(answer_head.as_bytes()).and_then(|()| conn.write(first));
        match framing {
            Framing::Unframed => self.log(&id, "wrote half of an answer without a length"),
            Framing::SecondCopy => self.log(&id, "wrote half of an answer and breaks off"),
            Framing::Length => {}
        }
        std::thread::sleep(Duration::from_millis(self.number("pause_ms")));
        let ended = begun.and_then(|()| match framing {
            Framing::SecondCopy => conn.write(answer_head.as_bytes()).and_then(|()| conn.write(text.as_bytes())),
            Framing::Length | Framing::Unframed => conn.write(second),
        });
        self.log(&id, if ended.is_ok() { "wrote all" } else { "could not write" });
        ended.is_ok() && framing == Framing::Length
    }

    /// Whether the next answer begins without end: one in so many within the window.
    fn is_endless(&self) -> bool {
        if self.options.get("fault").map(String::as_str) != Some("endless") || !self.is_within("fault") {
            return false;
        }
        self.answers.fetch_add(1, Ordering::Relaxed) % self.number("one_in").max(1) == 0
    }

    /// Writes bytes that are no answer until the connection is closed.
    fn write_endless_head(&self, conn: &mut Conn, id: &str) -> bool {
        self.log(id, "writes without end");
        let bytes = "HTTP/1.1 100 Continue\r\n\r\n".repeat(40_000);
        while conn.write(bytes.as_bytes()).is_ok() {}
        self.log(id, "is closed by the other side");
        false
    }

    /// How the next answer is given: within the window of the fault, one in so many is
    /// faulty.
    fn next_framing(&self) -> Framing {
        let fault = match self.options.get("fault").map(String::as_str) {
            Some("unframed") => Framing::Unframed,
            Some("second_copy") => Framing::SecondCopy,
            _ => return Framing::Length,
        };
        if !self.is_within("fault") {
            return Framing::Length;
        }
        let count = self.answers.fetch_add(1, Ordering::Relaxed);
        if count % self.number("one_in").max(1) == 0 { fault } else { Framing::Length }
    }

    /// Runs a stream: an event after each step. The engine sees that the connection has
    /// closed when it writes the next event.
    fn run_stream(&self, conn: &mut Conn, head: &Head, id: &str) -> bool {
        let after = head.get("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        self.log(id, &format!("runs from event {}", after + 1));
        let answer_head = format!(
            "HTTP/1.1 200 OK\r\nX-Persimmonward-Request-Id: {id}\r\nX-Persimmonward-Server-Signature: {}.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut is_begun = false;
        for event in after + 1..=self.number("events") {
            self.step(id, event, after);
            let text = event_text(id, event);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            let bytes = if is_begun { chunk } else { format!("{answer_head}{chunk}") };
            is_begun = true;
            if conn.write(bytes.as_bytes()).is_err() {
                self.log(id, &format!("drops the run at event {event}"));
                return false;
            }
            self.log(id, &format!("wrote event {event}"));
        }
        let ended = conn.write(b"0\r\n\r\n");
        self.log(id, "ends the run");
        ended.is_ok()
    }

    /// The work for one event. While slow, it takes `slow_x` times as long. A run that is
    /// preempted waits `preempt_ms` before its second event, and is then read anew.
    fn step(&self, id: &str, event: u64, after: u64) {
        let mut millis = self.number("step_ms");
        if self.is_within("slow") {
            millis *= self.number("slow_x").max(1);
        }
        if event == after + 2 && self.number("preempt_ms") > 0 {
            self.log(id, "is preempted");
            millis += self.number("preempt_ms");
        }
        std::thread::sleep(Duration::from_millis(millis));
    }
}

/// One event of a stream.
pub fn event_text(id: &str, event: u64) -> String {
    format!("id: {event}\ndata: {id} piece {event}\n\n")
}
