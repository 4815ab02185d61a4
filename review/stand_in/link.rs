//! A proxy between requesters and a daemon, for a machine that loses its power: its
//! connections go silent, and nobody is told that they have ended.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

pub struct Link {
    pub address: SocketAddr,
    dark: Arc<AtomicBool>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((target.ip(), 0)).expect("the link's port");
        let address = listener.local_addr().expect("the link's address");
        let dark = Arc::new(AtomicBool::new(false));
        let is_dark = Arc::clone(&dark);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let is_dark = Arc::clone(&is_dark);
                std::thread::spawn(move || carry(client, target, &is_dark));
            }
        });
        Self { address, dark }
    }

    /// Silences the connections that are open, and new ones, until the power is back.
    pub fn set_dark(&self, dark: bool) {
        self.dark.store(dark, Ordering::SeqCst);
    }
}

fn carry(client: TcpStream, target: SocketAddr, dark: &Arc<AtomicBool>) {
    if dark.load(Ordering::SeqCst) {
        // Never answered; the socket stays open.
        std::mem::forget(client);
        return;
    }
    let Ok(daemon) = TcpStream::connect(target) else { return };
    let _ = (client.set_nodelay(true), daemon.set_nodelay(true));
    let (Ok(from_client), Ok(to_daemon)) = (client.try_clone(), daemon.try_clone()) else { return };
    let upward_dark = Arc::clone(dark);
    std::thread::spawn(move || copy(from_client, to_daemon, &upward_dark));
    copy(daemon, client, dark);
}

/// Copies one direction to its end. An end that comes while the machine is dark is not
/// passed on.
fn copy(mut from: TcpStream, mut to: TcpStream, dark: &AtomicBool) {
    let mut buffer = [0_u8; 16 << 10];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if dark.load(Ordering::SeqCst) {
            std::mem::forget(to);
            std::mem::forget(from);
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}
