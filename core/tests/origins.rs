//! Streams that callers resume through other instances, in a model: versions come and go, instances
//! learn that late, are killed and started, and messages are lost.

use {
    lentil_core::{
        clock::Time,
        fleet::{EngineView, Registration, SoftwareHistory},
        ids::{Incarnation, SoftwareVersion},
        manifest::Role,
        stream::{OriginAnswer, OriginSearch, StreamKey, StreamOrigin, StreamOrigins},
    },
    proptest::prelude::{any, prop_assert_eq, prop_oneof, proptest, Just, ProptestConfig},
    rand::{rngs::StdRng, seq::SliceRandom, Rng, SeedableRng},
};

/// Other instances that are told of each stream.
const HOLDERS: usize = 3;
/// Longest time until an instance knows a change of the directory.
const DIRECTORY_DELAY_MS: u64 = 2_000;
/// Time for which a caller may resume its stream.
const PATIENCE_MS: u64 = 10_000;

#[derive(Default)]
struct Instance {
    origins: StreamOrigins,
    history: SoftwareHistory,
    targets: Vec<EngineView>,
    /// When it applies the changes of the directory up to each number.
    pending: Vec<(u64, usize)>,
    applied: usize,
}

struct Model {
    instances: Vec<Instance>,
    /// Changes of the directory: the version of a target that came (`true`) or is gone.
    changes: Vec<(SoftwareVersion, bool, u64)>,
    loss: f64,
    rng: StdRng,
}

fn target(software: &SoftwareVersion) -> EngineView {
    EngineView::from_registration(&Registration {
        id: format!("i-{software}").parse().unwrap(),
        boot: Incarnation(0),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        role: Role::Decode,
        slots: 1,
        software: software.clone(),
        leaving: false,
        weights: None,
        spot: None,
        leaves: None,
    })
}

fn register(instance: &mut Instance, software: &SoftwareVersion, now: Time) {
    let (service, targets) = ("s".parse().unwrap(), &instance.targets);
    let settled = instance.history.settles_at(targets, &service, software, now);
    instance.targets.push(EngineView { settled, ..target(software) });
}

impl Model {
    fn change(&mut self, software: &SoftwareVersion, present: bool, ms: u64) {
        self.changes.push((software.clone(), present, ms));
        let number = self.changes.len();
        for i in 0..self.instances.len() {
            let delay = self.rng.gen_range(0..DIRECTORY_DELAY_MS);
            self.instances[i].pending.push((ms + delay, number));
        }
    }

    /// Applies the changes that instances have learned by now.
    fn learn(&mut self, ms: u64) {
        let now = Time::from_millis(ms);
        for instance in &mut self.instances {
            let due = instance.pending.iter().filter(|(at, _)| *at <= ms).map(|(_, n)| *n).max();
            instance.pending.retain(|(at, _)| *at > ms);
            for (software, present, _) in
                &self.changes[instance.applied..due.unwrap_or(0).max(instance.applied)]
            {
                match present {
                    true => register(instance, software, now),
                    false => {
                        instance.targets.retain(|t| t.software.as_ref() != Some(software));
                        instance.history.record_gone(&target(software), now);
                    }
                }
            }
            instance.applied = instance.applied.max(due.unwrap_or(0));
        }
    }

    /// Replaces an instance by a new one, which reads the directory and the stored history.
    fn restart(&mut self, i: usize, ms: u64) {
        let now = Time::from_millis(ms);
        let mut fresh = Instance { applied: self.changes.len(), ..Instance::default() };
        for (software, present, at) in &self.changes {
            match present {
                true => register(&mut fresh, software, now),
                false => {
                    fresh.targets.retain(|t| t.software.as_ref() != Some(software));
                    let age = std::time::Duration::from_millis(ms - at);
                    fresh.history.record_past("s".parse().unwrap(), software.clone(), age, now);
                }
            }
        }
        fresh.history.set_complete();
        self.instances[i] = fresh;
    }

    /// Begins a stream at an instance, at one of the versions that it knows.
    fn begin(&mut self, i: usize, id: &str, ms: u64) -> Option<SoftwareVersion> {
        let now = Time::from_millis(ms);
        let targets = &self.instances[i].targets;
        let settled: Vec<&EngineView> = targets.iter().filter(|t| t.settled <= now).collect();
        let chosen = match settled.choose(&mut self.rng) {
            Some(target) => target.software.clone()?,
            None => targets.choose(&mut self.rng)?.software.clone()?,
        };
        let (key, service) = (StreamKey::of(id), "s".parse().unwrap());
        let origin = StreamOrigin { service, software: chosen.clone() };
        let instance = &mut self.instances[i];
        let several = instance.history.versions(&instance.targets, &origin.service, now).len() > 1;
        instance.origins.record(key, origin.clone(), now, now);
        if several {
            // Not all of the datagrams are lost at once.
            let kept = self.rng.gen_range(0..HOLDERS);
            for (n, holder) in self.holders(i, id).into_iter().take(HOLDERS).enumerate() {
                if n == kept || !self.rng.gen_bool(self.loss) {
                    self.instances[holder].origins.record(key, origin.clone(), now, now);
                }
            }
        }
        Some(chosen)
    }

