//! A loopback proxy that harms connections.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

const CHUNK_BYTES: usize = 16 << 10;
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// How a link is harmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// It is not.
    None,
    /// Bytes in both directions are late.
    Delay(Duration),
    /// New connections are closed, open ones are reset.
    Reset,
    /// Nothing listens: new connections are refused, open ones are reset.
    Refuse,
    /// Bytes from the far side are held back.
    HoldAnswers,
    /// All bytes are held back.
    HoldAll,
}

impl LinkFault {
    fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::Refuse)
    }
}

/// Harms a proxy's link, or heals it.
#[derive(Debug, Clone)]
pub struct LinkControl(Arc<watch::Sender<LinkFault>>);

impl LinkControl {
    /// Harms the link, or heals it.
    pub fn set_fault(&self, fault: LinkFault) {
        self.0.send_replace(fault);
    }
}

/// A proxy before one address.
pub struct StageProxy {
    address: SocketAddr,
    switch: LinkControl,
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
        let task = tokio::spawn(async move {
            // Dropping the links with this task ends them.
            let mut links = JoinSet::new();
            let mut listener = listener;
            loop {
                accept_links(&listener, target, &faults, &counted, &mut links).await;
                drop(listener);
                let mut healed = faults.clone();
                let heals = healed.wait_for(|fault| *fault != LinkFault::Refuse);
                if heals.await.is_err() {
                    return;
                }
                listener = bind_again(address).await;
            }
        });
        Ok(Self {
            address,
            switch: LinkControl(Arc::new(fault)),
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
        self.switch.set_fault(fault);
    }

    /// What harms the link, for others than the proxy's owner.
    #[must_use]
    pub fn control(&self) -> LinkControl {
        self.switch.clone()
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn accepted_connections(&self) -> u32 {
        self.accepted.load(Ordering::Relaxed)
    }
}

/// Listens again on an address that others may use for a moment.
async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(BIND_PAUSE).await;
    }
}

/// Accepts connections until the link refuses them.
async fn accept_links(
    listener: &TcpListener,
    target: SocketAddr,
    faults: &watch::Receiver<LinkFault>,
    accepted: &AtomicU32,
    links: &mut JoinSet<()>,
) {
    let mut refused = faults.clone();
    loop {
        tokio::select! {
            _ = refused.wait_for(|fault| *fault == LinkFault::Refuse) => return,
            incoming = listener.accept() => {
                let Ok((near, _)) = incoming else { return };
                accepted.fetch_add(1, Ordering::Relaxed);
                links.spawn(link(near, target, faults.clone()));
                while links.try_join_next().is_some() {}
            }
        }
    }
}

async fn link(near: TcpStream, target: SocketAddr, faults: watch::Receiver<LinkFault>) {
    if faults.borrow().resets() {
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
        _ = reset.wait_for(|fault| fault.resets()) => {}
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
            *fault == LinkFault::HoldAll || (answers && *fault == LinkFault::HoldAnswers)
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
