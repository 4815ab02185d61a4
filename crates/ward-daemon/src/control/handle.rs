//! How other threads reach the control thread.

use std::sync::Arc;

use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::{oneshot, watch};
use ward_control::{ControlCore, ControlEvent};
use ward_protocol::{DaemonId, Incarnation, RoutingView};

/// Events that may wait for the control thread.
const QUEUED_INPUTS: usize = 4_096;

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
pub struct MemberLives {
    /// A daemon and its life for each member.
    pub lives: Vec<MemberLife>,
}

/// One life of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberLife {
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
    lives: watch::Receiver<Arc<MemberLives>>,
    stopped: watch::Receiver<bool>,
}

/// The control thread's ends of the channels.
pub struct ControlEnds {
    /// What comes in.
    pub inputs: Receiver<ControlInput>,
    /// Where views are published.
    pub view: watch::Sender<Arc<RoutingView>>,
    /// Where the members' lives are published.
    pub lives: watch::Sender<Arc<MemberLives>>,
    /// Set once a planned stop is complete.
    pub stopped: watch::Sender<bool>,
}

impl ControlHandle {
    /// A handle and the ends that the control thread keeps.
    #[must_use]
    pub fn new() -> (Self, ControlEnds) {
        let (inputs, receiver) = channel(QUEUED_INPUTS);
        let (view_sender, view) = watch::channel(Arc::default());
        let (lives_sender, lives) = watch::channel(Arc::default());
        let (stopped_sender, stopped) = watch::channel(false);
        let ends = ControlEnds {
            inputs: receiver,
            view: view_sender,
            lives: lives_sender,
            stopped: stopped_sender,
        };
        let handle = Self {
            inputs,
            view,
            lives,
            stopped,
        };
        (handle, ends)
    }

    /// Passes a hint on; it is dropped when the control thread is behind.
    pub fn hint(&self, event: ControlEvent) {
        // Hints repeat what the log or a backend server says by itself later.
        let _ = self.inputs.try_send(ControlInput::Event(event));
    }

    /// Passes a result on, waiting for room.
    pub async fn tell(&self, event: ControlEvent) {
        // The thread is gone only when the daemon ends.
        let _ = self.inputs.send(ControlInput::Event(event)).await;
    }

    /// Looks at the core on its own thread; nothing when that thread has ended.
    pub async fn ask<T: Send + 'static>(
        &self,
        look: impl FnOnce(&mut ControlCore) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        let query: ControlQuery = Box::new(move |core| {
            // Whoever asked may have stopped waiting.
            let _ = sender.send(look(core));
        });
        self.inputs.send(ControlInput::Query(query)).await.ok()?;
        answer.await.ok()
    }

    /// The views as they are published.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<Arc<RoutingView>> {
        self.view.clone()
    }

    /// The newest view.
    #[must_use]
    pub fn view(&self) -> Arc<RoutingView> {
        Arc::clone(&self.view.borrow())
    }

    /// Whether this life of a daemon is a member.
    #[must_use]
    pub fn is_alive(&self, daemon: &DaemonId, incarnation: Incarnation) -> bool {
        let lives = self.lives.borrow();
        let mut lives = lives.lives.iter();
        lives.any(|life| life.daemon == *daemon && life.incarnation == incarnation)
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
