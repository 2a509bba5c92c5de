use {
    crate::{clock::Time, ids::WorkspaceId},
    std::collections::HashMap,
};

const USE_HALF_LIFE_S: f64 = 10.0; // seconds
/// Use below which a workspace is forgotten, in engine seconds.
const MIN_TRACKED_USE_S: f64 = 1e-4;
/// Workspaces are forgotten when there are more than this many.
const MAX_TRACKED_WORKSPACES: usize = 1_024;
/// Over-use that is let pass, as a factor of the fair share.
const OVER_USE_FACTOR: f64 = 1.5;

#[derive(Debug, Clone, Copy)]
struct WorkspaceUse {
    cost: f64,
    share: f64,
    at: Time,
}

impl WorkspaceUse {
    fn now(&self, now: Time) -> f64 {
        self.cost * (-(now - self.at).as_secs_f64() / USE_HALF_LIFE_S).exp2()
    }
}

/// Recent use of the engines by each workspace, in engine seconds that fade with time.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    uses: HashMap<WorkspaceId, WorkspaceUse>,
}

impl Shares {
    /// Notes work that was taken on for a workspace.
    pub fn record_use(&mut self, workspace: &WorkspaceId, share: f64, cost: f64, now: Time) {
        if self.uses.len() > MAX_TRACKED_WORKSPACES {
            self.uses.retain(|_, u| u.now(now) > MIN_TRACKED_USE_S);
        }
        let seen = self.uses.entry(workspace.clone()).or_insert(WorkspaceUse {
            cost: 0.0,
            share,
            at: now,
        });
        *seen = WorkspaceUse { cost: seen.now(now) + cost, share, at: now };
    }

    /// Whether a workspace has used more than its share of what all workspaces used.
    pub fn is_over_share(&self, workspace: &WorkspaceId, share: f64, now: Time) -> bool {
        let mine = self.uses.get(workspace).map_or(0.0, |u| u.now(now));
        let (mut cost, mut shares) = (mine, share);
        for (id, other) in &self.uses {
            let used = other.now(now);
            // Only those that use the engines compete for them.
            if id != workspace && used > MIN_TRACKED_USE_S {
                cost += used;
                shares += other.share;
            }
        }
        shares > share && mine > OVER_USE_FACTOR * cost * share / shares
    }

    /// Number of workspaces kept.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Whether no workspace is kept.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }
}
