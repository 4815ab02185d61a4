//! A small deployment: the store, engines and daemons, each daemon and engine a process.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::is_ready;
use crate::store::Store;
use crate::{now_ms, HEARTBEAT_MS};

const CALLERS_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const DIRECTORY_PORT: u16 = 8143;
const CONTROL_PORT: u16 = 8144;
const PEERS_PORT: u16 = 7380;
const TOUCH: Duration = Duration::from_millis(3_000);
pub const TERM: i32 = 15;

const KILL: u64 = 9;
/// Sets the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Starts a process that ends with this one, however that ends.
fn spawn_bound(command: &mut Command) -> std::io::Result<Child> {
    // Only a system call is made between the fork and the start of the program.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, KILL, 0, 0, 0);
            Ok(())
        });
    }
    command.spawn()
}

/// Sends a signal to a process that the case started.
pub fn signal(child: &Child, number: i32) {
    // The process is a child that has not been waited for, so its id is not reused.
    unsafe {
        kill(child.id() as i32, number);
    }
}

pub struct World {
    pub folder: PathBuf,
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub daemons: Vec<Daemon>,
    pub engines: Vec<EngineProcess>,
    network: (u8, u8),
    record: File,
}

pub struct Daemon {
    pub child: Child,
    pub callers: SocketAddr,
    ready: SocketAddr,
}

pub struct EngineProcess {
    pub child: Child,
    pub address: SocketAddr,
    options: Vec<String>,
    lifetimes: u32,
    name: String,
}

