//! Fair shares of workspaces over all instances, in virtual time: instances that admit requests to
//! targets they share, and that report their use to each other.

use {
    lentil_core::{
        admit::{FleetShares, ShareRequest},
        clock::Time,
        error::Fault,
        ids::{ModelId, Rank, WorkspaceId},
    },
    rand::{rngs::SmallRng, seq::SliceRandom, Rng, SeedableRng},
    std::time::Duration,
};

/// Instances of the deployments that have workspaces.
const INSTANCES: usize = 75;
/// Workspaces that send requests at the same rate.
const SMALL: usize = 19;
/// Requests that the targets serve in a second.
const CAPACITY: f64 = 400.0;
const FIRST: Duration = Duration::from_millis(800);
/// Queueing time, as a share of `FIRST`, from which all requests are refused, as in `join_queue`.
const MAX_QUEUE_SHARE: f64 = 0.7;
/// Instances to which each one reports in a second.
const REPORTS_PER_S: usize = 2;
/// Time before requests are counted.
const WARM_UP_S: f64 = 20.0;

/// Load on the fleet; workspace 0 is the large one.
struct Load {
    /// Requests a second of the large workspace, and the instances that it sends them to.
    large: (f64, std::ops::Range<usize>),
    /// Requests a second of each small workspace.
    small: f64,
    /// When the last small workspace begins.
    joins_at: f64,
    /// Share of the reports that are lost.
    lost: f64,
    /// Rank of the large workspace's requests; that of the others is 1.
    rank: Rank,
    /// Whether shares are enforced.
    enforced: bool,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            large: (200.0, 0..2),
            small: 20.0,
            joins_at: 0.0,
            lost: 0.0,
            rank: Rank::new(1),
            enforced: true,
        }
    }
}

/// Requests of each workspace that arrived and that were served.
struct Outcome {
    offered: Vec<f64>,
    served: Vec<f64>,
    refusals: Vec<Fault>,
}

impl Outcome {
    fn share(&self, workspace: usize) -> f64 {
        self.served[workspace] / self.offered[workspace].max(1.0)
    }

    /// Share of all requests that were served.
    fn mean(&self) -> f64 {
        self.served.iter().sum::<f64>() / self.offered.iter().sum::<f64>()
    }

    /// Smallest share of one workspace relative to that of all.
    fn worst(&self) -> f64 {
        let shares = (0..self.offered.len()).filter(|w| self.offered[*w] > 50.0);
        shares.map(|w| self.share(w) / self.mean()).fold(f64::MAX, f64::min)
    }

    /// Smallest share of a small workspace.
    fn worst_small(&self) -> f64 {
        (1..self.offered.len()).map(|w| self.share(w)).fold(f64::MAX, f64::min)
    }
}

