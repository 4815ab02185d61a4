//! A small HTTP/1 server for stand-ins.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::reply::{AbortConnection, StageBody};

/// Most header fields of a request; engines take all that daemons may forward.
const MAX_HEADER_FIELDS: usize = 8_192;

/// A running server; dropping it closes its listener and connections.
pub(crate) struct StageServer {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for StageServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves requests on a free port of `ip`. An error from `answer` closes the
/// connection without an answer.
pub(crate) async fn serve<F>(
    ip: IpAddr,
    answer: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) -> std::io::Result<StageServer>
where
    F: Future<Output = Result<Response<StageBody>, AbortConnection>> + Send + 'static,
{
    let listener = TcpListener::bind((ip, 0)).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            connections.spawn(async move {
                let service = service_fn(answer);
                let connection = http1::Builder::new()
                    .max_headers(MAX_HEADER_FIELDS)
                    .serve_connection(TokioIo::new(stream), service);
                // Errors are expected: stand-ins close connections on purpose.
                drop(connection.await);
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(StageServer { address, task })
}
