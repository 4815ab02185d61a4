//! How other threads reach the control thread.

use std::sync::Arc;

use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::{oneshot, watch};
use ward_control::{ControlCore, ControlEvent};
use ward_protocol::{DaemonId, Incarnation, RoutingView};

/// Events that may wait for the control thread.
const INPUT_QUEUE_CAPACITY: usize = 4_096;

/// A question to the control thread, answered between two events.
pub type ControlQuery = Box<dyn FnOnce(&mut ControlCore) + Send>;

/// What the control thread takes.
pub enum ControlInput {
    /// Something happened.
    Event(ControlEvent),
    /// Somebody wants to know something.
    Query(ControlQuery),
    /// The daemon ends.
    Quit,
}

/// The members' lives as last published.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberList {
    /// A daemon and its life for each member.
    pub members: Vec<MemberIncarnation>,
}

/// One life of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberIncarnation {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// How other threads reach the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: Sender<ControlInput>,
    view: watch::Receiver<Arc<RoutingView>>,
    members: watch::Receiver<Arc<MemberList>>,
    stopped: watch::Receiver<bool>,
}

/// The control thread's ends of the channels.
pub struct ControlChannels {
    /// What comes in.
    pub inputs: Receiver<ControlInput>,
    /// Where views are published.
    pub view: watch::Sender<Arc<RoutingView>>,
    /// Where the members' lives are published.
    pub members: watch::Sender<Arc<MemberList>>,
    /// Set once a planned stop is complete.
    pub stopped: watch::Sender<bool>,
}

impl ControlHandle {
    /// A handle and the ends that the control thread keeps.
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

    /// Passes a hint on; it is dropped when the control thread is behind.
    pub fn send_hint(&self, event: ControlEvent) {
        // Hints repeat what the log or a backend server says by itself later.
        let _ = self.inputs.try_send(ControlInput::Event(event));
    }

    /// Passes a result on, waiting for room.
    pub async fn send(&self, event: ControlEvent) {
        // The thread is gone only when the daemon ends.
        let _ = self.inputs.send(ControlInput::Event(event)).await;
    }

    /// Looks at the core on its own thread; nothing when that thread has ended.
    pub async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&mut ControlCore) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        let query: ControlQuery = Box::new(move |core| {
            // Whoever asked may have stopped waiting.
            let _ = sender.send(read(core));
        });
        self.inputs.send(ControlInput::Query(query)).await.ok()?;
        answer.await.ok()
    }

    /// The views as they are published.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<RoutingView>> {
        self.view.clone()
    }

    /// The newest view.
    #[must_use]
    pub fn view(&self) -> Arc<RoutingView> {
        Arc::clone(&self.view.borrow())
    }

    /// Whether this life of a daemon is a member.
    #[must_use]
    pub fn is_member(&self, daemon: &DaemonId, incarnation: Incarnation) -> bool {
        let members = self.members.borrow();
        let mut members = members.members.iter();
        members.any(|member| member.daemon == *daemon && member.incarnation == incarnation)
    }

    /// Ends the control thread.
    pub async fn quit(&self) {
        // A thread that is gone has ended already.
        let _ = self.inputs.send(ControlInput::Quit).await;
    }

    /// Waits until this daemon has left, or its control thread has ended.
    pub async fn stopped(&mut self) {
        // A sender that is gone means that the thread has ended.
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
    }
}
