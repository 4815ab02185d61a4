//! Runs the program against fake daemons with different faults.

#![allow(clippy::unwrap_used)]

mod session;
mod support;

use std::net::SocketAddr;

use googletest::prelude::*;
use support::{DaemonFault, FakeLog, ProgramExit, run_program, start_daemon, unused_address};
use ward_cli::ALL_COMMANDS;
use ward_operator::{HistoryVerdict, PlanStatusAnswer};

const SHEET: &str = "examples/ljubljana.csv";
const EXAMPLE_ADDRESS: &str = "127.0.0.1:7003";

/// A short timeout for tests in which no answer arrives.
const SHORT_TIMEOUT: [&str; 2] = ["--timeout", "2s"];

/// Submits the sheet to the daemons, which are tried in turn.
async fn submit(daemons: &[SocketAddr], more: &[&str]) -> ProgramExit {
    let named: Vec<String> = daemons.iter().map(ToString::to_string).collect();
    let mut line = vec!["plan", "submit", SHEET, "--author", "ana+č"];
    line.extend(["--base", "current"]);
    line.extend(more);
    for daemon in &named {
        line.extend(["--daemon", daemon]);
    }
    run_program(&line).await
}

#[googletest::test]
#[tokio::test]
async fn examples_all_run() {
    let log = FakeLog::default();
    let daemon = start_daemon(&log, DaemonFault::None, None)
        .await
        .to_string();
    for example in ALL_COMMANDS.iter().flat_map(|entry| entry.examples) {
        let line = example.line.replace(EXAMPLE_ADDRESS, &daemon);
        let words: Vec<&str> = line.split_whitespace().skip(1).collect();
        let exit = run_program(&words).await;
        expect_that!(exit.code, eq(0), "{line}: {exit:?}");
        expect_that!(exit.output.is_empty(), eq(false), "{line}");
    }
}

#[googletest::test]
#[tokio::test]
async fn help_has_examples_and_codes() {
    for entry in ALL_COMMANDS {
        let mut line = entry.words.to_vec();
        line.push("--help");
        let exit = run_program(&line).await;
        expect_that!(exit.code, eq(0));
        expect_that!(exit.output, contains_substring("Exit codes:"));
        expect_that!(entry.examples, not(is_empty()));
        for example in entry.examples {
            expect_that!(exit.output, contains_substring(example.line));
        }
    }
}

#[googletest::test]
#[tokio::test]
async fn usage_mistakes() {
    for line in [
        &["plan", "submit", SHEET][..],
        &["plan", "fly"],
        &["hosts"],
        &["hosts", "--daemon", "here"],
        &["plan", "check", "no/such/file.csv"],
        &[
            "hosts",
            "--token-file",
            "no/such/file",
            "--daemon",
            EXAMPLE_ADDRESS,
        ],
        &[],
    ] {
        let exit = run_program(line).await;
        expect_that!(exit.code, eq(2), "{line:?}: {exit:?}");
        expect_that!(exit.errors.is_empty(), eq(false), "{line:?}");
    }
}

#[googletest::test]
#[tokio::test]
async fn submit_next_daemon() {
    let log = FakeLog::default();
    let dead = unused_address().await;
    let down = start_daemon(&log, DaemonFault::LogDown, None).await;
    let good = start_daemon(&log, DaemonFault::None, None).await;
    let exit = submit(&[dead, down, good], &[]).await;
    expect_that!(exit.code, eq(0), "{exit:?}");
    expect_that!(exit.output, contains_substring("accepted as revision 1"));
    expect_that!(log.entries(), len(eq(1)));
    expect_that!(log.entries()[0].author.as_str(), eq("ana+č"));
}

#[googletest::test]
#[tokio::test]
async fn submit_answer_lost() {
    let log = FakeLog::default();
    let losing = start_daemon(&log, DaemonFault::AnswerLost, None).await;
    let good = start_daemon(&log, DaemonFault::None, None).await;
    let exit = submit(&[losing, good], &["--wait", "--timeout", "2s"]).await;
    expect_that!(exit.code, eq(0), "{exit:?}");
    expect_that!(exit.output, contains_substring("as the history shows"));
    expect_that!(log.entries(), len(eq(1)));
}

