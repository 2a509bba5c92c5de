use {
    super::DecayingUse,
    crate::{clock::Time, ids::WorkspaceId},
    std::collections::HashMap,
};

/// Use below which a workspace no longer counts, in engine seconds.
const MIN_TRACKED_USE_S: f64 = 1e-4;
/// Number of workspaces above which those with little use are removed.
pub(super) const MAX_TRACKED_WORKSPACES: usize = 1_024;
/// Use that is tolerated, as a factor of the fair share.
const OVER_USE_FACTOR: f64 = 1.5;

/// Use of the engines by one workspace, with its share.
#[derive(Debug, Clone, Copy)]
struct SharedUse {
    used: DecayingUse,
    share: f64,
}

/// Recent use of the engines by each workspace, in engine seconds that decay exponentially.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceUsage {
    uses: HashMap<WorkspaceId, SharedUse>,
}

impl WorkspaceUsage {
    /// Adds the `cost` of an admitted request, in engine seconds, to the use of a workspace.
    pub fn record_use(&mut self, workspace: &WorkspaceId, share: f64, cost: f64, now: Time) {
        if self.uses.len() > MAX_TRACKED_WORKSPACES {
            self.uses.retain(|_, u| u.used.at(now) > MIN_TRACKED_USE_S);
        }
        let recorded = self.uses.entry(workspace.clone());
        let recorded = recorded.or_insert(SharedUse { used: DecayingUse::default(), share });
        recorded.used.add(cost, now);
        recorded.share = share;
    }

    /// Returns whether a workspace has used more than its share of the total use of all workspaces,
    /// with some tolerance.
    pub fn is_over_share(&self, workspace: &WorkspaceId, share: f64, now: Time) -> bool {
        let own = self.uses.get(workspace).map_or(0.0, |u| u.used.at(now));
        let (mut cost, mut shares) = (own, share);
        for (id, other) in &self.uses {
            let used = other.used.at(now);
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
