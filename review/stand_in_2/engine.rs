//! Stand-in for a model engine that holds one model, loads its adapters on orders and answers
//! with streams, which it continues after `Last-Event-Id`. It doesn't check fence numbers, as
//! where `requireFencing` is false.

use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, serve, write_answer};
use crate::record::Record;
use crate::store::Store;

pub const MODEL: &str = "daka510000";
pub const ADAPTER_SLOTS: usize = 8;
const ADAPTER_LOAD: Duration = Duration::from_millis(5);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// An order as it arrived.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Duration,
    pub holder: String,
    pub fence: u64,
}

/// An adapter in a slot of the engine.
struct Adapter {
    name: String,
    /// From when on requests may use it.
    ready: Instant,
    /// Requests that use it.
    users: usize,
    /// Whether it is dropped when the last of them has ended.
    unloading: bool,
}

#[derive(Default)]
struct State {
    sequence: u64,
    adapters: Vec<Adapter>,
    running: usize,
}

impl State {
    /// Whether an order is in progress: the unloading of an adapter that requests use.
    fn is_busy(&self) -> bool {
        self.adapters.iter().any(|held| held.unloading)
    }
}

/// What differs between engines.
#[derive(Clone, Copy)]
pub struct EnginePlan {
    pub id: &'static str,
    /// Version of the software.
    pub version: &'static str,
    /// Events of each stream, and the pause before each.
    pub events: u64,
    pub pause: Duration,
}

#[derive(Clone)]
pub struct Engine {
    plan: EnginePlan,
    id: String,
    state: Arc<Mutex<State>>,
    pub orders: Arc<Mutex<Vec<Order>>>,
    record: Record,
}

impl Engine {
    pub fn start(plan: EnginePlan, ip: IpAddr, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let engine = Self {
            plan,
            id: plan.id.to_owned(),
            state: Arc::default(),
            orders: Arc::default(),
            record: record.clone(),
        };
        let served = engine.clone();
        serve(listener, move |request, stream| served.answer(request, stream));
        let (reporting, store) = (engine.clone(), store.clone());
        thread::spawn(move || reporting.report_status(address, &store));
        Ok(engine)
    }