/// Plays `seconds` of the load in steps of 10 ms.
fn play(load: &Load, seconds: f64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(7);
    let service: ModelId = "s".parse().unwrap();
    let names: Vec<WorkspaceId> = (0..=SMALL).map(|w| format!("w{w}").parse().unwrap()).collect();
    let mut shares: Vec<FleetShares> = vec![FleetShares::default(); INSTANCES];
    shares.iter_mut().for_each(|s| s.set_instances(INSTANCES as u32));
    let mut outcome = Outcome {
        offered: vec![0.0; names.len()],
        served: vec![0.0; names.len()],
        refusals: Vec::new(),
    };
    let mut queue = 0.0_f64;
    let step = 0.01;
    let mut next_report = 0;
    for tick in 0..(seconds / step) as u64 {
        let now_s = tick as f64 * step;
        let now = Time::from_secs_f64(1.0 + now_s);
        queue = (queue - CAPACITY * step).max(0.0);
        // Requests of all workspaces arrive in a random order.
        let mut order: Vec<usize> = (0..names.len()).collect();
        order.shuffle(&mut rng);
        for workspace in order {
            let name = &names[workspace];
            let large = workspace == 0;
            let (rate, instances) =
                if large { load.large.clone() } else { (load.small, 0..INSTANCES) };
            if workspace == SMALL && now_s < load.joins_at {
                continue;
            }
            let expected = rate * step;
            let count = expected as usize + usize::from(rng.gen_bool(expected.fract()));
            for _ in 0..count {
                let shares = &mut shares[rng.gen_range(instances.clone())];
                let rank = if large { load.rank } else { Rank::new(1) };
                let wait = Duration::from_secs_f64(queue / CAPACITY);
                let request =
                    ShareRequest { workspace: name, service: &service, rank, first: FIRST, wait };
                let counts = now_s >= WARM_UP_S.max(load.joins_at);
                outcome.offered[workspace] += f64::from(u8::from(counts));
                match shares.admit(&request, now) {
                    Err(fault) if load.enforced => {
                        outcome.refusals.push(fault);
                        continue;
                    }
                    _ => {}
                }
                if wait > FIRST.mul_f64(MAX_QUEUE_SHARE) {
                    continue;
                }
                shares.record_admission(&request, 1.0 / CAPACITY, now);
                queue += 1.0;
                outcome.served[workspace] += f64::from(u8::from(counts));
            }
        }
        if tick % 100 == 0 {
            for from in 0..INSTANCES {
                let report = shares[from].report(now);
                for n in 0..REPORTS_PER_S {
                    let to = (from + 1 + (next_report + n) % (INSTANCES - 1)) % INSTANCES;
                    if !rng.gen_bool(load.lost) {
                        let id = format!("i{from}").parse().unwrap();
                        shares[to].record_report(id, report.clone(), now);
                    }
                }
            }
            next_report += REPORTS_PER_S;
        }
    }
    outcome
}

/// Checks the bound of the page, the goal, and that small workspaces are served first.
fn check(name: &str, load: &Load) {
    let outcome = play(load, 60.0);
    let off = play(&Load { enforced: false, ..Load { large: load.large.clone(), ..*load } }, 60.0);
    println!(
        "{name}: large {:.3}, worst small {:.3}, all {:.3}, worst of all {:.3}; off: large {:.3}, \
         worst small {:.3}",
        outcome.share(0),
        outcome.worst_small(),
        outcome.mean(),
        outcome.worst(),
        off.share(0),
        off.worst_small(),
    );
    assert!(outcome.worst() >= 0.25, "{name}: a workspace starves");
    assert!(outcome.worst_small() >= outcome.share(0), "{name}: the large one is served first");
    assert!(outcome.worst_small() > off.worst_small(), "{name}: shares have no effect");
    let served: f64 = outcome.served.iter().sum();
    let served_off: f64 = off.served.iter().sum();
    assert!(served >= 0.97 * served_off, "{name}: capacity is unused");
    for fault in &outcome.refusals {
        let retry = fault.retry.unwrap();
        assert!(retry >= Duration::from_millis(100) && retry <= Duration::from_secs(5));
    }
}

#[test]
fn ten_times_its_share_at_two_instances_is_refused_first() {
    check("two instances", &Load::default());
}

#[test]
fn ten_times_its_share_through_one_zone_is_refused_first() {
    check("one zone", &Load { large: (200.0, 0..25), ..Load::default() });
}

#[test]
fn new_workspace_is_served_at_once() {
    check("new workspace", &Load { joins_at: 40.0, ..Load::default() });
}

#[test]
fn half_of_the_reports_lost_changes_little() {
    check("half lost", &Load { lost: 0.5, large: (200.0, 0..25), ..Load::default() });
}

#[test]
fn unused_share_is_lent() {
    let load = Load { large: (200.0, 0..2), small: 8.0, ..Load::default() };
    let outcome = play(&load, 40.0);
    assert!(outcome.refusals.is_empty() && outcome.mean() > 0.999, "{}", outcome.mean());
}

#[test]
fn more_urgent_requests_are_not_refused_for_less_urgent_ones() {
    let load = Load { rank: Rank::new(0), large: (200.0, 0..25), ..Load::default() };
    let outcome = play(&load, 40.0);
    // The large workspace is the more urgent one; only the others' requests may be refused for use.
    assert!(!outcome.refusals.iter().any(|f| f.text.contains("\"w0\"")));
}
