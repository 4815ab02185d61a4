//! Submits plans through real daemons and a log with faults, each a process of its own.

#![allow(clippy::unwrap_used)]

use std::fmt::Write;
use std::fs;
use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;
use tokio::process::Command;
use ward_operator::{HistoryAnswer, HistoryEntry, HistoryVerdict, PlanAnswer};
use ward_standin::LogHistory;
use ward_test_support::CallerClient;
use ward_test_support::process::{DaemonTimes, FleetSettings, ProcessFleet};

const HEADER: &str = "target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable\n";
const ZONES: [&str; 3] = ["bezigrad", "vic", "moste"];

/// Number of models of the largest plan to support; its other rows are adapters.
const MODELS: usize = 660;
/// Number of adapters of the largest plan to support.
const ADAPTERS: usize = 28_000;

/// Requirement: a change is in force on all daemons within this time.
const IN_FORCE_TIMEOUT: &str = "7s";

/// Three daemons without backend servers.
async fn start_fleet() -> ProcessFleet {
    let settings = FleetSettings {
        daemons: ZONES.map(str::to_owned).to_vec(),
        engines: Vec::new(),
        services: Vec::new(),
        times: DaemonTimes::default(),
    };
    let fleet = ProcessFleet::start(&settings).unwrap();
    for daemon in &fleet.daemons {
        wait_until_ready(&CallerClient::new(daemon.operators)).await;
    }
    fleet
}

