use {
    crate::args::Status,
    anyhow::{bail, Context, Result},
    hyper::Method,
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

fn print_status(status: &queries::Status) {
    let ready = if status.ready { "ready" } else { "not ready" };
    println!("instance {}: {ready}, manifest revision {}", status.instance, status.revision);
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
