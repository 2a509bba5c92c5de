use {
    super::{Member, MemberInfo, MemberState, News},
    crate::{
        clock::Time,
        ids::{Fingerprint, InstanceId, Region},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Instances of the own region in a view at most.
pub const NEAR: usize = 64;
/// Instances of other regions in a view at most.
pub const FAR: usize = 12;
/// Of so many periods, one beats a member that is believed dead.
const REVIVE: u64 = 8;
/// Times that one piece of news is told.
const TELLS: u32 = 12;
/// Pieces of news kept for telling at most.
const MAX_NEWS: usize = 64;

/// Lengths of the failure detector, derived from the time between beats.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time between beats.
    pub beat: Duration,
}

impl Pace {
    /// Time without an answer until an instance is suspected.
    pub fn suspect(&self) -> Duration {
        self.beat * 3
    }

    /// Time for which an instance may refute a suspicion.
    pub fn refute(&self) -> Duration {
        self.beat * 8
    }

    /// Time for which an instance that is gone is remembered.
    pub fn forget(&self) -> Duration {
        self.beat * 400
    }
}

/// A bounded view of the other instances, with the news to tell them.
///
/// The view keeps the instances with the least hash of their name together with the own one, so
/// that views are spread at random and a node's cost does not grow with the fleet.
#[derive(Debug, Clone)]
pub struct View {
    me: MemberInfo,
    pace: Pace,
    members: BTreeMap<InstanceId, Member>,
    news: Vec<(News, u32)>,
    turn: u64,
    periods: u64,
}

impl View {
    /// A view that knows only `me`.
    pub fn new(me: MemberInfo, pace: Pace) -> Self {
        Self { me, pace, members: BTreeMap::new(), news: Vec::new(), turn: 0, periods: 0 }
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
    pub fn heard(&mut self, info: &MemberInfo, now: Time) {
        self.learn(info, MemberState::Alive, now);
        let Some(member) = self.members.get_mut(&info.id) else { return };
        if member.info.start != info.start {
            return;
        }
        if member.state <= MemberState::Suspect {
            member.heard = now;
            member.asked = None;
        }
        if member.state != MemberState::Alive {
            // It can refute only what it hears.
            let (info, state) = (member.info.clone(), member.state);
            self.tell(News::Member { info, state });
        }
    }

    /// Takes in what is believed of an instance; refutes it where it is about this one.
    pub fn learn(&mut self, info: &MemberInfo, state: MemberState, now: Time) {
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
            member.asked = None;
        } else {
            if state > MemberState::Suspect || !self.has_room(info) {
                return;
            }
            let info = info.clone();
            let member = Member { info, state, since: now, heard: now, asked: None };
            self.members.insert(member.info.id.clone(), member);
        }
        self.tell(News::Member { info: info.clone(), state });
    }

    fn refute(&mut self, info: &MemberInfo, state: MemberState) {
        let about_me = info.start == self.me.start && info.life >= self.me.life;
        if about_me && state > MemberState::Alive {
            self.me.life = info.life + 1;
            let me = self.me.clone();
            self.tell(News::Member { info: me, state: MemberState::Alive });
        }
    }

    /// Drops the farthest member of a full view if `info` is nearer.
    fn has_room(&mut self, info: &MemberInfo) -> bool {
        let near = info.region == self.me.region;
        let limit = if near { NEAR } else { FAR };
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
    pub fn tell(&mut self, news: News) {
        self.news.retain(|(n, _)| !same_matter(n, &news));
        self.news.push((news, TELLS));
        if self.news.len() > MAX_NEWS {
            self.news.remove(0);
        }
    }

    /// News for one beat, at most `count`; what was told least comes first.
    pub fn news(&mut self, count: usize) -> Vec<News> {
        self.news.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let mut told = Vec::new();
        for (news, left) in self.news.iter_mut().take(count) {
            *left -= 1;
            told.push(news.clone());
        }
        self.news.retain(|(_, left)| *left > 0);
        told
    }

    /// Advances the failure detector and names the members to beat now, at most `count`.
    pub fn beat(&mut self, count: usize, now: Time) -> Vec<MemberInfo> {
        self.age(now);
        self.periods += 1;
        let live: Vec<InstanceId> = self.live().map(|m| m.info.id.clone()).collect();
        let mut chosen: Vec<MemberInfo> = self.dead_one().into_iter().collect();
        for _ in 0..count.min(live.len()) {
            let id = &live[self.turn as usize % live.len()];
            self.turn += 1;
            if let Some(member) = self.members.get_mut(id) {
                member.asked.get_or_insert(now);
                chosen.push(member.info.clone());
            }
        }
        chosen
    }

    /// At times a member that is believed dead: after a partition nobody else would find it.
    fn dead_one(&self) -> Option<MemberInfo> {
        let dead: Vec<&Member> =
            self.members.values().filter(|m| m.state == MemberState::Dead).collect();
        if dead.is_empty() || !self.periods.is_multiple_of(REVIVE) {
            return None;
        }
        let turn = (self.periods / REVIVE) as usize;
        Some(dead[turn % dead.len()].info.clone())
    }

    fn age(&mut self, now: Time) {
        let pace = self.pace;
        let mut changed = Vec::new();
        for member in self.members.values_mut() {
            let silent = member.asked.is_some_and(|t| now - t > pace.suspect());
            let next = match member.state {
                MemberState::Alive if silent => MemberState::Suspect,
                MemberState::Suspect if now - member.since > pace.refute() => MemberState::Dead,
                _ => continue,
            };
            member.state = next;
            member.since = now;
            changed.push(News::Member { info: member.info.clone(), state: next });
        }
        changed.into_iter().for_each(|n| self.tell(n));
        let gone = |m: &Member| m.state > MemberState::Suspect && now - m.since > pace.forget();
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

fn same_matter(a: &News, b: &News) -> bool {
    match (a, b) {
        (News::Member { info: x, .. }, News::Member { info: y, .. }) => x.id == y.id,
        (News::Holds { cell: x, .. }, News::Holds { cell: y, .. }) => x == y,
        (News::Leaving { engine: x, .. }, News::Leaving { engine: y, .. }) => x == y,
        (News::Paused { engine: x, .. }, News::Paused { engine: y, .. }) => x == y,
        (x, y) => x == y,
    }
}