#[googletest::test]
#[tokio::test]
async fn submit_refusal_lost() {
    let log = FakeLog::default();
    let losing = start_daemon(&log, DaemonFault::StaleLost, None).await;
    let good = start_daemon(&log, DaemonFault::None, None).await;
    let exit = submit(&[losing, good], &SHORT_TIMEOUT).await;
    expect_that!(exit.code, eq(1), "{exit:?}");
    expect_that!(log.entries(), len(eq(1)));
    expect_that!(log.entries()[0].verdict, eq(HistoryVerdict::Stale));
}

#[googletest::test]
#[tokio::test]
async fn submit_plan_lost() {
    let log = FakeLog::default();
    let losing = start_daemon(&log, DaemonFault::PlanLost, None).await;
    let good = start_daemon(&log, DaemonFault::None, None).await;
    let exit = submit(&[losing, good], &SHORT_TIMEOUT).await;
    expect_that!(exit.code, eq(3), "{exit:?}");
    expect_that!(exit.errors, contains_substring("plan history --record"));
    expect_that!(log.entries(), is_empty());
}

#[googletest::test]
#[tokio::test]
async fn submit_not_reached() {
    let log = FakeLog::default();
    let dead = unused_address().await;
    let down = start_daemon(&log, DaemonFault::LogDown, None).await;
    for daemons in [&[dead][..], &[dead, down]] {
        let exit = submit(daemons, &[]).await;
        expect_that!(exit.code, eq(3), "{exit:?}");
        expect_that!(exit.errors, contains_substring(dead.to_string()));
    }
}

#[googletest::test]
#[tokio::test]
async fn submit_stale_base() {
    let log = FakeLog::default();
    let good = start_daemon(&log, DaemonFault::None, None).await;
    expect_that!(submit(&[good], &[]).await.code, eq(0));
    let line = [
        "plan", "submit", SHEET, "--author", "ana", "--base", "0", "--daemon",
    ];
    let address = good.to_string();
    let exit = run_program(&[&line[..], &[&address]].concat()).await;
    expect_that!(exit.code, eq(1), "{exit:?}");
    expect_that!(exit.errors, contains_substring("602"));
    expect_that!(log.entries(), len(eq(1)));
}

#[googletest::test]
#[tokio::test]
async fn submit_not_in_force() {
    let log = FakeLog::default();
    let behind = start_daemon(&log, DaemonFault::NotAdopted, None).await;
    let exit = submit(&[behind], &["--wait", "--wait-time", "1s"]).await;
    expect_that!(exit.code, eq(4), "{exit:?}");
    expect_that!(
        exit.errors,
        contains_substring("daemon entry-2: still revision 0")
    );
    expect_that!(log.entries(), len(eq(1)));
}

#[googletest::test]
#[tokio::test]
async fn submit_wrong_token() {
    let log = FakeLog::default();
    let daemon = start_daemon(&log, DaemonFault::None, Some("the-right-token-of-all")).await;
    let exit = submit(&[daemon], &[]).await;
    expect_that!(exit.code, eq(1), "{exit:?}");
    expect_that!(exit.errors, contains_substring("113"));
}

#[googletest::test]
#[tokio::test]
async fn status_json() {
    let log = FakeLog::default();
    let daemon = start_daemon(&log, DaemonFault::None, None)
        .await
        .to_string();
    let exit = run_program(&["plan", "status", "--json", "--daemon", &daemon]).await;
    let status: PlanStatusAnswer = serde_json::from_str(&exit.output).unwrap();
    expect_that!(status.daemons, len(eq(2)));
}

#[googletest::test]
#[tokio::test]
async fn submit_wait_shows_progress() {
    let log = FakeLog::default();
    let slow = start_daemon(&log, DaemonFault::SlowAdoption, None).await;
    let exit = submit(&[slow], &["--wait"]).await;
    expect_that!(exit.code, eq(0), "{exit:?}");
    for line in [
        "daemon entry-1: in force",
        "daemon entry-2: revision unknown",
        "daemon entry-2: in force",
        "row colour-match@4: short, 0 of 2 ready, the weight store is busy",
        "row colour-match@4: ready",
    ] {
        expect_that!(exit.errors, contains_substring(line));
    }
}

#[googletest::test]
#[tokio::test]
async fn read_next_daemon() {
    let log = FakeLog::default();
    let dead = unused_address().await.to_string();
    let good = start_daemon(&log, DaemonFault::None, None)
        .await
        .to_string();
    let exit = run_program(&["hosts", "--daemon", &dead, "--daemon", &good]).await;
    expect_that!(exit.code, eq(0), "{exit:?}");
    expect_that!(exit.errors, contains_substring(format!("{good} answered")));
}
