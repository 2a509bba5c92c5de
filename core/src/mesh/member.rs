use {
    crate::{
        clock::Time,
        ids::{Incarnation, InstanceId, Region, Zone},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its name.
    pub id: InstanceId,
    /// Its start; a later start replaces an earlier one.
    pub start: Incarnation,
    /// Raised by itself to refute a suspicion.
    pub refutations: u32,
    /// Where its mesh listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
}

/// What is believed of an instance; a later one wins at equal start and life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer; it may refute that.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said that it stops.
    Left,
}

/// An instance in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What it says of itself.
    pub info: MemberInfo,
    /// What is believed of it.
    pub state: MemberState,
    /// When that began.
    pub since: Time,
    /// When it was last heard directly.
    pub last_heard: Time,
    /// When it was last asked for a sign of life that has not come.
    pub probed: Option<Time>,
}

impl Member {
    /// Order of news about one instance: greater is later.
    pub(super) fn rank(info: &MemberInfo, state: MemberState) -> (Incarnation, u32, MemberState) {
        (info.start, info.refutations, state)
    }
}
