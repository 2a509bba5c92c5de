use {
    crate::args::{Instances, Status},
    anyhow::{anyhow, bail, Context, Result},
    hyper::Method,
    lentil_core::mesh::VersionRange,
    lentil_node::{
        http::{call, request},
        queries,
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout for the response of an instance.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Fetches a JSON document from an instance.
///
/// # Errors
/// If the instance cannot be reached, its status is not 200, or the document does not parse.
pub async fn fetch<T: DeserializeOwned>(at: SocketAddr, path: &str) -> Result<T> {
    let response = call(at, request(Method::GET, at, path, ""), STATUS_TIMEOUT).await?;
    if response.status != 200 {
        bail!("instance {at} responded to {path:?} with status {}", response.status);
    }
    response.json().map_err(anyhow::Error::msg)
}

/// Prints the state of instances.
///
/// # Errors
/// If no instance is given, or one cannot be reached.
pub async fn status(args: &Status) -> Result<i32> {
    if args.instance.is_empty() {
        bail!("give at least one --instance");
    }
    for at in &args.instance {
        let status: queries::Status =
            fetch(*at, "/status").await.with_context(|| format!("instance {at}"))?;
        print_status(&status);
    }
    Ok(0)
}

/// Prints the build of each instance that the first responding one knows of.
///
/// # Errors
/// If no instance is given, or none responds.
pub async fn instances(args: &Instances) -> Result<i32> {
    let mut failure = None;
    for at in &args.instance {
        match fetch::<queries::Status>(*at, "/status").await {
            Ok(status) if status.builds.is_empty() => {
                failure = Some(anyhow!("instance {at} runs a build that does not list builds"));
            }
            Ok(status) => {
                status.builds.iter().for_each(|build| println!("{}", build_line(build)));
                return Ok(0);
            }
            Err(error) => failure = Some(error.context(format!("instance {at}"))),
        }
    }
    Err(failure.unwrap_or_else(|| anyhow!("give at least one --instance")))
}

/// Returns the line about the build of one instance. A build that has announced nothing understands
/// version 1 only.
pub fn build_line(build: &queries::BuildStatus) -> String {
    let state = build.state.map_or_else(|| "listed".into(), |s| format!("{s:?}").to_lowercase());
    let name = build.build.as_deref().unwrap_or("unknown");
    let (versions, note) = match build.versions {
        Some(versions) => (versions, ""),
        None => (VersionRange::UNANNOUNCED, " (not announced)"),
    };
    format!(
        "instance {}: {state}, build {name}, protocol versions {versions}{note}",
        build.instance
    )
}

fn print_status(status: &queries::Status) {
    let ready = if status.ready { "ready" } else { "not ready" };
    println!("instance {}: {ready}, manifest revision {}", status.instance, status.revision);
    for limit in &status.intake {
        println!(
            "  {}: {} open, {} of {} KB held",
            limit.kind,
            limit.count,
            limit.bytes / 1_000,
            limit.limit / 1_000
        );
    }
    for member in &status.members {
        println!("  instance {}: {:?}", member.instance, member.state);
    }
    for engine in &status.engines {
        let state = match (engine.leaving, engine.changing, engine.open) {
            (true, _, _) => "leaving",
            (_, true, _) => "changing",
            (_, _, true) => "open",
            _ => "closed",
        };
        println!(
            "  engine {}: {}, {state}, {} running, {} waiting, {} prompt tokens queued",
            engine.engine,
            engine.role,
            engine.load.running,
            engine.load.waiting,
            engine.load.queued
        );
    }
}
