//! Stand-in of the platform's metadata store: keyed topics with one partition each.

use std::collections::HashMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};

#[derive(Debug, Clone)]
struct Record {
    offset: u64,
    content: Vec<u8>,
}

#[derive(Default)]
struct Topics(HashMap<String, Vec<Record>>);

/// The store; clones share their records.
#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
    is_down: Arc<AtomicBool>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            topics: Arc::default(),
            is_down: Arc::default(),
            address,
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || drop(served.serve(stream)));
            }
        });
        store
    }

    /// Begins or ends an outage, in which every call is answered with 503.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Whether there is an outage.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, Topics> {
        self.topics.0.lock().expect("no panic holds it")
    }

    /// Writes the newest record of a key; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![u8::try_from(key.len()).expect("a short key")];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        let mut topics = self.lock();
        let records = topics.0.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        records.push(Record { offset, content });
        drop(topics);
        self.topics.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            thread::sleep(Duration::from_millis(2));
            let (status, kind, answer) = if self.is_down() {
                ("503 Service Unavailable", "application/json", b"{}".to_vec())
            } else {
                self.answer(&head, &body)
            };
            let headers = [("Content-Type", kind.to_owned())];
            http::write_answer(&mut writer, status, &headers, &answer)?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, &'static str, Vec<u8>) {
        let target = head.word(1).to_owned();
        let topic = http::query(&target, "topic").unwrap_or("").to_owned();
        let json = "application/json";
        if target.starts_with("/-/log-append") {
            let (status, text) = self.append(&topic, http::query(&target, "at"), body);
            return (status, json, text.into_bytes());
        }
        if target.starts_with("/-/log-newest") {
            return ("200 OK", json, self.newest(&topic).into_bytes());
        }
        if target.starts_with("/-/log-read") {
            let number = |name| http::query(&target, name).and_then(|text| text.parse().ok());
            let max_bytes = number("maxKb").unwrap_or(1_024) << 10;
            let (from, wait_ms) = (number("from").unwrap_or(0), number("waitMs").unwrap_or(0));
            let bytes = self.read(&topic, from, wait_ms, max_bytes);
            return ("200 OK", "application/octet-stream", bytes);
        }
        ("404 Not Found", json, b"{}".to_vec())
    }

    fn append(&self, topic: &str, at: Option<&str>, body: &[u8]) -> (&'static str, String) {
        let mut topics = self.lock();
        let records = topics.0.entry(topic.to_owned()).or_default();
        let first = records.len() as u64;
        if at.is_some_and(|at| at.parse() != Ok(first)) {
            return ("412 Precondition Failed", format!("{{\"end\":{first}}}"));
        }
        let mut rest = body;
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let (content, after) = after.split_at(u32::from_be_bytes(*length) as usize);
            let offset = records.len() as u64;
            records.push(Record { offset, content: content.to_vec() });
            rest = after;
        }
        let end = records.len();
        drop(topics);
        self.topics.1.notify_all();
        ("200 OK", format!("{{\"offset\":{first},\"end\":{end}}}"))
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.lock();
        let none = Vec::new();
        let records = topics.0.get(topic).unwrap_or(&none);
        let mut items: Vec<(String, &[u8], u64)> = Vec::new();
        for record in records {
            let (key, value) = split(&record.content);
            items.retain(|(known, _, _)| *known != key);
            if !value.is_empty() {
                items.push((key, value, record.offset));
            }
        }
        items.sort_by(|left, right| left.0.cmp(&right.0));
        let items: Vec<String> = items
            .iter()
            .map(|(key, value, offset)| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let end = records.len();
        format!("{{\"items\":[{}],\"truncated\":false,\"end\":{end}}}", items.join(","))
    }

    /// The end of the partition, its first offset, and records from an offset on, of which
    /// there is at least one if there is any, and no more than the bytes allowed.
    fn read(&self, topic: &str, from: u64, wait_ms: u64, max_bytes: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.lock();
        loop {
            let end = topics.0.get(topic).map_or(0, Vec::len) as u64;
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.topics.1.wait_timeout(topics, left).expect("no panic holds it").0;
        }
        let none = Vec::new();
        let records = topics.0.get(topic).unwrap_or(&none);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend_from_slice(&0_u64.to_be_bytes());
        let mut given = 0;
        for record in records.iter().filter(|record| record.offset >= from) {
            let length = u32::try_from(record.content.len()).expect("a short record");
            given += u64::from(length) + 4;
            if given > max_bytes && given > u64::from(length) + 4 {
                break;
            }
            bytes.extend_from_slice(&length.to_be_bytes());
            bytes.extend_from_slice(&record.content);
        }
        bytes
    }
}

fn split(content: &[u8]) -> (String, &[u8]) {
    let length = content.first().map_or(0, |length| usize::from(*length));
    let (key, value) = content[1..].split_at(length);
    (String::from_utf8_lossy(key).into_owned(), value)
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0_u32;
        for place in 0..3 {
            word = word << 8 | u32::from(part.get(place).copied().unwrap_or(0));
        }
        for place in 0..4 {
            let index = (word >> (18 - 6 * place) & 63) as usize;
            text.push(if place <= part.len() { char::from(LETTERS[index]) } else { '=' });
        }
    }
    text
}
