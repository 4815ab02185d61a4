//! Cases on answers that are no streams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::{send, Answer, Request};
use crate::world::{manifest, World};
use crate::{body_of, now_ms};

/// Engines, and how many of them give faulty answers.
const ENGINES: usize = 4;
const FAULTY_ENGINES: usize = 2;
const REQUESTERS: usize = 100;
/// Windows of the fault: length, time from one to the next, and number.
const WINDOW_MS: u64 = 5_000;
const WINDOW_EVERY_MS: u64 = 8_000;
const WINDOWS: u64 = 6;
/// Time from the beginning of a window until an engine is killed, and until it is back.
const KILL_AFTER_MS: u64 = 2_500;
const DOWN_MS: u64 = 2_000;

struct Outcome {
    id: String,
    path: String,
    daemon: usize,
    answer: Answer,
}

/// An engine is killed while it writes an answer without a length.
pub fn cut_answer(record: &Path, trouble: bool) -> bool {
    let fault = ["fault=unframed".to_owned(), "one_in=20".to_owned(), "pause_ms=400".to_owned()];
    play(record, &fault, |world, start| {
        for window in 0..WINDOWS {
            let kill_at = start + (window * WINDOW_EVERY_MS + KILL_AFTER_MS) as f64;
            sleep_until(kill_at);
            let index = window as usize % FAULTY_ENGINES;
            let id = world.engines[index].id();
            if trouble {
                world.record(&format!("engine {id} is killed"));
                world.engines[index].kill();
                sleep_until(kill_at + DOWN_MS as f64);
                world.engines[index].restart();
                let id = world.engines[index].id();
                world.record(&format!("it starts again as {id}"));
            }
        }
    })
}

/// Engines break off answers in the middle and write them once more.
pub fn second_copy(record: &Path, trouble: bool) -> bool {
    let fault = if trouble { "fault=second_copy" } else { "fault=none" };
    let fault = [fault.to_owned(), "one_in=34".to_owned(), "pause_ms=100".to_owned()];
    play(record, &fault, |_, _| {})
}

