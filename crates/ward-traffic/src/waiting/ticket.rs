//! Handle of a request in the queue.

use std::sync::Arc;

use tokio::sync::oneshot;
use tokio::time::timeout_at;
use ward_protocol::ResultCode;

use super::wait_list::WaitList;
use super::waiter::{QueuePosition, SlotGrant, WaitResult};
use crate::problem::ProblemReport;

/// Handle of a request in the queue; dropping it removes the request.
#[derive(Debug)]
pub struct WaitTicket {
    pub(super) list: Arc<WaitList>,
    pub(super) position: QueuePosition,
    pub(super) receiver: oneshot::Receiver<WaitResult>,
    /// Whether the request may still be in the queue; false once its result is received.
    pub(super) queued: bool,
}

impl WaitTicket {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The request is refused, at its deadline at the latest.
    pub async fn wait(mut self) -> Result<SlotGrant, ProblemReport> {
        match timeout_at(self.position.deadline, &mut self.receiver).await {
            Ok(Ok(result)) => {
                self.queued = false;
                result
            }
            Ok(Err(_)) | Err(_) => Err(ProblemReport::refused(
                ResultCode::TooLate,
                "no replica took the request within its time limit",
            )),
        }
    }
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        if self.queued {
            self.list.remove_waiter(self.position);
        }
    }
}
