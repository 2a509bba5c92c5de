//! Orders of real processes, whose holder is paused, killed or cut off from the store.

mod common;

use {
    lentil_core::ids::Revision,
    lentil_fakes::{
        deployment::{eventually, Deployment, DeploymentSetup, InstanceProcess},
        engine::EngineSetup,
    },
    nix::sys::signal::Signal,
    std::time::Duration,
    tokio::time::sleep,
};

/// Longer than a lease of the test settings.
const PAUSE: Duration = Duration::from_millis(4_500);

async fn site() -> (Deployment, Vec<InstanceProcess>) {
    let mut engines = vec![EngineSetup::default(); 4];
    for (i, engine) in engines.iter_mut().enumerate() {
        engine.fenced = i % 2 == 0;
        engine.change_time = Duration::from_millis(100);
    }
    let site = Deployment::start(DeploymentSetup { engines, ..DeploymentSetup::default() }).await;
    site.apply_manifest(Revision(0)).await;
    let processes: Vec<InstanceProcess> = (0..3).map(|i| common::start(&site, i)).collect();
    for process in &processes {
        process.wait_ready().await;
    }
    (site, processes)
}

/// Puts another model version in force, which takes an order to each engine.
async fn roll(site: &mut Deployment, version: &str, base: Revision) -> Revision {
    for model in site.manifest.models.values_mut() {
        model.version = version.parse().unwrap();
    }
    site.apply_manifest(base).await
}

fn holder<'a>(site: &Deployment, processes: &'a [InstanceProcess]) -> Option<&'a InstanceProcess> {
    let name = site.lease_holder()?;
    processes.iter().find(|p| p.settings.instance.as_str() == name)
}

/// On each engine, effects come in the order of their numbers, and each has one order at a time.
fn check_effects(site: &Deployment) {
    for (i, engine) in site.engines.iter().enumerate() {
        let numbers: Vec<u64> = engine.order_effects().iter().map(|e| e.command.number.0).collect();
        assert!(numbers.windows(2).all(|w| w[0] < w[1]), "engine e{i}: {numbers:?}");
        assert!(engine.order_effects().iter().all(|e| e.runs_cut == 0), "engine e{i} cut answers");
    }
}

async fn reached(site: &Deployment, version: &str) {
    let engines = site.engines.clone();
    let version: lentil_core::ids::VersionId = version.parse().unwrap();
    eventually("all engines serve the version", move || {
        engines.iter().all(|e| e.report().version == version && !e.report().changing)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_paused_past_its_lease_orders_nothing_more() {
    let (mut site, processes) = site().await;
    // Orders hang in the engines, so that pauses fall between an order and its answer too.
    for engine in &site.engines {
        engine.faults.update(|f| f.order_delay = Duration::from_millis(300));
    }
    for round in 0..3 {
        let base = site.kv.revision_of("manifest");
        roll(&mut site, &format!("v{round}"), base).await;
        sleep(Duration::from_millis(1_500 + 170 * round)).await;
        let paused = holder(&site, &processes).expect("the cell has a holder");
        paused.signal(Signal::SIGSTOP);
        sleep(PAUSE).await;
        let name = paused.settings.instance.as_str();
        assert_ne!(site.lease_holder().as_deref(), Some(name), "another holds the cell");
        paused.signal(Signal::SIGCONT);
        sleep(Duration::from_millis(500)).await;
        check_effects(&site);
    }
    reached(&site, "v2").await;
    check_effects(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_killed_in_mid_change_is_followed_by_one_that_knows_the_order() {
    let (mut site, processes) = site().await;
    for engine in &site.engines {
        engine.faults.update(|f| f.order_delay = Duration::from_millis(800));
    }
    let base = site.kv.revision_of("manifest");
    roll(&mut site, "v1", base).await;
    let effects = site.engines.clone();
    eventually("the first order takes effect", move || {
        effects.iter().any(|e| !e.order_effects().is_empty())
    })
    .await;
    let killed = holder(&site, &processes).expect("the cell has a holder");
    killed.signal(Signal::SIGKILL);
    let name = killed.settings.instance.to_string();
    site.list.set_state(&name, lentil_node::ports::ListState::Gone);
    for engine in &site.engines {
        engine.faults.update(|f| f.order_delay = Duration::ZERO);
    }
    reached(&site, "v1").await;
    check_effects(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_with_lost_store_answers_gives_each_order_once() {
    let (mut site, _processes) = site().await;
    let base = site.kv.revision_of("manifest");
    let base = roll(&mut site, "v1", base).await;
    site.kv.faults.update(|f| f.lose_every = 2);
    reached(&site, "v1").await;
    site.kv.faults.update(|f| f.lose_every = 0);
    roll(&mut site, "v2", base).await;
    site.kv.faults.update(|f| f.lose_every = 3);
    reached(&site, "v2").await;
    check_effects(&site);
    for engine in &site.engines {
        assert_eq!(engine.order_effects().iter().filter(|e| is_model(&e.command.order)).count(), 2);
    }
}

fn is_model(order: &lentil_core::order::Order) -> bool {
    matches!(order, lentil_core::order::Order::Model(_))
}
