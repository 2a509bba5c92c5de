use {
    super::{Member, MemberInfo, MemberState, Update},
    crate::{
        clock::Time,
        ids::{Fingerprint, InstanceId, Region},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Instances of the own region in a view at most.
pub const MAX_REGION_MEMBERS: usize = 64;
/// Instances of other regions in a view at most.
pub const MAX_REMOTE_MEMBERS: usize = 12;
/// Of so many periods, one beats a member that is believed dead.
const DEAD_PROBE_PERIODS: u64 = 8;
/// Times that one piece of news is told.
const UPDATE_SENDS: u32 = 12;
/// Pieces of news kept for telling at most.
const MAX_PENDING_UPDATES: usize = 64;

/// Lengths of the failure detector, derived from the time between beats.
#[derive(Debug, Clone, Copy)]
pub struct DetectorTiming {
    /// Time between beats.
    pub interval: Duration,
}

impl DetectorTiming {
    /// Time without an answer until an instance is suspected.
    pub fn suspect_after(&self) -> Duration {
        self.interval * 3
    }

    /// Time for which an instance may refute a suspicion.
    pub fn refute_within(&self) -> Duration {
        self.interval * 8
    }

    /// Time for which an instance that is gone is remembered.
    pub fn forget_after(&self) -> Duration {
        self.interval * 400
    }
}

/// A bounded view of the other instances, with the news to tell them.
///
/// The view keeps the instances with the least hash of their name together with the own one, so
/// that views are spread at random and a node's cost does not grow with the fleet.
#[derive(Debug, Clone)]
pub struct MemberView {
    me: MemberInfo,
    timing: DetectorTiming,
    members: BTreeMap<InstanceId, Member>,
    updates: Vec<(Update, u32)>,
    next_member: u64,
    periods: u64,
}

impl MemberView {
    /// A view that knows only `me`.
    pub fn new(me: MemberInfo, pace: DetectorTiming) -> Self {
        Self {
            me,
            timing: pace,
            members: BTreeMap::new(),
            updates: Vec::new(),
            next_member: 0,
            periods: 0,
        }
    }

    /// What this instance says of itself.
    pub fn me(&self) -> &MemberInfo {
        &self.me
    }

    /// All members, whatever their state.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members that are not known to be gone.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.state <= MemberState::Suspect)
    }

    /// A member by name.
    pub fn member(&self, id: &InstanceId) -> Option<&Member> {
        self.members.get(id)
    }

    /// Takes in a direct sign of life.
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
            // It can refute only what it hears.
            let (info, state) = (member.info.clone(), member.state);
            self.queue_update(Update::Member { info, state });
        }
    }

    /// Takes in what is believed of an instance; refutes it where it is about this one.
    pub fn apply(&mut self, info: &MemberInfo, state: MemberState, now: Time) {
        if info.id == self.me.id {
            self.refute(info, state);
            return;
        }
        if let Some(member) = self.members.get_mut(&info.id) {
            if Member::rank(info, state) <= Member::rank(&member.info, member.state) {
                return;
            }
            let changed = member.state != state;
            member.info = info.clone();
            member.state = state;
            if changed {
                member.since = now;
            }
            member.probed = None;
        } else {
            if state > MemberState::Suspect || !self.has_room(info) {
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

    /// Drops the farthest member of a full view if `info` is nearer.
    fn has_room(&mut self, info: &MemberInfo) -> bool {
        let near = info.region == self.me.region;
        let limit = if near { MAX_REGION_MEMBERS } else { MAX_REMOTE_MEMBERS };
        let same = |m: &&Member| (m.info.region == self.me.region) == near;
        if self.members.values().filter(same).count() < limit {
            return true;
        }
        let far = |m: &&Member| (m.state <= MemberState::Suspect, self.distance(&m.info.id));
        let Some(farthest) = self.members.values().filter(same).max_by_key(far) else {
            return true;
        };
        if self.distance(&farthest.info.id) <= self.distance(&info.id) {
            return false;
        }
        let id = farthest.info.id.clone();
        self.members.remove(&id);
        true
    }

    fn distance(&self, id: &InstanceId) -> Fingerprint {
        rank(self.me.id.as_str(), id)
    }

    /// Adds news to tell, in place of older news about the same.
    pub fn queue_update(&mut self, news: Update) {
        self.updates.retain(|(n, _)| !same_matter(n, &news));
        self.updates.push((news, UPDATE_SENDS));
        if self.updates.len() > MAX_PENDING_UPDATES {
            self.updates.remove(0);
        }
    }

    /// News for one beat, at most `count`; what was told least comes first.
    pub fn take_updates(&mut self, count: usize) -> Vec<Update> {
        self.updates.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let mut told = Vec::new();
        for (news, left) in self.updates.iter_mut().take(count) {
            *left -= 1;
            told.push(news.clone());
        }
        self.updates.retain(|(_, left)| *left > 0);
        told
    }

    /// Advances the failure detector and names the members to beat now, at most `count`.
    pub fn next_heartbeats(&mut self, count: usize, now: Time) -> Vec<MemberInfo> {
        self.age(now);
        self.periods += 1;
        let live: Vec<InstanceId> = self.live().map(|m| m.info.id.clone()).collect();
        let mut chosen: Vec<MemberInfo> = self.dead_one().into_iter().collect();
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

    /// At times a member that is believed dead: after a partition nobody else would find it.
    fn dead_one(&self) -> Option<MemberInfo> {
        let dead: Vec<&Member> =
            self.members.values().filter(|m| m.state == MemberState::Dead).collect();
        if dead.is_empty() || !self.periods.is_multiple_of(DEAD_PROBE_PERIODS) {
            return None;
        }
        let turn = (self.periods / DEAD_PROBE_PERIODS) as usize;
        Some(dead[turn % dead.len()].info.clone())
    }

    fn age(&mut self, now: Time) {
        let pace = self.timing;
        let mut changed = Vec::new();
        for member in self.members.values_mut() {
            let silent = member.probed.is_some_and(|t| now - t > pace.suspect_after());
            let next = match member.state {
                MemberState::Alive if silent => MemberState::Suspect,
                MemberState::Suspect if now - member.since > pace.refute_within() => {
                    MemberState::Dead
                }
                _ => continue,
            };
            member.state = next;
            member.since = now;
            changed.push(Update::Member { info: member.info.clone(), state: next });
        }
        changed.into_iter().for_each(|n| self.queue_update(n));
        let gone =
            |m: &Member| m.state > MemberState::Suspect && now - m.since > pace.forget_after();
        self.members.retain(|_, m| !gone(m));
    }

    /// Rank of this instance for a duty among the live ones of its region: 0 is the first.
    pub fn rank_for(&self, duty: &str, region: &Region) -> usize {
        let mine = rank(duty, &self.me.id);
        self.live()
            .filter(|m| m.state == MemberState::Alive && m.info.region == *region)
            .filter(|m| rank(duty, &m.info.id) < mine)
            .count()
    }
}

fn rank(salt: &str, id: &InstanceId) -> Fingerprint {
    Fingerprint::of(&[salt.as_bytes(), id.as_str().as_bytes()])
}

fn same_matter(a: &Update, b: &Update) -> bool {
    match (a, b) {
        (Update::Member { info: x, .. }, Update::Member { info: y, .. }) => x.id == y.id,
        (Update::CellHolder { cell: x, .. }, Update::CellHolder { cell: y, .. }) => x == y,
        (Update::Leaving { engine: x, .. }, Update::Leaving { engine: y, .. }) => x == y,
        (Update::Paused { engine: x, .. }, Update::Paused { engine: y, .. }) => x == y,
        (x, y) => x == y,
    }
}
