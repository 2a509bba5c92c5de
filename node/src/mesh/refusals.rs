use {
    crate::app::App,
    lentil_core::{ids::Incarnation, mesh::FrameError},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
    },
};

/// Most peers and reasons that are remembered as logged; all are forgotten when one more comes.
const MAX_LOGGED: usize = 4_096;

/// Returns the label under which the metrics count a refused frame's version. The version is not
/// authenticated, so the labels are a fixed set.
pub(super) fn version_label(frame: &[u8]) -> &'static str {
    match frame.first() {
        None => "none",
        Some(1) => "1",
        Some(2) => "2",
        Some(_) => "other",
    }
}

/// Logs refused datagrams, once for each peer, incarnation and reason.
///
/// The reason is part of the key, so that a replay does not hide a later frame of an unsupported
/// version. All senders that are not members share one line for each reason.
#[derive(Debug, Default)]
pub struct Refusals {
    logged: Mutex<HashSet<(String, Incarnation, &'static str)>>,
}

impl Refusals {
    /// Logs a refused datagram, unless a line about its sender and reason was logged before. The
    /// sender is the member with the datagram's source address, since its name in the frame may not
    /// be readable. Returns whether a line was logged.
    pub fn log(&self, app: &App, address: SocketAddr, frame: &[u8], error: FrameError) -> bool {
        let member = {
            let view = app.member_view();
            let found = view.live().find(|m| m.info.address == address);
            found.map(|m| (m.info.id.to_string(), m.info.start))
        };
        let (peer, start) = member.unwrap_or_else(|| ("unknown".into(), Incarnation(0)));
        let is_new = {
            let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
            if logged.len() >= MAX_LOGGED {
                logged.clear();
            }
            logged.insert((peer.clone(), start, error.label()))
        };
        if is_new {
            let (reason, version) = (error.label(), version_label(frame));
            log::warn!(
                "mesh: refused peer={peer} start={start} address={address} reason={reason} version={version}"
            );
        }
        is_new
    }
}
