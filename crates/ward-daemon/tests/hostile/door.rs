//! Addresses and paths of a daemon that a crowd may send to.

use std::net::SocketAddr;

use ward_adapter::ingress::{DIRECTORY_PATH, READINESS_PATH};
use ward_adapter::served::CALLER_HOST;
use ward_fleet::HostSettings;

/// An address of a daemon with a path on it.
#[derive(Debug, Clone)]
pub(crate) struct CrowdDoor {
    pub(crate) name: &'static str,
    pub(crate) address: SocketAddr,
    path: &'static str,
    /// Bytes that precede a request, so that the address takes what follows.
    prefix: Vec<u8>,
}

impl CrowdDoor {
    /// All doors of a daemon with these settings.
    pub(crate) fn all(settings: &HostSettings) -> Vec<Self> {
        let door = |name, address, path| Self {
            name,
            address,
            path,
            prefix: Vec::new(),
        };
        vec![
            door("route", settings.callers, "/book/a"),
            door("no route", settings.callers, "/nowhere"),
            door("readiness", settings.readiness, READINESS_PATH),
            door("directory", settings.directory, DIRECTORY_PATH),
            door("metrics", settings.metrics, "/metrics"),
            Self {
                prefix: PEER_MESSAGE_BYTES.to_be_bytes().to_vec(),
                ..door("peers", settings.peers, "/")
            },
        ]
    }

    /// The head of a request with these fields, each ended by CRLF.
    pub(crate) fn head(&self, number: usize, fields: &str) -> Vec<u8> {
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Persimmonward-Request-Id: h{number}\r\n\
             {fields}\r\n",
            self.path
        );
        [self.prefix.as_slice(), text.as_bytes()].concat()
    }
}

/// Length of the message that a crowd announces on the port for other daemons.
const PEER_MESSAGE_BYTES: u32 = 1 << 20;
