//! Wire format of the host list: JSON over HTTP.

use serde::Deserialize;
use ward_http::{HttpReply, ReplyError};
use ward_protocol::HostEntry;

pub(super) const LIST_PATH: &str = "/hosts";

#[derive(Deserialize)]
struct HostsAnswer {
    hosts: Vec<HostEntry>,
}

pub(super) fn parse_list(reply: &HttpReply) -> Result<Vec<HostEntry>, ReplyError> {
    let answer: HostsAnswer = reply.json()?;
    Ok(answer.hosts)
}
