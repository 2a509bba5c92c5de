use {
    crate::{
        args::Apply,
        queries::{print_diff, read_valid_manifest, store},
        CONFLICT_EXIT_CODE, INVALID_EXIT_CODE,
    },
    anyhow::{bail, Result},
    lentil_core::{
        ids::{Revision, WriterToken},
        manifest::{Manifest, ManifestRecord},
    },
    lentil_node::{
        app::random_id,
        follow::{read_manifest, MANIFEST_KEY},
        ports::{ConfigStore, StoreError},
    },
};

/// Limit on write attempts while their outcome is unknown.
const MAX_ATTEMPTS: u32 = 10;

/// Outcome of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The manifest was written at this revision.
    Done(Revision),
    /// The store has a manifest, at this revision, other than the one that the edit is based on.
    Conflict(Revision),
}

/// Writes a manifest to the store and prints the outcome; on a conflict also the differences.
///
/// # Errors
/// If the file cannot be read, or the store cannot be read or written.
pub async fn apply(args: &Apply) -> Result<i32> {
    let Some(manifest) = read_valid_manifest(&args.manifest)? else { return Ok(INVALID_EXIT_CODE) };
    let store = store(args.store);
    match write(&store, args.base, manifest.clone()).await? {
        Applied::Done(revision) => {
            println!("in the store at revision {revision}");
            Ok(0)
        }
        Applied::Conflict(revision) => {
            eprintln!("not written: the store is at revision {revision}, not {}", args.base);
            eprintln!("changes from the manifest there to yours:");
            if let Some((_, record)) = read_manifest(&store).await? {
                print_diff(&record.manifest, &manifest);
            }
            Ok(CONFLICT_EXIT_CODE)
        }
    }
}

/// Writes a manifest that is based on revision `base`.
///
/// Each edit carries a random token. If the response to a write is lost, the token in the store
/// shows whether the write took effect.
///
/// # Errors
/// If the store cannot be reached, or the outcome of the write stays unknown.
pub async fn write(store: &dyn ConfigStore, base: Revision, manifest: Manifest) -> Result<Applied> {
    let found = read_manifest(store).await?;
    let at = found.as_ref().map_or(Revision(0), |(revision, _)| *revision);
    if at != base {
        return Ok(Applied::Conflict(at));
    }
    let old = found.map(|(_, record)| record);
    let token: WriterToken = random_id("op");
    let record = ManifestRecord::successor(old.as_ref(), base, manifest, token.clone());
    let value = serde_json::to_string(&record)?;
    for _ in 0..MAX_ATTEMPTS {
        match store.swap(MANIFEST_KEY, value.clone(), base, None).await {
            Ok(revision) => return Ok(Applied::Done(revision)),
            Err(StoreError::Conflict(_)) => return resolve_conflict(store, &token).await,
            // The same write is repeated: it succeeds, or a conflict shows that the store has
            // changed, perhaps by the first attempt.
            Err(StoreError::Unknown(_)) => {}
            Err(error) => return Err(error.into()),
        }
    }
    bail!(
        "the store did not respond: the manifest may have been written; check with `lentilctl get`"
    )
}

/// Determines after a conflict whether the edit with this token took effect: its manifest may be
/// the current one, or an earlier one that later edits are based on.
async fn resolve_conflict(store: &dyn ConfigStore, token: &WriterToken) -> Result<Applied> {
    let Some((revision, record)) = read_manifest(store).await? else {
        return Ok(Applied::Conflict(Revision(0)));
    };
    let position = record.recent.iter().position(|e| e.writer == *token);
    Ok(match position {
        None => Applied::Conflict(revision),
        // The base of the next edit is the revision of this one.
        Some(i) => Applied::Done(record.recent.get(i + 1).map_or(revision, |next| next.base)),
    })
}
