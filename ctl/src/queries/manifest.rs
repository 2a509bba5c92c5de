use {
    crate::{
        args::{Check, Diff, Get, History, Key},
        FAULTY,
    },
    anyhow::{Context, Result},
    lentil_core::manifest::{self, KeyHash, Manifest},
    lentil_node::{adapters::HttpStore, follow::read_manifest},
    std::{fs, io, net::SocketAddr, path::Path, time::Duration},
};

/// Longest wait for an answer of the store.
const LIMIT: Duration = Duration::from_secs(5);

/// The key-value service at an address.
pub fn store(address: SocketAddr) -> HttpStore {
    HttpStore::new(address, LIMIT)
}

/// Reads a manifest from a file; prints its faults and gives `None` if it has any.
///
/// # Errors
/// If the file can't be read.
pub fn read_good(path: &Path) -> Result<Option<Manifest>> {
    let text =
        fs::read_to_string(path).with_context(|| format!("manifest {:?}", path.display()))?;
    let parsed = Manifest::parse(&text);
    if let Err(problems) = &parsed {
        problems.iter().for_each(|p| eprintln!("{p}"));
    }
    Ok(parsed.ok())
}

/// Checks a manifest.
///
/// # Errors
/// If the file can't be read.
pub fn check(args: &Check) -> Result<i32> {
    if read_good(&args.manifest)?.is_none() {
        return Ok(FAULTY);
    }
    println!("the manifest is good");
    Ok(0)
}

/// Prints the hash of the key on standard input.
///
/// # Errors
/// If standard input can't be read.
pub fn key(_: &Key) -> Result<i32> {
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    println!("{}", KeyHash::of(line.trim_end_matches(['\r', '\n'])));
    Ok(0)
}

/// Prints the manifest in the store.
///
/// # Errors
/// If the store can't be read.
pub async fn get(args: &Get) -> Result<i32> {
    let found = read_manifest(&store(args.store)).await?;
    let (revision, record) = found.context("the store has no manifest")?;
    println!("{}", serde_json::to_string_pretty(&record.manifest)?);
    eprintln!("revision {revision}");
    Ok(0)
}

/// Shows how a manifest differs from the one in the store.
///
/// # Errors
/// If the file or the store can't be read.
pub async fn diff(args: &Diff) -> Result<i32> {
    let Some(new) = read_good(&args.manifest)? else { return Ok(FAULTY) };
    let found = read_manifest(&store(args.store)).await?;
    let revision = found.as_ref().map_or(0, |(revision, _)| revision.0);
    let old = found.map(|(_, record)| record.manifest).unwrap_or_default();
    println!("changes to revision {revision}:");
    show_diff(&old, &new);
    Ok(0)
}

/// Prints the entries that differ, one a line.
pub fn show_diff(old: &Manifest, new: &Manifest) {
    manifest::diff(old, new).iter().for_each(|change| println!("{change}"));
}

/// Shows the latest edits.
///
/// # Errors
/// If the store can't be read.
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