impl Drop for World {
    fn drop(&mut self) {
        let daemons = self.daemons.iter_mut().map(|daemon| &mut daemon.child);
        let engines = self.engines.iter_mut().map(|engine| &mut engine.child);
        for child in daemons.chain(engines) {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A network of loopback addresses whose ports are free.
fn free_network(daemons: u8) -> (u8, u8) {
    let seed = std::process::id();
    for offset in 0..200_u32 {
        let (high, low) = (20 + ((seed + offset) % 200) as u8, ((seed / 200 + offset) % 250) as u8);
        let ports = [CALLERS_PORT, READY_PORT, DIRECTORY_PORT, CONTROL_PORT, PEERS_PORT, PEERS_PORT + 1];
        let is_free = (1..=daemons).all(|host| {
            let ip = Ipv4Addr::new(127, high, low, host);
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return (high, low);
        }
    }
    crate::cannot_run("no free loopback addresses");
}

impl World {
    pub fn new(record: &Path, daemons: u8) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder");
        let network = free_network(daemons);
        let ip = IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, 250));
        let (store, store_address) = Store::start(ip);
        Self {
            folder,
            store,
            store_address,
            daemons: Vec::new(),
            engines: Vec::new(),
            network,
            record: File::create(record).expect("record.txt"),
        }
    }

    /// Writes a line to `record.txt`.
    pub fn record(&mut self, line: &str) {
        let _ = writeln!(self.record, "{:.0} {line}", now_ms());
    }

    pub fn run_log(&self) -> PathBuf {
        self.folder.join("runs.log")
    }

    /// The lines of the run log as (ms, request, engine, what).
    pub fn runs(&self) -> Vec<(f64, String, String, String)> {
        let text = std::fs::read_to_string(self.run_log()).unwrap_or_default();
        let lines = text.lines().filter_map(|line| {
            let mut words = line.splitn(4, ' ');
            let time = words.next()?.parse().ok()?;
            let (request, engine, what) = (words.next()?, words.next()?, words.next()?);
            Some((time, request.to_owned(), engine.to_owned(), what.to_owned()))
        });
        lines.collect()
    }

    pub fn put_manifest(&self, manifest: &str) {
        self.store.put("keyed.op", "config", manifest.as_bytes());
    }

    /// Starts an engine; `options` are KEY=VALUE.
    pub fn add_engine(&mut self, name: &str, service: &str, options: &[String]) {
        let mut all = vec![
            format!("service={service}"),
            format!("store={}", self.store_address),
            format!("log={}", self.run_log().display()),
            "zone=north".to_owned(),
        ];
        all.extend_from_slice(options);
        let ip = Ipv4Addr::new(127, self.network.0, self.network.1, 200);
        let address = SocketAddr::new(IpAddr::V4(ip), 0);
        let (child, address) = start_engine(name, address, &all);
        self.engines.push(EngineProcess { child, address, options: all, lifetimes: 1, name: name.to_owned() });
    }

    pub fn add_daemon(&mut self, number: u8, all: u8) {
        let ip = |number: u8| Ipv4Addr::new(127, self.network.0, self.network.1, number);
        let own = ip(number);
        let seeds: Vec<_> = (1..=all.min(3)).map(|other| format!("\"{}:{CONTROL_PORT}\"", ip(other))).collect();
        let settings = format!(
            r#"{{"nodeName":"front-north-{number}","role":"gateway","machineClass":"front","serves":["front","control","directory"],"ip":"{own}","zone":"north","region":"area","zones":{{"north":"area"}},"listenAddresses":{{"front":"{own}:{CALLERS_PORT}","ready":"{own}:{READY_PORT}","control":"{own}:{CONTROL_PORT}","directory":"{own}:{DIRECTORY_PORT}"}},"internalPorts":[{PEERS_PORT},7395],"seeds":[{}],"bootstrap":true,"countsAsLoss":false,"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"fdLimit":4100,"linkMbps":1000.0,"diskMb":0}},"dataDirectory":null,"discovery":"platform","entry":"directory","heartbeatIntervalMs":{HEARTBEAT_MS},"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],"tolerate":{{"machines":2,"zones":0,"regions":0}},"bounds":{{"seedLagS":3,"reuseAfterS":2,"touchMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lostMs":200,"configMs":2000,"backMs":250,"outerMs":5000,"budgetRatio":0.2,"budgetWindowS":10,"budgetSlack":58,"recoverS":12,"passMs":120,"againS":0,"requireFencing":true,"leaseMs":3000,"thawMs":300,"ceilingWindowS":5,"ceilingOver":1.1,"ttl_max_s":5}},"platform":{{"address":"{}","form":"log","writesPerS":400,"readsPerS":2000,"parts":32,"appendMs":2.0,"partMbPerS":20.0,"readMbPerS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,"partMb":200,"ttlMinMs":1000}}}}"#,
            seeds.join(","),
            self.store_address
        );
        let path = self.settings_path(number);
        std::fs::write(&path, settings).expect("the settings file");
        let at = |port| SocketAddr::new(IpAddr::V4(own), port);
        let child = self.start_daemon(number);
        self.daemons.push(Daemon { child, callers: at(CALLERS_PORT), ready: at(READY_PORT) });
    }

    fn settings_path(&self, number: u8) -> PathBuf {
        self.folder.join(format!("daemon-{number}.json"))
    }

    fn start_daemon(&self, number: u8) -> Child {
        let log = self.folder.join(format!("daemon-{number}.log"));
        let log = File::options().append(true).create(true).open(log).expect("the log");
        let mut command = Command::new("target/release/persimmonward");
        command.arg("gateway").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("PERSIMMONWARD_BOOT", self.settings_path(number));
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        let Ok(child) = spawn_bound(&mut command) else { crate::cannot_run("the daemon cannot be started") };
        child
    }

    /// Kills the daemon with this index with SIGKILL.
    pub fn kill_daemon(&mut self, index: usize) {
        let child = &mut self.daemons[index].child;
        let _ = child.kill();
        let _ = child.wait();
    }

    pub fn restart_daemon(&mut self, index: usize) {
        self.daemons[index].child = self.start_daemon(index as u8 + 1);
    }

    /// Waits until all daemons are ready, and then until they count as in touch.
    pub fn wait_in_touch(&self) {
        let begun = Instant::now();
        while !self.daemons.iter().all(|daemon| is_ready(daemon.ready)) {
            if begun.elapsed() > Duration::from_secs(15) {
                crate::cannot_run("the daemons did not become ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(TOUCH + Duration::from_millis(500));
    }
}

impl EngineProcess {
    pub fn id(&self) -> String {
        engine_id(&self.name, self.lifetimes)
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the engine again at its address, under a new id.
    pub fn restart(&mut self) {
        self.lifetimes += 1;
        let id = engine_id(&self.name, self.lifetimes);
        self.child = start_engine(&id, self.address, &self.options).0;
    }
}

fn engine_id(name: &str, lifetime: u32) -> String {
    if lifetime == 1 { name.to_owned() } else { format!("{name}-{lifetime}") }
}

fn start_engine(id: &str, address: SocketAddr, options: &[String]) -> (Child, SocketAddr) {
    let program = std::env::current_exe().expect("the own program");
    let mut command = Command::new(program);
    command.arg("engine").arg(format!("id={id}")).arg(format!("address={address}")).args(options);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
    let Ok(mut child) = spawn_bound(&mut command) else { crate::cannot_run("an engine cannot be started") };
    let mut line = String::new();
    let output = child.stdout.take().expect("the engine's output");
    let _ = BufReader::new(output).read_line(&mut line);
    let Ok(address) = line.trim().parse() else { crate::cannot_run("an engine did not start") };
    (child, address)
}

/// A manifest with these routes and services, as JSON texts.
pub fn manifest(routes: &[&str], services: &[&str]) -> String {
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}
