use {
    crate::{clock::Time, ids::WorkspaceId},
    std::collections::HashMap,
};

const USE_HALF_LIFE_S: f64 = 10.0;
/// Use below which a workspace no longer counts, in engine seconds.
const MIN_TRACKED_USE_S: f64 = 1e-4;
/// Number of workspaces above which those with little use are removed.
const MAX_TRACKED_WORKSPACES: usize = 1_024;
/// Use that is tolerated, as a factor of the fair share.
const OVER_USE_FACTOR: f64 = 1.5;

/// Use of the engines by one workspace as of `updated_at`, in engine seconds.
#[derive(Debug, Clone, Copy)]
struct DecayingUse {
    cost: f64,
    share: f64,
    updated_at: Time,
}

impl DecayingUse {
    /// Returns the use after its exponential decay until `now`.
    fn at(&self, now: Time) -> f64 {
        self.cost * (-(now - self.updated_at).as_secs_f64() / USE_HALF_LIFE_S).exp2()
    }
}

/// Recent use of the engines by each workspace, in engine seconds that decay exponentially.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceUsage {
    uses: HashMap<WorkspaceId, DecayingUse>,
}

impl WorkspaceUsage {
    /// Adds the `cost` of an admitted request, in engine seconds, to the use of a workspace.
    pub fn record_use(&mut self, workspace: &WorkspaceId, share: f64, cost: f64, now: Time) {
        if self.uses.len() > MAX_TRACKED_WORKSPACES {
            self.uses.retain(|_, u| u.at(now) > MIN_TRACKED_USE_S);
        }
        let recorded = self.uses.entry(workspace.clone()).or_insert(DecayingUse {
            cost: 0.0,
            share,
            updated_at: now,
        });
        *recorded = DecayingUse { cost: recorded.at(now) + cost, share, updated_at: now };
    }

    /// Returns whether a workspace has used more than its share of the total use of all workspaces,
    /// with some tolerance.
    pub fn is_over_share(&self, workspace: &WorkspaceId, share: f64, now: Time) -> bool {
        let own = self.uses.get(workspace).map_or(0.0, |u| u.at(now));
        let (mut cost, mut shares) = (own, share);
        for (id, other) in &self.uses {
            let used = other.at(now);
            // Only workspaces that use the engines compete for them.
            if id != workspace && used > MIN_TRACKED_USE_S {
                cost += used;
                shares += other.share;
            }
        }
        shares > share && own > OVER_USE_FACTOR * cost * share / shares
    }

    /// Returns the number of tracked workspaces.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Returns whether no workspace is tracked.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }
}
