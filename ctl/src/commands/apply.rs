use {
    crate::{
        args::Apply,
        queries::{read_good, show_diff, store},
        CONFLICT, FAULTY,
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

/// Attempts to find out what became of a write whose answer was lost.
const ATTEMPTS: u32 = 10;

/// How an edit ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// It is in the store, at this revision.
    Done(Revision),
    /// The store has another manifest than it was made from.
    Conflict(Revision),
}

/// Puts a manifest in force and prints how that ended.
///
/// # Errors
/// What kept the manifest from being read or written.
pub async fn apply(args: &Apply) -> Result<i32> {
    let Some(manifest) = read_good(&args.manifest)? else { return Ok(FAULTY) };
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
                show_diff(&record.manifest, &manifest);
            }
            Ok(CONFLICT)
        }
    }
}

/// Writes a manifest that was made from revision `base`.
///
/// A write whose answer was lost is settled by reading back its token.
///
/// # Errors
/// If the store can't be reached, or its state stays unknown.
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
    for _ in 0..ATTEMPTS {
        match store.swap(MANIFEST_KEY, value.clone(), base, None).await {
            Ok(revision) => return Ok(Applied::Done(revision)),
            Err(StoreError::Conflict(_)) => return settle(store, &token).await,
            // Writing the same once more settles which of the two it was.
            Err(StoreError::Unknown(_)) => {}
            Err(error) => return Err(error.into()),
        }
    }
    bail!("the store gives no answer: the manifest may have been written; look with `get`")
}

/// After a conflict: whether it is one's own write that stands there, or stood there before
/// others' edits.
async fn settle(store: &dyn ConfigStore, token: &WriterToken) -> Result<Applied> {
    let Some((revision, record)) = read_manifest(store).await? else {
        return Ok(Applied::Conflict(Revision(0)));
    };
    let own = record.recent.iter().position(|e| e.writer == *token);
    Ok(match own {
        None => Applied::Conflict(revision),
        // The next edit's base is the revision of one's own.
        Some(i) => Applied::Done(record.recent.get(i + 1).map_or(revision, |next| next.base)),
    })
}
