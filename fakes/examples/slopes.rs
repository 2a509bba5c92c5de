//! Measures how the costs of routing, planning, claims and gossip grow with the number of engines
//! and instances, on one machine with the fakes.
//!
//! `cargo run --release --example slopes -p lentil-fakes`

use {
    anyhow::Result,
    lentil_core::{
        claim::{ClaimEdit, ClaimKey},
        clock::Time,
        fleet::{CacheIndex, EngineView},
        ids::{Fingerprint, Millis, PrefixHash, Rank, Revision, Tokens},
        manifest::{ChangeWeight, ClassSpec, ManifestRecord},
        plan::{ChangeCost, Demand, Planner, PlannerInput, Split},
        route::{choose, RoutingOrigin, RoutingRequest},
        settings::ClaimSettings,
    },
    lentil_fakes::{
        deployment::{Deployment, DeploymentSetup},
        kv::FakeKv,
        simulation::ENGINE_RATES,
    },
    lentil_node::{
        adapters::HttpStore,
        app::{random_id, Clock},
        claims::ClaimStore,
        ports::ConfigStore,
    },
    std::{
        hint::black_box,
        sync::{atomic::Ordering, Arc},
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Time over which rates are measured.
const RATE_WINDOW: Duration = Duration::from_secs(8);

#[tokio::main]
async fn main() -> Result<()> {
    measure_decisions();
    measure_claims().await;
    let mut points = Vec::new();
    for count in [6, 24, 96] {
        points.push(measure_mesh(count).await?);
    }
    fit_line("mesh, bytes per second and instance", &points);
    Ok(())
}

/// Fits a line to points by least squares, and prints its slope, its value at zero and the largest
/// residual.
fn fit_line(what: &str, points: &[(f64, f64)]) {
    let n = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x, b + y));
    let (mx, my) = (sx / n, sy / n);
    let covariance: f64 = points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let slope = covariance / points.iter().map(|(x, _)| (x - mx).powi(2)).sum::<f64>();
    let intercept = my - slope * mx;
    let residual =
        points.iter().map(|(x, y)| (y - intercept - slope * x).abs()).fold(0.0, f64::max);
    println!("{what}: slope {slope:.4}, at zero {intercept:.2}, residual {residual:.2}");
}

/// Resident memory of this process, in megabytes.
fn resident_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0.0);
    pages * 4.096e-3
}

