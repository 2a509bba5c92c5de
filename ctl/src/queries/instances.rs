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

const LIMIT: Duration = Duration::from_secs(5);

/// Reads a JSON answer of an instance.
///
/// # Errors
/// If the instance can't be reached or its answer can't be read.
pub async fn fetch<T: DeserializeOwned>(at: SocketAddr, path: &str) -> Result<T> {
    let answer = call(at, request(Method::GET, at, path, ""), LIMIT).await?;
    if answer.status != 200 {
        bail!("instance {at} answers {} to {path:?}", answer.status);
    }
    answer.json().map_err(anyhow::Error::msg)
}

/// Shows what instances know.
///
/// # Errors
/// If no instance was named or one can't be reached.
pub async fn status(args: &Status) -> Result<i32> {
    if args.instance.is_empty() {
        bail!("name at least one --instance");
    }
    for at in &args.instance {
        let status: queries::Status =
            fetch(*at, "/status").await.with_context(|| format!("instance {at}"))?;
        show(&status);
    }
    Ok(0)
}

fn show(status: &queries::Status) {
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
