//! Case: one daemon is cut off from the others, and the store turns away the coordinator and
//! one more. Two daemons then give orders to the same engine.
//!
//! Arguments: the folder for settings and logs, and the file of the record.

mod engine;
mod http;
mod record;
mod relay;
mod store;
mod world;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use engine::{Engine, EnginePlan, MODEL, Order};
use record::Record;
use relay::{Links, relay};
use store::{Store, StoreEntrance};
use world::{Daemon, DaemonPlan, FRONT_PORT, PEER_PORT, address, free_network, wait_until};

/// Daemons; the last one is added when the others have begun, and is cut off later.
const DAEMONS: usize = 6;
const MANIFEST: &str = r#"{"version":7,"routes":[{"name":"r-3j6q5rm","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":4000,"targetLatencyMs":400,"priority":0,"service":"huvo11a","attempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":500}],"services":[{"name":"huvo11a","healthPath":"/health","connectionCap":660,"protocol":"h1","tls":false,"engine":{"slots":12,"kvTokens":194790,"kvBytes":163840,"weightsMb":230000.0,"adapterSlots":8,"loadsPerS":54.0,"models":[{"name":"daka510000","weightsMb":65099.0,"loadS":10.2,"adapters":44,"adapterMb":12.0,"warmS":0.3,"diskS":0.39}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}"#;
const ENGINE: EnginePlan =
    EnginePlan { id: "i-7f3a91c2", version: "v1", events: 2, pause: Duration::from_millis(10) };
