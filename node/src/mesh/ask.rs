use {
    super::send_datagram,
    crate::app::App,
    lentil_core::{
        ids::InstanceId,
        mesh::{Message, Question, Reply},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Mutex, MutexGuard, PoisonError,
        },
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Time after which a datagram with a question or its answer counts as lost. An instance whose
/// processor quota is used up answers late.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of datagrams sent for one question.
const MAX_TRIES: u32 = 2;

/// Questions of this instance that wait for an answer.
#[derive(Debug)]
pub struct Questions<R> {
    latest: AtomicU64,
    waiting: Mutex<HashMap<u64, oneshot::Sender<R>>>,
}

impl<R> Default for Questions<R> {
    fn default() -> Self {
        Self { latest: AtomicU64::default(), waiting: Mutex::default() }
    }
}

impl<R> Questions<R> {
    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<R>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a question; its answer arrives at the receiver.
    pub(super) fn begin(&self) -> (Waiting<'_, R>, oneshot::Receiver<R>) {
        let number = self.latest.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(number, sender);
        (Waiting { questions: self, number }, receiver)
    }

    /// Passes an answer on to the task that waits for it; later answers have no effect.
    pub(super) fn record_reply(&self, number: u64, reply: R) {
        if let Some(sender) = self.waiting().remove(&number) {
            // The task may have stopped waiting.
            let _ = sender.send(reply);
        }
    }
}

/// A question that waits for its answer until this is dropped.
pub(super) struct Waiting<'a, R> {
    questions: &'a Questions<R>,
    pub(super) number: u64,
}

impl<R> Drop for Waiting<'_, R> {
    fn drop(&mut self) {
        self.questions.waiting().remove(&self.number);
    }
}

/// Asks another instance; `None` if it does not answer in time.
pub(crate) async fn ask(
    app: &App,
    id: &InstanceId,
    address: SocketAddr,
    question: &Question,
) -> Option<Reply> {
    for _ in 0..MAX_TRIES {
        let (waiting, receiver) = app.questions.begin();
        let message = Message::Question { number: waiting.number, question: question.clone() };
        send_datagram(app, address, Some(id.clone()), message).await;
        if let Ok(Ok(reply)) = timeout(REPLY_TIMEOUT, receiver).await {
            return Some(reply);
        }
    }
    log::debug!("mesh: {id} at {address} did not answer a question");
    None
}
