use {
    super::{Crash, Subject, MAX_SUSPECTS, SUSPECT_RETENTION},
    crate::clock::Time,
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, HashSet},
        time::Duration,
    },
};

/// Time for which a subject stays cleared at least, unless too many others are.
const CLEAR_PERIOD: Duration = Duration::from_secs(30);
/// Highest number of subjects cleared in one period.
const MAX_CLEARED: usize = 4_096;

/// Requests, and parts of prompts, on which targets have completed answers.
///
/// One that was answered lately is not blamed for crashes. What was blamed before stays cleared of
/// those crashes, so that reports of them which arrive later, from an instance that was cut off or
/// from the store, have no effect.
#[derive(Debug, Clone, Default)]
pub struct ClearedSubjects {
    /// Answered lately, in two generations.
    recent: HashSet<Subject>,
    older: HashSet<Subject>,
    /// When `recent` began.
    since: Time,
    /// The blame that answers have lifted.
    lifted: BTreeMap<Subject, LiftedBlame>,
}

#[derive(Debug, Clone)]
struct LiftedBlame {
    /// When a target last completed an answer.
    at: Time,
    crashes: SmallVec<[Crash; 2]>,
}

impl ClearedSubjects {
    /// Records that a target has completed an answer on the subject.
    pub fn insert(&mut self, subject: Subject, now: Time) {
        self.rotate(now);
        if self.recent.len() >= MAX_CLEARED {
            self.older = std::mem::take(&mut self.recent);
            self.since = now;
        }
        self.recent.insert(subject);
    }

    /// Records that an answer has lifted the blame for these crashes.
    pub fn lift(&mut self, subject: Subject, crashes: impl IntoIterator<Item = Crash>, now: Time) {
        let fresh = || LiftedBlame { at: now, crashes: SmallVec::new() };
        let blame = self.lifted.entry(subject).or_insert_with(fresh);
        blame.at = now;
        blame.crashes = crashes.into_iter().collect();
        if self.lifted.len() > MAX_SUSPECTS {
            self.lifted.retain(|_, blame| now - blame.at < SUSPECT_RETENTION);
        }
        if self.lifted.len() > MAX_SUSPECTS {
            let oldest = self.lifted.iter().min_by_key(|(_, blame)| blame.at);
            if let Some(subject) = oldest.map(|(subject, _)| *subject) {
                self.lifted.remove(&subject);
            }
        }
    }

    /// Returns whether a target has completed an answer on the subject within the last 30 to 60
    /// seconds.
    pub fn contains(&mut self, subject: Subject, now: Time) -> bool {
        self.rotate(now);
        self.recent.contains(&subject) || self.older.contains(&subject)
    }

    /// Returns whether the subject is cleared of a crash that happened at `at`.
    pub fn covers(&mut self, subject: Subject, crash: &Crash, at: Time, now: Time) -> bool {
        let lifted = self.lifted.get(&subject);
        lifted.is_some_and(|blame| at <= blame.at || blame.crashes.contains(crash))
            || self.contains(subject, now)
    }

    fn rotate(&mut self, now: Time) {
        let periods = (now - self.since).as_secs() / CLEAR_PERIOD.as_secs();
        if periods == 0 {
            return;
        }
        let recent = std::mem::take(&mut self.recent);
        self.older = if periods == 1 { recent } else { HashSet::new() };
        self.since = now;
    }
}
