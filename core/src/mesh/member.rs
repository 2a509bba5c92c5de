use {
    crate::{
        clock::Time,
        ids::{Incarnation, InstanceId, Region, Zone},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Announcement of an instance about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name of the instance.
    pub id: InstanceId,
    /// Incarnation of its process; a later one replaces an earlier one.
    pub start: Incarnation,
    /// Counter that the instance increments to refute a suspicion.
    pub refutations: u32,
    /// Address of its mesh listener.
    pub address: SocketAddr,
    /// Region in which it runs.
    pub region: Region,
    /// Availability zone in which it runs.
    pub zone: Zone,
}

/// State of an instance in the failure detector. At equal `start` and `refutations` the later of
/// these variants takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The instance answers heartbeats.
    Alive,
    /// The instance did not answer; it may still refute the suspicion.
    Suspect,
    /// The instance did not refute the suspicion in time.
    Dead,
    /// The instance announced that it stops.
    Left,
}

/// An instance in a [`MemberView`](super::MemberView).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its latest announcement.
    pub info: MemberInfo,
    /// Its state in this view.
    pub state: MemberState,
    /// When it entered this state.
    pub since: Time,
    /// When its last direct heartbeat arrived.
    pub last_heard: Time,
    /// When it was sent the first heartbeat that it has not answered.
    pub probed: Option<Time>,
}

impl Member {
    /// Returns the precedence of an update about one instance; the greater one wins.
    pub(super) fn precedence(
        info: &MemberInfo,
        state: MemberState,
    ) -> (Incarnation, u32, MemberState) {
        (info.start, info.refutations, state)
    }
}
