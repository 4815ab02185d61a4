//! Registration of stand-in backend servers in the host list.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use ward_http::{CallBounds, HttpClient, json_request};
use ward_protocol::{BackendInfo, HostEntry, HostState, TimeSpan};

use crate::error::StandinError;

const REGISTER_BOUNDS: CallBounds = CallBounds {
    timeout: TimeSpan::from_secs(5),
    answer_bytes: 64 << 10,
};

/// Registers a backend server in the host list as live.
pub(crate) async fn register(hosts: SocketAddr, info: BackendInfo) -> Result<(), StandinError> {
    let path = format!("/hosts/{}", info.backend);
    let entry = HostEntry {
        info,
        state: HostState::Live,
    };
    let body = serde_json::to_vec(&entry)?;
    let request = json_request(Method::PUT, hosts, &path, Bytes::from(body))?;
    let reply = HttpClient::new().call(request, REGISTER_BOUNDS).await?;
    if !reply.status.is_success() {
        return Err(StandinError::Refused(reply.status.as_u16()));
    }
    Ok(())
}
