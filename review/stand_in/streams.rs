//! Cases on streams that may be resumed.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::{send, Answer, Request};
use crate::engine::event_text;
use crate::link::Link;
use crate::now_ms;
use crate::world::{manifest, signal, World, TERM};

/// Time limit of the requesters and of the route, in milliseconds.
const LIMIT_MS: u64 = 17_000;
/// Silence after which requesters give a stream up: four times its objective.
const SILENCE_MS: u64 = 10_000;
/// Time for which a run may go on after the request went on at another engine.
const STOP_MS: f64 = 400.0;
/// Time that a refused requester waits; the daemons ask for half a second.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Streams that must have been taken up for the rule on them to hold.
const MIN_TAKEN_UP: usize = 12;

/// One try of a stream.
struct Try {
    id: String,
    first_id: String,
    /// The last event that the requester had before.
    after: u64,
    daemon: usize,
    answer: Answer,
}

impl Try {
    /// The number of the last event of the answer, if its events follow each other.
    fn last_event(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.answer.body);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        let last = ids.filter_map(|id| id.trim().parse().ok()).last();
        last.unwrap_or(self.after)
    }

    fn describe(&self) -> String {
        let status = self.answer.status.map_or("none".to_owned(), |status| status.to_string());
        let end = if self.answer.complete { "whole" } else { "cut" };
        format!(
            "request {} (stream {}, after event {}) to daemon {} sent {:.0}, ended {:.0}: {status}, {end}, up to event {}",
            self.id, self.first_id, self.after, self.daemon + 1,
            self.answer.sent_ms, self.answer.ended_ms, self.last_event()
        )
    }
}

fn sleep_until(at: f64) {
    let wait = at - now_ms();
    if wait > 0.0 {
        std::thread::sleep(Duration::from_millis(wait as u64));
    }
}

