//! Stand-in of a model engine, by the pages' sections on engines and model placement.

use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::record::Journal;
use crate::store::Store;

/// Time that an adapter takes to load.
const ADAPTER_TIME: Duration = Duration::from_millis(8);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What an engine is and holds at its start.
#[derive(Debug, Clone)]
pub struct EngineClass {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub models: Vec<String>,
    pub adapter_slots: usize,
    /// Time between two events of a stream.
    pub gap: Duration,
}

#[derive(Debug)]
struct Adapter {
    model: String,
    name: String,
    /// When it is loaded; it is coming until then.
    ready_at: Instant,
    /// Whether it is dropped once the runs that use it have ended.
    unloading: bool,
    running: u32,
}

struct State {
    adapters: Vec<Adapter>,
    sequence: u64,
    fence: u64,
    heartbeat: u64,
    crashed: bool,
    /// Connections that end with the process.
    connections: Vec<TcpStream>,
    /// The holder that sent the last order.
    holder: Option<String>,
    /// Orders to load more adapters than there are slots.
    excess_orders: u32,
}

/// An engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    class: EngineClass,
    pub address: SocketAddr,
    born: u128,
    state: Arc<Mutex<State>>,
    journal: Journal,
    store: Store,
}

impl Engine {
    /// Starts an engine, which registers itself in the store.
    pub fn start(class: EngineClass, store: &Store, journal: &Journal) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Self {
            address: listener.local_addr().expect("an address"),
            class,
            born: now.expect("a time after 1970").as_millis(),
            state: Arc::new(Mutex::new(State {
                adapters: Vec::new(),
                sequence: 0,
                fence: 0,
                heartbeat: 0,
                crashed: false,
                connections: Vec::new(),
                holder: None,
                excess_orders: 0,
            })),
            journal: journal.clone(),
            store: store.clone(),
        };
        let beating = engine.clone();
        thread::spawn(move || beating.beat());
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(&listener));
        engine
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic holds it")
    }

    /// The daemon that sent the last order.
    pub fn holder(&self) -> Option<String> {
        self.lock().holder.clone()
    }

    /// Orders to load more adapters than there are slots.
    pub fn excess_orders(&self) -> u32 {
        self.lock().excess_orders
    }

    /// Number of adapters that are loaded.
    pub fn adapter_count(&self) -> usize {
        self.lock().adapters.len()
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.lock().crashed {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                self.lock().connections.push(copy);
            }
            let engine = self.clone();
            thread::spawn(move || drop(engine.serve(stream)));
        }
    }

    fn beat(&self) {
        loop {
            let mut state = self.lock();
            if state.crashed {
                return;
            }
            state.heartbeat += 1;
            let heartbeat = state.heartbeat;
            let models = self.models_json(&state);
            drop(state);
            let Self { class, address, born, .. } = self;
            let EngineClass { id, service, zone, slots, .. } = class;
            let entry = format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldRemainingMs":0,"stage":"both","models":{models},"sequence":{heartbeat},"born":{born}}}"#
            );
            self.store.put("keyed.servers", id, entry.as_bytes());
            thread::sleep(HEARTBEAT);
        }
    }

    fn models_json(&self, state: &State) -> String {
        let now = Instant::now();
        let models = self.class.models.iter().map(|model| {
            let held = state.adapters.iter();
            let held = held.filter(|held| held.model == *model && held.ready_at <= now);
            let names: Vec<String> = held.map(|held| format!("\"{}\"", held.name)).collect();
            let names = names.join(",");
            format!(r#"{{"name":"{model}","version":1,"adapters":[{names}]}}"#)
        });
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let expected = head.get("x-persimmonward-expected-instance");
            if expected.is_some_and(|id| id != self.class.id) {
                let id = ("X-Persimmonward-Instance-Id", self.class.id.clone());
                http::write_answer(&mut writer, "421 Misdirected Request", &[id], b"")?;
                continue;
            }
            match head.word(1) {
                "/-/order" => self.take_order(&mut writer, &body)?,
                "/-/report" => self.write_report(&mut writer)?,
                "/health" => {
                    let id = ("X-Persimmonward-Instance-Id", self.class.id.clone());
                    http::write_answer(&mut writer, "200 OK", &[id], b"")?;
                }
                _ => self.run(&mut writer, &head)?,
            }
        }
        Ok(())
    }

    fn write_report(&self, writer: &mut TcpStream) -> io::Result<()> {
        let state = self.lock();
        let now = Instant::now();
        let coming = state.adapters.iter().filter(|held| held.ready_at > now);
        let coming: Vec<String> = coming
            .map(|held| format!("\"{}/{}@1\"", held.model, held.name))
            .collect();
        let text = format!(
            r#"{{"stage":"both","models":{},"coming":[{}],"busy":false,"sequence":{},"waiting":0,"running":{},"kvUsed":0,"kvTotal":232000,"handles":0,"born":{}}}"#,
            self.models_json(&state),
            coming.join(","),
            state.sequence,
            state.adapters.iter().map(|held| held.running).sum::<u32>(),
            self.born,
        );
        drop(state);
        let kind = ("Content-Type", "application/json".to_owned());
        http::write_answer(writer, "200 OK", &[kind], text.as_bytes())
    }

    fn take_order(&self, writer: &mut TcpStream, body: &[u8]) -> io::Result<()> {
        let text = String::from_utf8_lossy(body).into_owned();
        let order = Order::read(&text);
        let mut state = self.lock();
        let held = state.adapters.len();
        let status = self.decide(&mut state, &order);
        self.journal.line(&format!(
            "order to {} with {held} of {} adapters: {text} -> {status}",
            self.class.id, self.class.adapter_slots,
        ));
        if state.crashed {
            for connection in &state.connections {
                drop(connection.shutdown(Shutdown::Both));
            }
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        drop(state);
        http::write_answer(writer, status, &[], b"")
    }

    fn decide(&self, state: &mut State, order: &Order) -> &'static str {
        const ACCEPTED: &str = "202 Accepted";
        const HOLDS: &str = "200 OK";
        const CONFLICT: &str = "409 Conflict";
        let (Some(holder), Some(fence)) = (&order.holder, order.fence) else {
            return "400 Bad Request";
        };
        if fence < state.fence {
            return "412 Precondition Failed";
        }
        state.fence = fence;
        state.holder = Some(holder.clone());
        let Some(adapter) = &order.adapter else {
            // Nothing in these cases needs another model.
            return CONFLICT;
        };
        if !self.class.models.contains(&order.model) {
            return "400 Bad Request";
        }
        if order.expect.is_some_and(|expect| expect != state.sequence) {
            return CONFLICT;
        }
        let is_meant = |held: &Adapter| held.model == order.model && held.name == *adapter;
        let place = state.adapters.iter().position(is_meant);
        match (order.operation.as_str(), place) {
            ("load", Some(place)) if !state.adapters[place].unloading => HOLDS,
            ("load", Some(_)) => CONFLICT,
            ("load", None) if state.adapters.len() >= self.class.adapter_slots => {
                state.excess_orders += 1;
                state.crashed = true;
                let adapters = state.adapters.iter();
                let running: u32 = adapters.map(|held| held.running).sum();
                self.journal.line(&format!(
                    "LIMIT: {} is ordered to load {}/{adapter} while its {} slots hold adapters; it crashes under {running} runs",
                    self.class.id, order.model, self.class.adapter_slots,
                ));
                ACCEPTED
            }
            ("load", None) => {
                state.adapters.push(Adapter {
                    model: order.model.clone(),
                    name: adapter.clone(),
                    ready_at: Instant::now() + ADAPTER_TIME,
                    unloading: false,
                    running: 0,
                });
                state.sequence += 1;
                ACCEPTED
            }
            ("unload", None) => HOLDS,
            // An adapter that no request uses is unloaded immediately.
            ("unload", Some(place)) if state.adapters[place].running == 0 => {
                state.adapters.remove(place);
                state.sequence += 1;
                HOLDS
            }
            // An unload waits for its runs to finish and then drops what the engine kept.
            ("unload", Some(place)) => {
                state.adapters[place].unloading = true;
                state.sequence += 1;
                ACCEPTED
            }
            _ => "400 Bad Request",
        }
    }

    /// Runs a request: a stream of events.
    fn run(&self, writer: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.get("x-persimmonward-request-id").unwrap_or("").to_owned();
        let echo = ("X-Persimmonward-Request-Id", id.clone());
        let requested = head.get("x-persimmonward-model").unwrap_or("").to_owned();
        let (model, adapter) = requested.split_once('/').unwrap_or((&requested, ""));
        let mut state = self.lock();
        let now = Instant::now();
        let is_meant = |held: &Adapter| held.model == model && held.name == adapter && held.ready_at <= now;
        let place = state.adapters.iter().position(is_meant);
        let has_model = self.class.models.iter().any(|held| held == model);
        if !has_model || (place.is_none() && !adapter.is_empty()) {
            drop(state);
            return http::write_answer(writer, "421 Misdirected Request", &[echo], b"");
        }
        if place.is_some_and(|place| state.adapters[place].unloading) {
            drop(state);
            let not_run = ("X-Persimmonward-Not-Executed", "1".to_owned());
            return http::write_answer(writer, "503 Service Unavailable", &[echo, not_run], b"");
        }
        if let Some(place) = place {
            state.adapters[place].running += 1;
        }
        drop(state);
        self.journal.line(&format!("{} runs {id} ({requested})", self.class.id));
        let result = self.stream(writer, &echo, event_count(head));
        let mut state = self.lock();
        if let Some(held) = state.adapters.iter_mut().find(|held| held.model == model && held.name == adapter) {
            held.running -= 1;
        }
        state.adapters.retain(|held| !held.unloading || held.running > 0);
        drop(state);
        let end = if result.is_ok() { "to its end" } else { "until its connection ended" };
        self.journal.line(&format!("{} has run {id} {end}", self.class.id));
        result
    }

    fn stream(&self, writer: &mut TcpStream, echo: &(&str, String), events: u32) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}: {}\r\nX-Persimmonward-Server-Signature: sig.{}\r\nTransfer-Encoding: chunked\r\n\r\n",
            echo.0, echo.1, self.class.id,
        );
        io::Write::write_all(writer, head.as_bytes())?;
        for number in 1..=events {
            if number > 1 {
                wait_open(writer, self.class.gap)?;
            }
            let event = format!("id: {number}\ndata: {}-{number}\n\n", echo.1);
            http::write_chunk(writer, event.as_bytes())?;
        }
        http::write_chunk(writer, b"")
    }
}

