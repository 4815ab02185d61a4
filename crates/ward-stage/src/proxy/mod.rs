//! A loopback TCP proxy that injects faults into connections.

mod early;
mod fault;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify, watch};
use tokio::task::{JoinHandle, JoinSet};
use ward_adapter::served::{EnginePath, engine_path};

use self::early::early_answer;
use self::fault::half_length;
pub use self::fault::{CutEnd, CutPlace, LinkFault};

const CHUNK_BYTES: usize = 16 << 10;
const ANSWER_START: &[u8] = b"HTTP/1.1 ";
const REFUSAL_STARTS: [&[u8]; 2] = [b"HTTP/1.1 503", b"HTTP/1.1 421"];
/// A head that announces an answer; any number of them may come before it.
const INTERIM_HEAD: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Number of interim heads that are written at once.
const HEADS_PER_WRITE: usize = 1 << 10;
/// Time for the bytes before a reset to be read, which would discard them otherwise.
const RESET_DELAY: Duration = Duration::from_millis(5);
/// Time after which a target that has stopped within an answer writes it once more.
const COPY_DELAY: Duration = Duration::from_millis(30);
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handle that sets the fault of a [`StageProxy`].
#[derive(Debug, Clone)]
pub struct LinkControl(Arc<watch::Sender<LinkFault>>);

impl LinkControl {
    /// Sets the proxy's fault; [`LinkFault::None`] ends it.
    pub fn set_fault(&self, fault: LinkFault) {
        self.0.send_replace(fault);
    }
}

/// A proxy in front of one target address; stopped when dropped.
pub struct StageProxy {
    address: SocketAddr,
    control: LinkControl,
    accepted: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl Drop for StageProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StageProxy {
    /// Starts a proxy on a free port of `ip` that forwards connections to `target`.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (fault_sender, faults) = watch::channel(LinkFault::None);
        let accepted = Arc::new(AtomicU32::new(0));
        let accept_count = Arc::clone(&accepted);
        let task = tokio::spawn(async move {
            // Aborting this task drops the set, which closes the connections.
            let mut connections = JoinSet::new();
            let mut listener = listener;
            loop {
                accept_connections(&listener, target, &faults, &accept_count, &mut connections)
                    .await;
                drop(listener);
                let mut updates = faults.clone();
                let cleared = updates.wait_for(|fault| *fault != LinkFault::Refuse);
                if cleared.await.is_err() {
                    return;
                }
                listener = bind_again(address).await;
            }
        });
        Ok(Self {
            address,
            control: LinkControl(Arc::new(fault_sender)),
            accepted,
            task,
        })
    }

    /// Address on which the proxy listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the proxy's fault; [`LinkFault::None`] ends it.
    pub fn set_fault(&self, fault: LinkFault) {
        self.control.set_fault(fault);
    }

    /// A handle that sets the proxy's fault without access to the proxy itself.
    #[must_use]
    pub fn control(&self) -> LinkControl {
        self.control.clone()
    }

    /// Number of connections accepted so far, those reset at once included.
    #[must_use]
    pub fn accepted_connections(&self) -> u32 {
        self.accepted.load(Ordering::Relaxed)
    }
}

/// Listens again on the proxy's address, which another process may hold for a while.
async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(BIND_RETRY_DELAY).await;
    }
}

