use {
    super::{UnixTime, WindowId},
    crate::ids::{Fence, WorkspaceId},
};

/// Estimated bytes of an entry beyond the workspace's name.
const ENTRY_BYTES: usize = 8;
/// Estimated bytes of a window beyond its entries.
const WINDOW_BYTES: usize = 12;
/// Estimated bytes of the entries of one message, so that it fits a datagram of 1,400 bytes with its
/// envelope.
const MAX_COUNT_BYTES: usize = 1_100;

/// Requests that one instance counted in a window, cumulative since the window's beginning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowUsage {
    /// The window.
    pub window: WindowId,
    /// Requests by workspace; a message may contain a part of the workspaces.
    pub counts: Vec<(WorkspaceId, u64)>,
}

/// Message of the usage reports: an instance's counts for the holder, or the holder's announcement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageMessage {
    /// The sender's estimate of true time. A holder that is not sure of it omits it.
    pub time: Option<UnixTime>,
    /// Fencing number of the sender, if it holds the duty.
    pub fence: Option<Fence>,
    /// First window whose report the sender has not fixed, if it holds the duty.
    pub from: Option<WindowId>,
    /// Counts of the sender.
    pub windows: Vec<WindowUsage>,
}

impl UsageMessage {
    /// Splits counts into messages that each fit a datagram; there is at least one.
    pub fn messages(time: UnixTime, windows: Vec<WindowUsage>) -> Vec<Self> {
        let empty = || Self { time: Some(time), ..Self::default() };
        let (mut messages, mut last, mut size) = (Vec::new(), empty(), 0);
        for WindowUsage { window, counts } in windows {
            for (workspace, count) in counts {
                let entry = workspace.as_str().len() + ENTRY_BYTES;
                if size + entry + WINDOW_BYTES > MAX_COUNT_BYTES {
                    messages.push(std::mem::replace(&mut last, empty()));
                    size = 0;
                }
                match last.windows.last_mut().filter(|w| w.window == window) {
                    Some(part) => part.counts.push((workspace, count)),
                    None => {
                        size += WINDOW_BYTES;
                        last.windows.push(WindowUsage { window, counts: vec![(workspace, count)] });
                    }
                }
                size += entry;
            }
        }
        messages.push(last);
        messages
    }
}
