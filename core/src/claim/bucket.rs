use {
    super::{Claim, ClaimKey, ClaimStage, StoredAnswer, WallTime},
    crate::{
        ids::{Fingerprint, Millis, WriterToken},
        order::Holder,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Claims that one bucket holds at most; with the largest answers they fit a 1 MB store value.
pub const MAX_CLAIMS: usize = 220;

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
pub enum Verdict {
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
pub enum Edit {
    /// Ask for a claim.
    Claim {
        /// Hash of the request's body.
        body: Fingerprint,
        /// Who would run it.
        by: Holder,
    },
    /// Record how a run ended.
    End {
        /// Who ran it.
        by: Holder,
        /// How it ended.
        stage: ClaimStage,
    },
    /// Give a claim back, because the request was certainly not run.
    Release {
        /// Who held it.
        by: Holder,
    },
}

impl Bucket {
    /// A bucket without claims.
    pub fn empty(writer: WriterToken) -> Self {
        Self {
            writer,
            claims: BTreeMap::new(),
        }
    }

    /// Applies one change and tells what became of it.
    ///
    /// Changes that don't fit what is recorded leave it as it is.
    pub fn apply(&mut self, key: ClaimKey, edit: &Edit, at: WallTime) -> Verdict {
        match edit {
            Edit::Claim { body, by } => self.claim(key, *body, by, at),
            Edit::End { by, stage } => {
                let mine = self.claims.get_mut(&key).filter(|c| c.by == *by);
                if let Some(claim) = mine {
                    claim.stage = stage.clone();
                    claim.at = at;
                }
                Verdict::Granted
            }
            Edit::Release { by } => {
                let open = |c: &Claim| c.by == *by && c.stage == ClaimStage::Claimed;
                if self.claims.get(&key).is_some_and(open) {
                    self.claims.remove(&key);
                }
                Verdict::Granted
            }
        }
    }

    fn claim(&mut self, key: ClaimKey, body: Fingerprint, by: &Holder, at: WallTime) -> Verdict {
        if let Some(claim) = self.claims.get(&key) {
            if claim.body != body {
                return Verdict::KeyReused;
            }
            return match &claim.stage {
                ClaimStage::Claimed => Verdict::Taken(claim.by.clone()),
                ClaimStage::Answered(answer) => Verdict::Answered(answer.clone()),
                ClaimStage::Unknown => Verdict::Unknown,
            };
        }
        if self.claims.len() >= MAX_CLAIMS {
            return Verdict::Full;
        }
        let claim = Claim {
            body,
            by: by.clone(),
            at,
            stage: ClaimStage::Claimed,
        };
        self.claims.insert(key, claim);
        Verdict::Granted
    }

    /// Drops ended claims last written over `keep` before `at`. Open ones stay: they may still run.
    pub fn prune(&mut self, at: WallTime, keep: Millis) {
        let old = |c: &Claim| c.stage != ClaimStage::Claimed && c.at + keep < at;
        self.claims.retain(|_, c| !old(c));
    }
}