/// Events of the answer to a request: one for five tokens, of as many as it allows.
fn event_count(head: &Head) -> u32 {
    let tokens = head.get("x-persimmonward-token-count").unwrap_or("");
    let output = tokens.split_once(',').and_then(|(_, output)| output.parse().ok());
    output.unwrap_or(5_u32).div_ceil(5)
}

/// Waits, unless the other end closes the connection first.
fn wait_open(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let until = Instant::now() + time;
    let mut byte = [0];
    while Instant::now() < until {
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut byte);
        stream.set_nonblocking(false)?;
        match peeked {
            Ok(0) => return Err(io::ErrorKind::ConnectionAborted.into()),
            Err(cause) if cause.kind() != io::ErrorKind::WouldBlock => return Err(cause),
            _ => thread::sleep(Duration::from_millis(20)),
        }
    }
    Ok(())
}

struct Order {
    operation: String,
    model: String,
    adapter: Option<String>,
    expect: Option<u64>,
    holder: Option<String>,
    fence: Option<u64>,
}

impl Order {
    /// Reads the flat JSON of an order; its names need no escapes.
    fn read(text: &str) -> Self {
        let words = |name: &str| {
            let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
            let rest = rest.trim_start();
            let value = match rest.strip_prefix('"') {
                Some(quoted) => quoted.split('"').next()?,
                None => rest.split([',', '}']).next()?.trim(),
            };
            Some(value.to_owned())
        };
        let number = |name: &str| words(name)?.parse().ok();
        Self {
            operation: words("operation").unwrap_or_default(),
            model: words("model").unwrap_or_default(),
            adapter: words("adapter"),
            expect: number("expect"),
            holder: words("holder"),
            fence: number("fence"),
        }
    }
}
