//! Case: while the store is away, an engine ends and starts again under its id with a newer
//! software version. The daemons take it for the one that it was, load its model again and
//! continue streams of the older version there.
//!
//! Arguments: the folder for settings and logs, and the file of the record. With `TROUBLE=0`
//! nothing fails, with `TROUBLE=crash` the engines crash and the store answers all the while.

mod http;
mod record;
mod store;
mod world;

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{Message, call_stream, read_message, write_answer};
use record::Record;
use store::{Store, StoreEntrance};
use world::{Daemon, DaemonPlan, FRONT_PORT, address, free_network, wait_until};

const DAEMONS: usize = 3;
const MODEL: &str = "daka510000";
/// The model that the other engines hold.
const OTHER_MODEL: &str = "nymi57a71f";
const MANIFEST: &str = r#"{"version":7,"routes":[{"name":"r-3j6q5rm","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":17000,"targetLatencyMs":2500,"priority":0,"service":"huvo11a","attempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":600}],"services":[{"name":"huvo11a","healthPath":"/health","connectionCap":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":232000,"kvBytes":327680,"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":3.5,"models":[{"name":"daka510000","weightsMb":72700.0,"loadS":6.0,"adapters":0,"adapterMb":66.0,"warmS":0.4,"diskS":0.84},{"name":"nymi57a71f","weightsMb":72700.0,"loadS":6.0,"adapters":0,"adapterMb":66.0,"warmS":0.4,"diskS":0.84}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that a load from the engine's own disk takes; `diskS` of the manifest.
const DISK_LOAD: Duration = Duration::from_millis(840);
/// `platform_down`: the pages' longest is 8 s.
const OUTAGE: Duration = Duration::from_millis(7_900);
/// `srv_crash`: the pages' longest is 2 s for a quarter of the engines.
const DOWN: Duration = Duration::from_millis(1_500);
/// Engines, and whether they hold the model and have a copy of it on disk.
const ENGINES: [(&str, bool); 4] = [("i-1", true), ("i-2", false), ("i-3", false), ("i-4", true)];
const STORE_LOAD: Duration = Duration::from_secs(6);
const EVENTS: u64 = 32;
const EVENT_PAUSE: Duration = Duration::from_millis(150);
const STREAMS: usize = 36;
/// Streams with events of two versions that the rule allows.
const MAX_MIXED: usize = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(folder), Some(file)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    match run(&folder, &file, &trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

/// One run of an engine's process.
#[derive(Default)]
struct Life {
    version: &'static str,
    born: u128,
    heartbeats: u64,
    sequence: u64,
    /// From when on the engine holds the model; `None` if it doesn't.
    ready: Option<Instant>,
    runs: Vec<String>,
    is_up: bool,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
struct Engine {
    id: &'static str,
    /// Whether it has a copy of the model on its disk.
    has_copy: bool,
    address: SocketAddr,
    life: Arc<Mutex<Life>>,
    record: Record,
}

impl Engine {
    fn start(id: &'static str, has_copy: bool, ip: std::net::IpAddr, record: &Record) -> std::io::Result<Self> {
        // Finds a free port.
        let address = TcpListener::bind((ip, 0))?.local_addr()?;
        let engine = Self { id, has_copy, address, life: Arc::default(), record: record.clone() };
        engine.begin("v1", has_copy.then(Instant::now))?;
        Ok(engine)
    }

    /// Begins a new life of the engine, under the same id and address.
    fn begin(&self, version: &'static str, ready: Option<Instant>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis());
        *self.life.lock().unwrap() = Life { version, born, ready, is_up: true, ..Life::default() };
        self.record.line(&format!("engine {} starts with version {version}", self.id));
        let engine = self.clone();
        thread::spawn(move || engine.accept(&listener, born));
        Ok(())
    }

    fn crash(&self) {
        self.record.line(&format!("engine {} crashes", self.id));
        let mut life = self.life.lock().unwrap();
        life.is_up = false;
        for connection in life.connections.drain(..) {
            drop(connection.shutdown(Shutdown::Both));
        }
    }

    fn is_alive(&self, born: u128) -> bool {
        let life = self.life.lock().unwrap();
        life.is_up && life.born == born
    }

    fn accept(&self, listener: &TcpListener, born: u128) {
        while self.is_alive(born) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            drop((stream.set_nonblocking(false), stream.set_nodelay(true)));
            if let Ok(copy) = stream.try_clone() {
                self.life.lock().unwrap().connections.push(copy);
            }
            let engine = self.clone();
            thread::spawn(move || engine.serve(stream, born));
        }
    }

    fn serve(&self, stream: TcpStream, born: u128) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false) {
            if !self.is_alive(born) || !self.answer(&request, &mut writer, born) {
                break;
            }
        }
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, born: u128) -> bool {
        if request.header("x-persimmonward-expected-instance").is_some_and(|id| id != self.id) {
            let headers = [("X-Persimmonward-Instance-Id", self.id)];
            return write_answer(stream, "421 Misdirected Request", &headers, b"");
        }
        match request.path() {
            "/-/report" => {
                let life = self.life.lock().unwrap();
                let runs: Vec<_> = life.runs.iter().map(|id| format!("[\"{id}\",0,0,5]")).collect();
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"sequence\":{},\"waiting\":0,\
                     \"running\":{},\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"born\":{born},\"runs\":[{}]}}",
                    self.models(&life),
                    life.ready.is_some_and(|ready| ready > Instant::now()),
                    life.sequence,
                    life.runs.len(),
                    runs.join(",")
                );
                drop(life);
                write_answer(stream, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/-/order" => self.answer_order(request, stream),
            _ => self.run(request, stream, born),
        }
    }

    fn answer_order(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let mut life = self.life.lock().unwrap();
        let fits = text.contains(&format!("\"expect\":{},", life.sequence));
        let is_busy = life.ready.is_some_and(|ready| ready > Instant::now());
        let status = match (text.contains("\"load\""), life.ready) {
            _ if text.contains(OTHER_MODEL) => if self.has_copy { "400 Bad Request" } else { "200 OK" },
            _ if is_busy || !fits => "409 Conflict",
            (true, Some(_)) | (false, None) => "200 OK",
            (true, None) => {
                life.sequence += 1;
                life.ready = Some(Instant::now() + if self.has_copy { DISK_LOAD } else { STORE_LOAD });
                "202 Accepted"
            }
            (false, Some(_)) => {
                life.sequence += 1;
                life.ready = None;
                "202 Accepted"
            }
        };
        drop(life);
        self.record.line(&format!("order at {}: {text} -> {status}", self.id));
        write_answer(stream, status, &[], b"")
    }

    fn run(&self, request: &Message, stream: &mut TcpStream, born: u128) -> bool {
        let id = request.header("x-persimmonward-request-id").unwrap_or_default().to_owned();
        let mut life = self.life.lock().unwrap();
        if life.ready.is_none_or(|ready| ready > Instant::now()) {
            drop(life);
            self.record.line(&format!("request {id} is refused by {}, which does not hold the model", self.id));
            let headers = [("X-Persimmonward-Request-Id", id.as_str()), ("X-Persimmonward-Not-Executed", "1")];
            return write_answer(stream, "421 Misdirected Request", &headers, b"");
        }
        let version = life.version;
        life.runs.push(id.clone());
        drop(life);
        let after = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        self.record.line(&format!("run at {} ({version}): request {id} after event {after}", self.id));
        let is_whole = self.stream(&id, version, after, stream, born).is_ok();
        self.life.lock().unwrap().runs.retain(|run| *run != id);
        is_whole
    }

    fn stream(&self, id: &str, version: &str, after: u64, stream: &mut TcpStream, born: u128) -> std::io::Result<()> {
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nX-Persimmonward-Request-Id: {id}\r\n\
             X-Persimmonward-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in after + 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            if !self.is_alive(born) {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            let event = format!("id: {number}\ndata: {version} part {number}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn models(&self, life: &Life) -> String {
        let mut names = Vec::new();
        if life.ready.is_some_and(|ready| ready <= Instant::now()) {
            names.push(MODEL);
        }
        if !self.has_copy {
            names.push(OTHER_MODEL);
        }
        let models = names.iter().map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}"));
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    /// Writes heartbeats while the engine runs and the store answers.
    fn report_status(&self, store: &Store, entrance: &StoreEntrance) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let mut life = self.life.lock().unwrap();
            if !life.is_up || entrance.is_busy.load(Ordering::SeqCst) {
                continue;
            }
            life.heartbeats += 1;
            let entry = format!(
                "{{\"service\":\"huvo11a\",\"address\":\"{}\",\"zone\":\"be-central-a\",\"version\":\"{}\",\
                 \"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":{},\
                 \"sequence\":{},\"born\":{},\"atHand\":{{\"inMemory\":[],\"onDisk\":[\"{}\"]}}}}",
                self.address, life.version, self.models(&life), life.heartbeats, life.born,
                if self.has_copy { MODEL } else { OTHER_MODEL }
            );
            drop(life);
            store.put("keyed.servers", self.id, entry.as_bytes());
            thread::sleep(HEARTBEAT);
        }
    }
}

