//! The project's own daemon, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Ports that all daemons of a case share, each on a loopback address of its own.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub directory: u16,
    pub control: u16,
    pub internal: u16,
}

impl Ports {
    /// Ports that are free on all addresses that the daemons use.
    pub fn find(addresses: &[String]) -> Self {
        let is_free = |port: u16| {
            let mut addresses = addresses.iter();
            addresses.all(|address| TcpListener::bind((address.as_str(), port)).is_ok())
        };
        let start = 21_000 + u16::try_from(std::process::id() % 2_000).expect("small") * 8;
        let mut base = start;
        while !(0..6).all(|step| is_free(base + step)) {
            base = if base > 45_000 { 21_000 } else { base + 8 };
        }
        Self {
            front: base,
            ready: base + 1,
            directory: base + 2,
            control: base + 3,
            internal: base + 4,
        }
    }
}

/// One daemon's process.
pub struct Daemon {
    pub name: String,
    pub ip: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the settings of all daemons of a case have in common.
pub struct Deployment {
    pub folder: PathBuf,
    pub addresses: Vec<String>,
    pub ports: Ports,
    pub store: SocketAddr,
}

impl Deployment {
    /// Starts the daemon with this number; its zone follows from the number.
    pub fn start(&self, number: usize) -> Daemon {
        let zones = ["bezigrad", "vic", "moste"];
        let zone = zones[number % zones.len()];
        let name = format!("front-{zone}-{}", number / zones.len() + 1);
        let ip = self.addresses[number].clone();
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, self.settings(&name, &ip, zone)).expect("settings are written");
        let log = self.folder.join(format!("{name}.log"));
        let mut daemon = Daemon {
            name,
            ip,
            ports: self.ports,
            settings,
            log,
            child: None,
        };
        daemon.run();
        daemon
    }

    fn settings(&self, name: &str, ip: &str, zone: &str) -> String {
        let Ports { front, ready, directory, control, internal } = self.ports;
        let last = internal + 1;
        let seeds: Vec<String> = self
            .addresses
            .iter()
            .take(3)
            .map(|address| format!("\"{address}:{control}\""))
            .collect();
        let seeds = seeds.join(",");
        let store = self.store;
        format!(
            r#"{{"nodeName":"{name}","role":"gateway","machineClass":"front",
"serves":["front","control","directory"],"ip":"{ip}","zone":"{zone}","region":"osrednja",
"zones":{{"bezigrad":"osrednja","vic":"osrednja","moste":"osrednja"}},
"listenAddresses":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","control":"{ip}:{control}","directory":"{ip}:{directory}"}},
"internalPorts":[{internal},{last}],"seeds":[{seeds}],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"fdLimit":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDirectory":null,"discovery":"platform","entry":"directory","heartbeatIntervalMs":1200,
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
"tolerate":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"touchMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":8,"lostMs":200,"configMs":2000,"backMs":250,"outerMs":5000,"budgetRatio":0.2,
"budgetWindowS":10,"budgetSlack":58,"recoverS":12,"passMs":120,"againS":0,"requireFencing":true,
"leaseMs":3000,"thawMs":300,"ceilingWindowS":5,"ceilingOver":1.1,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"log","writesPerS":400,"readsPerS":2000,"parts":32,
"appendMs":2.0,"partMbPerS":20.0,"readMbPerS":80.0,"recordBytes":262144,"callBytes":2097152,
"keep_s":300,"partMb":200,"ttlMinMs":1000}}}}"#
        )
    }
}

impl Daemon {
    /// Starts the process, again if it ran before.
    pub fn run(&mut self) {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new(Path::new("target/release/persimmonward"))
            .arg("gateway")
            .env("PERSIMMONWARD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the deploy file's build has made the program"));
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            drop(Command::new("kill").args(["-s", name, &id]).status());
        }
    }

    /// Address for callers.
    pub fn front(&self) -> String {
        format!("{}:{}", self.ip, self.ports.front)
    }

    /// Whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        self.fetch(self.ports.ready, "/-/readiness").starts_with("HTTP/1.1 200")
    }

    /// Waits until the daemon is ready; false if it is not in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn fetch(&self, port: u16, path: &str) -> String {
        let mut text = String::new();
        let address: SocketAddr = format!("{}:{port}", self.ip).parse().expect("an address");
        let timeout = Duration::from_secs(1);
        if let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) {
            drop(stream.set_read_timeout(Some(timeout)));
            let request = format!("GET {path} HTTP/1.1\r\nHost: ward\r\nConnection: close\r\n\r\n");
            drop(stream.write_all(request.as_bytes()));
            let mut bytes = Vec::new();
            drop(stream.read_to_end(&mut bytes));
            text = String::from_utf8_lossy(&bytes).into_owned();
        }
        text
    }
}
