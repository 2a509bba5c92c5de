use {
    super::fleet::{Fleet, Instance, Program, SOFTWARE},
    crate::platform::{Behavior, Mode},
    nix::sys::signal::Signal,
    rand::{rngs::StdRng, Rng, SeedableRng},
    std::time::Duration,
    tokio::time::{sleep, Instant},
};

/// A fault at a target, a connection, the store or an instance; each `usize` is an index in the
/// fleet.
#[derive(Debug, Clone)]
enum Fault {
    /// Mode of the proxy before a target.
    TargetLink(usize, Mode),
    /// Closes the connections to a target.
    ResetTarget(usize),
    /// Mode of the proxy between an instance and the store.
    StoreLink(usize, Mode),
    /// Cuts instances off from all targets, which the others still reach.
    CutOff {
        /// How many instances, beginning with this one.
        first: usize,
        count: usize,
        mode: Mode,
        /// Whether open connections end.
        reset: bool,
    },
    StoreDown,
    CompactStore,
    /// Behaviors of a target for its next requests.
    TargetBehaviors(usize, Vec<Behavior>),
    /// Adds a target and drains this one.
    DrainTarget(usize),
    /// Adds a target; this one says in its answers that it is leaving, while the store is away.
    LeaveUnlisted(usize),
    /// Writes the configuration under a newer version.
    RewriteConfig,
    /// Stops an instance with SIGSTOP until the end of the fault.
    Pause(usize),
    /// Restarts an instance with SIGTERM.
    Terminate(usize),
    /// Restarts an instance with SIGKILL.
    Kill(usize),
    /// Sends SIGHUP to an instance.
    Reload(usize),
    /// Kills all instances at once; meanwhile all targets leave that have this software.
    KillAll(Option<&'static str>),
    /// Replaces an instance by one of another build.
    Replace(usize, Program),
}

/// Sequence of faults, the same for each run of a seed.
pub struct FaultPlan {
    /// Start (from the start of the run), duration and fault, ordered by start.
    faults: Vec<(Duration, Duration, Fault)>,
}

impl FaultPlan {
    /// Generates the plan of a seed for a run of this length; faults may overlap.
    pub fn new(seed: u64, length: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.gen_range(5..14);
        let mut faults: Vec<_> = (0..count)
            .map(|_| {
                let at = length.mul_f64(rng.gen());
                let duration = Duration::from_millis(rng.gen_range(200..2_500));
                let fault = random_fault(&mut rng);
                // Cuts are longer than the time in which instances find them.
                let cuts = matches!(fault, Fault::CutOff { .. });
                (at, if cuts { duration * 2 } else { duration }, fault)
            })
            .collect();
        if rng.gen_bool(0.5) {
            let software = SOFTWARE[rng.gen_range(0..SOFTWARE.len())];
            let leaving = rng.gen::<bool>().then_some(software);
            faults.push((length.mul_f64(rng.gen()), Duration::ZERO, Fault::KillAll(leaving)));
        }
        faults.sort_by_key(|(at, ..)| *at);
        Self { faults }
    }

    /// Adds the replacement of all instances by the build under test, one after the other, and their
    /// replacement by the other build again, spread evenly over `length`.
    #[must_use]
    pub fn with_replacements(mut self, instances: usize, length: Duration) -> Self {
        let rounds = [Program::Own, Program::Other];
        let all = rounds.iter().flat_map(|program| (0..instances).map(move |i| (i, *program)));
        let step = length / (2 * instances) as u32;
        for (n, (i, program)) in (0..).zip(all) {
            self.faults.push((step * n, Duration::ZERO, Fault::Replace(i, program)));
        }
        self.faults.sort_by_key(|(at, ..)| *at);
        self
    }

    /// Returns whether instances forget what a target said of itself, or the link to it is harmed, so
    /// that it may get requests later than it should.
    pub fn disturbs(&self, target: usize) -> bool {
        use Fault::{CutOff, Kill, KillAll, Pause, Replace, TargetLink, Terminate};
        self.faults.iter().any(|(_, _, fault)| match fault {
            Kill(_) | KillAll(_) | Pause(_) | Replace(..) | Terminate(_) => true,
            TargetLink(i, _) => *i == target,
            CutOff { .. } => true,
            _ => false,
        })
    }