fn run(folder: &str, file: &str, trouble: &str) -> Result<bool, String> {
    let text = |cause: std::io::Error| cause.to_string();
    let record = Record::create(file).map_err(text)?;
    let network = free_network().map_err(text)?;
    let stand_ins = address(network, 2, 1);
    let store = Store::default();
    store.put("keyed.op", "config", MANIFEST.as_bytes());
    let entrances: Result<Vec<_>, _> = (0..=DAEMONS).map(|_| store.entrance(stand_ins)).collect();
    let entrances = Arc::new(entrances.map_err(text)?);
    let engines: Result<Vec<_>, _> = ENGINES.into_iter().map(|(id, has_copy)| Engine::start(id, has_copy, stand_ins, &record)).collect();
    let engines = engines.map_err(text)?;
    for engine in &engines {
        let (engine, store, entrances) = (engine.clone(), store.clone(), Arc::clone(&entrances));
        thread::spawn(move || engine.report_status(&store, &entrances[DAEMONS]));
    }
    let daemons: Result<Vec<_>, _> =
        (0..DAEMONS).map(|number| Daemon::start(plan(number, network, &entrances[number]), folder)).collect();
    let daemons = daemons.map_err(text)?;
    if !wait_until(Duration::from_secs(10), || daemons.iter().all(Daemon::is_ready)) {
        return Err("not all daemons became ready".to_owned());
    }
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.plan.on_port(FRONT_PORT)).collect();
    thread::sleep(Duration::from_secs(4));

    let has_outage = trouble.is_empty();
    let set_busy = |is_busy| entrances.iter().for_each(|entrance| entrance.is_busy.store(is_busy, Ordering::SeqCst));
    let begun = Instant::now();
    if has_outage {
        record.line("the store answers 503 to all");
        set_busy(true);
    }
    thread::sleep(Duration::from_millis(300));
    if trouble != "0" {
        engines[3].crash();
        thread::sleep(DOWN);
        engines[3].begin("v2", None).map_err(text)?;
    }
    // Some requests, of which the new engine refuses one, and once it holds the model many.
    let mut streams = Vec::new();
    for number in 0..12 {
        streams.push(spawn_stream(&fronts, number, &record));
        thread::sleep(Duration::from_millis(200));
    }
    for number in 100..100 + STREAMS {
        streams.push(spawn_stream(&fronts, number, &record));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(700));
    if trouble != "0" {
        engines[0].crash();
        thread::sleep(DOWN);
        engines[0].begin("v1", None).map_err(text)?;
    }
    thread::sleep(OUTAGE.saturating_sub(begun.elapsed()));
    if has_outage {
        record.line("the store answers again");
        set_busy(false);
    }
    let versions: Vec<Vec<String>> = streams.into_iter().filter_map(|stream| stream.join().ok()).collect();
    drop(daemons);
    let mixed = versions.iter().filter(|versions| versions.len() > 1).count();
    record.line(&format!("{mixed} of {} streams hold events of two software versions", versions.len()));
    if mixed > MAX_MIXED {
        record.line("BROKEN: ORDER");
    }
    Ok(mixed <= MAX_MIXED)
}

