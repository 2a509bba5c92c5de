//! Model of the quarantines of several instances that report crashes and answers to each other by
//! messages that are lost, late and repeated. One request crashes each target that runs it, the others
//! are sound, and targets crash for other reasons too.

use {
    lentil_core::{
        clock::Time,
        ids::{Fingerprint, Incarnation},
        poison::{Crash, Quarantine, RunPermission, Subject},
    },
    proptest::prelude::{any, prop_assert, proptest, ProptestConfig},
    rand::{rngs::SmallRng, Rng, SeedableRng},
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(50);
const TARGETS: usize = 6;
/// The request that crashes targets; greater numbers are sound ones.
const HARMFUL: u64 = 1;
/// Time after the third crash from which requests count as late.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;
/// Unrelated crashes end here.
const CALM: Duration = Duration::from_secs(60);
/// Time within which sound requests are served again after that.
const RETURN_TIME: Duration = Duration::from_secs(90);
/// Number of heartbeats that carry the same crash.
const GOSSIP_SENDS: u32 = 12;
const BEAT_STEPS: u64 = 10;

#[derive(Debug, Clone)]
enum Message {
    Crashed { subject: Subject, crash: Crash, at: Option<Time> },
    Cleared(Subject),
}

struct Run {
    subject: Subject,
    instance: usize,
    ends: Time,
}

#[derive(Default)]
struct Target {
    boot: u64,
    back: Time,
    runs: Vec<Run>,
}

struct Model {
    rng: SmallRng,
    now: Time,
    loss: f64,
    instances: Vec<Quarantine>,
    targets: Vec<Target>,
    /// Crashes that each instance gossips, with the sends that are left.
    gossip: Vec<Vec<(Subject, Crash, u32)>>,
    /// When each message arrives, its receiver and its sender.
    sent: Vec<(Time, usize, usize, Message)>,
    /// When each crash is reported, and by which instance.
    verdicts: Vec<(Time, usize, Subject, Crash)>,
    harmful_runs: Vec<Time>,
}

impl Model {
    fn new(instances: usize, loss: f64, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Time::ZERO,
            loss,
            instances: vec![Quarantine::default(); instances],
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            gossip: vec![Vec::new(); instances],
            sent: Vec::new(),
            verdicts: Vec::new(),
            harmful_runs: Vec::new(),
        }
    }

    fn after(&mut self, min_ms: u64, max_ms: u64) -> Time {
        self.now + Duration::from_millis(self.rng.gen_range(min_ms..max_ms))
    }

    fn send(&mut self, to: usize, from: usize, message: &Message) {
        let copies = 1 + usize::from(self.rng.gen_bool(0.1));
        for _ in 0..copies {
            if !self.rng.gen_bool(self.loss) {
                let max_ms = if self.rng.gen_bool(0.05) { 8_000 } else { 60 };
                let arrives = self.after(1, max_ms);
                self.sent.push((arrives, to, from, message.clone()));
            }
        }
    }

    fn broadcast(&mut self, from: usize, message: &Message) {
        for to in (0..self.instances.len()).filter(|to| *to != from) {
            self.send(to, from, message);
        }
    }

    fn record_crash(&mut self, i: usize, subject: Subject, crash: Crash, at: Option<Time>) -> bool {
        let (now, age) = (self.now, at.map_or(Duration::ZERO, |at| self.now - at));
        let is_new = self.instances[i].record_past_crash(subject, crash.clone(), age, now);
        if is_new && age.is_zero() {
            self.gossip[i].push((subject, crash, GOSSIP_SENDS));
        }
        is_new
    }

    fn receive(&mut self, to: usize, from: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Crashed { subject, crash, at } => {
                self.record_crash(to, subject, crash.clone(), at);
                let age = at.map_or(Duration::ZERO, |at| now - at);
                if self.instances[to].is_cleared_of(subject, &crash, age, now) {
                    self.send(from, to, &Message::Cleared(subject));
                }
            }
            Message::Cleared(subject) => self.clear(to, subject, false),
        }
    }

    fn clear(&mut self, i: usize, subject: Subject, answered: bool) {
        let found = self.instances[i].was_found(subject);
        let lifted = !self.instances[i].clear(&[subject], self.now).is_empty();
        if lifted && (answered || found) {
            self.broadcast(i, &Message::Cleared(subject));
        }
    }

    /// Returns whether an instance sends a request to a target.
    fn may_run(&mut self, i: usize, subject: Subject) -> bool {
        let now = self.now;
        let Subject::Request(request) = subject else { return false };
        match self.instances[i].permission(request, now) {
            // The first instance takes the trials for all, and may not be reached.
            RunPermission::Quarantined => {
                let asks = self.instances[i].is_trial_due(&[subject], now);
                let reached = i == 0 || !self.rng.gen_bool(self.loss);
                asks && reached && self.instances[0].take_trial(&[subject], now)
            }
            RunPermission::Clear | RunPermission::Isolate => true,
        }
    }

    fn arrive(&mut self, i: usize, subject: Subject) {
        if !self.may_run(i, subject) {
            return;
        }
        let now = self.now;
        let up: Vec<usize> = (0..TARGETS).filter(|t| self.targets[*t].back <= now).collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.rng.gen_range(0..up.len())];
        let ends = self.after(50, 600);
        self.targets[target].runs.push(Run { subject, instance: i, ends });
        if subject == Fingerprint(HARMFUL).into() {
            self.harmful_runs.push(now);
            self.crash(target);
        }
    }

    fn crash(&mut self, t: usize) {
        let runs = std::mem::take(&mut self.targets[t].runs);
        let boot = Incarnation(self.targets[t].boot);
        let crash = Crash { engine: format!("t{t}").parse().unwrap(), boot };
        for run in runs {
            let found = self.after(20, 400);
            self.verdicts.push((found, run.instance, run.subject, crash.clone()));
        }
        let back = self.after(2_000, 4_000);
        self.targets[t] = Target { boot: boot.0 + 1, back, runs: Vec::new() };
    }

    fn step(&mut self, number: u64, crash_rate: f64) {
        self.now = self.now + STEP;
        let now = self.now;
        let calm = now >= Time::ZERO + CALM;
        for t in 0..TARGETS {
            if !calm && self.targets[t].back <= now && self.rng.gen_bool(crash_rate) {
                self.crash(t);
            }
            let runs = std::mem::take(&mut self.targets[t].runs);
            let (done, running): (Vec<Run>, Vec<Run>) =
                runs.into_iter().partition(|r| r.ends <= now);
            self.targets[t].runs = running;
            done.into_iter().for_each(|run| self.clear(run.instance, run.subject, true));
        }
        let due: Vec<_> = self.verdicts.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, i, subject, crash) in due {
            if self.record_crash(i, subject, crash.clone(), None) {
                self.instances[i].mark_found(subject);
                self.broadcast(i, &Message::Crashed { subject, crash, at: None });
            }
        }
        let due: Vec<_> = self.sent.extract_if(.., |(at, ..)| *at <= now).collect();
        due.into_iter().for_each(|(_, to, from, message)| self.receive(to, from, message));
        if number.is_multiple_of(BEAT_STEPS) {
            (0..self.instances.len()).for_each(|i| self.beat(i));
        }
    }

    /// Gossips, and pulls the quarantine of another instance if it differs.
    fn beat(&mut self, i: usize) {
        let count = self.instances.len();
        let other = (i + self.rng.gen_range(1..count)) % count;
        let mut updates = std::mem::take(&mut self.gossip[i]);
        for (subject, crash, left) in &mut updates {
            let message = Message::Crashed { subject: *subject, crash: crash.clone(), at: None };
            self.send(other, i, &message);
            *left -= 1;
        }
        updates.retain(|(_, _, left)| *left > 0);
        self.gossip[i].append(&mut updates);
        let now = self.now;
        if self.instances[i].digest(now) != self.instances[other].digest(now) {
            let crashes: Vec<_> = self.instances[other]
                .crashes(now)
                .map(|(subject, crash, age)| (subject, crash.clone(), now.earlier(age)))
                .collect();
            for (subject, crash, at) in crashes {
                self.send(i, other, &Message::Crashed { subject, crash, at: Some(at) });
            }
        }
    }

    fn late_runs(&self) -> usize {
        let Some(third) = self.harmful_runs.get(2) else { return 0 };
        self.harmful_runs.iter().filter(|at| **at > *third + STABLE_WINDOW).count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    #[test]
    fn harmful_request_stays_quarantined_and_sound_ones_return(
        seed in any::<u64>(),
        count in 3usize..13,
        loss in 0.0..0.3f64,
        crash_rate in 0.0..0.02f64,
        popular in any::<bool>(),
    ) {
        let mut model = Model::new(count, loss, seed);
        let sound: Vec<Subject> = (2..8).map(|n| Fingerprint(n).into()).collect();
        let end = CALM + RETURN_TIME;
        let steps = (end.as_millis() / STEP.as_millis()) as u64;
        for number in 0..steps {
            model.step(number, crash_rate);
            // Each sound request comes often, or once every few seconds, at any instance.
            let rate = if popular { 0.5 } else { 0.02 };
            for subject in &sound {
                if model.rng.gen_bool(rate) {
                    let i = model.rng.gen_range(0..count);
                    model.arrive(i, *subject);
                }
            }
            if model.rng.gen_bool(0.1) {
                let i = model.rng.gen_range(0..count);
                model.arrive(i, Fingerprint(HARMFUL).into());
            }
        }
        let late = model.late_runs();
        prop_assert!(late <= MAX_LATE, "{late} late of {} runs", model.harmful_runs.len());
        for (i, quarantine) in model.instances.iter().enumerate() {
            let refused = quarantine.quarantined_among(&sound, model.now);
            prop_assert!(refused.is_empty(), "instance {i} refuses {refused:?}");
        }
    }
}
