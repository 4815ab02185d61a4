//! Votes of daemons on who holds the term while it is not renewed (see
//! [`ward_fleet::vote`]).

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use indexmap::IndexSet;
use rand::seq::SliceRandom;
use slog::{info, warn};
use ward_fleet::{
    CoordinatorMessage, LeaseWindow, MemberMessage, StorePosition, SupportRequest, VoterSet,
};
use ward_protocol::TimeSpan;

use super::call::call_daemon;
use super::frame::{PeerError, encode_frame};
use crate::clock;
use crate::gateway::Gateway;

/// Maximum time for a voter's answer.
const VOTE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of voters that are asked at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 16;

/// Supports the coordinator's term on its request, unless this daemon may have voted to
/// succeed it.
pub(super) fn support_term(gateway: &Gateway, request: SupportRequest) {
    let mut voter = gateway.term_voter.borrow_mut();
    if !voter.support(request.fence, clock::now()) {
        info!(
            gateway.logger, "coordinator: term not supported";
            "fence" => request.fence.0, "probe" => request.probe.0,
        );
        return;
    }
    gateway.report_events.borrow_mut().supported_probe = Some(request.probe);
    gateway.report_requested.notify_one();
}

/// Whether this daemon grants its vote to succeed the holder whose newest term record is
/// at `position`.
pub(super) fn grant_vote(gateway: &Gateway, position: StorePosition) -> bool {
    let now = clock::now();
    let window = LeaseWindow::new(gateway.settings().bounds.lease);
    let mut voter = gateway.term_voter.borrow_mut();
    let is_granted = voter.grant(position, &window, now);
    info!(
        gateway.logger, "coordinator: vote requested";
        "offset" => position.offset, "granted" => is_granted,
        "supported_millis_ago" => voter.supported_ago(now).map(TimeSpan::millis),
    );
    is_granted
}

/// Asks the voters whether this daemon may succeed the holder whose newest term record is
/// at `position`; returns whether enough of them grant their vote.
pub(super) async fn win_votes(
    gateway: &Gateway,
    voters: &VoterSet,
    position: StorePosition,
) -> bool {
    let frame = match encode_frame(&MemberMessage::VoteRequest(position)) {
        Ok(frame) => frame,
        Err(cause) => {
            warn!(gateway.logger, "coordinator: vote request cannot be encoded"; "cause" => %cause);
            return false;
        }
    };
    let own = gateway.settings().peers;
    let mut granted = IndexSet::new();
    let mut missing = IndexSet::new();
    if grant_vote(gateway, position) {
        granted.insert(own);
    } else {
        missing.insert(own);
    }
    let others = in_random_order(voters, own);
    let requests = others.iter().map(|voter| request_vote(*voter, &frame));
    let mut answers = stream::iter(requests).buffer_unordered(MAX_CONCURRENT_REQUESTS);
    while !voters.may_succeed(&granted) && voters.may_succeed_without(&missing) {
        match answers.next().await {
            Some((voter, Ok(true))) => granted.insert(voter),
            Some((voter, Ok(false))) => missing.insert(voter),
            Some((voter, Err(cause))) => {
                info!(
                    gateway.logger, "coordinator: voter not reached";
                    "address" => %voter, "cause" => %cause,
                );
                missing.insert(voter)
            }
            None => break,
        };
    }
    let has_won = voters.may_succeed(&granted);
    info!(
        gateway.logger, "coordinator: votes to succeed the holder"; "won" => has_won,
        "offset" => position.offset, "voters" => voters.0.len(),
        "granted" => granted.len(), "missing" => missing.len(),
    );
    has_won
}

/// The voters but this daemon, so that candidates don't all ask the same ones first.
fn in_random_order(voters: &VoterSet, own: SocketAddr) -> Vec<SocketAddr> {
    let others = voters.0.iter().filter(|voter| **voter != own);
    let mut others: Vec<_> = others.copied().collect();
    others.shuffle(&mut rand::rng());
    others
}

/// Asks one voter; returns its address and its answer.
async fn request_vote(voter: SocketAddr, frame: &[u8]) -> (SocketAddr, Result<bool, PeerError>) {
    let answer = match call_daemon(voter, frame, VOTE_TIMEOUT).await {
        Ok(CoordinatorMessage::Vote(is_granted)) => Ok(is_granted),
        Ok(_) => Err(PeerError::Unexpected),
        Err(cause) => Err(cause),
    };
    (voter, answer)
}
