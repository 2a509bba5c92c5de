use {
    super::{Claim, ClaimKey, ClaimStage, StoredAnswer, WallTime},
    crate::{
        ids::{Fingerprint, Millis, RunId, WriterToken},
        order::Holder,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Claims that one bucket holds at most; with the largest answers they fit a 1 MB store value.
pub const MAX_BUCKET_CLAIMS: usize = 220;

/// Claims kept in one store value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bucket {
    /// Who wrote this value, unique for each attempt.
    pub writer: WriterToken,
    /// The claims.
    pub claims: BTreeMap<ClaimKey, Claim>,
}

/// What becomes of a request for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// It is this process's to run, once the bucket is written.
    Granted,
    /// Another run has it.
    Taken(Holder),
    /// It ran before.
    Answered(StoredAnswer),
    /// It may have run before.
    Unknown,
    /// The key was used before with another body.
    KeyReused,
    /// The bucket has no room.
    Full,
}

/// One change to a bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEdit {
    /// Ask for a claim.
    Claim {
        /// Hash of the request's body.
        body: Fingerprint,
        /// Who would run it.
        by: Holder,
        /// The run that would have it; asking twice for the same run is as asking once.
        run: RunId,
    },
    /// Record how a run ended.
    End {
        /// The run that has ended.
        run: RunId,
        /// How it ended.
        stage: ClaimStage,
    },
    /// Give a claim back, because the request was certainly not run.
    Release {
        /// The run that held it.
        run: RunId,
    },
}

impl Bucket {
    /// A bucket without claims.
    pub fn empty(writer: WriterToken) -> Self {
        Self { writer, claims: BTreeMap::new() }
    }

    /// Applies one change and tells what became of it.
    ///
    /// Changes that don't fit what is recorded leave it as it is.
    pub fn apply(&mut self, key: ClaimKey, edit: &ClaimEdit, at: WallTime) -> ClaimResult {
        match edit {
            ClaimEdit::Claim { body, by, run } => self.claim(key, *body, by, run, at),
            ClaimEdit::End { run, stage } => {
                let mine = self.claims.get_mut(&key).filter(|c| c.run == *run);
                if let Some(claim) = mine {
                    claim.stage = stage.clone();
                    claim.at = at;
                }
                ClaimResult::Granted
            }
            ClaimEdit::Release { run } => {
                let open = |c: &Claim| c.run == *run && c.stage == ClaimStage::Claimed;
                if self.claims.get(&key).is_some_and(open) {
                    self.claims.remove(&key);
                }
                ClaimResult::Granted
            }
        }
    }

    fn claim(
        &mut self,
        key: ClaimKey,
        body: Fingerprint,
        by: &Holder,
        run: &RunId,
        at: WallTime,
    ) -> ClaimResult {
        if let Some(claim) = self.claims.get(&key) {
            if claim.body != body {
                return ClaimResult::KeyReused;
            }
            return match &claim.stage {
                // An earlier attempt to write the same claim took effect.
                ClaimStage::Claimed if claim.run == *run => ClaimResult::Granted,
                ClaimStage::Claimed => ClaimResult::Taken(claim.by.clone()),
                ClaimStage::Answered(answer) => ClaimResult::Answered(answer.clone()),
                ClaimStage::Unknown => ClaimResult::Unknown,
            };
        }
        if self.claims.len() >= MAX_BUCKET_CLAIMS {
            return ClaimResult::Full;
        }
        let claim =
            Claim { body, by: by.clone(), run: run.clone(), at, stage: ClaimStage::Claimed };
        self.claims.insert(key, claim);
        ClaimResult::Granted
    }

    /// Drops ended claims last written over `keep` before `at`. Open ones stay: they may still run.
    pub fn prune(&mut self, at: WallTime, keep: Millis) {
        let old = |c: &Claim| c.stage != ClaimStage::Claimed && c.at + keep < at;
        self.claims.retain(|_, c| !old(c));
    }
}
