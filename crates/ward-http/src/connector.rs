//! Opens the connections of [`HttpClient`](crate::HttpClient).

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

use crate::fair::{FairStream, HeadLimit};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type TcpConnectError = <HttpConnector as Service<Uri>>::Error;

/// Opens TCP connections whose readers give way to other tasks.
#[derive(Debug, Clone)]
pub(crate) struct FairConnector {
    inner: HttpConnector,
}

impl FairConnector {
    pub(crate) fn new() -> Self {
        let mut inner = HttpConnector::new();
        inner.set_nodelay(true);
        inner.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self { inner }
    }
}

impl Service<Uri> for FairConnector {
    type Response = TokioIo<FairStream<TcpStream>>;
    type Error = TcpConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, target: Uri) -> Self::Future {
        let connecting = self.inner.call(target);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(FairStream::new(stream, HeadLimit::default())))
        })
    }
}