/// Accepts connections until the fault is [`LinkFault::Refuse`].
async fn accept_connections(
    listener: &TcpListener,
    target: SocketAddr,
    faults: &watch::Receiver<LinkFault>,
    accepted: &AtomicU32,
    connections: &mut JoinSet<()>,
) {
    let mut updates = faults.clone();
    loop {
        tokio::select! {
            _ = updates.wait_for(|fault| *fault == LinkFault::Refuse) => return,
            incoming = listener.accept() => {
                let Ok((client, _)) = incoming else { return };
                accepted.fetch_add(1, Ordering::Relaxed);
                connections.spawn(forward_connection(client, target, faults.clone()));
                while connections.try_join_next().is_some() {}
            }
        }
    }
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    faults: watch::Receiver<LinkFault>,
) {
    if faults.borrow().resets_connections() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let client_side = Mutex::new(ClientSide {
        writer: client_writer,
        carries_orders: false,
        copy: None,
    });
    let reset = Notify::new();
    let mut updates = faults.clone();
    tokio::select! {
        () = async {
            tokio::join!(
                forward_requests(client_reader, server_writer, &client_side, &reset, faults.clone()),
                forward_answers(server_reader, &client_side, &reset, faults.clone()),
            );
        } => {}
        () = reset.notified() => {
            // Dropped, it would end the stream in order before the reset.
            client_side.into_inner().writer.forget();
        }
        // No error before the proxy is dropped: it owns the sender.
        _ = updates.wait_for(|fault| fault.resets_connections()) => {}
    }
}

/// The side of a connection on which answers are written.
struct ClientSide {
    writer: OwnedWriteHalf,
    /// Whether an order or a report query was forwarded.
    carries_orders: bool,
    /// An answer that is written once more when the next request comes.
    copy: Option<Vec<u8>>,
}