    fn report_status(&self, address: SocketAddr, store: &Store) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis());
        for sequence in 1_u64.. {
            let entry = format!(
                "{{\"service\":\"huvo11a\",\"address\":\"{address}\",\"zone\":\"be-central-a\",\
                 \"version\":\"{}\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"stage\":\"both\",\"models\":{},\"sequence\":{sequence},\"born\":{born}}}",
                self.plan.version,
                self.models()
            );
            store.put("keyed.servers", &self.id, entry.as_bytes());
            thread::sleep(HEARTBEAT);
        }
    }

    fn models(&self) -> String {
        let state = self.state.lock().unwrap();
        let names: Vec<_> = state.adapters.iter().map(|held| format!("\"{}\"", held.name)).collect();
        let names = names.join(",");
        format!("[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[{names}]}}]")
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let expected = request.header("x-persimmonward-expected-instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = [("X-Persimmonward-Instance-Id", self.id.as_str())];
            return write_answer(stream, "421 Misdirected Request", &headers, b"");
        }
        match request.path() {
            "/-/report" => {
                let models = self.models();
                let state = self.state.lock().unwrap();
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":{models},\"busy\":{},\"sequence\":{},\
                     \"waiting\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":194790,\"handles\":0}}",
                    state.is_busy(), state.sequence, state.running
                );
                drop(state);
                write_answer(stream, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/-/order" => self.answer_order(request, stream),
            "/health" => write_answer(stream, "200 OK", &[("X-Persimmonward-Instance-Id", &self.id)], b""),
            _ => self.run(request, stream),
        }
    }

    fn answer_order(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let operation = field(&text, "operation");
        let adapter = field(&text, "adapter");
        let holder = field(&text, "holder");
        let fence = field(&text, "fence").parse().unwrap_or(0);
        let expect = field(&text, "expect").parse().ok();
        let at = self.record.elapsed();
        self.orders.lock().unwrap().push(Order { at, holder: holder.clone(), fence });
        let status = self.carry_out(&operation, &adapter, expect);
        self.record.line(&format!(
            "order at {}: {operation} {}/{adapter} holder {holder} fence {fence} expect {expect:?} -> {status}",
            self.id,
            field(&text, "model")
        ));
        write_answer(stream, status, &[], b"")
    }

    fn carry_out(&self, operation: &str, adapter: &str, expect: Option<u64>) -> &'static str {
        let mut state = self.state.lock().unwrap();
        if adapter.is_empty() {
            return if operation == "load" { "200 OK" } else { "400 Bad Request" };
        }
        let held = state.adapters.iter().position(|held| held.name == adapter);
        if state.is_busy() || expect.is_some_and(|expect| expect != state.sequence) {
            return "409 Conflict";
        }
        match (operation, held) {
            ("load", Some(_)) | ("unload", None) => "200 OK",
            ("load", None) if state.adapters.len() >= ADAPTER_SLOTS => {
                self.record.line("LIMIT: more adapters than slots are ordered");
                "400 Bad Request"
            }
            ("load", None) => {
                state.sequence += 1;
                let ready = Instant::now() + ADAPTER_LOAD;
                state.adapters.push(Adapter { name: adapter.to_owned(), ready, users: 0, unloading: false });
                "202 Accepted"
            }
            (_, Some(index)) => {
                state.sequence += 1;
                if state.adapters[index].users == 0 {
                    state.adapters.remove(index);
                    "200 OK"
                } else {
                    state.adapters[index].unloading = true;
                    "202 Accepted"
                }
            }
            _ => "400 Bad Request",
        }
    }

    fn run(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("x-persimmonward-request-id").unwrap_or_default().to_owned();
        let model = request.header("x-persimmonward-model").unwrap_or_default();
        let (name, adapter) = model.split_once('/').unwrap_or((model, ""));
        let Some(refusal) = self.begin(name, adapter) else {
            self.record.line(&format!("run at {} ({}): request {id} for {model} after event {}", self.id, self.plan.version, last_event(request)));
            let is_whole = self.stream(&id, last_event(request), stream).is_ok();
            self.end(adapter);
            return is_whole;
        };
        let headers = [("X-Persimmonward-Request-Id", id.as_str()), ("X-Persimmonward-Not-Executed", "1")];
        write_answer(stream, refusal, &headers, b"")
    }

    /// Begins a run; returns the status of the refusal if the engine refuses it.
    fn begin(&self, model: &str, adapter: &str) -> Option<&'static str> {
        let mut state = self.state.lock().unwrap();
        if model != MODEL {
            return Some("421 Misdirected Request");
        }
        if !adapter.is_empty() {
            let held = state.adapters.iter_mut().find(|held| held.name == adapter);
            let Some(held) = held.filter(|held| held.ready <= Instant::now()) else {
                return Some("421 Misdirected Request");
            };
            if held.unloading {
                return Some("503 Service Unavailable");
            }
            held.users += 1;
        }
        state.running += 1;
        None
    }

    fn end(&self, adapter: &str) {
        let mut state = self.state.lock().unwrap();
        state.running -= 1;
        if let Some(held) = state.adapters.iter_mut().find(|held| held.name == adapter) {
            held.users -= 1;
        }
        state.adapters.retain(|held| !held.unloading || held.users > 0);
    }

    fn stream(&self, id: &str, after: u64, stream: &mut TcpStream) -> std::io::Result<()> {
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Persimmonward-Request-Id: {id}\r\n\
             X-Persimmonward-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in after + 1..=self.plan.events {
            thread::sleep(self.plan.pause);
            let event = format!("id: {number}\ndata: {} part {number}\n\n", self.plan.version);
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn last_event(request: &Message) -> u64 {
    request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0)
}

/// The value of a field of a flat JSON object as text, empty if it is missing.
fn field(text: &str, name: &str) -> String {
    let Some((_, rest)) = text.split_once(&format!("\"{name}\":")) else {
        return String::new();
    };
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim().trim_matches('"').to_owned()
}