/// `node_cut`: the pages' longest is 12 s, for a share of 0.35.
const CUT: Duration = Duration::from_millis(11_500);
/// From the cut to the store's turning away; the coordinator has noticed the cut by then.
const CUT_BEFORE_OUTAGE: Duration = Duration::from_millis(2_500);
/// `platform_down` with `nodes busy`: the pages' longest is 9 s, for a share of 0.35.
const OUTAGE: Duration = Duration::from_millis(8_500);
/// `thawMs` of the settings.
const THAW: Duration = Duration::from_millis(300);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(folder), Some(file)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(&folder, &file, has_trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

fn run(folder: &str, file: &str, has_trouble: bool) -> Result<bool, String> {
    let text = |cause: std::io::Error| cause.to_string();
    let record = Record::create(file).map_err(text)?;
    let network = free_network().map_err(text)?;
    let stand_ins = address(network, 2, 1);
    let store = Store::default();
    store.put("keyed.op", "config", MANIFEST.as_bytes());
    let engine = Engine::start(ENGINE, stand_ins, &store, &record).map_err(text)?;
    let entrances: Result<Vec<StoreEntrance>, _> =
        (0..DAEMONS).map(|_| store.entrance(stand_ins)).collect();
    let entrances = entrances.map_err(text)?;
    let links = Arc::new(Links::default());
    let mut daemons = Vec::new();
    for number in 0..DAEMONS - 1 {
        daemons.push(start(number, network, folder, &entrances[number], &links).map_err(text)?);
        // The first one finds no coordinator before the others start.
        if number == 0 && !wait_until(Duration::from_secs(5), || coordinator(&store) == Some(0)) {
            return Err("the first daemon does not coordinate".to_owned());
        }
    }
    redirect(&mut daemons, network, &links)?;
    daemons.push(start(DAEMONS - 1, network, folder, &entrances[DAEMONS - 1], &links).map_err(text)?);
    redirect(&mut daemons, network, &links)?;
    thread::sleep(Duration::from_millis(2_500));

    let leader = coordinator(&store).ok_or("nobody coordinates")?;
    record.line(&format!("front-be-central-a-{} is the coordinator", leader + 1));
    if leader > 1 {
        return Err("a daemon of the smaller machines coordinates".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = [leader, DAEMONS - 1]
        .into_iter()
        .map(|daemon| spawn_caller(&daemons[daemon], daemon, &record, &is_over))
        .collect();
    thread::sleep(Duration::from_millis(1_000));

    let cut_off = DAEMONS - 1;
    if has_trouble {
        record.line(&format!("front-be-central-a-{} is cut off from the other daemons", cut_off + 1));
        *links.cut.lock().unwrap() = Some(cut_off);
    }
    thread::sleep(CUT_BEFORE_OUTAGE);
    if has_trouble {
        record.line("the store turns away front-be-central-a-1 and front-be-central-a-2 with 503");
        entrances[..2].iter().for_each(|entrance| entrance.is_busy.store(true, Ordering::SeqCst));
    }
    thread::sleep(OUTAGE);
    let calm_from = record.elapsed();
    if has_trouble {
        record.line("the store serves all again");
        entrances[..2].iter().for_each(|entrance| entrance.is_busy.store(false, Ordering::SeqCst));
    }
    thread::sleep(CUT - CUT_BEFORE_OUTAGE - OUTAGE);
    if has_trouble {
        record.line("the cut heals");
        *links.cut.lock().unwrap() = None;
    }
    thread::sleep(Duration::from_millis(1_500));
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    if let Some(ended) = daemons.iter_mut().find_map(|daemon| daemon.has_ended().then_some(daemon.plan.number)) {
        return Err(format!("daemon {ended} has ended"));
    }
    let orders = engine.orders.lock().unwrap().clone();
    if orders.len() < 10 {
        return Err("too few orders".to_owned());
    }
    Ok(judge(&orders, calm_from, &record))
}

/// Starts a daemon. The first two machines are a little larger than the others.
fn start(
    number: usize,
    network: u8,
    folder: &str,
    entrance: &StoreEntrance,
    links: &Arc<Links>,
) -> std::io::Result<Daemon> {
    let plan = DaemonPlan {
        number: number + 1,
        network,
        ip: address(network, 0, number + 1),
        cpu_share: if number < 2 { 0.3 } else { 0.25 },
        memory_mb: 260,
        fd_limit: 4_100,
        store: entrance.address,
        seeds: (1..=3).map(|number| address(network, 1, number)).collect(),
        requires_fencing: false,
    };
    let listen = SocketAddr::new(address(network, 1, number + 1), PEER_PORT);
    relay(listen, plan.on_port(PEER_PORT), number, links)?;
    let daemon = Daemon::start(plan, folder)?;
    links.processes.lock().unwrap().push((number, daemon.process()));
    Ok(daemon)
}

/// Waits until all daemons are ready, and gives them settings that name the proxies before
/// their ports for other daemons. A later daemon then reaches them through these.
fn redirect(daemons: &mut [Daemon], network: u8, _links: &Arc<Links>) -> Result<(), String> {
    let are_ready = wait_until(Duration::from_secs(10), || daemons.iter().all(Daemon::is_ready));
    if !are_ready {
        return Err("not all daemons became ready".to_owned());
    }
    for daemon in daemons.iter_mut() {
        let proxy = address(network, 1, daemon.plan.number);
        daemon.reload(proxy).map_err(|cause| cause.to_string())?;
    }
    thread::sleep(Duration::from_millis(1_500));
    Ok(())
}

/// The daemon that last wrote to the store under a condition, as the term record names it.
fn coordinator(store: &Store) -> Option<usize> {
    let term = store.get("keyed.ward-coordinator", "term")?;
    let text = String::from_utf8_lossy(&term).into_owned();
    (0..DAEMONS).find(|number| text.contains(&format!("front-be-central-a-{}", number + 1)))
}

/// Sends requests for one adapter after the other to a daemon.
fn spawn_caller(daemon: &Daemon, number: usize, record: &Record, is_over: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let address = daemon.plan.on_port(FRONT_PORT);
    let (record, is_over) = (record.clone(), Arc::clone(is_over));
    thread::spawn(move || {
        let first = if number == DAEMONS - 1 { 22 } else { 0 };
        for count in 0_usize.. {
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("{number:04x}{count:012x}");
            let adapter = first + count % 22;
            let request = format!(
                "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\n\
                 X-Persimmonward-Request-Id: {id}\r\nX-Persimmonward-Model: {MODEL}/a{adapter}\r\n\
                 X-Persimmonward-Token-Count: 640,20\r\nX-Persimmonward-Deadline-Remaining: 4000\r\n\
                 Content-Length: 2\r\n\r\n"
            );
            let record = record.clone();
            thread::spawn(move || {
                let answer = http::call(address, &request, b"{}", Duration::from_secs(6));
                let status = answer.map_or_else(|cause| cause, |answer| answer.start);
                record.line(&format!("request {id} at daemon {} for a{adapter}: {status}", number + 1));
            });
            thread::sleep(Duration::from_millis(150));
        }
    })
}

/// Whether no order of a holder came after one with a higher fence number of another. Orders
/// up to `THAW` after the end of the impairments don't count.
fn judge(orders: &[Order], calm_from: Duration, record: &Record) -> bool {
    let mut highest: Option<&Order> = None;
    let mut broken = 0;
    for order in orders {
        let is_excused = order.at >= calm_from && order.at < calm_from + THAW;
        if let Some(highest) = highest.filter(|highest| highest.holder != order.holder)
            && order.fence < highest.fence
            && !is_excused
        {
            broken += 1;
            if broken <= 3 {
                record.line(&format!(
                    "BROKEN: at {:.3} {} ordered with fence {}, after {} had ordered at {:.3} with fence {}",
                    order.at.as_secs_f64(), order.holder, order.fence,
                    highest.holder, highest.at.as_secs_f64(), highest.fence
                ));
            }
        }
        if highest.is_none_or(|highest| order.fence >= highest.fence) {
            highest = Some(order);
        }
    }
    record.line(&format!("{} orders, {broken} of them with a lower fence number than another holder's before", orders.len()));
    broken == 0
}
