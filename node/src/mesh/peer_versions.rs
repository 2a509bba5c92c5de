use {
    lentil_core::{
        ids::InstanceId,
        mesh::{Announcement, Member, VersionRange},
        order::Holder,
    },
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Most instances whose announcements are kept, the latest incarnations; more than the design size.
const MAX_PEERS: usize = 4_096;

/// Announcements of other instances about their builds, of the latest incarnation of each.
#[derive(Debug, Default)]
pub struct PeerVersions {
    peers: Mutex<HashMap<InstanceId, Announcement>>,
}

impl PeerVersions {
    fn peers(&self) -> MutexGuard<'_, HashMap<InstanceId, Announcement>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the announcement of an instance; one of an earlier incarnation has no effect.
    pub fn record(&self, id: &InstanceId, announcement: Announcement) {
        let mut peers = self.peers();
        if let Some(known) = peers.get_mut(id) {
            if announcement.start >= known.start {
                // Frames don't carry the build; presence records do.
                let same = announcement.start == known.start;
                let build = known.build.take().filter(|_| same);
                *known = Announcement { build: announcement.build.or(build), ..announcement };
            }
            return;
        }
        if peers.len() >= MAX_PEERS {
            let oldest = peers.iter().min_by_key(|(_, a)| a.start).map(|(id, _)| id.clone());
            oldest.map(|id| peers.remove(&id));
        }
        peers.insert(id.clone(), announcement);
    }

    /// Records the versions in a frame of an instance.
    pub fn record_frame(&self, from: &Holder, versions: VersionRange) {
        let announcement = Announcement { start: from.start, build: None, versions };
        self.record(&from.instance, announcement);
    }

    /// Returns the announcement of an instance's latest known incarnation.
    pub fn get(&self, id: &InstanceId) -> Option<Announcement> {
        self.peers().get(id).cloned()
    }

    /// Returns all announcements, in no particular order.
    pub fn all(&self) -> Vec<(InstanceId, Announcement)> {
        self.peers().iter().map(|(id, a)| (id.clone(), a.clone())).collect()
    }

    /// Returns whether an instance has announced that it understands `version`. If it is a member
    /// of the view, the announcement must be of the incarnation known there: a later one may run
    /// another build.
    pub fn understands(&self, id: &InstanceId, member: Option<&Member>, version: u8) -> bool {
        let peers = self.peers();
        let announced = peers.get(id).filter(|a| a.versions.contains(version));
        announced.is_some_and(|a| member.is_none_or(|m| m.info.start <= a.start))
    }
}
