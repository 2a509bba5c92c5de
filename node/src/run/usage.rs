use {super::task::Task, crate::ports::Target};

impl Task {
    /// Counts the request in its workspace's usage, when the first part of an answer arrives from a
    /// target. A relayed request is counted by the instance that sends it to the target.
    pub(super) fn count_usage(&mut self, target: &Target) {
        let Some(workspace) = &self.request.workspace else { return };
        if self.usage_counted || target.instance().is_some() {
            return;
        }
        self.usage_counted = true;
        let now = self.app.now();
        if let Some(mut usage) = self.app.usage() {
            usage.record_begin(workspace, now);
        }
    }
}
