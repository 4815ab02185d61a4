//! LIMIT: after the machine whose daemon gives the orders was lost, the next one that gives
//! them makes room for an adapter by unloading one that other daemons' requests are using.

use std::thread;
use std::time::Duration;

use crate::client::{self, Outcome, Request};
use crate::daemon::{Daemon, Deployment, Ports};
use crate::engine::{Engine, EngineClass};
use crate::record::Journal;
use crate::store::Store;
use crate::{Stage, Verdict};

const HOST: &str = "ficu95.example";
const MODEL: &str = "daka510000";
const SLOTS: usize = 8;
const DAEMONS: usize = 4;
/// Events of a long stream.
const EVENTS: u32 = 55;
/// Time from the kill to the requests that need further adapters.
const KILL_TO_REQUESTS: Duration = Duration::from_secs(3);
/// Time from the kill to the start of the machine that takes the place of the lost one.
const KILL_TO_REPLACEMENT: Duration = Duration::from_secs(4);

fn manifest() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-venue","host":"{HOST}","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":17000,"targetLatencyMs":2500,"priority":0,"service":"huvo11a","attempts":2,"sticky":true,"resumable":false,"gapAimMs":600}}],"services":[{{"name":"huvo11a","healthPath":"/health","connectionCap":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvTokens":232000,"models":[{{"name":"{MODEL}","weightsMb":72700.0,"loadS":6.0,"adapters":32,"adapterMb":66.0,"warmS":0.4,"diskS":0.84}}],"weightsMb":200000.0,"adapterSlots":{SLOTS},"loadsPerS":3.5}}}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

/// A request for an answer of this many events.
fn request(id: &str, adapter: usize, events: u32) -> Request {
    Request {
        id: id.to_owned(),
        method: "POST",
        host: HOST.to_owned(),
        path: "/pufi791/2f".to_owned(),
        headers: vec![
            ("X-Persimmonward-Model".to_owned(), format!("{MODEL}/a{adapter}")),
            ("X-Persimmonward-Token-Count".to_owned(), format!("646,{}", 5 * events)),
            ("X-Persimmonward-Prompt-Prefix".to_owned(), format!("5c1e07a2:155,{id}:491")),
        ],
        body: format!("{{\"q\":\"{id}\"}}"),
        time_ms: 17_000,
    }
}

fn spawn(daemon: &Daemon, request: Request, journal: &Journal) -> thread::JoinHandle<Outcome> {
    let (address, journal) = (daemon.front(), journal.clone());
    thread::spawn(move || client::send(&address, &request, &journal))
}

pub fn play(stage: &Stage) -> Verdict {
    let journal = &stage.journal;
    let store = Store::start();
    store.put("keyed.op", "config", manifest().as_bytes());
    let class = EngineClass {
        id: "i-7f3a91c2".to_owned(),
        service: "huvo11a".to_owned(),
        zone: "bezigrad".to_owned(),
        slots: 64,
        models: vec![MODEL.to_owned()],
        adapter_slots: SLOTS,
        gap: Duration::from_millis(200),
    };
    let engine = Engine::start(class, &store, journal);
    let addresses: Vec<String> = (1..=DAEMONS + 1).map(|number| format!("127.0.0.{}", 10 + number)).collect();
    let deployment = Deployment {
        folder: stage.folder.clone(),
        ports: Ports::find(&addresses),
        addresses,
        store: store.address,
    };
    let mut daemons: Vec<Daemon> = (0..DAEMONS).map(|number| deployment.start(number)).collect();
    if !daemons.iter().all(|daemon| daemon.wait_ready(Duration::from_secs(15))) {
        journal.line("not all daemons became ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    // A short request tells, by the order for its adapter, which daemon gives the orders.
    let probe = request("9c41d07be2a30000", 1, 1);
    if client::send(&daemons[0].front(), &probe, journal).status != 200 {
        return Verdict::NotRun;
    }
    let holder = engine.holder().unwrap_or_default();
    journal.line(&format!("{holder} gives the orders"));
    let Some(leader) = daemons.iter().position(|daemon| daemon.name == holder) else {
        return Verdict::NotRun;
    };
    let others: Vec<usize> = (0..DAEMONS).filter(|number| *number != leader).collect();
    let mut streams = Vec::new();
    for adapter in 1..=SLOTS {
        let number = others[adapter % others.len()];
        let id = format!("9c41d07be2a3{adapter:04x}");
        let stream = request(&id, adapter, EVENTS);
        streams.push(spawn(&daemons[number], stream, journal));
        thread::sleep(Duration::from_millis(150));
    }
    thread::sleep(Duration::from_millis(500));
    journal.line(&format!("the engine holds {} adapters, all in use", engine.adapter_count()));
    if engine.adapter_count() != SLOTS {
        return Verdict::NotRun;
    }
    if stage.has_trouble {
        journal.line(&format!("{holder} is lost for good"));
        daemons[leader].kill();
    }
    thread::sleep(KILL_TO_REQUESTS);
    let late: Vec<_> = others
        .iter()
        .enumerate()
        .map(|(place, number)| {
            let id = format!("9c41d07be2a4{place:04x}");
            spawn(&daemons[*number], request(&id, SLOTS + 1 + place, 1), journal)
        })
        .collect();
    if stage.has_trouble {
        thread::sleep(KILL_TO_REPLACEMENT - KILL_TO_REQUESTS);
        daemons.push(deployment.start(DAEMONS));
        journal.line(&format!("{} is started in its place", daemons[DAEMONS].name));
    }
    let outcomes: Vec<Outcome> = streams.into_iter().filter_map(|stream| stream.join().ok()).collect();
    let whole = outcomes.iter().filter(|outcome| outcome.is_whole).count();
    journal.line(&format!(
        "{whole} of {SLOTS} streams are whole; none came through {holder}",
    ));
    for request in late {
        drop(request.join());
    }
    if engine.excess_orders() > 0 {
        return Verdict::Broken;
    }
    if whole == SLOTS { Verdict::Held } else { Verdict::NotRun }
}
