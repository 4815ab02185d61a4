//! A proxy in front of the port on which a daemon takes connections of other daemons. It
//! tells by the sender's process which daemon a connection comes from, so that one daemon
//! can be cut off from the others.

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Looks for the process of a connection.
const LOOKS: usize = 10;

/// Which daemons run as which processes, and which of them are cut off.
#[derive(Default)]
pub struct Links {
    pub processes: Mutex<Vec<(usize, u32)>>,
    pub cut: Mutex<Option<usize>>,
}

impl Links {
    /// Whether a connection is cut; one of an unknown process is, while any daemon is cut off.
    fn is_cut(&self, from: Option<usize>, to: usize) -> bool {
        let cut = *self.cut.lock().unwrap();
        cut.is_some_and(|cut| from != Some(to) && (from.is_none_or(|from| from == cut) || to == cut))
    }

    /// The daemon whose process has the socket with this local address.
    fn owner(&self, address: SocketAddr) -> Option<usize> {
        // A table of the kernel that changes while it is read may lack a row.
        for _ in 0..LOOKS {
            let processes = self.processes.lock().unwrap().clone();
            if let Some(inode) = socket_inode(address) {
                let mut owners = processes.iter().filter(|(_, process)| has_socket(*process, &inode));
                if let Some((daemon, _)) = owners.next() {
                    return Some(*daemon);
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
        None
    }
}

fn socket_inode(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let wanted = format!("{ip:08X}:{:04X}", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| row.get(1) == Some(&wanted.as_str()))?;
    row.get(9).map(|inode| (*inode).to_owned())
}

fn has_socket(process: u32, inode: &str) -> bool {
    let wanted = format!("socket:[{inode}]");
    let Ok(folder) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let mut links = folder.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    links.any(|link| link.to_string_lossy() == wanted)
}

/// Forwards connections to `target`, the address of the daemon with the number `to`.
pub fn relay(listen: SocketAddr, target: SocketAddr, to: usize, links: &Arc<Links>) -> std::io::Result<()> {
    let listener = TcpListener::bind(listen)?;
    let links = Arc::clone(links);
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let links = Arc::clone(&links);
            thread::spawn(move || {
                let from = near.peer_addr().ok().and_then(|address| links.owner(address));
                if links.is_cut(from, to) {
                    return;
                }
                let Ok(far) = TcpStream::connect(target) else {
                    return;
                };
                drop((near.set_nodelay(true), far.set_nodelay(true)));
                copy_both(near, far, || links.is_cut(from, to));
            });
        }
    });
    Ok(())
}

fn copy_both(near: TcpStream, far: TcpStream, is_cut: impl Fn() -> bool) {
    let mut copies = Vec::new();
    for (from, to) in [(&near, &far), (&far, &near)] {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        copies.push(thread::spawn(move || copy(from, to)));
    }
    while !copies.iter().all(|copy| copy.is_finished()) {
        if is_cut() {
            drop((near.shutdown(Shutdown::Both), far.shutdown(Shutdown::Both)));
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    drop((from.shutdown(Shutdown::Read), to.shutdown(Shutdown::Write)));
}
