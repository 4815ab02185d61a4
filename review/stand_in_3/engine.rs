//! Stand-in of a model engine, by the pages' sections on engines and model placement.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::record::Journal;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time to load a model from the engine's own disk, and from the weight store.
const DISK_LOAD: Duration = Duration::from_millis(840);
const STORE_LOAD: Duration = Duration::from_millis(6_000);
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(250);

/// What an engine is, and what it holds at its first start.
#[derive(Debug, Clone)]
pub struct EngineClass {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    /// Version of its software.
    pub version: &'static str,
    pub models: Vec<&'static str>,
    /// Models with a copy on its disk, which a restart preserves.
    pub on_disk: Vec<&'static str>,
}

/// One run of the engine's process.
struct Life {
    number: u32,
    is_up: bool,
    version: &'static str,
    born: u128,
    /// Models in memory, and when they are loaded.
    models: HashMap<String, Instant>,
    sequence: u64,
    fence: u64,
    heartbeat: u64,
    connections: Vec<TcpStream>,
}

/// An engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    class: EngineClass,
    address: SocketAddr,
    life: Arc<Mutex<Life>>,
    journal: Journal,
    store: Store,
}

fn unix_millis() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("a time after 1970").as_millis()
}

impl Engine {
    /// Starts an engine, which registers itself in the store.
    pub fn start(class: EngineClass, store: &Store, journal: &Journal) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = Instant::now();
        let models = class.models.iter().map(|model| ((*model).to_owned(), now));
        let engine = Self {
            address: listener.local_addr().expect("an address"),
            life: Arc::new(Mutex::new(Life {
                number: 1,
                is_up: true,
                version: class.version,
                born: unix_millis(),
                models: models.collect(),
                sequence: 0,
                fence: 0,
                heartbeat: 0,
                connections: Vec::new(),
            })),
            class,
            journal: journal.clone(),
            store: store.clone(),
        };
        let beating = engine.clone();
        thread::spawn(move || beating.beat());
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(listener, 1));
        engine
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no panic holds it")
    }

    /// Ends the process; nothing listens at its address any more.
    pub fn crash(&self) {
        let mut life = self.lock();
        life.is_up = false;
        for connection in life.connections.drain(..) {
            drop(connection.shutdown(Shutdown::Both));
        }
        drop(life);
        // The accepting thread closes the listening socket with the next connection.
        drop(TcpStream::connect(self.address));
        self.journal.line(&format!("{} crashes", self.class.id));
    }

    /// Starts the process again, under its id and at its address, with a version of its
    /// software. It holds and knows nothing of before.
    pub fn restart(&self, version: &'static str) {
        let listener = TcpListener::bind(self.address).expect("its address is free");
        let mut life = self.lock();
        life.number += 1;
        life.is_up = true;
        life.version = version;
        life.born = unix_millis();
        life.models.clear();
        life.sequence = 0;
        life.fence = 0;
        life.heartbeat = 0;
        let number = life.number;
        drop(life);
        let accepting = self.clone();
        thread::spawn(move || accepting.accept(listener, number));
        self.journal.line(&format!("{} is back, with version {version}", self.class.id));
    }

    fn accept(&self, listener: TcpListener, number: u32) {
        for stream in listener.incoming().flatten() {
            let mut life = self.lock();
            if !life.is_up || life.number != number {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                life.connections.push(copy);
            }
            drop(life);
            let engine = self.clone();
            thread::spawn(move || drop(engine.serve(stream)));
        }
    }

    fn beat(&self) {
        loop {
            self.write_heartbeat();
            thread::sleep(HEARTBEAT);
        }
    }

    fn write_heartbeat(&self) {
        let mut life = self.lock();
        if !life.is_up || self.store.is_down() {
            return;
        }
        life.heartbeat += 1;
        let Self { class, address, .. } = self;
        let EngineClass { id, service, zone, on_disk, .. } = class;
        let disk: Vec<String> = on_disk.iter().map(|model| format!("\"{model}\"")).collect();
        let disk = disk.join(",");
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{}","slots":64,"state":"ready","coldRemainingMs":0,"stage":"both","models":{},"atHand":{{"inMemory":[],"onDisk":[{disk}]}},"sequence":{},"born":{}}}"#,
            life.version,
            models_json(&life),
            life.heartbeat,
            life.born,
        );
        drop(life);
        self.store.put("keyed.servers", id, entry.as_bytes());
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let expected = head.get("x-persimmonward-expected-instance");
            let own = ("X-Persimmonward-Instance-Id", self.class.id.to_owned());
            if expected.is_some_and(|id| id != self.class.id) {
                http::write_answer(&mut writer, "421 Misdirected Request", &[own], b"")?;
                continue;
            }
            match head.word(1) {
                "/-/order" => {
                    let status = self.take_order(&String::from_utf8_lossy(&body));
                    http::write_answer(&mut writer, status, &[], b"")?;
                }
                "/-/report" => self.write_report(&mut writer)?,
                "/health" => http::write_answer(&mut writer, "200 OK", &[own], b"")?,
                _ => self.run(&mut writer, &head)?,
            }
        }
        Ok(())
    }

    fn write_report(&self, writer: &mut TcpStream) -> io::Result<()> {
        let life = self.lock();
        let text = format!(
            r#"{{"stage":"both","models":{},"busy":{},"sequence":{},"waiting":0,"running":0,"kvUsed":0,"kvTotal":232000,"handles":0,"born":{}}}"#,
            models_json(&life),
            is_busy(&life),
            life.sequence,
            life.born,
        );
        drop(life);
        self.journal.line(&format!("{} is asked for its report", self.class.id));
        let kind = ("Content-Type", "application/json".to_owned());
        http::write_answer(writer, "200 OK", &[kind], text.as_bytes())
    }

    fn take_order(&self, text: &str) -> &'static str {
        let mut life = self.lock();
        let status = self.decide(&mut life, text);
        drop(life);
        self.journal.line(&format!("order to {}: {text} -> {status}", self.class.id));
        status
    }

    fn decide(&self, life: &mut Life, text: &str) -> &'static str {
        let number = |name| field(text, name).and_then(|value| value.parse::<u64>().ok());
        let (Some(_), Some(fence)) = (field(text, "holder"), number("fence")) else {
            return "400 Bad Request";
        };
        if fence < life.fence {
            return "412 Precondition Failed";
        }
        life.fence = fence;
        if number("expect").is_some_and(|expect| expect != life.sequence) || is_busy(life) {
            return "409 Conflict";
        }
        let model = field(text, "model").unwrap_or_default();
        match (field(text, "operation").as_deref(), life.models.contains_key(&model)) {
            (Some("load"), true) | (Some("unload"), false) => "200 OK",
            (Some("load"), false) => {
                let is_on_disk = self.class.on_disk.contains(&model.as_str());
                let time = if is_on_disk { DISK_LOAD } else { STORE_LOAD };
                life.models.insert(model, Instant::now() + time);
                life.sequence += 1;
                "202 Accepted"
            }
            (Some("unload"), true) => {
                life.models.remove(&model);
                life.sequence += 1;
                "202 Accepted"
            }
            _ => "400 Bad Request",
        }
    }

    /// Runs a request: a stream of events, each of which names the version that wrote it.
    fn run(&self, writer: &mut TcpStream, head: &Head) -> io::Result<()> {
        let id = head.get("x-persimmonward-request-id").unwrap_or("").to_owned();
        let model = head.get("x-persimmonward-model").unwrap_or("").to_owned();
        let life = self.lock();
        let (number, version) = (life.number, life.version);
        let is_held = life.models.get(&model).is_some_and(|ready| *ready <= Instant::now());
        drop(life);
        let echo = ("X-Persimmonward-Request-Id", id.clone());
        if !is_held {
            self.journal.line(&format!("{} refuses {id}: it doesn't hold {model}", self.class.id));
            return http::write_answer(writer, "421 Misdirected Request", &[echo], b"");
        }
        let last = head.get("last-event-id").and_then(|text| text.parse().ok());
        let first = last.unwrap_or(0_u32) + 1;
        self.journal.line(&format!(
            "{} (version {version}) runs {id} from event {first} on", self.class.id,
        ));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Persimmonward-Request-Id: {id}\r\nX-Persimmonward-Server-Signature: sig.{}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.class.id,
        );
        writer.write_all(text.as_bytes())?;
        for event in first..=event_count(head) {
            if event > first {
                thread::sleep(EVENT_INTERVAL);
            }
            let life = self.lock();
            if !life.is_up || life.number != number {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            drop(life);
            http::write_chunk(writer, format!("id: {event}\ndata: {version}\n\n").as_bytes())?;
        }
        http::write_chunk(writer, b"")
    }
}

fn is_busy(life: &Life) -> bool {
    life.models.values().any(|ready| *ready > Instant::now())
}

fn models_json(life: &Life) -> String {
    let held = life.models.iter().filter(|(_, ready)| **ready <= Instant::now());
    let models = held.map(|(model, _)| format!(r#"{{"name":"{model}","version":1,"adapters":[]}}"#));
    format!("[{}]", models.collect::<Vec<_>>().join(","))
}

/// Events of the answer to a request: one for five tokens, of as many as it allows.
fn event_count(head: &Head) -> u32 {
    let tokens = head.get("x-persimmonward-token-count").unwrap_or("");
    let output = tokens.split_once(',').and_then(|(_, output)| output.parse().ok());
    output.unwrap_or(5_u32).div_ceil(5)
}

/// A field of the flat JSON of an order, whose names need no escapes.
fn field(text: &str, name: &str) -> Option<String> {
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let rest = rest.trim_start();
    let value = match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next()?,
        None => rest.split([',', '}']).next()?.trim(),
    };
    Some(value.to_owned())
}
