//! Stand-in of an engine of a plain service: it answers every request at once.

use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Journal;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// An engine of a plain service.
#[derive(Clone)]
pub struct PlainEngine {
    id: String,
    journal: Journal,
}

impl PlainEngine {
    /// Starts an engine, which registers itself in the store.
    pub fn start(id: &str, service: &str, store: &Store, journal: &Journal) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let engine = Self {
            id: id.to_owned(),
            journal: journal.clone(),
        };
        let (id, service, store) = (id.to_owned(), service.to_owned(), store.clone());
        thread::spawn(move || beat(&id, &service, address, &store));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = engine.clone();
                thread::spawn(move || drop(engine.serve(stream)));
            }
        });
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head)?;
            let expected = head.get("x-persimmonward-expected-instance");
            let own = ("X-Persimmonward-Instance-Id", self.id.clone());
            if expected.is_some_and(|id| id != self.id) {
                http::write_answer(&mut writer, "421 Misdirected Request", &[own], b"")?;
                continue;
            }
            if head.word(1) == "/health" {
                http::write_answer(&mut writer, "200 OK", &[own], b"")?;
                continue;
            }
            let id = head.get("x-persimmonward-request-id").unwrap_or("").to_owned();
            self.journal.line(&format!("{} runs {id}: {}", self.id, head.line));
            let headers = [
                ("X-Persimmonward-Request-Id", id),
                ("X-Persimmonward-Server-Signature", format!("sig.{}", self.id)),
            ];
            http::write_answer(&mut writer, "200 OK", &headers, b"done")?;
        }
        Ok(())
    }
}

fn beat(id: &str, service: &str, address: SocketAddr, store: &Store) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let born = now.expect("a time after 1970").as_millis();
    for heartbeat in 1_u64.. {
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"bezigrad","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":{heartbeat},"born":{born}}}"#
        );
        store.put("keyed.servers", id, entry.as_bytes());
        thread::sleep(HEARTBEAT);
    }
}
