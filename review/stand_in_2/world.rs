//! Daemons as processes, with the settings of a small deployment.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::call;

pub const FRONT_PORT: u16 = 8783;
const READY_PORT: u16 = 8780;
const DIRECTORY_PORT: u16 = 8789;
const CONTROL_PORT: u16 = 8785;
pub const PEER_PORT: u16 = 7400;

/// A loopback network whose ports are free.
pub fn free_network() -> io::Result<u8> {
    let first = u8::try_from(std::process::id() % 200).unwrap_or(0) + 20;
    for number in 0..30 {
        let network = first.wrapping_add(number).max(2);
        let ports = [FRONT_PORT, READY_PORT, DIRECTORY_PORT, PEER_PORT, PEER_PORT + 1];
        let is_free = |port: &u16| TcpListener::bind((address(network, 0, 1), *port)).is_ok();
        if ports.iter().all(is_free) {
            return Ok(network);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

/// An address in the network; `part` 0 is for daemons, 1 for proxies before them and 2 for
/// stand-ins.
pub fn address(network: u8, part: u8, number: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network, part, u8::try_from(number).unwrap_or(1)))
}

/// What differs between the settings of daemons.
#[derive(Clone)]
pub struct DaemonPlan {
    pub number: usize,
    pub network: u8,
    /// Address under which other daemons reach this one.
    pub ip: IpAddr,
    pub cpu_share: f64,
    pub memory_mb: u64,
    pub fd_limit: u32,
    pub store: SocketAddr,
    pub seeds: Vec<IpAddr>,
    pub requires_fencing: bool,
}

impl DaemonPlan {
    pub fn on_port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(address(self.network, 0, self.number), port)
    }

    fn settings(&self) -> String {
        let on = |port| self.on_port(port);
        let seeds: Vec<_> = self.seeds.iter().map(|ip| format!("\"{ip}:{CONTROL_PORT}\"")).collect();
        format!(
            r#"{{"nodeName":"front-be-central-a-{number}","role":"gateway","machineClass":"front",
"serves":["front","control","directory"],"ip":"{ip}","zone":"be-central-a","region":"be-central",
"zones":{{"be-central-a":"be-central"}},
"listenAddresses":{{"front":"{front}","ready":"{ready}","control":"{control}","directory":"{directory}"}},
"internalPorts":[{PEER_PORT},{last}],"seeds":[{seeds}],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":{cpu},"cores":1,"memoryMb":{memory},"fdLimit":{fds},"linkMbps":200.0,"diskMb":0}},
"dataDirectory":null,"discovery":"platform","entry":"directory","heartbeatIntervalMs":1200,
"contracts":["base","drain","config","cost","retry","recover","health","pool","fleet","stream","engine","platform"],
"tolerate":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"touchMs":4000,"ackMs":6000,"catchUpS":6,"drainMs":3000,
"graceS":8,"lostMs":200,"configMs":3000,"backMs":250,"outerMs":6000,"budgetRatio":0.2,"budgetWindowS":10,
"budgetSlack":222,"recoverS":15,"passMs":200,"againS":0,"requireFencing":{fencing},"leaseMs":3000,
"thawMs":300,"ceilingWindowS":5,"ceilingOver":1.1,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"log","writesPerS":1200,"readsPerS":6000,"parts":64,"appendMs":2.0,
"partMbPerS":20.0,"readMbPerS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,"partMb":200,
"ttlMinMs":1000}}}}"#,
            number = self.number,
            ip = self.ip,
            front = on(FRONT_PORT),
            ready = on(READY_PORT),
            control = on(CONTROL_PORT),
            directory = on(DIRECTORY_PORT),
            last = PEER_PORT + 15,
            seeds = seeds.join(","),
            cpu = self.cpu_share,
            memory = self.memory_mb,
            fds = self.fd_limit,
            fencing = self.requires_fencing,
            store = self.store,
        )
    }
}

/// A daemon's process; killed when dropped.
pub struct Daemon {
    pub plan: DaemonPlan,
    folder: PathBuf,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Daemon {
    pub fn start(plan: DaemonPlan, folder: &str) -> io::Result<Self> {
        let folder = PathBuf::from(folder);
        let (child, folder) = (spawn(&plan, &folder)?, folder);
        Ok(Self { plan, folder, child })
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Writes other settings and sends SIGHUP.
    pub fn reload(&mut self, ip: IpAddr) -> io::Result<()> {
        self.plan.ip = ip;
        write_settings(&self.plan, &self.folder)?;
        self.signal("HUP")
    }

    pub fn signal(&self, name: &str) -> io::Result<()> {
        let process = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &process]).status().map(drop)
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = call(self.plan.on_port(READY_PORT), request, b"", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

fn settings_file(plan: &DaemonPlan, folder: &PathBuf) -> PathBuf {
    folder.join(format!("settings-{}.json", plan.number))
}

fn write_settings(plan: &DaemonPlan, folder: &PathBuf) -> io::Result<()> {
    fs::write(settings_file(plan, folder), plan.settings())
}

fn spawn(plan: &DaemonPlan, folder: &PathBuf) -> io::Result<Child> {
    write_settings(plan, folder)?;
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(format!("daemon-{}.log", plan.number)))?;
    let errors = log.try_clone()?;
    let child = Command::new("target/release/persimmonward")
        .arg("gateway")
        .env("PERSIMMONWARD_BOOT", settings_file(plan, folder))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()?;
    // For `run.sh`, which ends what is left if this program is stopped.
    let mut processes = File::options().create(true).append(true).open(folder.join("processes"))?;
    writeln!(processes, "{}", child.id())?;
    Ok(child)
}

/// Waits for a condition; returns whether it came.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