fn plan(number: usize, network: u8, entrance: &StoreEntrance) -> DaemonPlan {
    DaemonPlan {
        number: number + 1,
        network,
        ip: address(network, 0, number + 1),
        cpu_share: 0.25,
        memory_mb: 260,
        fd_limit: 4_100,
        store: entrance.address,
        seeds: (1..=DAEMONS).map(|number| address(network, 0, number)).collect(),
        requires_fencing: true,
    }
}

/// Sends a request and reads its stream; the versions of its events are returned.
fn spawn_stream(fronts: &[SocketAddr], number: usize, record: &Record) -> thread::JoinHandle<Vec<String>> {
    let (front, record) = (fronts[number % fronts.len()], record.clone());
    thread::spawn(move || {
        let id = format!("{number:016x}");
        let request = format!(
            "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Persimmonward-Request-Id: {id}\r\n\
             X-Persimmonward-Model: {MODEL}\r\nX-Persimmonward-Token-Count: 640,160\r\n\
             X-Persimmonward-Deadline-Remaining: 17000\r\nContent-Length: 2\r\n\r\n"
        );
        let sent = record.elapsed();
        let mut versions: Vec<String> = Vec::new();
        let mut events = 0;
        let answer = call_stream(front, &request, b"{}", Duration::from_secs(17), |line| {
            if let Some(data) = line.strip_prefix("data: ") {
                events += 1;
                let version = data.split(' ').next().unwrap_or_default().to_owned();
                if !versions.contains(&version) {
                    versions.push(version);
                }
            }
        });
        let is_whole = answer.as_ref().is_ok_and(|answer| answer.is_whole);
        let outcome = answer.map_or_else(|cause| cause, |answer| answer.start);
        record.line(&format!(
            "request {id}, sent at {:.3}: {outcome}, {events} events of {}{}",
            sent.as_secs_f64(), versions.join(" and "), if is_whole { ", whole" } else { "" }
        ));
        versions
    })
}
