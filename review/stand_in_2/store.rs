//! Stand-in for the platform's store: a log of keyed topics in memory. Each daemon has an
//! address of its own to it, so that the store can turn away some of them.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, serve, write_answer};

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

/// The address of the store for one daemon.
pub struct StoreEntrance {
    pub address: SocketAddr,
    /// Whether all calls are refused with 503.
    pub is_busy: Arc<AtomicBool>,
    /// Topic whose next append is done late and not answered.
    pub late_topic: Arc<Mutex<Option<String>>>,
}

/// Time after which an append that is not answered is done.
pub const LATE: Duration = Duration::from_secs(5);

impl Store {
    pub fn entrance(&self, ip: IpAddr) -> std::io::Result<StoreEntrance> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let is_busy = Arc::new(AtomicBool::new(false));
        let late_topic = Arc::new(Mutex::new(None));
        let (store, busy, late) = (self.clone(), Arc::clone(&is_busy), Arc::clone(&late_topic));
        serve(listener, move |request, stream| {
            if request.path() == "/-/log-append" {
                let mut late = late.lock().unwrap();
                if late.is_some() && *late == request.query("topic") {
                    *late = None;
                    store.append_late(request.clone());
                    return wait_for_close(stream);
                }
            }
            if busy.load(Ordering::SeqCst) {
                return write_answer(stream, "503 Service Unavailable", &[], b"");
            }
            store.answer(request, stream, &busy)
        });
        Ok(StoreEntrance { address, is_busy, late_topic })
    }

    /// Does an append later, if its condition still holds.
    fn append_late(&self, request: Message) {
        let store = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LATE);
            let topic = request.query("topic").unwrap_or_default();
            store.append(&topic, &request, &mut std::io::sink());
        });
    }

    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.to_vec()));
        changed.notify_all();
    }

    /// The newest value of a key.
    pub fn get(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().unwrap();
        let records = &state.topics.get(topic)?.records;
        records.iter().rfind(|record| record.0 == key).map(|record| record.1.clone())
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, busy: &AtomicBool) -> bool {
        let topic = request.query("topic").unwrap_or_default();
        match request.path() {
            "/-/log-append" => self.append(&topic, request, stream),
            "/-/log-read" => self.read(&topic, request, stream, busy),
            "/-/log-newest" => self.newest(&topic, request, stream),
            _ => write_answer(stream, "404 Not Found", &[], b""),
        }
    }

    fn append(&self, topic: &str, request: &Message, stream: &mut impl Write) -> bool {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let end = topic.records.len();
        let at = request.query("at").and_then(|at| at.parse::<usize>().ok());
        if at.is_some_and(|at| at != end) {
            let body = format!("{{\"end\":{end}}}");
            return write_answer(stream, "412 Precondition Failed", &[], body.as_bytes());
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let (content, after) = rest[4..].split_at(length);
            let key_length = usize::from(content[0]);
            let key = String::from_utf8_lossy(&content[1..=key_length]).into_owned();
            topic.records.push((key, content[1 + key_length..].to_vec()));
            rest = after;
        }
        let body = format!("{{\"offset\":{end},\"end\":{}}}", topic.records.len());
        changed.notify_all();
        drop(state);
        write_answer(stream, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn read(&self, topic: &str, request: &Message, stream: &mut TcpStream, busy: &AtomicBool) -> bool {
        let from = request.query("from").and_then(|from| from.parse().ok()).unwrap_or(0_usize);
        let wait = request.query("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let end = state.topics.get(topic).map_or(0, |topic| topic.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() || busy.load(Ordering::SeqCst) {
                break;
            }
            let step = left.min(Duration::from_millis(50));
            state = changed.wait_timeout(state, step).unwrap().0;
        }
        let empty = Topic::default();
        let records = &state.topics.get(topic).unwrap_or(&empty).records;
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let length = u32::try_from(1 + key.len() + value.len()).unwrap();
            body.extend_from_slice(&length.to_be_bytes());
            body.push(u8::try_from(key.len()).unwrap());
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        drop(state);
        if busy.load(Ordering::SeqCst) {
            return write_answer(stream, "503 Service Unavailable", &[], b"");
        }
        write_answer(stream, "200 OK", &[], &body)
    }

    fn newest(&self, topic: &str, request: &Message, stream: &mut TcpStream) -> bool {
        let after = request.query("after").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let empty = Topic::default();
        let records = &state.topics.get(topic).unwrap_or(&empty).records;
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.as_str(), (offset, value));
        }
        let live = newest.iter().filter(|(key, found)| **key > after.as_str() && !found.1.is_empty());
        let items: Vec<_> = live
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let items = items.join(",");
        let body = format!("{{\"items\":[{items}],\"truncated\":false,\"end\":{}}}", records.len());
        drop(state);
        let written = write_answer(stream, "200 OK", &[("Content-Type", "application/json")], body.as_bytes());
        written && stream.flush().is_ok()
    }
}

/// A connection on which a response is lost returns nothing further.
fn wait_for_close(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 256];
    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
    false
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for index in 0..4 {
            if index <= part.len() {
                text.push(char::from(LETTERS[(word >> (18 - 6 * index) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
