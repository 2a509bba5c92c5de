//! Six instances as separate processes before stand-ins: a mixed load through a mix shift, a
//! drained engine, a killed holder, a stopped instance and a store outage.
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
    lentilgrade::ports::ListState,
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

/// Names the settings file of a copy of this program that is to be an instance.
const INSTANCE: &str = "LENTIL_DEMO_INSTANCE";
/// Entry instances.
const INSTANCES: usize = 6;
/// Longest time that a caller waits for one request.
const PATIENCE: Duration = Duration::from_secs(45);

fn main() -> Result<()> {
    if let Some(settings) = env::var_os(INSTANCE) {
        let args = lentilgrade::daemon::Args { settings: PathBuf::from(settings), check: false };
        std::process::exit(lentilgrade::daemon::run(&args, |_| {
            anyhow::bail!("the demo runs on its own stand-ins")
        }));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(demo())
}

/// The instances, and what the platform's balancer knows of them.
struct Entry {
    processes: Vec<InstanceProcess>,
    ready: Vec<AtomicBool>,
}

impl Balancer for Entry {
    fn pick(&self) -> SocketAddr {
        let ready: Vec<usize> =
            (0..INSTANCES).filter(|i| self.ready[*i].load(Ordering::Relaxed)).collect();
        match ready.as_slice() {
            [] => self.processes[0].address(),
            some => self.processes[some[rand::random::<usize>() % some.len()]].address(),
        }
    }
}

impl Entry {
    /// Follows which instances are ready.
    async fn probe(self: Arc<Self>) {
        loop {
            for (process, ready) in self.processes.iter().zip(&self.ready) {
                ready.store(process.is_ready().await, Ordering::Relaxed);
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
}

/// What became of the requests of one kind.
#[derive(Debug, Default, Clone)]
struct Tally {
    sent: u64,
    whole: u64,
    wrong: u64,
    refused: BTreeMap<String, u64>,
    unknown: BTreeMap<String, u64>,
    broken: BTreeMap<String, u64>,
    in_time: u64,
}

type Tallies = Arc<Mutex<BTreeMap<&'static str, Tally>>>;

fn note(tallies: &Tallies, kind: &'static str, ended: CallOutcome, right: bool, took: Duration) {
    let mut tallies = tallies.lock().expect("no task panics with the tallies");
    let tally = tallies.entry(kind).or_default();
    tally.sent += 1;
    match ended {
        CallOutcome::Complete(_) => {
            tally.whole += 1;
            tally.wrong += u64::from(!right);
            tally.in_time += u64::from(right && took < Duration::from_secs(20));
        }
        CallOutcome::NotRun(code) => *tally.refused.entry(code).or_default() += 1,
        CallOutcome::Unknown(code) => *tally.unknown.entry(code).or_default() += 1,
        CallOutcome::Incomplete(text) => *tally.broken.entry(text).or_default() += 1,
    }
}

async fn generate(
    entry: Arc<Entry>,
    tallies: Tallies,
    kind: &'static str,
    prompt: String,
    max: u32,
) {
    let begun = Instant::now();
    let ask = CompletionRequest { model: "groot".into(), prompt, max_tokens: max, stream: true };
    let ended = Caller::new(CAMERA_KEY).stream_with_retries(entry.as_ref(), &ask, PATIENCE).await;
    let right = ended == CallOutcome::Complete(expected_answer(&ask.prompt, "", max));
    note(&tallies, kind, ended, right, begun.elapsed());
}

async fn book(entry: Arc<Entry>, tallies: Tallies, number: usize) {
    let begun = Instant::now();
    let (key, body) = (format!("key-{number}"), format!("seat {number}"));
    let path = "/services/bookings/manifest";
    let caller = Caller::new(DESK_KEY);
    let ended = caller.post_with_retries(entry.as_ref(), path, &key, &body, PATIENCE).await;
    let right = matches!(&ended, CallOutcome::Complete(text) if text.contains(&body));
    note(&tallies, "booking", ended, right, begun.elapsed());
}

/// Sends a mix of requests for a while: `reports` long prompts and `tags` short ones a second.
async fn load(entry: &Arc<Entry>, tallies: &Tallies, seconds: f64, reports: f64, tags: f64) {
    let begun = Instant::now();
    let mut tasks = JoinSet::new();
    let frames = "frame ".repeat(2_000);
    let (mut sent_reports, mut sent_tags, mut number) = (0.0, 0.0, 0);
    while begun.elapsed().as_secs_f64() < seconds {
        let passed = begun.elapsed().as_secs_f64();
        let unique = rand::random::<u64>();
        while sent_reports < passed * reports {
            sent_reports += 1.0;
            let prompt = format!("{unique} {sent_reports} {frames}");
            let (entry, tallies) = (entry.clone(), tallies.clone());
            tasks.spawn(generate(entry, tallies, "report", prompt, 16));
        }
        while sent_tags < passed * tags {
            sent_tags += 1.0;
            number += 1;
            let prompt = format!("tag {unique} {sent_tags}");
            tasks.spawn(generate(entry.clone(), tallies.clone(), "tag", prompt, 120));
            if number % 4 == 0 {
                let id = (unique as usize).wrapping_add(number);
                tasks.spawn(book(entry.clone(), tallies.clone(), id));
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
    while tasks.join_next().await.is_some() {}
}

fn start_instances(site: &Deployment) -> Result<Entry> {
    let program = env::current_exe()?;
    let start = |i| {
        site.start_process(i, |file| {
            let mut command = Command::new(&program);
            command.env(INSTANCE, file);
            command
        })
    };
    let processes = (0..INSTANCES).map(start).collect();
    let ready = (0..INSTANCES).map(|_| AtomicBool::new(false)).collect();
    Ok(Entry { processes, ready })
}

/// Number of the instance that holds the cell.
fn holder(site: &Deployment) -> Option<usize> {
    site.lease_holder()?.trim_start_matches('a').parse().ok()
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
    let decode = 16.0 / 0.015;
    let setup = DeploymentSetup {
        engines,
        targets: 3,
        change_weight: 1.0,
        decode_rate: decode,
        ..DeploymentSetup::default()
    };
    let mut site = Deployment::start(setup).await;
    for class in site.manifest.classes.values_mut() {
        // Long prompts beside decoding would take longer than half of this.
        class.first = Millis(1_500);
    }
    site.apply_manifest(Revision(0)).await;
    let entry = Arc::new(start_instances(&site)?);
    let probe = tokio::spawn(entry.clone().probe());
    println!("waiting for {INSTANCES} instances before 8 engines and 3 targets");
    while !entry.ready.iter().all(|r| r.load(Ordering::Relaxed)) {
        sleep(Duration::from_millis(100)).await;
    }
    let tallies = Tallies::default();
    let begun = Instant::now();
    let step = |text: &str| println!("{:6.1} s  {text}", begun.elapsed().as_secs_f64());

    step("mostly short prompts and long outputs");
    load(&entry, &tallies, 6.0, 2.0, 40.0).await;

    step("the mix shifts to long prompts");
    let shift = load(&entry, &tallies, 14.0, 22.0, 12.0);
    let drain = async {
        sleep(Duration::from_secs(8)).await;
        site.list.set_state("e0", ListState::Leaving);
        step("engine e0 is leaving");
    };
    tokio::join!(shift, drain);
    let roles = site.engines.iter().filter(|e| e.report().role == Role::Prefill).count();
    step(&format!("{roles} engines prefill now"));

    let killed = holder(&site).unwrap_or(0);
    let kills = async {
        sleep(Duration::from_secs(3)).await;
        step(&format!("instance a{killed}, which holds the cell, is killed"));
        entry.processes[killed].signal(Signal::SIGKILL);
    };
    tokio::join!(load(&entry, &tallies, 8.0, 6.0, 30.0), kills);
    site.list.set_state(&format!("a{killed}"), ListState::Gone);

    let stopped = (killed + 1) % INSTANCES;
    let stops = async {
        sleep(Duration::from_secs(2)).await;
        step(&format!("instance a{stopped} is told to stop"));
        entry.processes[stopped].signal(Signal::SIGTERM);
    };
    tokio::join!(load(&entry, &tallies, 8.0, 4.0, 30.0), stops);

    step("the store goes down; bookings are refused or wait");
    let outage = async {
        site.kv.faults.update(|f| f.down = true);
        sleep(Duration::from_secs(6)).await;
        site.kv.faults.update(|f| f.down = false);
        step("the store is back");
    };
    tokio::join!(load(&entry, &tallies, 9.0, 4.0, 30.0), outage);

    step("done");
    print_table(&site, &tallies);
    probe.abort();
    Ok(())
}

fn print_table(site: &Deployment, tallies: &Tallies) {
    let tallies = tallies.lock().expect("no task panics with the tallies").clone();
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
            t.whole,
            t.wrong,
            sum(&t.refused),
            sum(&t.unknown),
            sum(&t.broken),
            100.0 * t.in_time as f64 / t.sent.max(1) as f64
        );
        let reasons = [("not run", &t.refused), ("unknown", &t.unknown), ("broken", &t.broken)];
        for (what, map) in reasons {
            map.iter().for_each(|(code, count)| println!("          {what}: {count} {code}"));
        }
    }
    let twice = site.effects.run_counts().values().filter(|runs| **runs > 1).count();
    let effects: Vec<_> = site.engines.iter().flat_map(|e| e.order_effects()).collect();
    let role = |e: &&lentil_fakes::engine::OrderEffect| {
        matches!(e.command.order, lentil_core::order::Order::Role(_))
    };
    println!();
    println!("bookings run twice: {twice}");
    println!("role changes: {}", effects.iter().filter(role).count());
    println!("answers cut by orders: {}", effects.iter().map(|e| e.runs_cut).sum::<usize>());
}