async fn wait_until_ready(client: &CallerClient) {
    for _ in 0..400 {
        let reply = client.get("/readyz").await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the daemon is not ready");
}

/// Output and exit code of the program.
#[derive(Debug)]
struct ProgramExit {
    code: i32,
    output: String,
    errors: String,
}

/// Runs the program against all daemons, tried in turn from the one with index `first`.
async fn run_program(fleet: &ProcessFleet, first: usize, arguments: &[&str]) -> ProgramExit {
    let mut command = Command::new(env!("CARGO_BIN_EXE_persimmon"));
    command.args(arguments).kill_on_drop(true);
    let count = fleet.daemons.len();
    for index in first..first + count {
        let daemon = fleet.daemons[index % count].operators.to_string();
        command.args(["--daemon", &daemon]);
    }
    let output = command.output().await.unwrap();
    ProgramExit {
        code: output.status.code().unwrap(),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Writes a sheet and returns its path.
fn write_sheet(fleet: &ProcessFleet, name: &str, rows: &str) -> String {
    let path = fleet.folder().join(name);
    fs::write(&path, format!("{HEADER}{rows}")).unwrap();
    path.display().to_string()
}

async fn submit(fleet: &ProcessFleet, first: usize, sheet: &str, base: &str) -> ProgramExit {
    let line = [
        "plan",
        "submit",
        sheet,
        "--base",
        base,
        "--author",
        "ana",
        "--wait",
        "--wait-time",
    ];
    run_program(fleet, first, &[&line[..], &[IN_FORCE_TIMEOUT]].concat()).await
}

async fn history(fleet: &ProcessFleet, first: usize) -> Vec<HistoryEntry> {
    let exit = run_program(fleet, first, &["plan", "history", "--json"]).await;
    let answer: HistoryAnswer = serde_json::from_str(&exit.output).unwrap();
    assert_that!(answer.complete, eq(true));
    answer.entries
}

/// Returns the targets of the newest accepted plan on each daemon.
async fn targets(fleet: &ProcessFleet) -> Vec<Vec<String>> {
    let mut targets = Vec::new();
    for daemon in &fleet.daemons {
        let client = CallerClient::new(daemon.operators);
        let plan: PlanAnswer = client.get("/plan").await.unwrap().json().unwrap();
        targets.push(plan.rows.iter().map(|row| row.target.to_string()).collect());
    }
    targets
}

fn row(target: &str) -> String {
    format!("{target};;;1;0;;3;1GiB;yes\n")
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_answer_lost_by_log() {
    let fleet = start_fleet().await;
    let sheet = write_sheet(&fleet, "a.csv", &row("colours@1"));
    let faults = json!({"lose_answers": 1});
    fleet.log.control().set_faults(&faults).await.unwrap();
    let exit = submit(&fleet, 0, &sheet, "0").await;
    assert_that!(exit.code, eq(0), "{exit:?}");
    let entries = history(&fleet, 1).await;
    assert_that!(entries, len(eq(1)));
    assert_that!(entries[0].verdict, eq(HistoryVerdict::Accepted));
    let log: LogHistory = fleet.log.control().history().await.unwrap();
    let answered: Vec<bool> = log.streams["plan"]
        .appends
        .iter()
        .map(|append| append.answered)
        .collect();
    assert_that!(answered, elements_are![eq(&false)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_log_down() {
    let fleet = start_fleet().await;
    let sheet = write_sheet(&fleet, "a.csv", &row("colours@1"));
    let control = fleet.log.control();
    control.set_faults(&json!({"down": true})).await.unwrap();
    let exit = submit(&fleet, 0, &sheet, "0").await;
    assert_that!(exit.code, eq(3), "{exit:?}");
    control.set_faults(&json!({})).await.unwrap();
    for daemon in &fleet.daemons {
        wait_until_ready(&CallerClient::new(daemon.operators)).await;
    }
    let exit = submit(&fleet, 1, &sheet, "0").await;
    assert_that!(exit.code, eq(0), "{exit:?}");
    assert_that!(history(&fleet, 2).await, len(eq(1)));
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_other_faults_of_log() {
    let fleet = start_fleet().await;
    let cases = [
        (json!({"truncate_answers": 1}), 0),
        (json!({"slow_ms": 300}), 0),
        (json!({"refuse": true}), 3),
    ];
    let mut accepted = 0;
    for (index, (faults, code)) in cases.into_iter().enumerate() {
        let sheet = write_sheet(&fleet, "a.csv", &row(&format!("colours@{index}")));
        let base = accepted_base(&history(&fleet, 1).await);
        fleet.log.control().set_faults(&faults).await.unwrap();
        let exit = submit(&fleet, 0, &sheet, &base).await;
        fleet.log.control().set_faults(&json!({})).await.unwrap();
        assert_that!(exit.code, eq(code), "{faults}: {exit:?}");
        accepted += usize::from(code == 0);
        wait_until_caught_up(&fleet).await;
        assert_that!(history(&fleet, 1).await, len(eq(accepted)), "{faults}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_daemon_killed_before_its_answer() {
    let mut fleet = start_fleet().await;
    let sheet = write_sheet(&fleet, "a.csv", &row("colours@1"));
    let slow = json!({"slow_ms": 500});
    fleet.log.control().set_faults(&slow).await.unwrap();
    let daemons: Vec<String> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.operators.to_string())
        .collect();
    let submitted = tokio::spawn(async move {
        let mut command = Command::new(env!("CARGO_BIN_EXE_persimmon"));
        command.args(["plan", "submit", &sheet, "--base", "0", "--author", "ana"]);
        for daemon in &daemons {
            command.args(["--daemon", daemon]);
        }
        command.kill_on_drop(true).output().await.unwrap()
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemons[0].program.kill().unwrap();
    let output = submitted.await.unwrap();
    fleet.log.control().set_faults(&json!({})).await.unwrap();
    let entries = history(&fleet, 1).await;
    // The daemon was killed before or after its append: the program reports that the plan was
    // accepted, or that the outcome is unknown.
    match output.status.code().unwrap() {
        0 => assert_that!(entries, len(eq(1))),
        3 => assert_that!(entries, len(le(1))),
        code => panic!("{code}: {output:?}"),
    }
}

/// Returns the revision that the next plan is based on.
fn accepted_base(entries: &[HistoryEntry]) -> String {
    entries
        .first()
        .map_or("0".to_owned(), |entry| entry.revision.to_string())
}

/// Waits until all daemons are ready and have read the log up to its end.
async fn wait_until_caught_up(fleet: &ProcessFleet) {
    for daemon in &fleet.daemons {
        let client = CallerClient::new(daemon.operators);
        wait_until_ready(&client).await;
        for _ in 0..100 {
            let reply = client.get("/plan/history").await.unwrap();
            if reply.json::<HistoryAnswer>().unwrap().complete {
                break;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_race_has_one_winner() {
    let fleet = start_fleet().await;
    let sheets: Vec<String> = ["a", "b", "c"]
        .map(|name| write_sheet(&fleet, &format!("{name}.csv"), &row(&format!("{name}@1"))))
        .to_vec();
    let (a, b, c) = tokio::join!(
        submit(&fleet, 0, &sheets[0], "0"),
        submit(&fleet, 1, &sheets[1], "0"),
        submit(&fleet, 2, &sheets[2], "0"),
    );
    let mut codes = [a.code, b.code, c.code];
    codes.sort_unstable();
    assert_that!(codes, eq([0, 1, 1]), "{a:?} {b:?} {c:?}");
    let found = targets(&fleet).await;
    assert_that!(found[0], len(eq(1)));
    assert_that!(found.iter().all(|other| *other == found[0]), eq(true));
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_retreat_rejects_stale_submissions() {
    let fleet = start_fleet().await;
    let old = write_sheet(&fleet, "old.csv", &row("colours@1"));
    let new = write_sheet(&fleet, "new.csv", &row("colours@2"));
    assert_that!(submit(&fleet, 0, &old, "0").await.code, eq(0));
    let first = history(&fleet, 0).await[0].revision.to_string();
    assert_that!(submit(&fleet, 1, &new, &first).await.code, eq(0));
    let second = history(&fleet, 1).await[0].revision.to_string();
    let line = [
        "plan", "retreat", &first, "--base", &second, "--author", "ana", "--wait",
    ];
    let exit = run_program(&fleet, 2, &line).await;
    assert_that!(exit.code, eq(0), "{exit:?}");
    // A submission based on a revision from before the retreat is refused as stale.
    for base in [&first, &second] {
        let exit = submit(&fleet, 0, &new, base).await;
        assert_that!(exit.code, eq(1), "{exit:?}");
        assert_that!(exit.errors, contains_substring("602"));
    }
    for found in targets(&fleet).await {
        assert_that!(found, eq(&["colours@1"]));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn plan_change_at_target_size() {
    let fleet = start_fleet().await;
    let mut rows = String::new();
    for model in 0..MODELS {
        rows.push_str(&row(&format!("model-{model}@1")));
    }
    for adapter in 0..ADAPTERS {
        let model = adapter % MODELS;
        writeln!(rows, "model-{model}:a{adapter}@1;;;1;0;;3;100MiB;yes").unwrap();
    }
    let whole = write_sheet(&fleet, "whole.csv", &rows);
    let exit = submit(&fleet, 0, &whole, "0").await;
    assert_that!(exit.code, eq(0), "{}", exit.errors);
    let base = history(&fleet, 1).await[0].revision.to_string();
    let before = plan_bytes(&fleet).await;

    let changed = rows.replacen(";1;0;;3;1GiB", ";1;0;;2;1GiB", 1);
    let changed = write_sheet(&fleet, "changed.csv", &changed);
    let exit = submit(&fleet, 1, &changed, &base).await;
    assert_that!(exit.code, eq(0), "{}", exit.errors);
    assert_that!(plan_bytes(&fleet).await - before, lt(1_024));
}

/// Returns the number of bytes appended to the plan stream so far.
async fn plan_bytes(fleet: &ProcessFleet) -> u64 {
    let history: LogHistory = fleet.log.control().history().await.unwrap();
    let appends = &history.streams["plan"].appends;
    appends.iter().map(|append| append.bytes).sum()
}
