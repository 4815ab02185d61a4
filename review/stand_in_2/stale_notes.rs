//! Two cases in which all daemons are killed, and nobody knows any more which software version
//! began their streams. In the first, `late`, the store does one write of a daemon late and
//! doesn't answer it, and that write replaces what the daemon has written since. In the second,
//! `away`, the streams begin while the store is away.
//!
//! Arguments: the folder for settings and logs, the file of the record, and the case. With
//! `TROUBLE=0` nothing fails, with `TROUBLE=kill` the daemons are killed and the store is sound.

mod engine;
mod http;
mod record;
mod store;
mod world;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use engine::{Engine, EnginePlan, MODEL};
use record::Record;
use store::{Store, StoreEntrance};
use world::{Daemon, DaemonPlan, FRONT_PORT, address, free_network, wait_until};

const DAEMONS: usize = 3;
const MANIFEST: &str = r#"{"version":7,"routes":[{"name":"r-3j6q5rm","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":17000,"targetLatencyMs":2500,"priority":0,"service":"huvo11a","attempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":600}],"services":[{"name":"huvo11a","healthPath":"/health","connectionCap":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":232000,"kvBytes":327680,"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":3.5,"models":[{"name":"daka510000","weightsMb":72700.0,"loadS":6.0,"adapters":32,"adapterMb":66.0,"warmS":0.4,"diskS":0.84}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;
const STREAMS_TOPIC: &str = "keyed.ward-streams";
/// Engines of two software versions, two of each.
const ENGINES: [(&str, &str); 4] = [("i-1", "v1"), ("i-2", "v1"), ("i-3", "v2"), ("i-4", "v2")];
/// Streams that begin after the write that is late, and before it is done.
const STREAMS: usize = 13;
/// Pauses of a requester between its tries.
const PAUSES: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1_000), Duration::from_millis(2_000)];
/// Time limit of the requesters.
const LIMIT: Duration = Duration::from_secs(17);
/// `touchMs` of the settings.
const TOUCH: Duration = Duration::from_secs(3);
/// Share of all streams below which those that are taken up again must not fall.
const SHARE: f64 = 0.5;
const MIN_TAKEN_UP: usize = 12;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(folder), Some(file), Some(case)) = (arguments.next(), arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    match run(&folder, &file, &case, &trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

fn run(folder: &str, file: &str, case: &str, trouble: &str) -> Result<bool, String> {
    let text = |cause: std::io::Error| cause.to_string();
    let record = Record::create(file).map_err(text)?;
    let network = free_network().map_err(text)?;
    let stand_ins = address(network, 2, 1);
    let store = Store::default();
    store.put("keyed.op", "config", MANIFEST.as_bytes());
    for (id, version) in ENGINES {
        let plan = EnginePlan { id, version, events: 48, pause: Duration::from_millis(250) };
        Engine::start(plan, stand_ins, &store, &record).map_err(text)?;
    }
    let entrances: Result<Vec<StoreEntrance>, _> =
        (0..DAEMONS).map(|_| store.entrance(stand_ins)).collect();
    let entrances = entrances.map_err(text)?;
    let mut daemons = start_all(network, folder, &entrances)?;
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.plan.on_port(FRONT_PORT)).collect();
    thread::sleep(Duration::from_secs(3));

    let taken_up = Arc::new(Mutex::new(Vec::new()));
    let spawn = |number: usize| {
        let caller = Caller {
            number,
            fronts: fronts.clone(),
            begun: Instant::now(),
            record: record.clone(),
            tries: Arc::clone(&taken_up),
        };
        thread::spawn(move || caller.run())
    };
    let mut callers = Vec::new();
    let set_away = |is_away| entrances.iter().for_each(|entrance| entrance.is_busy.store(is_away, Ordering::SeqCst));
    let has_outage = trouble.is_empty() && case == "away";
    if has_outage {
        record.line("the store answers 503 to all");
        set_away(true);
    } else if trouble.is_empty() {
        record.line("the store will do the next write of front-be-central-a-1 late, without an answer");
        *entrances[0].late_topic.lock().unwrap() = Some(STREAMS_TOPIC.to_owned());
    }
    callers.push(spawn(0));
    thread::sleep(Duration::from_millis(2_500));
    for number in 1..=STREAMS {
        callers.push(spawn(number));
        thread::sleep(Duration::from_millis(20));
    }
    // The late write is done 5 s after it came.
    thread::sleep(Duration::from_millis(3_000));
    let mut calm_from = record.elapsed();
    if trouble != "0" {
        record.line("all daemons are killed");
        drop(daemons);
        thread::sleep(Duration::from_secs(1));
        if has_outage {
            record.line("the store answers again");
            set_away(false);
        }
        record.line("all daemons start again");
        daemons = start_all(network, folder, &entrances)?;
        calm_from = record.elapsed() + TOUCH;
        record.line("all daemons are ready; they are in touch 3 s later");
        thread::sleep(TOUCH);
    }
    let fresh: Vec<_> = (0..MIN_TAKEN_UP).map(|number| spawn(100 + number)).collect();
    let begun = callers.into_iter().map(JoinHandle::join).filter(|events| events.as_ref().is_ok_and(|count| *count > 0));
    if begun.count() <= STREAMS {
        return Err("not all streams began".to_owned());
    }
    let fresh = fresh.into_iter().map(JoinHandle::join).filter(|events| events.as_ref().is_ok_and(|count| *count > 0));
    let fresh_share = share(fresh.count(), MIN_TAKEN_UP);
    drop(daemons);
    let tries = taken_up.lock().unwrap().clone();
    Ok(judge(&tries, calm_from, fresh_share, &record))
}

fn share(part: usize, all: usize) -> f64 {
    part as f64 / all as f64
}

fn start_all(network: u8, folder: &str, entrances: &[StoreEntrance]) -> Result<Vec<Daemon>, String> {
    let plans = entrances.iter().enumerate().map(|(number, entrance)| DaemonPlan {
        number: number + 1,
        network,
        ip: address(network, 0, number + 1),
        cpu_share: 0.25,
        memory_mb: 260,
        fd_limit: 4_100,
        store: entrance.address,
        seeds: (1..=DAEMONS).map(|number| address(network, 0, number)).collect(),
        requires_fencing: true,
    });
    let daemons: Result<Vec<_>, _> = plans.map(|plan| Daemon::start(plan, folder)).collect();
    let daemons = daemons.map_err(|cause| cause.to_string())?;
    if !wait_until(Duration::from_secs(10), || daemons.iter().all(Daemon::is_ready)) {
        return Err("not all daemons became ready".to_owned());
    }
    Ok(daemons)
}

/// A try to take up a stream.
#[derive(Debug, Clone)]
struct TakeUp {
    stream: usize,
    sent: Duration,
    goes_on: bool,
}

/// A requester with one stream, which it takes up again until its time limit.
struct Caller {
    number: usize,
    fronts: Vec<SocketAddr>,
    begun: Instant,
    record: Record,
    tries: Arc<Mutex<Vec<TakeUp>>>,
}

impl Caller {
    /// Returns the number of events that came.
    fn run(self) -> u64 {
        let mut last = 0;
        let mut first_try: Option<String> = None;
        for count in 0.. {
            let left = LIMIT.saturating_sub(self.begun.elapsed());
            if left < Duration::from_millis(300) {
                self.record.line(&format!("stream {}: time limit, at event {last}", self.number));
                return last;
            }
            let front = if count == 0 && self.number < 100 { 0 } else { (self.number + count) % DAEMONS };
            let id = format!("{:08x}{count:08x}", self.number);
            let before = last;
            let sent = self.record.elapsed();
            let request = request(&id, left, last, first_try.as_deref());
            let answer = http::call_stream(self.fronts[front], &request, b"{}", left, |line| {
                if let Some(number) = line.strip_prefix("id: ").and_then(|text| text.parse().ok()) {
                    last = number;
                }
            });
            if last > before && first_try.is_none() {
                first_try = Some(id.clone());
            }
            let outcome = answer.as_ref().map_or_else(Clone::clone, |answer| answer.start.clone());
            let is_whole = answer.as_ref().is_ok_and(|answer| answer.status() == 200 && answer.is_whole);
            self.record.line(&format!(
                "stream {}: try {id} at daemon {}, sent at {:.3}, after event {before}: {outcome}, events to {last}{}",
                self.number, front + 1, sent.as_secs_f64(), if is_whole { ", whole" } else { "" }
            ));
            if before > 0 {
                let goes_on = last > before || is_whole;
                self.tries.lock().unwrap().push(TakeUp { stream: self.number, sent, goes_on });
            }
            if is_whole {
                return last;
            }
            let retry_after = answer.ok().and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok());
            let left = LIMIT.saturating_sub(self.begun.elapsed());
            let asked = Duration::from_secs_f64(retry_after.unwrap_or(0.0)).min(left / 3);
            thread::sleep(asked.max(PAUSES[count.min(PAUSES.len() - 1)]));
        }
        last
    }
}

