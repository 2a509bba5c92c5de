//! Runs six instances as separate processes in front of fakes, and sends them a mixed load through
//! a shift of the mix, a drained engine, a killed lease holder, a stopped instance and a store
//! outage.
//!
//! `cargo run --release --example demo -p lentil-fakes`

use {
    anyhow::Result,
    lentil_core::{
        ids::{Millis, Revision},
        manifest::Role,
    },
    lentil_fakes::{
        client::{Balancer, CallOutcome, Caller, CompletionRequest},
        deployment::{Deployment, DeploymentSetup, InstanceProcess, CAMERA_KEY, DESK_KEY},
        engine::{expected_answer, EngineSetup},
    },
    lentil_node::ports::ListState,
    nix::sys::signal::Signal,
    std::{
        collections::BTreeMap,
        env,
        net::SocketAddr,
        path::PathBuf,
        process::Command,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Environment variable with the path of a settings file. If it is set, this program runs as an
/// instance.
const SETTINGS_VAR: &str = "LENTIL_DEMO_INSTANCE";
/// Number of entry instances.
const INSTANCES: usize = 6;
/// Timeout of a caller for one request, including retries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(45);

fn main() -> Result<()> {
    if let Some(settings) = env::var_os(SETTINGS_VAR) {
        let args = lentil_node::daemon::Args { settings: PathBuf::from(settings), check: false };
        std::process::exit(lentil_node::daemon::run(&args, |_| {
            anyhow::bail!("the demo supports only its own fakes")
        }));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(demo())
}

/// The instances, with their readiness as the platform's load balancer sees it.
struct EntryPool {
    processes: Vec<InstanceProcess>,
    ready: Vec<AtomicBool>,
}

impl Balancer for EntryPool {
    fn pick(&self) -> SocketAddr {
        let ready: Vec<usize> =
            (0..INSTANCES).filter(|i| self.ready[*i].load(Ordering::Relaxed)).collect();
        match ready.as_slice() {
            [] => self.processes[0].address(),
            some => self.processes[some[rand::random::<usize>() % some.len()]].address(),
        }
    }
}

impl EntryPool {
    /// Probes the readiness of all instances every 200 ms.
    async fn probe(self: Arc<Self>) {
        loop {
            for (process, ready) in self.processes.iter().zip(&self.ready) {
                ready.store(process.is_ready().await, Ordering::Relaxed);
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
}

/// Number of requests of one kind by outcome.
#[derive(Debug, Default, Clone)]
struct Tally {
    sent: u64,
    complete: u64,
    /// Complete responses with a wrong text.
    wrong: u64,
    /// Refused requests by error code.
    refused: BTreeMap<String, u64>,
    unknown: BTreeMap<String, u64>,
    incomplete: BTreeMap<String, u64>,
    /// Correct responses within 20 s.
    in_time: u64,
}

type Tallies = Arc<Mutex<BTreeMap<&'static str, Tally>>>;

fn record(
    tallies: &Tallies,
    kind: &'static str,
    outcome: CallOutcome,
    correct: bool,
    took: Duration,
) {
    let mut tallies = tallies.lock().expect("no task panics while it holds the tallies");
    let tally = tallies.entry(kind).or_default();
    tally.sent += 1;
    match outcome {
        CallOutcome::Complete(_) => {
            tally.complete += 1;
            tally.wrong += u64::from(!correct);
            tally.in_time += u64::from(correct && took < Duration::from_secs(20));
        }
        CallOutcome::NotRun(code) => *tally.refused.entry(code).or_default() += 1,
        CallOutcome::Unknown(code) => *tally.unknown.entry(code).or_default() += 1,
        CallOutcome::Incomplete(text) => *tally.incomplete.entry(text).or_default() += 1,
    }
}

async fn generate(
    pool: Arc<EntryPool>,
    tallies: Tallies,
    kind: &'static str,
    prompt: String,
    max: u32,
) {
    let started = Instant::now();
    let request =
        CompletionRequest { model: "groot".into(), prompt, max_tokens: max, stream: true };
    let outcome =
        Caller::new(CAMERA_KEY).stream_with_retries(pool.as_ref(), &request, REQUEST_TIMEOUT).await;
    let correct = outcome == CallOutcome::Complete(expected_answer(&request.prompt, "", max));
    record(&tallies, kind, outcome, correct, started.elapsed());
}

async fn book(pool: Arc<EntryPool>, tallies: Tallies, number: usize) {
    let started = Instant::now();
    let (key, body) = (format!("key-{number}"), format!("seat {number}"));
    let path = "/services/bookings/manifest";
    let caller = Caller::new(DESK_KEY);
    let outcome = caller.post_with_retries(pool.as_ref(), path, &key, &body, REQUEST_TIMEOUT).await;
    let correct = matches!(&outcome, CallOutcome::Complete(text) if text.contains(&body));
    record(&tallies, "booking", outcome, correct, started.elapsed());
}

/// Sends a mix of requests for `seconds`: per second, `reports` long prompts and `tags` short ones,
/// and one booking for every four short ones.
async fn send_load(
    pool: &Arc<EntryPool>,
    tallies: &Tallies,
    seconds: f64,
    reports: f64,
    tags: f64,
) {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    let frames = "frame ".repeat(2_000);
    let (mut sent_reports, mut sent_tags, mut number) = (0.0, 0.0, 0);
    while started.elapsed().as_secs_f64() < seconds {
        let elapsed = started.elapsed().as_secs_f64();
        let unique = rand::random::<u64>();
        while sent_reports < elapsed * reports {
            sent_reports += 1.0;
            let prompt = format!("{unique} {sent_reports} {frames}");
            let (pool, tallies) = (pool.clone(), tallies.clone());
            tasks.spawn(generate(pool, tallies, "report", prompt, 16));
        }
        while sent_tags < elapsed * tags {
            sent_tags += 1.0;
            number += 1;
            let prompt = format!("tag {unique} {sent_tags}");
            tasks.spawn(generate(pool.clone(), tallies.clone(), "tag", prompt, 120));
            if number % 4 == 0 {
                let id = (unique as usize).wrapping_add(number);
                tasks.spawn(book(pool.clone(), tallies.clone(), id));
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    while tasks.join_next().await.is_some() {}
}

fn start_instances(deployment: &Deployment) -> Result<EntryPool> {
    let program = env::current_exe()?;
    let start = |i| {
        deployment.start_process(i, |file| {
            let mut command = Command::new(&program);
            command.env(SETTINGS_VAR, file);
            command
        })
    };
    let processes = (0..INSTANCES).map(start).collect();
    let ready = (0..INSTANCES).map(|_| AtomicBool::new(false)).collect();
    Ok(EntryPool { processes, ready })
}

/// Index of the instance that holds the lease of the cell.
fn lease_holder(deployment: &Deployment) -> Option<usize> {
    deployment.lease_holder()?.trim_start_matches('a').parse().ok()
}

async fn demo() -> Result<()> {
    let engine = EngineSetup {
        prefill_rate: 12_000.0,
        token_interval: Duration::from_millis(15),
        slots: 16,
        change_time: Duration::from_secs(1),
        ..EngineSetup::default()
    };
    let mut engines = vec![engine; 8];
    engines[7].fenced = false;
    let decode_rate = 16.0 / 0.015;
    let setup = DeploymentSetup {
        engines,
        targets: 3,
        change_weight: 1.0,
        decode_rate,
        ..DeploymentSetup::default()
    };
    let mut deployment = Deployment::start(setup).await;
    for class in deployment.manifest.classes.values_mut() {
        // On a decode engine, the prefill of a long prompt would take more than half of this time.
        class.first = Millis(1_500);
    }
    deployment.apply_manifest(Revision(0)).await;
    let pool = Arc::new(start_instances(&deployment)?);
    let probe = tokio::spawn(pool.clone().probe());
    println!("waiting for {INSTANCES} instances with 8 engines and 3 targets");
    while !pool.ready.iter().all(|r| r.load(Ordering::Relaxed)) {
        sleep(Duration::from_millis(100)).await;
    }
    let tallies = Tallies::default();
    let started = Instant::now();
    let step = |text: &str| println!("{:6.1} s  {text}", started.elapsed().as_secs_f64());

    step("mostly short prompts and long outputs");
    send_load(&pool, &tallies, 6.0, 2.0, 40.0).await;

    step("the mix shifts to long prompts");
    let shift = send_load(&pool, &tallies, 14.0, 22.0, 12.0);
    let drain = async {
        sleep(Duration::from_secs(8)).await;
        deployment.list.set_state("e0", ListState::Leaving);
        step("engine e0 is leaving");
    };
    tokio::join!(shift, drain);
    let prefilling = deployment.engines.iter().filter(|e| e.report().role == Role::Prefill).count();
    step(&format!("{prefilling} engines prefill now"));

    let killed = lease_holder(&deployment).unwrap_or(0);
    let kill = async {
        sleep(Duration::from_secs(3)).await;
        step(&format!("instance a{killed}, which holds the cell, is killed"));
        pool.processes[killed].signal(Signal::SIGKILL);
    };
    tokio::join!(send_load(&pool, &tallies, 8.0, 6.0, 30.0), kill);
    deployment.list.set_state(&format!("a{killed}"), ListState::Gone);

    let stopped = (killed + 1) % INSTANCES;
    let stop = async {
        sleep(Duration::from_secs(2)).await;
        step(&format!("instance a{stopped} receives SIGTERM"));
        pool.processes[stopped].signal(Signal::SIGTERM);
    };
    tokio::join!(send_load(&pool, &tallies, 8.0, 4.0, 30.0), stop);

    step("the store goes down; bookings are refused or wait");
    let outage = async {
        deployment.kv.faults.update(|f| f.down = true);
        sleep(Duration::from_secs(6)).await;
        deployment.kv.faults.update(|f| f.down = false);
        step("the store is back");
    };
    tokio::join!(send_load(&pool, &tallies, 9.0, 4.0, 30.0), outage);

    step("done");
    print_table(&deployment, &tallies);
    probe.abort();
    Ok(())
}

fn print_table(deployment: &Deployment, tallies: &Tallies) {
    let tallies = tallies.lock().expect("no task panics while it holds the tallies").clone();
    println!();
    println!(
        "{:<10}{:>8}{:>8}{:>8}{:>10}{:>9}{:>8}{:>9}",
        "kind", "sent", "whole", "wrong", "not run", "unknown", "broken", "in time"
    );
    for (kind, t) in &tallies {
        let sum = |map: &BTreeMap<String, u64>| map.values().sum::<u64>();
        println!(
            "{kind:<10}{:>8}{:>8}{:>8}{:>10}{:>9}{:>8}{:>8.1}%",
            t.sent,
            t.complete,
            t.wrong,
            sum(&t.refused),
            sum(&t.unknown),
            sum(&t.incomplete),
            100.0 * t.in_time as f64 / t.sent.max(1) as f64
        );
        let reasons = [("not run", &t.refused), ("unknown", &t.unknown), ("broken", &t.incomplete)];
        for (what, map) in reasons {
            map.iter().for_each(|(code, count)| println!("          {what}: {count} {code}"));
        }
    }
    let duplicates = deployment.effects.run_counts().values().filter(|runs| **runs > 1).count();
    let effects: Vec<_> = deployment.engines.iter().flat_map(|e| e.order_effects()).collect();
    let is_role_change = |e: &&lentil_fakes::engine::OrderEffect| {
        matches!(e.command.order, lentil_core::order::Order::Role(_))
    };
    println!();
    println!("bookings run twice: {duplicates}");
    println!("role changes: {}", effects.iter().filter(is_role_change).count());
    println!("answers cut by orders: {}", effects.iter().map(|e| e.runs_cut).sum::<usize>());
}