/// Two of four engines begin one answer in 50 without end; all requests at the same
/// daemons, to this service and to another one, must be answered in time.
pub fn endless_head(record: &Path, trouble: bool) -> bool {
    const BOOK_TIMEOUT_MS: f64 = 800.0;
    const QUICK_TIMEOUT_MS: f64 = 6_000.0;
    const GRACE_MS: f64 = 500.0;
    const REQUESTERS: usize = 24;
    let mut world = World::new(record, 2);
    let book = r#"{"name":"book","host":"callers.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"booking","attempts":1,"sticky":false,"resumable":false}"#;
    let quick = r#"{"name":"quick","host":"callers.example","pathPrefix":"/quick/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":500,"priority":0,"service":"assistant","attempts":1,"sticky":false,"resumable":false,"gapAimMs":600}"#;
    let service = |name: &str| format!(r#"{{"name":"{name}","healthPath":"/health","connectionCap":370,"protocol":"h1","tls":false}}"#);
    world.put_manifest(&manifest(&[book, quick], &[&service("booking"), &service("assistant")]));
    for number in 0..3 {
        world.add_engine(&format!("b-{number}"), "booking", &["slots=64".to_owned(), "work_ms=60".to_owned()]);
    }
    let start = now_ms() + 6_000.0;
    for number in 0..4 {
        let mut options = vec!["slots=64".to_owned(), "work_ms=300".to_owned()];
        if trouble && number < FAULTY_ENGINES {
            options.extend(["fault=endless".to_owned(), "one_in=50".to_owned(), format!("fault_start={start}")]);
            options.extend([format!("fault_length={WINDOW_MS}"), format!("fault_every={WINDOW_EVERY_MS}"), "fault_rounds=4".to_owned()]);
        }
        world.add_engine(&format!("i-{number}"), "assistant", &options);
    }
    world.add_daemon(1, 2);
    world.add_daemon(2, 2);
    world.wait_in_touch();
    sleep_until(start - 500.0);
    let end = start + (4 * WINDOW_EVERY_MS) as f64;
    let daemons: Vec<_> = world.daemons.iter().map(|daemon| daemon.callers).collect();
    let requesters = (0..REQUESTERS).map(|number| {
        let daemons = daemons.clone();
        std::thread::spawn(move || {
            let mut outcomes = Vec::new();
            std::thread::sleep(Duration::from_millis(20 * number as u64));
            while now_ms() < end {
                let id = format!("{number:04x}{:08x}", outcomes.len());
                let daemon = number / 3 % daemons.len();
                let (path, limit_ms, pause) = if number % 3 == 0 { ("/book/a", 1_500, 200) } else { ("/quick/a", 6_000, 300) };
                // A requester waits on after its time limit, to see when an answer comes.
                let request = Request { method: "POST", path, id: &id, headers: "", body: b"an order", limit_ms, silence_ms: 9_000 };
                let answer = send(daemons[daemon], &request);
                outcomes.push(Outcome { path: path.to_owned(), daemon, answer, id });
                std::thread::sleep(Duration::from_millis(pause));
            }
            outcomes
        })
    });
    let requesters: Vec<_> = requesters.collect();
    let outcomes: Vec<_> = requesters.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect();
    for (time, request, engine, what) in world.runs() {
        world.record(&format!("run log: {time:.0} {request} at {engine}: {what}"));
    }
    let mut late = 0;
    let mut unanswered = 0;
    for outcome in &outcomes {
        let answer = &outcome.answer;
        let took = answer.ended_ms - answer.sent_ms;
        let status = answer.status.map_or("none".to_owned(), |status| status.to_string());
        world.record(&format!("request {} {} to daemon {} sent {:.0}, after {took:.0} ms: {status}", outcome.id, outcome.path, outcome.daemon + 1, answer.sent_ms));
        let timeout = if outcome.path == "/book/a" { BOOK_TIMEOUT_MS } else { QUICK_TIMEOUT_MS };
        late += usize::from(took > timeout);
        unanswered += usize::from(took > timeout + GRACE_MS);
    }
    let line = format!(
        "CONFIG: of {} requests, {late} had no answer at their route's timeout, {unanswered} of these none half a second later",
        outcomes.len()
    );
    println!("{line}");
    world.record(&line);
    unanswered >= 8 && unanswered * 2 > late
}

/// Plays a case: requests all the time, faulty answers in windows, and `disrupt` beside
/// them; returns whether the rule was broken.
fn play(record: &Path, fault: &[String], disrupt: impl FnOnce(&mut World, f64)) -> bool {
    let mut world = World::new(record, 2);
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"callers.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"booking","attempts":{attempts},"sticky":false,"resumable":false}}"#
        )
    };
    let routes = [route("book", "unsafe", 1), route("stock", "safe", 2)];
    let service = r#"{"name":"booking","healthPath":"/health","connectionCap":400,"protocol":"h1","tls":false}"#;
    world.put_manifest(&manifest(&[&routes[0], &routes[1]], &[service]));
    let start = now_ms() + 6_000.0;
    for number in 0..ENGINES {
        let mut options = vec!["slots=64".to_owned(), "work_ms=60".to_owned()];
        options.extend_from_slice(fault);
        if number < FAULTY_ENGINES {
            options.push(format!("fault_start={start}"));
            options.push(format!("fault_length={WINDOW_MS}"));
            options.push(format!("fault_every={WINDOW_EVERY_MS}"));
            options.push(format!("fault_rounds={WINDOWS}"));
        }
        world.add_engine(&format!("i-{number}"), "booking", &options);
    }
    world.add_daemon(1, 2);
    world.add_daemon(2, 2);
    world.wait_in_touch();
    sleep_until(start - 500.0);
    let end = start + (WINDOWS * WINDOW_EVERY_MS) as f64;
    let daemons: Vec<_> = world.daemons.iter().map(|daemon| daemon.callers).collect();
    let requesters: Vec<_> = (0..REQUESTERS).map(|number| request_until(end, number, daemons.clone())).collect();
    disrupt(&mut world, start);
    let outcomes = requesters.into_iter().flat_map(|requester| requester.join().unwrap_or_default());
    let outcomes: Vec<_> = outcomes.collect();
    judge(&mut world, &outcomes)
}

