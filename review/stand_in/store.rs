//! The platform's store: an append-only log with keyed topics. It lives in the process of
//! the case; engines write their entries into it over HTTP. An entry of an engine that
//! has been silent for three intervals is dropped.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};

/// Time of silence after which the entry of an engine is dropped.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3 * crate::HEARTBEAT_MS);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Vec<u8>>>,
    heard: HashMap<Vec<u8>, Instant>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts a store at a free port of `ip`.
    pub fn start(ip: IpAddr) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind((ip, 0)).expect("the store's port");
        let address = listener.local_addr().expect("the store's address");
        let store = Arc::new(Self { state: Mutex::default(), changed: Condvar::new() });
        let server = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&server);
                std::thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        let sweeper = Arc::clone(&store);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(100));
            sweeper.drop_silent();
        });
        (store, address)
    }

    /// Writes a keyed record, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        self.append(topic, vec![content]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> usize {
        let mut state = self.state.lock().unwrap();
        if topic == "keyed.servers" {
            for record in &records {
                state.heard.insert(key_of(record).to_vec(), Instant::now());
            }
        }
        let log = state.topics.entry(topic.to_owned()).or_default();
        let first = log.len();
        log.extend(records);
        self.changed.notify_all();
        first
    }

    fn drop_silent(&self) {
        let mut state = self.state.lock().unwrap();
        let is_silent = |heard: &Instant| heard.elapsed() > ENTRY_LIFETIME;
        let silent: Vec<_> = state.heard.iter().filter(|(_, heard)| is_silent(heard)).collect();
        let silent: Vec<Vec<u8>> = silent.into_iter().map(|(key, _)| key.clone()).collect();
        for key in silent {
            state.heard.remove(&key);
            let mut content = vec![key.len() as u8];
            content.extend_from_slice(&key);
            state.topics.entry("keyed.servers".to_owned()).or_default().push(content);
            self.changed.notify_all();
        }
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(head)) = conn.read_head() {
            let body = conn.read_request_body(&head);
            if !body.complete {
                return;
            }
            std::thread::sleep(Duration::from_millis(4));
            let (status, answer) = self.answer(&head, &body.bytes);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            let mut bytes = text.into_bytes();
            bytes.extend_from_slice(&answer);
            if conn.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or("");
        match path {
            "/-/log-append" => self.answer_append(topic, query.get("at").copied(), body),
            "/-/log-read" => self.answer_read(topic, &query),
            "/-/log-newest" => (200, self.newest(topic)),
            _ => (404, Vec::new()),
        }
    }

    fn answer_append(&self, topic: &str, at: Option<&str>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut records = Vec::new();
        let mut rest = body;
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length {
                return (400, Vec::new());
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        if let Some(at) = at.and_then(|at| at.parse::<usize>().ok()) {
            // One lock for the condition and the append.
            let mut state = self.state.lock().unwrap();
            let log = state.topics.entry(topic.to_owned()).or_default();
            if log.len() != at {
                return (412, format!("{{\"end\":{}}}", log.len()).into_bytes());
            }
            log.extend(records);
            let end = log.len();
            self.changed.notify_all();
            return (200, format!("{{\"offset\":{at},\"end\":{end}}}").into_bytes());
        }
        let count = records.len();
        let first = self.append(topic, records);
        (200, format!("{{\"offset\":{first},\"end\":{}}}", first + count).into_bytes())
    }

    fn answer_read(&self, topic: &str, query: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state.topics.get(topic).map_or(0, Vec::len);
            let now = Instant::now();
            if end > from || now >= deadline {
                break;
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
        let empty = Vec::new();
        let log = state.topics.get(topic).unwrap_or(&empty);
        let mut answer = (log.len() as u64).to_be_bytes().to_vec();
        answer.extend_from_slice(&0_u64.to_be_bytes());
        for record in log.iter().skip(from) {
            answer.extend_from_slice(&(record.len() as u32).to_be_bytes());
            answer.extend_from_slice(record);
        }
        (200, answer)
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let empty = Vec::new();
        let log = state.topics.get(topic).unwrap_or(&empty);
        let mut newest: HashMap<&[u8], (usize, &[u8])> = HashMap::new();
        for (offset, record) in log.iter().enumerate() {
            let key = key_of(record);
            newest.insert(key, (offset, &record[1 + key.len()..]));
        }
        let mut items: Vec<_> = newest.into_iter().filter(|(_, (_, value))| !value.is_empty()).collect();
        items.sort();
        let items = items.iter().map(|(key, (offset, value))| {
            let key = String::from_utf8_lossy(key);
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items: Vec<_> = items.collect();
        let end = log.len();
        format!("{{\"items\":[{}],\"truncated\":false,\"end\":{end}}}", items.join(",")).into_bytes()
    }
}

fn key_of(record: &[u8]) -> &[u8] {
    &record[1..=usize::from(record[0])]
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for index in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= group.len() { digit } else { '=' });
        }
    }
    text
}