fn request(id: &str, left: Duration, last: u64, first_try: Option<&str>) -> String {
    let resumption = first_try.map_or_else(String::new, |first_try| {
        format!("Resumes: {first_try}\r\nLast-Event-Id: {last}\r\n")
    });
    format!(
        "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Persimmonward-Request-Id: {id}\r\n\
         X-Persimmonward-Model: {MODEL}\r\nX-Persimmonward-Token-Count: 640,240\r\n\
         X-Persimmonward-Deadline-Remaining: {}\r\n{resumption}Content-Length: 2\r\n\r\n",
        left.as_millis()
    )
}

/// Whether the rule holds: of 12 or more streams that are taken up at machines in touch, at
/// least half the share of new streams goes on.
fn judge(tries: &[TakeUp], calm_from: Duration, fresh_share: f64, record: &Record) -> bool {
    let in_touch: Vec<_> = tries.iter().filter(|try_| try_.sent >= calm_from).collect();
    let mut streams: Vec<_> = in_touch.iter().map(|try_| try_.stream).collect();
    streams.sort_unstable();
    streams.dedup();
    let goes_on = |stream: &&usize| in_touch.iter().any(|try_| try_.stream == **stream && try_.goes_on);
    let going_on = streams.iter().filter(goes_on).count();
    record.line(&format!(
        "{} streams were taken up at machines in touch, {going_on} of them went on; share of new streams that began: {fresh_share:.2}",
        streams.len()
    ));
    let is_broken = streams.len() >= MIN_TAKEN_UP && share(going_on, streams.len()) < SHARE * fresh_share;
    if is_broken {
        record.line("BROKEN: LOST");
    }
    !is_broken
}
