//! Compares the output of an operator's session with a golden file.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::support::{DaemonFault, FakeLog, run_program, start_daemon};
use ward_test_support::assert_golden;

const ADDRESS: &str = "127.0.0.1:7003";
const HEADER: &str = "target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable\n";
const MONDAY: &str = "\
colours@3;;;2;1;06:30;1;14GiB;yes
colours:wedding@3;;;1;0;;2;200MiB;yes
services/booking;;;;;;0;;no
";
const TUESDAY: &str = "\
colours@4;vic;;2;1;06:30;1;14GiB;yes
colours@3;;;1;0;;1;14GiB;yes
services/booking;;;;;;0;;no
";
const MISTAKEN: &str = "\
colours@4;;;2;3;06:30;1;14GiB;yes
colours:wedding@3;;;one;0;;9;200MiB;yes
";

/// Command lines of the session; `{folder}` stands for the folder of the sheets.
const LINES: [&str; 13] = [
    "plan check {folder}/mistaken.csv",
    "plan check {folder}/monday.csv",
    "plan submit {folder}/monday.csv --base 0 --author ana --dry-run",
    "plan submit {folder}/monday.csv --base 0 --author ana --wait",
    "plan submit {folder}/tuesday.csv --base 0 --author bor",
    "plan submit {folder}/tuesday.csv --base 1 --author bor --wait",
    "plan submit {folder}/tuesday.csv --base current --author bor --dry-run",
    "plan diff 1 2",
    "plan retreat 1 --base 2 --author ana --wait",
    "plan retreat 9 --base 3 --author ana",
    "plan history --limit 2",
    "plan status --all",
    "hosts",
];

/// Replaces addresses, paths and record ids, which differ from run to run.
fn normalize(text: &str, daemon: SocketAddr, folder: &str) -> String {
    let text = text
        .replace(&daemon.to_string(), ADDRESS)
        .replace(folder, "{folder}");
    let ids: Vec<&str> = text.split_whitespace().filter(|word| is_id(word)).collect();
    ids.iter().fold(text.clone(), |text, id| {
        text.replace(id, &"r".repeat(id.len()))
    })
}

fn is_id(word: &str) -> bool {
    word.len() == 32 && word.bytes().all(|byte| byte.is_ascii_hexdigit())
}

#[tokio::test]
async fn session_of_an_operator() {
    let log = FakeLog::default();
    let daemon = start_daemon(&log, DaemonFault::None, None).await;
    let address = daemon.to_string();
    let folder = std::env::temp_dir().join(format!("ward-cli-session-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    for (name, rows) in [
        ("monday.csv", MONDAY),
        ("tuesday.csv", TUESDAY),
        ("mistaken.csv", MISTAKEN),
    ] {
        fs::write(folder.join(name), format!("{HEADER}{rows}")).unwrap();
    }
    let folder = folder.display().to_string();
    let mut session = String::new();
    for line in LINES {
        let filled = line.replace("{folder}", &folder);
        let mut words: Vec<&str> = filled.split(' ').collect();
        words.extend(["--daemon", &address]);
        let exit = run_program(&words).await;
        let printed = normalize(&(exit.output + &exit.errors), daemon, &folder);
        let entry = format!("$ persimmon {line}\n{printed}exit {}\n\n", exit.code);
        session.push_str(&entry);
    }
    fs::remove_dir_all(&folder).unwrap();
    let golden = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    assert_golden(golden, &session);
}
