//! Orders of real processes whose lease holder is paused or killed, or loses responses of the store.
//! No order of a former holder may take effect, and none may take effect twice.

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

/// Pause of a lease holder, longer than the lease of 3 s in the test settings.
const HOLDER_PAUSE: Duration = Duration::from_millis(4_500);

async fn start_deployment() -> (Deployment, Vec<InstanceProcess>) {
    let mut engines = vec![EngineSetup::default(); 4];
    for (i, engine) in engines.iter_mut().enumerate() {
        engine.fenced = i % 2 == 0;
        engine.change_time = Duration::from_millis(100);
    }
    let deployment =
        Deployment::start(DeploymentSetup { engines, ..DeploymentSetup::default() }).await;
    deployment.apply_manifest(Revision(0)).await;
    let processes: Vec<InstanceProcess> =
        (0..3).map(|i| common::start_process(&deployment, i)).collect();
    for process in &processes {
        process.wait_ready().await;
    }
    (deployment, processes)
}

/// Applies a manifest with another model version, which requires an order to each engine.
async fn roll_out(deployment: &mut Deployment, version: &str, base: Revision) -> Revision {
    for model in deployment.manifest.models.values_mut() {
        model.version = version.parse().unwrap();
    }
    deployment.apply_manifest(base).await
}

fn find_holder<'a>(
    deployment: &Deployment,
    processes: &'a [InstanceProcess],
) -> Option<&'a InstanceProcess> {
    let name = deployment.lease_holder()?;
    processes.iter().find(|p| p.settings.instance.as_str() == name)
}

/// Checks that the orders of each engine took effect with rising fencing numbers and cut no run.
fn check_effects(deployment: &Deployment) {
    for (i, engine) in deployment.engines.iter().enumerate() {
        let numbers: Vec<u64> = engine.order_effects().iter().map(|e| e.command.number.0).collect();
        assert!(numbers.windows(2).all(|w| w[0] < w[1]), "engine e{i}: {numbers:?}");
        assert!(engine.order_effects().iter().all(|e| e.runs_cut == 0), "engine e{i} cut runs");
    }
}

/// Waits until all engines serve the version.
async fn wait_for_version(deployment: &Deployment, version: &str) {
    let engines = deployment.engines.clone();
    let version: lentil_core::ids::VersionId = version.parse().unwrap();
    eventually("all engines serve the version", move || {
        engines.iter().all(|e| e.report().version == version && !e.report().changing)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_paused_past_its_lease_gives_no_more_orders() {
    let (mut deployment, processes) = start_deployment().await;
    // Slow orders, so that some pauses fall between an order and its response.
    for engine in &deployment.engines {
        engine.faults.update(|f| f.order_delay = Duration::from_millis(300));
    }
    for round in 0..3 {
        let base = deployment.kv.revision_of("manifest");
        roll_out(&mut deployment, &format!("v{round}"), base).await;
        sleep(Duration::from_millis(1_500 + 170 * round)).await;
        let paused = find_holder(&deployment, &processes).expect("the cell has a holder");
        paused.signal(Signal::SIGSTOP);
        sleep(HOLDER_PAUSE).await;
        let name = paused.settings.instance.as_str();
        assert_ne!(
            deployment.lease_holder().as_deref(),
            Some(name),
            "another instance holds the cell"
        );
        paused.signal(Signal::SIGCONT);
        sleep(Duration::from_millis(500)).await;
        check_effects(&deployment);
    }
    wait_for_version(&deployment, "v2").await;
    check_effects(&deployment);
}

#[tokio::test(flavor = "multi_thread")]
async fn next_holder_completes_the_change_of_a_killed_holder() {
    let (mut deployment, processes) = start_deployment().await;
    for engine in &deployment.engines {
        engine.faults.update(|f| f.order_delay = Duration::from_millis(800));
    }
    let base = deployment.kv.revision_of("manifest");
    roll_out(&mut deployment, "v1", base).await;
    let engines = deployment.engines.clone();
    eventually("the first order takes effect", move || {
        engines.iter().any(|e| !e.order_effects().is_empty())
    })
    .await;
    let killed = find_holder(&deployment, &processes).expect("the cell has a holder");
    killed.signal(Signal::SIGKILL);
    let name = killed.settings.instance.to_string();
    deployment.list.set_state(&name, lentil_node::ports::ListState::Gone);
    for engine in &deployment.engines {
        engine.faults.update(|f| f.order_delay = Duration::ZERO);
    }
    wait_for_version(&deployment, "v1").await;
    check_effects(&deployment);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_gives_each_order_once_when_store_responses_are_lost() {
    let (mut deployment, _processes) = start_deployment().await;
    let base = deployment.kv.revision_of("manifest");
    let base = roll_out(&mut deployment, "v1", base).await;
    deployment.kv.faults.update(|f| f.lose_every = 2);
    wait_for_version(&deployment, "v1").await;
    deployment.kv.faults.update(|f| f.lose_every = 0);
    roll_out(&mut deployment, "v2", base).await;
    deployment.kv.faults.update(|f| f.lose_every = 3);
    wait_for_version(&deployment, "v2").await;
    check_effects(&deployment);
    for engine in &deployment.engines {
        assert_eq!(
            engine.order_effects().iter().filter(|e| is_model_order(&e.command.order)).count(),
            2
        );
    }
}

fn is_model_order(order: &lentil_core::order::Order) -> bool {
    matches!(order, lentil_core::order::Order::Model(_))
}
