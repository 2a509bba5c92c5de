use {super::task::Task, crate::ports::Target};

/// Times that a send may be denied before the request is refused. Each denial shows in the state of
/// the target, so the next choice is another one.
pub(super) const MAX_DENIALS: u32 = 12;

impl Task {
    /// Records that a target that was chosen is sent nothing after all.
    pub(super) fn cancel_send(&self, target: &Target) {
        if let Some(engine) = self.app.fleet().engine(&target.id) {
            engine.breaker.cancel_send();
        }
    }
}
