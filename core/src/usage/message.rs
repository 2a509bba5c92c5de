use {
    super::{UnixTime, WindowId},
    crate::{
        ids::{Fence, InstanceId, WorkspaceId},
        mesh::MAX_DATAGRAM_BYTES,
    },
};

/// Bytes of a window's number, of the lengths and of the tags around its entries.
const WINDOW_BYTES: usize = 16;
/// Bytes of an entry beyond name and count, if the name takes up to 100 bytes.
const ENTRY_BYTES: usize = 5;
/// Bytes of a frame beyond the counts and the names of sender and receiver.
const FRAME_BYTES: usize = 80;

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
    /// Splits counts into messages that each fit a datagram from one instance to another; there is at
    /// least one.
    pub fn messages(
        time: UnixTime,
        windows: Vec<WindowUsage>,
        [from, to]: [&InstanceId; 2],
    ) -> Vec<Self> {
        let names = from.as_str().len() + to.as_str().len();
        let room = MAX_DATAGRAM_BYTES - FRAME_BYTES - names;
        let empty = || Self { time: Some(time), ..Self::default() };
        let (mut messages, mut last, mut size) = (Vec::new(), empty(), 0);
        for WindowUsage { window, counts } in windows {
            for (workspace, count) in counts {
                let entry = entry_bytes(&workspace, count);
                if size + entry + WINDOW_BYTES > room {
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

/// Returns the bytes of an entry in a frame.
fn entry_bytes(workspace: &WorkspaceId, count: u64) -> usize {
    let name = workspace.as_str().len();
    // Seven bits of a number take a byte.
    let number = (u64::BITS - count.leading_zeros()).div_ceil(7) as usize;
    // The lengths of a long name and of its entry take two bytes each.
    let long = if name > 100 { 2 } else { 0 };
    name + number + long + ENTRY_BYTES
}