    /// The other instances in the order in which they keep a stream's origin.
    fn holders(&self, i: usize, id: &str) -> Vec<usize> {
        let mut others: Vec<usize> = (0..self.instances.len()).filter(|n| *n != i).collect();
        others.sort_by_key(|n| StreamKey::of(&format!("{id} {n}")));
        others
    }

    fn answer(&self, i: usize, id: &str, now: Time) -> OriginAnswer {
        let (instance, service) = (&self.instances[i], "s".parse().unwrap());
        OriginAnswer {
            origin: instance.origins.find(StreamKey::of(id), now).cloned(),
            sole: instance.history.sole(&instance.targets, &service, now).cloned(),
        }
    }

    /// Returns the version at which an instance lets a stream go on, if it does.
    fn resume(&mut self, i: usize, id: &str, ms: u64) -> Option<SoftwareVersion> {
        let now = Time::from_millis(ms);
        let mut search = OriginSearch::new("s".parse().unwrap(), self.answer(i, id, now));
        let mut asked = self.holders(i, id);
        let others = asked.split_off(asked.len().min(HOLDERS + 1));
        for round in [asked, others] {
            if search.resume_at(|_| true).is_some() && search.found() {
                break;
            }
            for n in round {
                if !self.rng.gen_bool(self.loss) {
                    search.add(self.answer(n, id, now));
                }
            }
            if search.resume_at(|_| true).is_some() {
                break;
            }
        }
        search.resume_at(|_| true).map(|origin| origin.software)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn no_stream_goes_on_at_another_version(
        seed in any::<u64>(),
        count in 2..12_usize,
        loss in prop_oneof![Just(0.0), 0.0..0.3_f64],
        kills in prop_oneof![Just(0.0), 0.0..0.02_f64],
        releases in 0.0..0.002_f64,
    ) {
        let mut model = Model {
            instances: (0..count).map(|_| Instance::default()).collect(),
            changes: Vec::new(),
            loss,
            rng: StdRng::seed_from_u64(seed),
        };
        let version = |n: usize| -> SoftwareVersion { format!("v{n}").parse().unwrap() };
        model.change(&version(0), true, 0);
        (0..count).for_each(|i| model.restart(i, 0));
        let mut present = vec![0_usize];
        let mut streams: Vec<(u64, String, SoftwareVersion)> = Vec::new();
        let (mut latest, mut resumed, mut went_on) = (0, 0, 0);
        for ms in (0..40_000).step_by(20) {
            model.learn(ms);
            if model.rng.gen_bool(releases * 20.0) {
                latest += 1;
                present.push(latest);
                model.change(&version(latest), true, ms);
            }
            if present.len() > 1 && model.rng.gen_bool(releases * 20.0) {
                let gone = present.remove(model.rng.gen_range(0..present.len()));
                model.change(&version(gone), false, ms);
            }
            if model.rng.gen_bool(kills) {
                let i = model.rng.gen_range(0..count);
                model.restart(i, ms);
            }
            let i = model.rng.gen_range(0..count);
            let id = format!("q{ms}");
            if let Some(began) = model.begin(i, &id, ms) {
                streams.push((ms, id, began));
            }
            let n = model.rng.gen_range(0..streams.len().max(1));
            if n < streams.len() && model.rng.gen_bool(0.5) {
                let (begun, id, began) = streams.swap_remove(n);
                if ms - begun < PATIENCE_MS {
                    let i = model.rng.gen_range(0..count);
                    resumed += 1;
                    let found = model.resume(i, &id, ms);
                    // A target that is gone does not run it, whatever the instance knows.
                    let runs = |v: &SoftwareVersion| present.iter().any(|n| version(*n) == *v);
                    if let Some(version) = found.filter(runs) {
                        went_on += 1;
                        prop_assert_eq!(version, began, "{} resumed at {} ms", id, ms);
                    }
                }
            }
        }
        // Nothing stops a stream if no message, instance or version is lost.
        if loss == 0.0 && kills == 0.0 && present.len() > latest {
            prop_assert_eq!(went_on, resumed);
        }
    }
}
