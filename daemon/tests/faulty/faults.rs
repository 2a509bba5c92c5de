use {
    super::{process::Fleet, proxy::Mode},
    crate::platform::Behavior,
    nix::sys::signal::Signal,
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::time::Duration,
    tokio::time::{sleep, Instant},
};

/// One fault from outside.
#[derive(Debug, Clone)]
enum Fault {
    Link(usize, Mode),
    Reset(usize),
    StoreLink(usize, Mode),
    StoreDown,
    Compact,
    Target(usize, Vec<Behavior>),
    Drain(usize),
    Configure,
    Pause(usize),
    Term(usize),
    Kill(usize),
    Hup(usize),
}

/// Faults with the times at which they come and how long they last.
pub struct Plan {
    faults: Vec<(Duration, Duration, Fault)>,
}

impl Plan {
    /// The plan of a seed: series and overlaps alike.
    pub fn new(seed: u64, length: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.gen_range(5..14);
        let mut faults: Vec<_> = (0..count)
            .map(|_| {
                let at = length.mul_f64(rng.gen());
                let lasts = Duration::from_millis(rng.gen_range(200..2_500));
                (at, lasts, fault(&mut rng))
            })
            .collect();
        faults.sort_by_key(|(at, ..)| *at);
        Self { faults }
    }

    /// Plays the faults; a line for each.
    pub async fn play(self, fleet: &mut Fleet) -> Vec<String> {
        let begun = Instant::now();
        let mut told = Vec::new();
        let mut ends: Vec<(Duration, Fault)> = Vec::new();
        for (at, lasts, fault) in self.faults {
            while let Some(i) = ends.iter().position(|(end, _)| *end <= at) {
                let (end, old) = ends.swap_remove(i);
                sleep((begun + end).saturating_duration_since(Instant::now())).await;
                undo(fleet, &old);
            }
            sleep((begun + at).saturating_duration_since(Instant::now())).await;
            told.push(format!("at_ms={} for_ms={} {fault:?}", at.as_millis(), lasts.as_millis()));
            apply(fleet, &fault).await;
            ends.push((at + lasts, fault));
        }
        ends.sort_by_key(|(end, _)| *end);
        for (end, old) in ends {
            sleep((begun + end).saturating_duration_since(Instant::now())).await;
            undo(fleet, &old);
        }
        told
    }
}

fn fault(rng: &mut StdRng) -> Fault {
    let link = [
        Mode::Delay(Duration::from_millis(rng.gen_range(5..200))),
        Mode::Forth,
        Mode::Back,
        Mode::Silent,
    ][rng.gen_range(0..4)];
    let (target, instance) = (rng.gen_range(0..4), rng.gen_range(0..3));
    match rng.gen_range(0..12) {
        0 => Fault::Link(target, link),
        1 => Fault::Reset(target),
        2 => Fault::StoreLink(instance, link),
        3 => Fault::StoreDown,
        4 => Fault::Compact,
        5 | 6 => Fault::Target(target, (0..rng.gen_range(1..8)).map(|_| act(rng)).collect()),
        7 => Fault::Drain(target),
        8 => Fault::Configure,
        9 => Fault::Pause(instance),
        10 => Fault::Term(instance),
        _ if rng.gen() => Fault::Kill(instance),
        _ => Fault::Hup(instance),
    }
}

fn act(rng: &mut StdRng) -> Behavior {
    let acts = [
        Behavior::Status(500),
        Behavior::Refuse,
        Behavior::Misdirect,
        Behavior::CloseUnanswered,
        Behavior::CutAfter(rng.gen_range(0..5)),
        Behavior::Unsealed,
        Behavior::WrongId,
        Behavior::RespondTwice,
        Behavior::Hang,
        Behavior::Delay(Duration::from_millis(rng.gen_range(10..900))),
    ];
    acts[rng.gen_range(0..acts.len())].clone()
}

async fn apply(fleet: &mut Fleet, fault: &Fault) {
    match fault {
        Fault::Link(i, mode) => fleet.links[*i].set(*mode),
        Fault::Reset(i) => fleet.links[*i].reset(),
        Fault::StoreLink(i, mode) => fleet.instances[*i].store.set(*mode),
        Fault::StoreDown => fleet.store.set_down(true),
        Fault::Compact => fleet.store.compact(),
        Fault::Target(i, acts) => {
            fleet.targets[*i].queue(acts.clone());
        }
        Fault::Drain(i) => {
            fleet.add_target().await;
            fleet.enter(*i, "draining");
        }
        Fault::Configure => fleet.configure(),
        Fault::Pause(i) => fleet.instances[*i].signal(Signal::SIGSTOP),
        Fault::Term(i) => fleet.instances[*i].restart(Signal::SIGTERM).await,
        Fault::Kill(i) => fleet.instances[*i].restart(Signal::SIGKILL).await,
        Fault::Hup(i) => fleet.instances[*i].signal(Signal::SIGHUP),
    }
}

fn undo(fleet: &mut Fleet, fault: &Fault) {
    match fault {
        Fault::Link(i, _) => {
            fleet.links[*i].set(Mode::Pass);
            fleet.links[*i].reset();
        }
        Fault::StoreLink(i, _) => {
            fleet.instances[*i].store.set(Mode::Pass);
            fleet.instances[*i].store.reset();
        }
        Fault::StoreDown => fleet.store.set_down(false),
        Fault::Pause(i) => fleet.instances[*i].signal(Signal::SIGCONT),
        _ => {}
    }
}
