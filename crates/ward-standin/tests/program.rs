//! The program: its first output line, registration, and invalid arguments.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use googletest::prelude::*;
use ward_platform::{HostClient, LogClient, LogTimeouts};
use ward_protocol::{LogOffset, LogStream, TimeSpan};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ward-standin");

/// A stand-in in its own process, which is killed when dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(PROGRAM)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening on ").unwrap();
        let address = address.parse().unwrap();
        Self { child, address }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

#[googletest::test]
#[tokio::test]
async fn program_log() {
    let log = Process::start(&["log", "--listen", "127.0.0.1:0"]);
    let client = LogClient::new(log.address, LogTimeouts::default());
    let first = client.append(LogStream::Control, vec![vec![1]]).await;
    expect_that!(first, ok(eq(&LogOffset(1))));
}

#[googletest::test]
#[tokio::test]
async fn program_registers() {
    let hosts = Process::start(&["hosts", "--lag-ms", "0"]);
    let list = hosts.address.to_string();
    let engine = [
        "engine",
        "--id",
        "engine-1",
        "--zone",
        "vic",
        "--memory",
        "24GiB",
        "--fencing",
        "ignores",
        "--store",
        &list,
        "--hosts",
        &list,
        "--cached",
        "m@1=disk",
        "--token-time",
        "5ms",
    ];
    let service = [
        "service",
        "--id",
        "booking-1",
        "--zone",
        "vic",
        "--service",
        "booking",
        "--hosts",
        &list,
    ];
    let engine = Process::start(&engine);
    let service = Process::start(&service);
    let client = HostClient::new(hosts.address, TimeSpan::from_secs(5));
    let entries = client.list().await.unwrap();
    let addresses: Vec<_> = entries.iter().map(|entry| entry.info.address).collect();
    expect_that!(addresses, eq(&vec![engine.address, service.address]));
}

#[googletest::test]
fn program_bad_arguments() {
    let cases: [&[&str]; 4] = [
        &[],
        &["engine", "--id", "e", "--zone", "z"],
        &["engine", "--id", "e", "--zone", "z", "--memory", "24"],
        &["hosts", "--model-loads", "0"],
    ];
    for arguments in cases {
        let output = Command::new(PROGRAM).args(arguments).output().unwrap();
        expect_that!(output.status.success(), eq(false), "{arguments:?}");
        expect_that!(output.stdout.len(), eq(0), "{arguments:?}");
    }
}

#[googletest::test]
fn program_port_taken() {
    let log = Process::start(&["log"]);
    let taken = log.address.to_string();
    let output = Command::new(PROGRAM)
        .args(["log", "--listen", &taken])
        .output()
        .unwrap();
    expect_that!(output.status.success(), eq(false));
    let error = String::from_utf8(output.stderr).unwrap();
    expect_that!(error, contains_substring("choose another port"));
}
