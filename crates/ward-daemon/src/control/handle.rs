//! Channels between the control thread and other threads.

use std::sync::Arc;

use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::{oneshot, watch};
use ward_control::{ControlCore, ControlEvent};
use ward_protocol::{DaemonId, Incarnation, RoutingView};

/// Capacity of the queue of events and queries for the control thread.
const INPUT_QUEUE_CAPACITY: usize = 4_096;

/// A function that the control thread runs on its core between two events.
pub type ControlQuery = Box<dyn FnOnce(&mut ControlCore) + Send>;

/// An item in the queue of the control thread.
pub enum ControlInput {
    /// An event for the core.
    Event(ControlEvent),
    /// A query of the core's state.
    Query(ControlQuery),
    /// Ends the control loop.
    Quit,
}

/// The members of the deployment as last published, with their incarnations.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberList {
    /// One entry per member.
    pub members: Vec<MemberIncarnation>,
}

/// A member and its current incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberIncarnation {
    /// Id of the member.
    pub daemon: DaemonId,
    /// Current incarnation of the member.
    pub incarnation: Incarnation,
}

/// Sends events and queries to the control thread, and reads what it publishes.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: Sender<ControlInput>,
    view: watch::Receiver<Arc<RoutingView>>,
    members: watch::Receiver<Arc<MemberList>>,
    stopped: watch::Receiver<bool>,
}

/// The ends of the channels that the control thread holds.
pub struct ControlChannels {
    /// Queue of events and queries.
    pub inputs: Receiver<ControlInput>,
    /// Publishes routing views.
    pub view: watch::Sender<Arc<RoutingView>>,
    /// Publishes the members and their incarnations.
    pub members: watch::Sender<Arc<MemberList>>,
    /// Set to true once a planned stop has ended: this daemon has left, or the timeout
    /// has passed.
    pub stopped: watch::Sender<bool>,
}

impl ControlHandle {
    /// Creates a handle and the ends of its channels for the control thread.
    #[must_use]
    pub fn new() -> (Self, ControlChannels) {
        let (inputs, receiver) = channel(INPUT_QUEUE_CAPACITY);
        let (view_sender, view) = watch::channel(Arc::default());
        let (members_sender, members) = watch::channel(Arc::default());
        let (stopped_sender, stopped) = watch::channel(false);
        let channels = ControlChannels {
            inputs: receiver,
            view: view_sender,
            members: members_sender,
            stopped: stopped_sender,
        };
        let handle = Self {
            inputs,
            view,
            members,
            stopped,
        };
        (handle, channels)
    }

    /// Sends a hint, which is dropped when the queue is full.
    pub fn send_hint(&self, event: ControlEvent) {
        // The sender must not wait. Datagrams may be lost anyway and wake hints are
        // sent again, but a dropped report of a crash or of use is lost.
        let _ = self.inputs.try_send(ControlInput::Event(event));
    }

    /// Sends an event, waiting while the queue is full.
    pub async fn send(&self, event: ControlEvent) {
        // The send fails only when the daemon ends.
        let _ = self.inputs.send(ControlInput::Event(event)).await;
    }

    /// Runs `read` on the core in the control thread; `None` when that thread has ended.
    pub async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&mut ControlCore) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        let query: ControlQuery = Box::new(move |core| {
            // The caller may have stopped waiting.
            let _ = sender.send(read(core));
        });
        self.inputs.send(ControlInput::Query(query)).await.ok()?;
        answer.await.ok()
    }

    /// A receiver that always holds the newest published view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<RoutingView>> {
        self.view.clone()
    }

    /// The newest published view.
    #[must_use]
    pub fn view(&self) -> Arc<RoutingView> {
        Arc::clone(&self.view.borrow())
    }

    /// Whether this incarnation of a daemon is a member.
    #[must_use]
    pub fn is_member(&self, daemon: &DaemonId, incarnation: Incarnation) -> bool {
        let members = self.members.borrow();
        let mut members = members.members.iter();
        members.any(|member| member.daemon == *daemon && member.incarnation == incarnation)
    }

    /// Ends the control thread.
    pub async fn quit(&self) {
        // The send fails only when the thread has already ended.
        let _ = self.inputs.send(ControlInput::Quit).await;
    }

    /// Waits until a planned stop has ended, by this daemon's leave or the timeout, or the
    /// control thread has ended.
    pub async fn stopped(&mut self) {
        // An error means that the thread has ended.
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
    }
}
