use {
    super::{Claim, ClaimKey, ClaimStage, StoredAnswer, WallTime},
    crate::{
        ids::{Fingerprint, Millis, RunId, WriterToken},
        order::Holder,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Most claims in one bucket; with the largest answers they fit a store value of 1 MB.
pub const MAX_BUCKET_CLAIMS: usize = 220;

/// Claims kept in one value of the key-value store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bucket {
    /// Token of the write attempt that stored this value; unique for each attempt.
    pub writer: WriterToken,
    /// Claims by hashed idempotency key.
    pub claims: BTreeMap<ClaimKey, Claim>,
}

/// Result of applying a [`ClaimEdit`] to a [`Bucket`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim is granted to the run, effective once the bucket is written. Also the result of
    /// every edit that is not a claim.
    Granted,
    /// Another run has the claim and may be running; holds the instance that runs it.
    Taken(Holder),
    /// The request was run before, with this answer.
    Answered(StoredAnswer),
    /// The request may have been run before.
    Unknown,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The bucket has [`MAX_BUCKET_CLAIMS`] claims.
    Full,
}

/// One change to a bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEdit {
    /// Requests a claim.
    Claim {
        /// Hash of the request's body.
        body: Fingerprint,
        /// Instance that is to run the request.
        by: Holder,
        /// Run that gets the claim; requesting it again for the same run is idempotent.
        run: RunId,
    },
    /// Records how a run ended.
    End {
        /// Run that ended.
        run: RunId,
        /// Stage to record.
        stage: ClaimStage,
    },
    /// Removes a claim because its request was certainly not run.
    Release {
        /// Run that had the claim.
        run: RunId,
    },
}

impl Bucket {
    /// Creates a bucket without claims.
    pub fn empty(writer: WriterToken) -> Self {
        Self { writer, claims: BTreeMap::new() }
    }

    /// Applies one edit and returns its result.
    ///
    /// An edit that names another run than the recorded claim leaves the claim unchanged.
    pub fn apply(&mut self, key: ClaimKey, edit: &ClaimEdit, at: WallTime) -> ClaimResult {
        match edit {
            ClaimEdit::Claim { body, by, run } => self.claim(key, *body, by, run, at),
            ClaimEdit::End { run, stage } => {
                let own = self.claims.get_mut(&key).filter(|c| c.run == *run);
                if let Some(claim) = own {
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

    /// Removes ended claims last written more than `keep` before `at`. Claims in stage `Claimed`
    /// stay, since their requests may still be running.
    pub fn prune(&mut self, at: WallTime, keep: Millis) {
        let old = |c: &Claim| c.stage != ClaimStage::Claimed && c.at + keep < at;
        self.claims.retain(|_, c| !old(c));
    }
}
