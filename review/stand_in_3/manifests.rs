//! CONFIG: the last machine of a system freezes for some seconds, while the manifest, which
//! has many routes, changes a few times. The newest version never comes into force there.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Outcome, Request};
use crate::daemon::{Daemon, Deployment, Ports};
use crate::plain::PlainEngine;
use crate::record::Journal;
use crate::store::Store;
use crate::{Stage, Verdict};

const HOST: &str = "ficu95.example";
const OLD_SERVICE: &str = "wuno96b";
const NEW_SERVICE: &str = "puxa17c";
const OLD_ENGINE: &str = "i-02d9e6b4";
const NEW_ENGINE: &str = "i-7f3a91c2";
/// Routes that `big_config` adds, three times.
const ADDED_ROUTES: usize = 3 * 350;
/// Versions that come while the machine is frozen, and the time between two.
const CHANGES: u64 = 7;
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the machine is frozen.
const FREEZE: Duration = Duration::from_millis(7_500);
/// `touchMs` and `configMs` of the settings.
const TOUCH: Duration = Duration::from_secs(3);
const MANIFEST_BOUND: Duration = Duration::from_secs(2);
/// Requests that test which version is in force, and the time between two.
const REQUESTS: u32 = 20;
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// The manifest of a version; in the newest, the route `/book/` leads to the new service.
fn manifest(version: u64, service: &str) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"safe","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"{service}","attempts":2,"sticky":false,"resumable":false}}"#
        )
    };
    let mut routes = vec![route("r-book", "/book/", service)];
    for number in 0..ADDED_ROUTES {
        routes.push(route(&format!("r-{number:06}"), &format!("/more{number:06}/"), OLD_SERVICE));
    }
    let services: Vec<String> = [OLD_SERVICE, NEW_SERVICE]
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","healthPath":"/health","connectionCap":110,"protocol":"h1","tls":false}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(","),
    )
}

fn publish(store: &Store, version: u64, service: &str, journal: &Journal) {
    let text = manifest(version, service);
    store.put("keyed.op", "config", text.as_bytes());
    journal.line(&format!(
        "version {version} acknowledged: {} bytes, /book/ leads to {service}", text.len(),
    ));
}

fn ask(daemon: &Daemon, number: u32, journal: &Journal) -> Outcome {
    let request = Request {
        id: format!("9c41d07be2a5{number:04x}"),
        method: "GET",
        host: HOST.to_owned(),
        path: "/book/2f".to_owned(),
        headers: Vec::new(),
        body: String::new(),
        time_ms: 1_500,
    };
    client::send(&daemon.front(), &request, journal)
}

fn is_run_by(outcome: &Outcome, engine: &str) -> bool {
    outcome.status == 200 && outcome.signature == Some(format!("sig.{engine}"))
}

pub fn play(stage: &Stage) -> Verdict {
    let journal = &stage.journal;
    let store = Store::start();
    publish(&store, 1, OLD_SERVICE, journal);
    PlainEngine::start(OLD_ENGINE, OLD_SERVICE, &store, journal);
    PlainEngine::start(NEW_ENGINE, NEW_SERVICE, &store, journal);
    let addresses = vec!["127.0.0.11".to_owned()];
    let deployment = Deployment {
        folder: stage.folder.clone(),
        ports: Ports::find(&addresses),
        addresses,
        store: store.address,
    };
    let daemon = deployment.start(0);
    if !daemon.wait_ready(Duration::from_secs(15)) {
        journal.line("the daemon is not ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(6));
    if !is_run_by(&ask(&daemon, 0, journal), OLD_ENGINE) {
        return Verdict::NotRun;
    }
    let begun = Instant::now();
    if stage.has_trouble {
        journal.line(&format!("{} freezes", daemon.name));
        daemon.signal("STOP");
    }
    for change in 1..=CHANGES {
        thread::sleep(CHANGE_INTERVAL);
        let service = if change == CHANGES { NEW_SERVICE } else { OLD_SERVICE };
        publish(&store, 1 + change, service, journal);
    }
    thread::sleep(FREEZE.saturating_sub(begun.elapsed()));
    if stage.has_trouble {
        daemon.signal("CONT");
        journal.line(&format!("{} wakes", daemon.name));
    }
    // From then on the machine is in touch, and the newest version must be in force.
    thread::sleep(TOUCH + MANIFEST_BOUND);
    journal.line("the machine is in touch");
    let mut by_old = 0;
    let mut by_new = 0;
    for number in 1..=REQUESTS {
        let outcome = ask(&daemon, number, journal);
        by_old += u32::from(is_run_by(&outcome, OLD_ENGINE));
        by_new += u32::from(is_run_by(&outcome, NEW_ENGINE));
        thread::sleep(REQUEST_INTERVAL);
    }
    journal.line(&format!("{by_old} requests run by the old service, {by_new} by the new one"));
    match (by_old, by_new) {
        (0, REQUESTS) => Verdict::Held,
        (0, _) => Verdict::NotRun,
        _ => Verdict::Broken,
    }
}