/// Mean duration of a step, in microseconds.
fn mean_micros(rounds: u32, mut step: impl FnMut()) -> f64 {
    let started = Instant::now();
    (0..rounds).for_each(|_| step());
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Measures the cost of routing and planning decisions, and the memory of their tables.
fn measure_decisions() {
    let engine_spec = |i: usize| lentil_core::manifest::EngineSpec {
        address: ([127, 0, 0, 1], 1).into(),
        region: "nl".parse().expect("the name is valid"),
        zone: ["a", "b", "c"][i % 3].parse().expect("the name is valid"),
        cell: "c".parse().expect("the name is valid"),
        model: "m".parse().expect("the name is valid"),
        fenced: true,
        rates: ENGINE_RATES,
    };
    let (mut routes, mut bytes) = (Vec::new(), Vec::new());
    for count in [10, 150, 1_500] {
        let before = resident_mb();
        let engines: Vec<EngineView> = (0..count)
            .map(|i| {
                EngineView::new(format!("e{i}").parse().expect("the id is valid"), &engine_spec(i))
            })
            .collect();
        let blocks = (0..48).map(PrefixHash).collect();
        let work = RoutingRequest {
            model: "m".parse().expect("the name is valid"),
            adapter: None,
            prompt: Tokens(3_000),
            output: Tokens(200),
            blocks,
            lengths: Default::default(),
            resumable: false,
            software: None,
            excluded: Default::default(),
            class: ClassSpec {
                first: Millis(480),
                between: Millis(78),
                deadline: Millis(30_000),
                priority: 1,
            },
            rank: Rank::FIRST,
        };
        let mut cache = CacheIndex::default();
        engines.iter().for_each(|e| cache.record_send(&e.id, &work.blocks));
        let origin = RoutingOrigin {
            partial: false,
            region: "nl".parse().expect("the name is valid"),
            zone: "a".parse().expect("the name is valid"),
            instances: 6,
            salt: 1,
        };
        let micros = mean_micros(2_000, || {
            let _ = black_box(choose(&engines, &cache, &work, &origin, Time::from_millis(1)));
        });
        println!("route, {count} engines, 48 blocks held by all: {micros:.2} us");
        routes.push((count as f64, micros));
        bytes.push((count as f64, (resident_mb() - before) * 1e3));
        let mut planner = Planner::new(ChangeWeight(2.0), ChangeCost::default(), Time::ZERO);
        let demand = Demand {
            prefill: count as f64 * 9e3,
            decode: count as f64 * 300.0,
            long: count as f64 * 3.0,
            ttft_budget: count as f64 * 1.4,
            ..Demand::default()
        };
        let split = Split { prefill: count / 3, decode: count - count / 3 };
        let mut second = 0;
        let micros = mean_micros(if count > 500 { 3 } else { 50 }, || {
            second += 1;
            let input = PlannerInput { demand, rates: &ENGINE_RATES, split, unavailable: 0 };
            black_box(planner.decide(&input, Time::from_millis(second * 1_000)));
        });
        println!("plan, {count} engines: {micros:.0} us");
    }
    fit_line("route, us per engine", &routes);
    fit_line("routing table and index, kB per engine", &bytes);
    let before = resident_mb();
    let mut cache = CacheIndex::default();
    let engine = "e".parse().expect("the name is valid");
    for i in 0..150_000 {
        cache.record_send(&engine, &[PrefixHash(i)].into_iter().collect());
    }
    println!("cache index, bytes per block: {:.0}", (resident_mb() - before) * 1e6 / 150_000.0);
}

/// Measures claims of six instances, batched in buckets and with one write per claim.
async fn measure_claims() {
    const CLAIMS: usize = 1_800;
    for buckets in [4, 32, 128] {
        let (kv, server) = FakeKv::start().await;
        kv.faults.update(|f| f.delay = Duration::from_millis(3));
        let store: Arc<dyn ConfigStore> =
            Arc::new(HttpStore::new(server.address, Duration::from_secs(5)));
        let settings = ClaimSettings { buckets, ..ClaimSettings::default() };
        let stores: Vec<Arc<ClaimStore>> = (0..6)
            .map(|_| Arc::new(ClaimStore::new(store.clone(), settings.clone(), Clock::start())))
            .collect();
        let mut tasks = JoinSet::new();
        for i in 0..CLAIMS {
            let store = stores[i % 6].clone();
            tasks.spawn(async move {
                sleep(Duration::from_millis(i as u64)).await;
                let started = Instant::now();
                let holder = lentil_core::order::Holder {
                    instance: format!("a{}", i % 6).parse().expect("the name is valid"),
                    start: lentil_core::ids::Incarnation(1),
                };
                let caller = "c".parse().expect("the name is valid");
                let key = ClaimKey::new(&caller, "s", &i.to_string());
                let edit =
                    ClaimEdit::Claim { body: Fingerprint(1), by: holder, run: random_id("c") };
                (store.submit(key, edit).await.is_ok(), started.elapsed())
            });
        }
        report_claims(&format!("grouped, {buckets} buckets"), tasks, &kv).await;
    }
    let (kv, server) = FakeKv::start().await;
    kv.faults.update(|f| f.delay = Duration::from_millis(3));
    let store = Arc::new(HttpStore::new(server.address, Duration::from_secs(5)));
    let mut tasks = JoinSet::new();
    for i in 0..CLAIMS {
        let store = store.clone();
        tasks.spawn(async move {
            sleep(Duration::from_millis(i as u64)).await;
            let started = Instant::now();
            let key = format!("claims/one-{i}");
            let done = store.swap(&key, "claim".into(), Revision(0), None).await;
            (done.is_ok(), started.elapsed())
        });
    }
    report_claims("one write a claim", tasks, &kv).await;
}

/// Waits for all claims, and prints their latency and the calls to the store.
async fn report_claims(label: &str, tasks: JoinSet<(bool, Duration)>, kv: &FakeKv) {
    let done = tasks.join_all().await;
    let mut latencies: Vec<Duration> = done.iter().map(|(_, t)| *t).collect();
    latencies.sort();
    let writes = kv.calls.writes.load(Ordering::Relaxed) as f64;
    println!(
        "claims, {label}: {:.2} claims a write, {} failed, p50 {:.1} ms, p99 {:.1} ms, {} reads",
        latencies.len() as f64 / writes,
        done.iter().filter(|(ok, _)| !ok).count(),
        latencies[latencies.len() / 2].as_secs_f64() * 1e3,
        latencies[latencies.len() * 99 / 100].as_secs_f64() * 1e3,
        kv.calls.reads.load(Ordering::Relaxed),
    );
}

/// Measures the traffic and memory of `count` instances in this process without callers, at the
/// default heartbeat interval. Returns the count with the bytes sent per second and instance.
async fn measure_mesh(count: usize) -> Result<(f64, f64)> {
    let mut deployment =
        Deployment::start(DeploymentSetup { engines: Vec::new(), ..DeploymentSetup::default() })
            .await;
    deployment.manifest.models.clear();
    deployment.manifest.groups.clear();
    for caller in deployment.manifest.callers.values_mut() {
        caller.models.clear();
        caller.group = None;
    }
    let first = deployment.apply_manifest(Revision(0)).await;
    let before = resident_mb();
    let mut instances = Vec::new();
    for i in 0..count {
        let mut settings = deployment.settings(i);
        settings.mesh.beat = Millis(250);
        instances.push(deployment.start_instance_with(settings).await);
    }
    while !instances.iter().all(|i| i.app.revision() >= first) {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_secs(15)).await;
    let grown = (resident_mb() - before) / count as f64;
    let sent_bytes =
        || instances.iter().map(|i| i.app.metrics.sent_bytes.get()).sum::<u64>() as f64;
    let reads = || deployment.kv.calls.reads.load(Ordering::Relaxed);
    let (bytes, calls) = (sent_bytes(), reads());
    sleep(RATE_WINDOW).await;
    let rate = (sent_bytes() - bytes) / RATE_WINDOW.as_secs_f64() / count as f64;
    let calls = (reads() - calls) as f64 / RATE_WINDOW.as_secs_f64();
    let record: ManifestRecord =
        serde_json::from_str(&deployment.kv.value("manifest").unwrap_or_default())?;
    let mut manifest = record.manifest;
    manifest.weight = ChangeWeight(6.0);
    deployment.manifest = manifest;
    let started = Instant::now();
    let next = deployment.apply_manifest(first).await;
    while !instances.iter().all(|i| i.app.revision() >= next) {
        sleep(Duration::from_millis(5)).await;
    }
    println!(
        "mesh, {count} instances: {rate:.0} B/s sent and {grown:.2} MB each, {calls:.2} store reads/s in all, a change in force in {:.2} s",
        started.elapsed().as_secs_f64()
    );
    Ok((count as f64, rate))
}
