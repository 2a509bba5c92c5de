use {
    crate::{
        args::{Check, Diff, Get, History, Key},
        INVALID_EXIT_CODE,
    },
    anyhow::{Context, Result},
    lentil_core::manifest::{self, KeyHash, Manifest},
    lentil_node::{adapters::HttpStore, follow::read_manifest},
    std::{fs, io, net::SocketAddr, path::Path, time::Duration},
};

/// Timeout for a response of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Creates a client for the key-value service at an address.
pub fn store(address: SocketAddr) -> HttpStore {
    HttpStore::new(address, STORE_TIMEOUT)
}

/// Reads a manifest file. If the manifest is invalid, prints all problems and returns `None`.
///
/// # Errors
/// If the file cannot be read.
pub fn read_valid_manifest(path: &Path) -> Result<Option<Manifest>> {
    let text =
        fs::read_to_string(path).with_context(|| format!("manifest {:?}", path.display()))?;
    let parsed = Manifest::parse(&text);
    if let Err(problems) = &parsed {
        problems.iter().for_each(|p| eprintln!("{p}"));
    }
    Ok(parsed.ok())
}

/// Validates a manifest file and prints the result.
///
/// # Errors
/// If the file cannot be read.
pub fn check(args: &Check) -> Result<i32> {
    if read_valid_manifest(&args.manifest)?.is_none() {
        return Ok(INVALID_EXIT_CODE);
    }
    println!("the manifest is good");
    Ok(0)
}

/// Prints the hash of a key read from standard input.
///
/// # Errors
/// If standard input cannot be read.
pub fn key(_: &Key) -> Result<i32> {
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    println!("{}", KeyHash::of(line.trim_end_matches(['\r', '\n'])));
    Ok(0)
}

/// Prints the manifest in the store and its revision.
///
/// # Errors
/// If the store cannot be read or has no manifest.
pub async fn get(args: &Get) -> Result<i32> {
    let found = read_manifest(&store(args.store)).await?;
    let (revision, record) = found.context("the store has no manifest")?;
    println!("{}", serde_json::to_string_pretty(&record.manifest)?);
    eprintln!("revision {revision}");
    Ok(0)
}

/// Prints how a manifest file differs from the manifest in the store.
///
/// # Errors
/// If the file or the store cannot be read.
pub async fn diff(args: &Diff) -> Result<i32> {
    let Some(new) = read_valid_manifest(&args.manifest)? else { return Ok(INVALID_EXIT_CODE) };
    let found = read_manifest(&store(args.store)).await?;
    let revision = found.as_ref().map_or(0, |(revision, _)| revision.0);
    let old = found.map(|(_, record)| record.manifest).unwrap_or_default();
    println!("changes to revision {revision}:");
    print_diff(&old, &new);
    Ok(0)
}

/// Prints the entries that differ, one per line.
pub fn print_diff(old: &Manifest, new: &Manifest) {
    manifest::diff(old, new).iter().for_each(|change| println!("{change}"));
}

/// Prints the latest edits of the manifest.
///
/// # Errors
/// If the store cannot be read or has no manifest.
pub async fn history(args: &History) -> Result<i32> {
    let found = read_manifest(&store(args.store)).await?;
    let (revision, record) = found.context("the store has no manifest")?;
    for edit in &record.recent {
        println!("from revision {} by {}:", edit.base, edit.writer);
        edit.changes.iter().for_each(|change| println!("  {change}"));
    }
    println!("now at revision {revision}");
    Ok(0)
}