    /// Applies and ends the faults at their times; returns a line for each.
    pub async fn run(&self, fleet: &mut Fleet) -> Vec<String> {
        let started = Instant::now();
        let mut lines = Vec::new();
        let mut ends: Vec<(Duration, Fault)> = Vec::new();
        for (at, duration, fault) in self.faults.clone() {
            while let Some(i) = ends.iter().position(|(end, _)| *end <= at) {
                let (end, ended) = ends.swap_remove(i);
                sleep((started + end).saturating_duration_since(Instant::now())).await;
                end_fault(fleet, &ended);
            }
            sleep((started + at).saturating_duration_since(Instant::now())).await;
            lines.push(format!(
                "at_ms={} for_ms={} {fault:?}",
                at.as_millis(),
                duration.as_millis()
            ));
            begin_fault(fleet, &fault).await;
            ends.push((at + duration, fault));
        }
        ends.sort_by_key(|(end, _)| *end);
        for (end, ended) in ends {
            sleep((started + end).saturating_duration_since(Instant::now())).await;
            end_fault(fleet, &ended);
        }
        lines
    }
}

fn random_fault(rng: &mut StdRng) -> Fault {
    let link_mode = [
        Mode::Delay(Duration::from_millis(rng.gen_range(5..200))),
        Mode::DropToServer,
        Mode::DropToClient,
        Mode::DropAll,
    ][rng.gen_range(0..4)];
    let (target, instance) = (rng.gen_range(0..4), rng.gen_range(0..3));
    match rng.gen_range(0..16) {
        0 => Fault::TargetLink(target, link_mode),
        1 => Fault::ResetTarget(target),
        2 => Fault::StoreLink(instance, link_mode),
        3 => Fault::StoreDown,
        4 => Fault::CompactStore,
        5 | 6 => Fault::TargetBehaviors(
            target,
            (0..rng.gen_range(1..8)).map(|_| random_behavior(rng)).collect(),
        ),
        7 => Fault::DrainTarget(target),
        8 => Fault::RewriteConfig,
        9 => Fault::Pause(instance),
        10 => Fault::Terminate(instance),
        11 => Fault::LeaveUnlisted(target),
        12..=14 => Fault::CutOff {
            first: instance,
            count: rng.gen_range(1..3),
            mode: [Mode::RefuseNew, Mode::RefuseNew, link_mode][rng.gen_range(0..3)],
            reset: rng.gen(),
        },
        _ if rng.gen() => Fault::Kill(instance),
        _ => Fault::Reload(instance),
    }
}

fn random_behavior(rng: &mut StdRng) -> Behavior {
    let behaviors = [
        Behavior::Status(500),
        Behavior::Refuse,
        Behavior::Misdirect,
        Behavior::CloseUnanswered,
        Behavior::CutAfter(rng.gen_range(0..5)),
        Behavior::Unsealed,
        Behavior::WrongId,
        Behavior::RespondTwice,
        Behavior::Hang,
        Behavior::RefuseAfter(Duration::ZERO, ["0.4", "1.5", "soon"][rng.gen_range(0..3)]),
        Behavior::Endless,
        Behavior::Delay(Duration::from_millis(rng.gen_range(10..900))),
    ];
    behaviors[rng.gen_range(0..behaviors.len())].clone()
}

async fn begin_fault(fleet: &mut Fleet, fault: &Fault) {
    match fault {
        Fault::TargetLink(i, mode) => fleet.links[*i].set_mode(*mode),
        Fault::ResetTarget(i) => fleet.links[*i].reset_connections(),
        Fault::StoreLink(i, mode) => fleet.instances[*i].store_link.set_mode(*mode),
        Fault::CutOff { first, count, mode, reset } => {
            let instances = fleet.instances.iter().cycle().skip(*first).take(*count);
            instances.for_each(|instance| instance.cut_off(*mode, *reset));
        }
        Fault::StoreDown => fleet.store.set_down(true),
        Fault::CompactStore => fleet.store.compact(),
        Fault::TargetBehaviors(i, behaviors) => {
            fleet.targets[*i].queue(behaviors.clone());
        }
        Fault::DrainTarget(i) => {
            fleet.add_target().await;
            fleet.register(*i, "draining");
        }
        Fault::LeaveUnlisted(i) => {
            fleet.add_target().await;
            fleet.store.set_down(true);
            fleet.targets[*i].announce_leaving(Some("1"));
        }
        Fault::RewriteConfig => fleet.rewrite_config(),
        Fault::Pause(i) => fleet.instances[*i].signal(Signal::SIGSTOP),
        Fault::Terminate(i) => fleet.instances[*i].restart(Signal::SIGTERM).await,
        Fault::Kill(i) => fleet.instances[*i].restart(Signal::SIGKILL).await,
        Fault::KillAll(leaving) => fleet.kill_all(*leaving).await,
        Fault::Reload(i) => fleet.instances[*i].signal(Signal::SIGHUP),
        Fault::Replace(i, program) => fleet.instances[*i].replace(*program).await,
    }
}

/// Ends a fault. Faults that happen at one moment, such as a restart, have nothing to end.
fn end_fault(fleet: &mut Fleet, fault: &Fault) {
    match fault {
        Fault::TargetLink(i, _) => {
            fleet.links[*i].set_mode(Mode::Pass);
            fleet.links[*i].reset_connections();
        }
        Fault::StoreLink(i, _) => {
            fleet.instances[*i].store_link.set_mode(Mode::Pass);
            fleet.instances[*i].store_link.reset_connections();
        }
        Fault::CutOff { first, count, .. } => {
            let instances = fleet.instances.iter().cycle().skip(*first).take(*count);
            instances.for_each(Instance::restore_targets);
        }
        Fault::StoreDown => fleet.store.set_down(false),
        Fault::LeaveUnlisted(i) => {
            fleet.store.set_down(false);
            fleet.register(*i, "draining");
        }
        Fault::Pause(i) => fleet.instances[*i].signal(Signal::SIGCONT),
        _ => {}
    }
}
