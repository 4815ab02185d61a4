//! A loopback proxy that harms connections.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const CHUNK_BYTES: usize = 16 << 10;

/// How a link is harmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// It is not.
    None,
    /// Bytes in both directions are late.
    Delay(Duration),
    /// New connections are closed, open ones are reset.
    Reset,
    /// Bytes from the far side are held back.
    CutAnswers,
    /// All bytes are held back.
    Silence,
}

/// A proxy before one address.
pub struct StageProxy {
    address: SocketAddr,
    fault: Arc<watch::Sender<LinkFault>>,
    accepted: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl Drop for StageProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StageProxy {
    /// Starts a proxy before an address.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (fault, faults) = watch::channel(LinkFault::None);
        let accepted = Arc::new(AtomicU32::new(0));
        let counted = Arc::clone(&accepted);
        let links = Arc::new(Mutex::new(tokio::task::JoinSet::new()));
        let task = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::Relaxed);
                let faults = faults.clone();
                let mut links = links.lock().unwrap_or_else(PoisonError::into_inner);
                links.spawn(link(near, target, faults));
                while links.try_join_next().is_some() {}
            }
        });
        Ok(Self {
            address,
            fault: Arc::new(fault),
            accepted,
            task,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Harms the link, or heals it.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u32 {
        self.accepted.load(Ordering::Relaxed)
    }
}

async fn link(near: TcpStream, target: SocketAddr, faults: watch::Receiver<LinkFault>) {
    if *faults.borrow() == LinkFault::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_reader, near_writer) = near.into_split();
    let (far_reader, far_writer) = far.into_split();
    let mut reset = faults.clone();
    tokio::select! {
        () = async {
            tokio::join!(
                copy(near_reader, far_writer, faults.clone(), false),
                copy(far_reader, near_writer, faults.clone(), true),
            );
        } => {}
        // The sender lives as long as the proxy.
        _ = reset.wait_for(|fault| *fault == LinkFault::Reset) => {}
    }
}

async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut faults: watch::Receiver<LinkFault>,
    answers: bool,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(count) = reader.read(&mut buffer).await {
        let held = |fault: &LinkFault| {
            *fault == LinkFault::Silence || (answers && *fault == LinkFault::CutAnswers)
        };
        if faults.wait_for(|fault| !held(fault)).await.is_err() {
            return;
        }
        let fault = *faults.borrow();
        if let LinkFault::Delay(span) = fault {
            tokio::time::sleep(span).await;
        }
        if count == 0 || writer.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
