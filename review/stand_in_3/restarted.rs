//! ORDER: while the store is away, an idle engine starts again under its id with another
//! version. An order finds it as the coordinator expects it, and streams of the version
//! before go on there.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Outcome, Request};
use crate::daemon::{Daemon, Deployment, Ports};
use crate::engine::{Engine, EngineClass};
use crate::store::Store;
use crate::{Stage, Verdict};

const HOST: &str = "ficu95.example";
const SERVICE: &str = "huvo11a";
const MODEL: &str = "daka510000";
const IDLE_MODEL: &str = "rada7437b5";
const OLD_VERSION: &str = "v1";
const NEW_VERSION: &str = "v2";
const DAEMONS: usize = 3;
const STREAMS: u32 = 12;
/// Events of a stream: 10 s at the stand-in's pace.
const EVENTS: u32 = 40;
/// Streams that hold events of two versions, of which the rule allows so many.
const MAX_MIXED: usize = 2;
const OUTAGE: Duration = Duration::from_millis(7_900);
/// Times from the beginning of the outage.
const FIRST_CRASH: Duration = Duration::from_millis(500);
const FIRST_RESTART: Duration = Duration::from_millis(2_000);
const FIRST_STREAM: Duration = Duration::from_millis(2_500);
const SECOND_CRASH: Duration = Duration::from_millis(5_000);
const SECOND_RESTART: Duration = Duration::from_millis(7_000);

fn manifest() -> String {
    let model = |name: &str| {
        format!(
            r#"{{"name":"{name}","weightsMb":72700.0,"loadS":6.0,"adapters":0,"adapterMb":66.0,"warmS":0.4,"diskS":0.84}}"#
        )
    };
    let models = [model(MODEL), model(IDLE_MODEL)].join(",");
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-venue","host":"{HOST}","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":17000,"targetLatencyMs":2500,"priority":0,"service":"{SERVICE}","attempts":2,"sticky":true,"resumable":true,"gapAimMs":600}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","connectionCap":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvTokens":232000,"models":[{models}],"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":3.5}}}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

fn request(number: u32) -> Request {
    let id = format!("9c41d07be2a6{number:04x}");
    Request {
        method: "POST",
        host: HOST.to_owned(),
        path: "/pufi791/2f".to_owned(),
        headers: vec![
            ("X-Persimmonward-Model".to_owned(), MODEL.to_owned()),
            ("X-Persimmonward-Token-Count".to_owned(), format!("646,{}", 5 * EVENTS)),
            ("X-Persimmonward-Prompt-Prefix".to_owned(), format!("5c1e07a2:155,{id}:491")),
        ],
        body: format!("{{\"q\":\"{id}\"}}"),
        time_ms: 17_000,
        id,
    }
}

fn holds(outcome: &Outcome, version: &str) -> bool {
    outcome.body.contains(&format!("data: {version}\n"))
}

fn engine(
    id: &'static str,
    zone: &'static str,
    models: &[&'static str],
    on_disk: &[&'static str],
) -> EngineClass {
    EngineClass {
        id,
        service: SERVICE,
        zone,
        version: OLD_VERSION,
        models: models.to_vec(),
        on_disk: on_disk.to_vec(),
    }
}

pub fn play(stage: &Stage) -> Verdict {
    let journal = &stage.journal;
    let store = Store::start();
    store.put("keyed.op", "config", manifest().as_bytes());
    let busy = engine("i-7f3a91c2", "bezigrad", &[MODEL], &[MODEL]);
    let idle = engine("i-02d9e6b4", "vic", &[IDLE_MODEL], &[IDLE_MODEL, MODEL]);
    let others = ["i-45b07e1d", "i-8c1f20a7"].map(|id| engine(id, "moste", &[IDLE_MODEL], &[IDLE_MODEL]));
    let busy = Engine::start(busy, &store, journal);
    let idle = Engine::start(idle, &store, journal);
    for other in others {
        Engine::start(other, &store, journal);
    }
    let addresses: Vec<String> = (1..=DAEMONS).map(|number| format!("127.0.0.{}", 10 + number)).collect();
    let deployment = Deployment {
        folder: stage.folder.clone(),
        ports: Ports::find(&addresses),
        addresses,
        store: store.address,
    };
    let daemons: Vec<Daemon> = (0..DAEMONS).map(|number| deployment.start(number)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(15))) {
        journal.line("not all daemons became ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(6));
    let clock = Instant::now();
    let wait_until = |time: Duration| thread::sleep(time.saturating_sub(clock.elapsed()));
    // `TROUBLE=crash` leaves the store as it is.
    let has_outage = stage.has_trouble && std::env::var("TROUBLE").as_deref() != Ok("crash");
    if has_outage {
        store.set_down(true);
        journal.line("the store answers 503 to all");
    }
    wait_until(FIRST_CRASH);
    if stage.has_trouble {
        idle.crash();
        wait_until(FIRST_RESTART);
        idle.restart(NEW_VERSION);
    }
    wait_until(FIRST_STREAM);
    let streams: Vec<_> = (1..=STREAMS)
        .map(|number| {
            let daemon = &daemons[number as usize % DAEMONS];
            let (address, journal) = (daemon.front(), journal.clone());
            thread::spawn(move || client::send(&address, &request(number), &journal))
        })
        .collect();
    wait_until(SECOND_CRASH);
    if stage.has_trouble {
        busy.crash();
        wait_until(SECOND_RESTART);
        busy.restart(OLD_VERSION);
    }
    wait_until(OUTAGE);
    if has_outage {
        store.set_down(false);
        journal.line("the store answers again");
    }
    let outcomes: Vec<Outcome> = streams.into_iter().filter_map(|stream| stream.join().ok()).collect();
    let whole = outcomes.iter().filter(|outcome| outcome.is_whole).count();
    let is_mixed = |outcome: &&Outcome| holds(outcome, OLD_VERSION) && holds(outcome, NEW_VERSION);
    let mixed = outcomes.iter().filter(is_mixed).count();
    let begun = outcomes.iter().filter(|outcome| holds(outcome, OLD_VERSION)).count();
    journal.line(&format!(
        "of {STREAMS} streams, {begun} began at version {OLD_VERSION}, {whole} are whole, {mixed} hold events of both versions",
    ));
    if mixed > MAX_MIXED {
        return Verdict::Broken;
    }
    if begun == STREAMS as usize { Verdict::Held } else { Verdict::NotRun }
}
