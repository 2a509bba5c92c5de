use {
    super::{Member, MemberInfo, MemberState, Update},
    crate::{
        clock::Time,
        ids::{Fingerprint, InstanceId, Region},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Most instances of the own region in a view.
pub const MAX_REGION_MEMBERS: usize = 64;
/// Instances of the own availability zone that a full view keeps before those of others.
pub const MAX_ZONE_MEMBERS: usize = 52;
/// Most instances of other regions in a view.
pub const MAX_REMOTE_MEMBERS: usize = 12;
/// Number of heartbeat periods between two heartbeats to members in state dead.
const DEAD_PROBE_PERIODS: u64 = 8;
/// Number of heartbeats that carry the same update.
const UPDATE_SENDS: u32 = 12;
/// Most updates that wait to be sent; beyond it the one sent most often is dropped.
const MAX_PENDING_UPDATES: usize = 64;

/// Time after the start within which the platform may not list other instances that start too.
const LIST_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time for which a greater number of instances is remembered; at least the window of the resend
/// limit, in which instances that are gone have used their shares.
const SIZE_MEMORY: Duration = Duration::from_secs(20);

/// Timeouts of the failure detector, as multiples of the heartbeat interval.
#[derive(Debug, Clone, Copy)]
pub struct DetectorTiming {
    /// Time between two heartbeat periods.
    pub interval: Duration,
}

impl DetectorTiming {
    /// Returns the time without an answer after which an instance is suspected.
    pub fn suspect_after(&self) -> Duration {
        self.interval * 3
    }

    /// Returns the time that a suspected instance has to refute the suspicion.
    pub fn refute_within(&self) -> Duration {
        self.interval * 8
    }

    /// Returns the time after which an instance that is dead or has left is removed from the view.
    pub fn remove_after(&self) -> Duration {
        self.interval * 400
    }
}

/// Bounded membership view of the other instances, with the updates to gossip to them.
///
/// A full view keeps up to [`MAX_ZONE_MEMBERS`] instances of the own availability zone and others,
/// in both cases those whose names, hashed together with the own name, give the smallest values. The
/// instances of a zone thus know each other, and what they know of other zones are pseudo-random
/// samples. The cost per instance does not grow with the size of the fleet.
#[derive(Debug, Clone)]
pub struct MemberView {
    me: MemberInfo,
    timing: DetectorTiming,
    members: BTreeMap<InstanceId, Member>,
    updates: Vec<(Update, u32)>,
    dropped: u64,
    /// Number of instances that the platform lists, once it was read.
    listed: Option<u32>,
    /// Numbers of instances within [`SIZE_MEMORY`], each with its time; the latest is the last.
    sizes: VecDeque<(Time, u32)>,
    next_member: u64,
    periods: u64,
    /// When a member was last found to be silent, to have left, or to have started again.
    lost: Option<Time>,
}

impl MemberView {
    /// Creates a view that contains no other instances.
    pub fn new(me: MemberInfo, timing: DetectorTiming) -> Self {
        Self {
            me,
            timing,
            members: BTreeMap::new(),
            updates: Vec::new(),
            dropped: 0,
            listed: None,
            sizes: VecDeque::new(),
            next_member: 0,
            periods: 0,
            lost: None,
        }
    }

    /// Returns the announcement of this instance about itself.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// Returns all members, including dead ones and those that have left.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns whether all members of the view have answered since `time`, by the same processes.
    pub fn is_whole_since(&self, time: Time) -> bool {
        self.lost.is_none_or(|at| at < time)
    }

    /// Returns the members in state alive or suspect.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.state <= MemberState::Suspect)
    }

    /// Returns whether the view has as many instances of the own region as it holds, so that there may
    /// be others.
    pub fn is_full(&self) -> bool {
        let here = self.live().filter(|m| m.info.region == self.me.region);
        here.count() >= MAX_REGION_MEMBERS
    }

    /// Returns whether the view has less than half of the instances.
    pub fn is_small_part(&self, now: Time) -> bool {
        let known = self.live().count() + 1;
        self.is_full() && self.fleet_size(now).is_some_and(|size| 2 * known < size as usize)
    }

    /// Returns the member with this name, if the view has it.
    pub fn member(&self, id: &InstanceId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Records a heartbeat received directly from an instance.
    pub fn record_heartbeat(&mut self, info: &MemberInfo, now: Time) {
        self.apply(info, MemberState::Alive, now);
        let Some(member) = self.members.get_mut(&info.id) else { return };
        if member.info.start != info.start {
            return;
        }
        if member.state <= MemberState::Suspect {
            member.last_heard = now;
            member.probed = None;
        }
        if member.state != MemberState::Alive {
            // The member can refute its state only if it receives it, so it is queued again.
            let (info, state) = (member.info.clone(), member.state);
            self.queue_update(Update::Member { info, state });
        }
    }

    /// Applies an update about an instance; refutes one that says that this instance is not alive.
    pub fn apply(&mut self, info: &MemberInfo, state: MemberState, now: Time) {
        if info.id == self.me.id {
            self.refute(info, state);
            return;
        }
        if let Some(member) = self.members.get_mut(&info.id) {
            if Member::precedence(info, state) <= Member::precedence(&member.info, member.state) {
                return;
            }
            let changed = member.state != state;
            if state > MemberState::Alive || member.info.start != info.start {
                self.lost = Some(now);
            }
            member.info = info.clone();
            member.state = state;
            if changed {
                member.since = now;
            }
            member.probed = None;
        } else {
            if state > MemberState::Suspect || !self.make_room(info) {
                return;
            }
            let info = info.clone();
            let member = Member { info, state, since: now, last_heard: now, probed: None };
            self.members.insert(member.info.id.clone(), member);
        }
        self.queue_update(Update::Member { info: info.clone(), state });
    }

    fn refute(&mut self, info: &MemberInfo, state: MemberState) {
        let about_me = info.start == self.me.start && info.refutations >= self.me.refutations;
        if about_me && state > MemberState::Alive {
            self.me.refutations = info.refutations + 1;
            let me = self.me.clone();
            self.queue_update(Update::Member { info: me, state: MemberState::Alive });
        }
    }

    /// Returns true if the view has room for `info`, after the removal of another member if it is
    /// full.
    fn make_room(&mut self, info: &MemberInfo) -> bool {
        let own_region = info.region == self.me.region;
        let limit = if own_region { MAX_REGION_MEMBERS } else { MAX_REMOTE_MEMBERS };
        let same = |m: &&Member| (m.info.region == self.me.region) == own_region;
        if self.members.values().filter(same).count() < limit {
            return true;
        }
        let near = self.members.values().filter(|m| self.is_near(&m.info)).count();
        let is_near = self.is_near(info);
        // A zone has at least its part of the view, and no more than that if others need room.
        let takes_over = match is_near {
            true => near < MAX_ZONE_MEMBERS,
            false => own_region && near > MAX_ZONE_MEMBERS,
        };
        let from_near = is_near != takes_over;
        let competitors = self.members.values().filter(same);
        let competitors = competitors.filter(|m| self.is_near(&m.info) == from_near);
        let far = |m: &&Member| (m.state <= MemberState::Suspect, self.distance(&m.info.id));
        let Some(farthest) = competitors.max_by_key(far) else { return true };
        if !takes_over && self.distance(&farthest.info.id) <= self.distance(&info.id) {
            return false;
        }
        let id = farthest.info.id.clone();
        self.members.remove(&id);
        true
    }

    /// Returns whether an instance is in the own availability zone.
    fn is_near(&self, info: &MemberInfo) -> bool {
        info.region == self.me.region && info.zone == self.me.zone
    }

    /// Returns the hash of a name with the own name; smaller values are kept in the view.
    fn distance(&self, id: &InstanceId) -> Fingerprint {
        hash_with(self.me.id.as_str(), id)
    }

    /// Queues an update to send, in place of an older one about the same subject.
    pub fn queue_update(&mut self, update: Update) {
        self.updates.retain(|(queued, _)| !same_subject(queued, &update));
        self.updates.push((update, UPDATE_SENDS));
        if self.updates.len() > MAX_PENDING_UPDATES {
            let sends_left = |i: &usize| self.updates[*i].1;
            if let Some(most_sent) = (0..self.updates.len()).min_by_key(sends_left) {
                self.updates.remove(most_sent);
                self.dropped += 1;
            }
        }
    }

    /// Returns the number of updates dropped so far because too many were waiting.
    pub fn dropped_updates(&self) -> u64 {
        self.dropped
    }

    /// Returns at most `count` updates for one heartbeat, those sent least often first.
    pub fn take_updates(&mut self, count: usize) -> Vec<Update> {
        self.updates.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let mut taken = Vec::new();
        for (update, left) in self.updates.iter_mut().take(count) {
            *left -= 1;
            taken.push(update.clone());
        }
        self.updates.retain(|(_, left)| *left > 0);
        taken
    }

    /// Advances the failure detector by one period and returns the members to send a heartbeat to:
    /// at most `count` live ones in turn, and every [`DEAD_PROBE_PERIODS`] periods a dead one.
    pub fn next_heartbeats(&mut self, count: usize, now: Time) -> Vec<MemberInfo> {
        self.update_states(now);
        self.record_size(now);
        self.periods += 1;
        let live: Vec<InstanceId> = self.live().map(|m| m.info.id.clone()).collect();
        let mut chosen: Vec<MemberInfo> = self.dead_member_to_probe().into_iter().collect();
        for _ in 0..count.min(live.len()) {
            let id = &live[self.next_member as usize % live.len()];
            self.next_member += 1;
            if let Some(member) = self.members.get_mut(id) {
                member.probed.get_or_insert(now);
                chosen.push(member.info.clone());
            }
        }
        chosen
    }

    /// Returns a dead member every [`DEAD_PROBE_PERIODS`] periods, in turn. Otherwise no
    /// instance would contact it after a partition has ended.
    fn dead_member_to_probe(&self) -> Option<MemberInfo> {
        let dead: Vec<&Member> =
            self.members.values().filter(|m| m.state == MemberState::Dead).collect();
        if dead.is_empty() || !self.periods.is_multiple_of(DEAD_PROBE_PERIODS) {
            return None;
        }
        let probe = (self.periods / DEAD_PROBE_PERIODS) as usize;
        Some(dead[probe % dead.len()].info.clone())
    }

    /// Applies the timeouts of the failure detector; removes members dead or left for too long.
    fn update_states(&mut self, now: Time) {
        let timing = self.timing;
        let mut changed = Vec::new();
        for member in self.members.values_mut() {
            let silent = member.probed.is_some_and(|t| now - t > timing.suspect_after());
            let next = match member.state {
                MemberState::Alive if silent => MemberState::Suspect,
                MemberState::Suspect if now - member.since > timing.refute_within() => {
                    MemberState::Dead
                }
                _ => continue,
            };
            member.state = next;
            member.since = now;
            self.lost = Some(now);
            changed.push(Update::Member { info: member.info.clone(), state: next });
        }
        changed.into_iter().for_each(|update| self.queue_update(update));
        let gone =
            |m: &Member| m.state > MemberState::Suspect && now - m.since > timing.remove_after();
        self.members.retain(|_, m| !gone(m));
    }

    /// Records the number of instances that the platform lists, this one included.
    pub fn record_listed(&mut self, count: u32, now: Time) {
        self.listed = Some(count);
        self.record_size(now);
    }

    fn record_size(&mut self, now: Time) {
        let size = (self.live().count() as u32 + 1).max(self.listed.unwrap_or(0));
        while self.sizes.front().is_some_and(|(t, _)| now - *t > SIZE_MEMORY) {
            self.sizes.pop_front();
        }
        // A later, greater number makes the ones before it irrelevant.
        while self.sizes.back().is_some_and(|(_, s)| *s <= size) {
            self.sizes.pop_back();
        }
        self.sizes.push_back((now, size));
    }

    /// Returns the greatest number of instances of the last 20 seconds, this one included, by the
    /// view and by the platform's list; `None` while the list is not known.
    ///
    /// A limit that all instances share is divided by it: the view alone is too small after a start,
    /// in a partition and in a large fleet.
    pub fn fleet_size(&self, now: Time) -> Option<u32> {
        self.listed.filter(|_| now - Time::ZERO >= LIST_SETTLE_TIME)?;
        self.sizes.iter().map(|(_, size)| *size).max()
    }

    /// Returns the rank of this instance for a duty among the alive instances of `region`, ordered
    /// by the hash of duty and name: 0 is the first.
    pub fn rank_for(&self, duty: &str, region: &Region) -> usize {
        self.rank_if(duty, region, |m| m.state == MemberState::Alive)
    }

    /// Like [`rank_for`](Self::rank_for), among the instances that [`live`](Self::live) returns.
    pub fn rank_among_live(&self, duty: &str, region: &Region) -> usize {
        self.rank_if(duty, region, |_| true)
    }

    /// Returns the instance that has a duty in `region` by this view, the first one by the hash of
    /// duty and name; it may be this one. `None` if no instance of the region is known.
    pub fn duty_holder(&self, duty: &str, region: &Region) -> Option<&MemberInfo> {
        let known = self.live().map(|m| &m.info).chain([&self.me]);
        known.filter(|m| m.region == *region).min_by_key(|m| hash_with(duty, &m.id))
    }

    /// Returns the `count` other live instances of the own region that come first by the hash of
    /// `key` and name. They change little as instances come and go.
    pub fn first_by_hash(&self, key: &str, count: usize) -> Vec<MemberInfo> {
        self.first_if(key, count, |m| m.info.region == self.me.region)
    }

    /// Returns the part that this instance may give out of what all instances share, if it holds
    /// that: the share of them that its view contains, itself included. `None` while it sees less
    /// than half of them, or of a full view: many small partitions would each begin with at least
    /// one unit.
    pub fn held_share(&self, now: Time) -> Option<f64> {
        let visible = self.live().count() + 1;
        let size = self.fleet_size(now)? as usize;
        let quorum = size.min(MAX_REGION_MEMBERS) / 2;
        (visible > quorum).then(|| (visible as f64 / size as f64).min(1.0))
    }

    /// Returns the rank of this instance for a duty among the alive instances of its availability
    /// zone, like [`rank_for`](Self::rank_for).
    pub fn rank_in_zone(&self, duty: &str) -> usize {
        let here = |m: &Member| m.state == MemberState::Alive && self.is_near(&m.info);
        self.rank_if(duty, &self.me.region, here)
    }

    /// Returns the rank of this instance for a duty among those with which it shares it: the alive
    /// instances of the region or, if the view can't hold the region, of the availability zone, which
    /// views hold whole, so that its instances agree.
    pub fn shared_rank(&self, duty: &str) -> usize {
        match self.is_full() {
            true => self.rank_in_zone(duty),
            false => self.rank_for(duty, &self.me.region),
        }
    }

    /// Returns the `count` others that come first for a duty among those that
    /// [`shared_rank`](Self::shared_rank) counts.
    pub fn first_for(&self, duty: &str, count: usize) -> Vec<MemberInfo> {
        let in_zone = self.is_full();
        self.first_if(duty, count, |m| {
            let near = m.info.region == self.me.region && (!in_zone || self.is_near(&m.info));
            near && m.state == MemberState::Alive
        })
    }

    fn first_if(
        &self,
        key: &str,
        count: usize,
        counts: impl Fn(&Member) -> bool,
    ) -> Vec<MemberInfo> {
        let members = self.live().filter(|m| counts(m)).map(|m| &m.info);
        let mut ranked: Vec<_> = members.map(|m| (hash_with(key, &m.id), m)).collect();
        ranked.sort_by_key(|(hash, _)| *hash);
        ranked.into_iter().take(count).map(|(_, m)| m.clone()).collect()
    }

    fn rank_if(&self, duty: &str, region: &Region, counts: impl Fn(&Member) -> bool) -> usize {
        let own = hash_with(duty, &self.me.id);
        self.live()
            .filter(|m| m.info.region == *region && counts(m))
            .filter(|m| hash_with(duty, &m.info.id) < own)
            .count()
    }
}

fn hash_with(salt: &str, id: &InstanceId) -> Fingerprint {
    Fingerprint::of(&[salt.as_bytes(), id.as_str().as_bytes()])
}

/// Returns true if the later of two updates makes the other obsolete.
fn same_subject(a: &Update, b: &Update) -> bool {
    match (a, b) {
        (Update::Member { info: x, .. }, Update::Member { info: y, .. }) => x.id == y.id,
        (Update::CellHolder { cell: x, .. }, Update::CellHolder { cell: y, .. }) => x == y,
        (Update::Leaving { engine: x, .. }, Update::Leaving { engine: y, .. }) => x == y,
        (Update::Paused { engine: x, .. }, Update::Paused { engine: y, .. }) => x == y,
        (x, y) => x == y,
    }
}
