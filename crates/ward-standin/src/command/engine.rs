//! Subcommand `ward-standin engine`.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::{Arg, ArgMatches, Command, value_parser};
use ward_protocol::{
    CacheTier, CachedCheckpoint, FencingSupport, MemorySize, ReplicaKey, TimeSpan,
};
use ward_standin::{EngineSettings, EngineStandin, MemoryRule, RunningStandin};

use super::CommandError;
use super::arguments::{ANY_PORT, count, hosts, identity, listen, time_span, value};

const SLOTS: u32 = 16;
const TOKEN_TIME: TimeSpan = TimeSpan::from_millis(20);
const PREFILL_TIME: TimeSpan = TimeSpan::from_millis(5);
const MEMORY_LOAD_TIME: TimeSpan = TimeSpan::from_millis(200);
const DISK_LOAD_TIME: TimeSpan = TimeSpan::from_millis(800);
const REMOTE_LOAD_TIME: TimeSpan = TimeSpan::from_secs(3);
const STATUS_LAG: TimeSpan = TimeSpan::from_millis(500);

pub(super) fn command() -> Command {
    Command::new("engine")
        .about("A model engine")
        .arg(listen())
        .args(identity())
        .arg(hosts())
        .arg(memory())
        .arg(fencing())
        .arg(memory_rule())
        .arg(store())
        .arg(cached())
        .arg(count(
            "slots",
            SLOTS,
            "Maximum number of requests that run concurrently",
        ))
        .arg(time_span(
            "token-time",
            TOKEN_TIME,
            "Generation time per token",
        ))
        .arg(time_span(
            "prefill-time",
            PREFILL_TIME,
            "Prefill time per block of 64 prompt bytes that is not cached",
        ))
        .arg(time_span(
            "load-memory",
            MEMORY_LOAD_TIME,
            "Load time from the host's memory",
        ))
        .arg(time_span(
            "load-disk",
            DISK_LOAD_TIME,
            "Load time from the host's disk",
        ))
        .arg(time_span(
            "load-remote",
            REMOTE_LOAD_TIME,
            "Load time of remote weights without --store",
        ))
        .arg(time_span(
            "status-lag",
            STATUS_LAG,
            "Age of the request counts in status reports",
        ))
}

pub(super) async fn start(matches: &ArgMatches) -> Result<RunningStandin, CommandError> {
    let required = |name| CommandError::Missing(name);
    let id = matches.get_one("id").cloned().ok_or(required("id"))?;
    let zone = matches.get_one("zone").cloned().ok_or(required("zone"))?;
    let memory = matches
        .get_one("memory")
        .copied()
        .ok_or(required("memory"))?;
    let cached = matches.get_many("cached").unwrap_or_default();
    let settings = EngineSettings {
        listen: value(matches, "listen", ANY_PORT),
        fencing: value(matches, "fencing", FencingSupport::Checks),
        memory_rule: value(matches, "memory-rule", MemoryRule::Record),
        store: matches.get_one("store").copied(),
        hosts: matches.get_one("hosts").copied(),
        slots: value(matches, "slots", SLOTS),
        token_time: value(matches, "token-time", TOKEN_TIME),
        prefill_time: value(matches, "prefill-time", PREFILL_TIME),
        load_memory: value(matches, "load-memory", MEMORY_LOAD_TIME),
        load_disk: value(matches, "load-disk", DISK_LOAD_TIME),
        load_remote: value(matches, "load-remote", REMOTE_LOAD_TIME),
        status_lag: value(matches, "status-lag", STATUS_LAG),
        cached: cached.cloned().collect(),
        ..EngineSettings::new(id, zone, memory)
    };
    Ok(EngineStandin::start(settings).await?)
}

fn memory() -> Arg {
    Arg::new("memory")
        .long("memory")
        .value_name("SIZE")
        .value_parser(MemorySize::from_str)
        .required(true)
        .help("Memory for replicas, such as 80GiB")
}

fn fencing() -> Arg {
    Arg::new("fencing")
        .long("fencing")
        .value_name("SUPPORT")
        .value_parser(parse_fencing)
        .default_value("checks")
        .help("Whether to refuse outdated fencing numbers: checks or ignores")
}

fn memory_rule() -> Arg {
    Arg::new("memory-rule")
        .long("memory-rule")
        .value_name("RULE")
        .value_parser(parse_rule)
        .default_value("record")
        .help("What to do with a load that does not fit: refuse it, or execute and record it")
}

fn store() -> Arg {
    Arg::new("store")
        .long("store")
        .value_name("ADDRESS")
        .value_parser(value_parser!(SocketAddr))
        .help("Address of the weight store; without one, a remote load takes --load-remote")
}

fn cached() -> Arg {
    Arg::new("cached")
        .long("cached")
        .value_name("KEY=TIER")
        .value_parser(parse_cached)
        .action(clap::ArgAction::Append)
        .help("A cached checkpoint, such as colours@3=disk; may be repeated")
}

fn parse_fencing(text: &str) -> Result<FencingSupport, &'static str> {
    match text {
        "checks" => Ok(FencingSupport::Checks),
        "ignores" => Ok(FencingSupport::Ignores),
        _ => Err("write checks or ignores"),
    }
}

fn parse_rule(text: &str) -> Result<MemoryRule, &'static str> {
    match text {
        "refuse" => Ok(MemoryRule::Refuse),
        "record" => Ok(MemoryRule::Record),
        _ => Err("write refuse or record"),
    }
}

fn parse_cached(text: &str) -> Result<CachedCheckpoint, &'static str> {
    let (key, tier) = text.split_once('=').ok_or("write KEY=TIER")?;
    let key = ReplicaKey::from_str(key).map_err(|_| "write the key as name:adapter@version")?;
    let tier = match tier {
        "memory" => CacheTier::Memory,
        "disk" => CacheTier::Disk,
        _ => return Err("write the tier as memory or disk"),
    };
    Ok(CachedCheckpoint { key, tier })
}