fn sleep_until(at: f64) {
    let wait = at - now_ms();
    if wait > 0.0 {
        std::thread::sleep(Duration::from_millis(wait as u64));
    }
}

/// A requester that sends one request after the other.
fn request_until(end: f64, number: usize, daemons: Vec<SocketAddr>) -> JoinHandle<Vec<Outcome>> {
    std::thread::spawn(move || {
        let mut outcomes = Vec::new();
        std::thread::sleep(Duration::from_millis(5 * number as u64));
        while now_ms() < end {
            let id = format!("{number:04x}{:08x}", outcomes.len());
            let (method, path) = if number % 2 == 0 { ("POST", "/book/a") } else { ("GET", "/stock/a") };
            let daemon = number / 2 % daemons.len();
            let body = format!("order of {id}");
            let request = Request { method, path, id: &id, headers: "", body: body.as_bytes(), limit_ms: 4_000, silence_ms: 4_000 };
            let answer = send(daemons[daemon], &request);
            outcomes.push(Outcome { path: path.to_owned(), daemon, answer, id });
        }
        outcomes
    })
}

/// MIXED: a success must bear the engine's signature and the engine's whole body.
fn judge(world: &mut World, outcomes: &[Outcome]) -> bool {
    let mut counts: HashMap<String, u32> = HashMap::new();
    let mut broken = 0;
    let runs = world.runs();
    for (time, request, engine, what) in &runs {
        world.record(&format!("run log: {time:.0} {request} at {engine}: {what}"));
    }
    for outcome in outcomes {
        let answer = &outcome.answer;
        let end = if answer.complete { "whole" } else { "cut" };
        let status = answer.status.map_or("none".to_owned(), |status| status.to_string());
        let is_success = answer.status.is_some_and(|status| (200..300).contains(&status));
        let is_whole = answer.body == body_of(&outcome.id).as_bytes() && answer.signature.is_some();
        let is_mixed = is_success && answer.complete && !is_whole;
        *counts.entry(format!("{} {status} {end}{}", outcome.path, if is_mixed { ", not the engine's whole body" } else { "" })).or_default() += 1;
        world.record(&format!(
            "request {} {} to daemon {} sent {:.0}, ended {:.0}: {status}, {end}, {} bytes{}",
            outcome.id, outcome.path, outcome.daemon + 1, answer.sent_ms, answer.ended_ms, answer.body.len(),
            if is_mixed { " MIXED" } else { "" }
        ));
        if is_mixed {
            broken += 1;
            let ran = runs.iter().filter(|(_, request, _, _)| *request == outcome.id);
            for (time, _, engine, what) in ran {
                world.record(&format!("  of {}: {time:.0} {engine}: {what}", outcome.id));
            }
            world.record(&format!("  the requester got: {}", String::from_utf8_lossy(&answer.body).escape_debug()));
        }
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    for (what, count) in counts {
        let line = format!("{count} x {what}");
        println!("{line}");
        world.record(&line);
    }
    let line = format!("MIXED: {broken} successes without the engine's whole body, of {} requests", outcomes.len());
    println!("{line}");
    world.record(&line);
    if outcomes.iter().filter(|outcome| outcome.answer.status == Some(200)).count() < outcomes.len() / 2 {
        crate::cannot_run("most requests were not served");
    }
    broken > 0
}