/// A deployment whose engines serve streams of one model each; `holders` engines hold the
/// model that is asked for, one more holds another.
fn start_world(record: &Path, daemons: u8, holders: usize, options: impl Fn(usize) -> Vec<String>) -> World {
    let mut world = World::new(record, daemons);
    let route = format!(
        r#"{{"name":"venue","host":"callers.example","pathPrefix":"/venue/","kind":"streaming","timeoutMs":{LIMIT_MS},"targetLatencyMs":2500,"priority":0,"service":"assistant","attempts":2,"sticky":true,"resumable":true,"gapAimMs":600}}"#
    );
    let model = |name: &str| {
        format!(r#"{{"name":"{name}","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0,"warmS":0.28,"diskS":0.4}}"#)
    };
    let service = format!(
        r#"{{"name":"assistant","healthPath":"/health","connectionCap":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvTokens":232000,"models":[{},{}],"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":3.5}}}}"#,
        model("rare"),
        model("other")
    );
    world.put_manifest(&manifest(&[&route], &[&service]));
    for number in 0..=holders {
        let held = if number < holders { "rare" } else { "other" };
        let mut all = vec!["kind=stream".to_owned(), "slots=64".to_owned(), format!("models={held}")];
        all.extend(options(number));
        world.add_engine(&format!("i-{number}"), "assistant", &all);
    }
    for number in 1..=daemons {
        world.add_daemon(number, daemons);
    }
    world.wait_in_touch();
    world
}

/// Sends one try of a stream; `former` is the try that it takes up.
fn send_try(address: SocketAddr, daemon: usize, id: &str, former: Option<&Try>) -> Try {
    let mut headers = "X-Persimmonward-Model: rare\r\nX-Persimmonward-Token-Count: 491,60\r\nX-Persimmonward-Prompt-Prefix: 5c1e07a2:93,91bd3f06:62\r\n".to_owned();
    let after = former.map_or(0, Try::last_event);
    let first_id = former.map_or(id.to_owned(), |former| former.first_id.clone());
    if former.is_some() {
        headers.push_str(&format!("Last-Event-Id: {after}\r\nResumes: {first_id}\r\n"));
    }
    let request = Request {
        method: "POST",
        path: "/venue/quote",
        id,
        headers: &headers,
        body: b"a quote, please",
        limit_ms: LIMIT_MS,
        silence_ms: SILENCE_MS,
    };
    let answer = send(address, &request);
    Try { id: id.to_owned(), first_id, after, daemon, answer }
}

/// Sends streams one after the other to one daemon until `end`; a stream that breaks off
/// is taken up at the first of the daemons `others` that can be reached. If that says that
/// it has not run the request, it is asked once more.
fn stream_until(end: f64, number: usize, daemons: Vec<SocketAddr>, own: usize, others: Vec<usize>) -> JoinHandle<Vec<Try>> {
    std::thread::spawn(move || {
        let mut tries: Vec<Try> = Vec::new();
        std::thread::sleep(Duration::from_millis(40 * number as u64));
        while now_ms() < end {
            let id = format!("{number:04x}{:08x}", tries.len());
            let first = send_try(daemons[own], own, &id, None);
            let is_broken = first.answer.status == Some(200) && !first.answer.complete && first.last_event() > 0;
            if is_broken {
                for other in &others {
                    let id = format!("{number:04x}{:08x}", 0x1000_0000 + tries.len());
                    let next = send_try(daemons[*other], *other, &id, Some(&first));
                    let is_reached = next.answer.status.is_some();
                    let is_refused = next.answer.status == Some(503);
                    tries.push(next);
                    if is_refused {
                        std::thread::sleep(RETRY_AFTER);
                        let id = format!("{number:04x}{:08x}", 0x1000_0000 + tries.len());
                        tries.push(send_try(daemons[*other], *other, &id, Some(&first)));
                    }
                    if is_reached {
                        break;
                    }
                }
            } else if first.answer.status.is_none() {
                std::thread::sleep(Duration::from_millis(200));
            }
            tries.push(first);
        }
        tries
    })
}

/// Writes all runs and tries to the record.
fn record_all(world: &mut World, tries: &[Try]) {
    for (time, request, engine, what) in world.runs() {
        world.record(&format!("run log: {time:.0} {request} at {engine}: {what}"));
    }
    for one in tries {
        world.record(&one.describe());
    }
}

fn conclude(world: &mut World, line: &str) {
    println!("{line}");
    world.record(line);
}

/// One engine turns slow, and its streams are moved to others.
pub fn moved_stream(record: &Path, trouble: bool) -> bool {
    const REQUESTERS: usize = 18;
    let start = now_ms() + 6_000.0;
    let mut world = start_world(record, 2, 6, |number| {
        let mut options = vec!["step_ms=500".to_owned(), "events=6".to_owned()];
        if trouble && number == 0 {
            options.extend(["slow_x=5".to_owned(), format!("slow_start={}", start + 3_000.0)]);
            options.extend(["slow_length=6500".to_owned(), "slow_every=15000".to_owned(), "slow_rounds=2".to_owned()]);
        }
        options
    });
    sleep_until(start);
    let daemons: Vec<_> = world.daemons.iter().map(|daemon| daemon.callers).collect();
    let end = start + 30_000.0;
    let requesters = (0..REQUESTERS).map(|number| stream_until(end, number, daemons.clone(), number % 2, vec![]));
    let requesters: Vec<_> = requesters.collect();
    let tries: Vec<_> = requesters.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect();
    // Runs that nobody waits for any more end, too.
    std::thread::sleep(Duration::from_millis(3_000));
    record_all(&mut world, &tries);
    let runs = world.runs();
    let mut moved = 0;
    let mut broken = 0;
    for one in &tries {
        let of_request: Vec<_> = runs.iter().filter(|(_, request, _, _)| *request == one.id).collect();
        let begun: Vec<_> = of_request.iter().filter(|(_, _, _, what)| what.starts_with("runs from")).collect();
        for pair in begun.windows(2) {
            let (former, next) = (&pair[0].2, pair[1].0);
            moved += 1;
            let steps = of_request.iter().filter(|(_, _, engine, _)| engine == former);
            let last = steps.map(|(time, _, _, _)| *time).fold(0.0, f64::max);
            let ms = last - next;
            world.record(&format!(
                "stream {} went on at {} at {next:.0}; {former} worked on it until {last:.0}, {ms:.0} ms later",
                one.id, pair[1].2
            ));
            broken += usize::from(ms > STOP_MS && *former != pair[1].2);
        }
    }
    let complete = tries.iter().filter(|one| one.answer.complete && one.answer.status == Some(200)).count();
    conclude(&mut world, &format!("{complete} of {} streams complete", tries.len()));
    conclude(&mut world, &format!("TWICE: {broken} of {moved} runs that went on elsewhere still ran over 400 ms later"));
    broken > 0
}

/// A daemon is told to stop while its engine, short of memory, preempts runs.
pub fn lost_stream(record: &Path, trouble: bool) -> bool {
    const REQUESTERS: usize = 10;
    let mut world = start_world(record, 2, 1, |_| {
        let preempt = if trouble { 2_300 } else { 0 };
        vec!["step_ms=300".to_owned(), "events=6".to_owned(), format!("preempt_ms={preempt}")]
    });
    let daemons: Vec<_> = world.daemons.iter().map(|daemon| daemon.callers).collect();
    let begun = now_ms();
    let requesters = (0..REQUESTERS).map(|number| stream_until(begun + 300.0 + 40.0 * number as f64, number, daemons.clone(), 0, vec![]));
    let requesters: Vec<_> = requesters.collect();
    sleep_until(begun + 1_000.0);
    signal(&world.daemons[0].child, TERM);
    world.record("daemon 1 gets SIGTERM");
    let tries: Vec<_> = requesters.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect();
    record_all(&mut world, &tries);
    let runs = world.runs();
    let mut broken = 0;
    for one in &tries {
        let is_passed_on = runs.iter().any(|(_, request, _, _)| *request == one.id);
        let is_lost = is_passed_on && !one.answer.complete;
        let took = one.answer.ended_ms - one.answer.sent_ms;
        if is_lost {
            world.record(&format!("stream {} ended after {took:.0} ms of {LIMIT_MS} without a complete answer", one.id));
        }
        broken += usize::from(is_lost && took < 0.7 * LIMIT_MS as f64);
    }
    conclude(&mut world, &format!("LOST: {broken} of {} streams that were passed on ended without a complete answer", tries.len()));
    broken > 0
}

/// One of two daemons is killed, and requesters take its streams up at the other.
pub fn taken_up(record: &Path, trouble: bool) -> bool {
    const REQUESTERS: usize = 30;
    const ROUNDS: u64 = 2;
    const ROUND_MS: f64 = 14_000.0;
    const KILL_AFTER_MS: f64 = 5_000.0;
    const DOWN_MS: f64 = 3_000.0;
    let mut world = start_world(record, 2, 4, |_| vec!["step_ms=250".to_owned(), "events=14".to_owned()]);
    let daemons: Vec<_> = world.daemons.iter().map(|daemon| daemon.callers).collect();
    let start = now_ms();
    let end = start + ROUNDS as f64 * ROUND_MS;
    let requesters = (0..REQUESTERS).map(|number| stream_until(end, number, daemons.clone(), number % 2, vec![1 - number % 2]));
    let requesters: Vec<_> = requesters.collect();
    for round in 0..ROUNDS {
        let kill_at = start + round as f64 * ROUND_MS + KILL_AFTER_MS;
        sleep_until(kill_at);
        if trouble {
            world.record("daemon 1 is killed");
            world.kill_daemon(0);
            sleep_until(kill_at + DOWN_MS);
            world.restart_daemon(0);
            world.record("daemon 1 is started again");
        }
    }
    let tries: Vec<_> = requesters.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect();
    record_all(&mut world, &tries);
    // Daemon 2 ran all the time, so it is in touch.
    let at_second: Vec<_> = tries.iter().filter(|one| one.daemon == 1 && one.answer.status.is_some()).collect();
    let mut taken_up: Vec<_> = at_second.iter().filter(|one| one.after > 0).map(|one| &one.first_id).collect();
    taken_up.sort();
    taken_up.dedup();
    let goes_on = |one: &&&Try| one.after > 0 && one.answer.status == Some(200) && one.last_event() > one.after;
    let gone_on = at_second.iter().filter(goes_on).count();
    let new: Vec<_> = at_second.iter().filter(|one| one.after == 0).collect();
    let begun = new.iter().filter(|one| one.answer.status == Some(200) && one.last_event() > 0).count();
    let joined = at_second.iter().filter(|one| one.after > 0 && is_wrong(one)).count();
    conclude(&mut world, &format!("new streams at daemon 2: {begun} of {} began", new.len()));
    conclude(&mut world, &format!("LOST: {gone_on} of {} streams that were taken up at daemon 2 went on", taken_up.len()));
    if joined > 0 {
        conclude(&mut world, &format!("ORDER: {joined} streams went on at another event"));
    }
    let share_new = begun as f64 / new.len().max(1) as f64;
    let share = gone_on as f64 / taken_up.len().max(1) as f64;
    taken_up.len() >= MIN_TAKEN_UP && share < share_new / 2.0
}

/// All daemons lose their power at once while engines of two software versions serve;
/// requesters take their streams up when the daemons are in touch again.
pub fn all_dark(record: &Path, trouble: bool) -> bool {
    const REQUESTERS: usize = 45;
    const ROUNDS: u64 = 3;
    const ROUND_MS: f64 = 16_000.0;
    const KILL_AFTER_MS: f64 = 4_000.0;
    const DOWN_MS: f64 = 1_100.0;
    const TOUCH_MS: f64 = 3_000.0;
    let mut world = start_world(record, 3, 6, |number| {
        vec!["step_ms=22".to_owned(), "events=14".to_owned(), format!("version=v{}", 1 + number % 2)]
    });
    let links: Vec<_> = world.daemons.iter().map(|daemon| Link::start(daemon.callers)).collect();
    let addresses: Vec<_> = links.iter().map(|link| link.address).collect();
    let start = now_ms();
    let end = start + ROUNDS as f64 * ROUND_MS;
    let requesters = (0..REQUESTERS).map(|number| {
        let own = number % 3;
        stream_until(end, number, addresses.clone(), own, vec![(own + 1) % 3])
    });
    let requesters: Vec<_> = requesters.collect();
    let mut back = Vec::new();
    for round in 0..ROUNDS {
        let kill_at = start + round as f64 * ROUND_MS + KILL_AFTER_MS;
        sleep_until(kill_at);
        if !trouble {
            continue;
        }
        links.iter().for_each(|link| link.set_dark(true));
        world.record("all daemons lose their power");
        (0..3).for_each(|index| world.kill_daemon(index));
        sleep_until(kill_at + DOWN_MS);
        (0..3).for_each(|index| world.restart_daemon(index));
        links.iter().for_each(|link| link.set_dark(false));
        world.record("all daemons are started again");
        back.push((kill_at, now_ms()));
    }
    let tries: Vec<_> = requesters.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect();
    record_all(&mut world, &tries);
    let is_in_touch = |one: &&Try| {
        let sent = one.answer.sent_ms;
        one.answer.status.is_some() && back.iter().all(|(dark, back)| sent < *dark - 1_000.0 || sent > back + TOUCH_MS)
    };
    let in_touch: Vec<_> = tries.iter().filter(is_in_touch).collect();
    let mut taken_up: Vec<_> = in_touch.iter().filter(|one| one.after > 0).map(|one| &one.first_id).collect();
    taken_up.sort();
    taken_up.dedup();
    let goes_on = |one: &&&Try| one.after > 0 && one.answer.status == Some(200) && one.last_event() > one.after;
    let gone_on = in_touch.iter().filter(goes_on).count();
    let new: Vec<_> = in_touch.iter().filter(|one| one.after == 0).collect();
    let begun = new.iter().filter(|one| one.answer.status == Some(200) && one.last_event() > 0).count();
    conclude(&mut world, &format!("new streams at daemons in touch: {begun} of {} began", new.len()));
    conclude(&mut world, &format!("LOST: {gone_on} of {} streams that were taken up at daemons in touch went on", taken_up.len()));
    let share_new = begun as f64 / new.len().max(1) as f64;
    let share = gone_on as f64 / taken_up.len().max(1) as f64;
    taken_up.len() >= MIN_TAKEN_UP && share < share_new / 2.0
}

/// Whether a stream that went on does not begin with the event after the last one.
fn is_wrong(one: &Try) -> bool {
    let text = String::from_utf8_lossy(&one.answer.body).into_owned();
    one.answer.status == Some(200) && !text.is_empty() && !text.starts_with(&event_text(&one.id, one.after + 1))
}