async fn forward_requests(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    client_side: &Mutex<ClientSide>,
    reset: &Notify,
    mut faults: watch::Receiver<LinkFault>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(count) = reader.read(&mut buffer).await {
        let is_held = |fault: &LinkFault| *fault == LinkFault::HoldAll;
        if !pass_fault(&mut faults, is_held).await {
            return;
        }
        let fault = *faults.borrow();
        if let LinkFault::EarlyAnswers(end, delay) = fault
            && let Some(answer) = early_answer(&buffer[..count])
        {
            let mut client_side = client_side.lock().await;
            // Fails only if the client has closed the connection.
            drop(client_side.writer.write_all(&answer).await);
            tokio::time::sleep(delay).await;
            end_connection(&mut client_side.writer, end, reset).await;
            return std::future::pending().await;
        }
        let mut client_side = client_side.lock().await;
        if let Some(copy) = client_side.copy.take()
            && client_side.writer.write_all(&copy).await.is_err()
        {
            return;
        }
        client_side.carries_orders |= is_order(&buffer[..count]);
        drop(client_side);
        if count == 0 || writer.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

async fn forward_answers(
    mut reader: OwnedReadHalf,
    client_side: &Mutex<ClientSide>,
    reset: &Notify,
    faults: watch::Receiver<LinkFault>,
) {
    let end = copy_answers(&mut reader, client_side, faults).await;
    let mut client_side = client_side.lock().await;
    if end == CutEnd::Reset {
        tokio::time::sleep(RESET_DELAY).await;
    }
    end_connection(&mut client_side.writer, end, reset).await;
}

/// Ends the connection to the client.
async fn end_connection(writer: &mut OwnedWriteHalf, end: CutEnd, reset: &Notify) {
    // Both fail only if the client has closed the connection.
    if end != CutEnd::Reset {
        drop(writer.shutdown().await);
    }
    if end != CutEnd::Close {
        drop(writer.as_ref().set_zero_linger());
        reset.notify_one();
    }
}

/// Forwards bytes to the client until the target closes the connection or an answer is
/// cut; returns how the connection to the client ends.
async fn copy_answers(
    reader: &mut OwnedReadHalf,
    client_side: &Mutex<ClientSide>,
    mut faults: watch::Receiver<LinkFault>,
) -> CutEnd {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(count) = reader.read(&mut buffer).await {
        let is_held =
            |fault: &LinkFault| matches!(*fault, LinkFault::HoldAll | LinkFault::HoldAnswers);
        if !pass_fault(&mut faults, is_held).await {
            break;
        }
        let bytes = &buffer[..count];
        let fault = *faults.borrow();
        let mut client_side = client_side.lock().await;
        if fault == LinkFault::EndlessHeads && count > 0 {
            write_interim_heads(&mut client_side.writer, &faults).await;
            break;
        }
        if let LinkFault::CutAnswers(place, end) = fault
            && let Some(length) = place.length(bytes)
        {
            // Fails only if the client has closed the connection.
            drop(client_side.writer.write_all(&bytes[..length]).await);
            return end;
        }
        if fault == LinkFault::SecondCopies
            && let Some(length) = half_length(bytes)
        {
            if client_side
                .writer
                .write_all(&bytes[..length])
                .await
                .is_err()
            {
                break;
            }
            tokio::time::sleep(COPY_DELAY).await;
        }
        if let LinkFault::CutHeads(lines) = fault
            && let Some(length) = CutPlace::AfterHead.length(bytes)
        {
            let rest = bytes[..length].iter().skip_while(|byte| **byte != b'\n');
            let head: Vec<u8> = lines.iter().chain(rest.skip(1)).copied().collect();
            // Fails only if the client has closed the connection.
            drop(client_side.writer.write_all(&head).await);
            return CutEnd::Close;
        }
        if let LinkFault::StatusLine(line) = fault
            && bytes.starts_with(ANSWER_START)
        {
            let rest = bytes.iter().skip_while(|byte| **byte != b'\n').skip(1);
            let answer: Vec<u8> = line.iter().chain(rest).copied().collect();
            if client_side.writer.write_all(&answer).await.is_err() {
                break;
            }
            continue;
        }
        if let LinkFault::JoinAnswers(start) = fault
            && bytes.starts_with(ANSWER_START)
            && client_side
                .writer
                .write_all(start.as_bytes())
                .await
                .is_err()
        {
            break;
        }
        if is_repeated(fault, bytes, client_side.carries_orders) {
            client_side.copy = Some(bytes.to_vec());
        }
        if count == 0 || client_side.writer.write_all(bytes).await.is_err() {
            break;
        }
    }
    CutEnd::Close
}

/// Writes interim heads until the client closes the connection or the fault changes.
async fn write_interim_heads(writer: &mut OwnedWriteHalf, faults: &watch::Receiver<LinkFault>) {
    let heads = INTERIM_HEAD.repeat(HEADS_PER_WRITE);
    while *faults.borrow() == LinkFault::EndlessHeads {
        if writer.write_all(&heads).await.is_err() {
            return;
        }
    }
}

/// Waits while bytes are held back or delayed; returns false when the proxy has ended.
async fn pass_fault(
    faults: &mut watch::Receiver<LinkFault>,
    is_held: impl Fn(&LinkFault) -> bool,
) -> bool {
    if faults.wait_for(|fault| !is_held(fault)).await.is_err() {
        return false;
    }
    let fault = *faults.borrow();
    if let LinkFault::Delay(span) = fault {
        tokio::time::sleep(span).await;
    }
    true
}

/// Whether a fault repeats an answer that consists of these bytes; `to_order` is whether
/// its connection carries orders or report queries. Stand-ins write a refusal in one piece.
fn is_repeated(fault: LinkFault, bytes: &[u8], to_order: bool) -> bool {
    let starts = |starts: &[&[u8]]| starts.iter().any(|start| bytes.starts_with(start));
    match fault {
        LinkFault::RepeatRefusals => starts(&REFUSAL_STARTS),
        LinkFault::RepeatAnswers => starts(&[ANSWER_START]),
        LinkFault::RepeatOrderAnswers => to_order,
        _ => false,
    }
}

/// Whether bytes begin an order or a report query. Daemons write its head in one piece.
fn is_order(bytes: &[u8]) -> bool {
    let path = bytes.split(|byte| *byte == b' ').nth(1);
    let path = path.and_then(|path| std::str::from_utf8(path).ok());
    path.is_some_and(|path| engine_path(path) != EnginePath::Request)
}
