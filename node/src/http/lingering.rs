use {
    std::{future::Future, time::Duration},
    tokio::{runtime::Handle, task::JoinHandle, time::timeout},
};

/// A task whose result is awaited; if that is given up, the task goes on for a short time.
pub struct Lingering<T: Send + 'static> {
    task: Option<JoinHandle<T>>,
    time: Duration,
}

impl<T: Send + 'static> Lingering<T> {
    /// Starts a task that ends at the latest `time` after its result is no longer awaited.
    pub fn spawn(time: Duration, work: impl Future<Output = T> + Send + 'static) -> Self {
        Self { task: Some(tokio::spawn(work)), time }
    }

    /// Waits for the result; `None` if the task has panicked.
    pub async fn result(mut self) -> Option<T> {
        let result = self.task.as_mut()?.await.ok();
        self.task = None;
        result
    }
}

impl<T: Send + 'static> Drop for Lingering<T> {
    fn drop(&mut self) {
        let Some(task) = self.task.take() else { return };
        // Without a runtime everything is being shut down.
        let Ok(runtime) = Handle::try_current() else { return task.abort() };
        let (abort, time) = (task.abort_handle(), self.time);
        runtime.spawn(async move {
            // An error says that the task has ended or the time is over.
            let _ = timeout(time, task).await;
            abort.abort();
        });
    }
}
