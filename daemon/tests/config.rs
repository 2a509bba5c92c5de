//! Distribution of the manifest to all instances during concurrent edits, lost responses and outages
//! of the store.

use {
    lentil_core::{
        ids::Revision,
        manifest::{ChangeWeight, Manifest, WorkspaceSpec},
    },
    lentil_fakes::deployment::{eventually, Deployment, DeploymentSetup, Instance},
    lentil_node::adapters::HttpStore,
    lentilctl::commands::{write, Applied},
    std::{
        sync::{atomic::Ordering, Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

fn store_client(deployment: &Deployment) -> HttpStore {
    HttpStore::new(deployment.kv_server.address, Duration::from_secs(2))
}

fn with_weight(deployment: &Deployment, weight: f64) -> Manifest {
    Manifest { weight: ChangeWeight(weight), ..deployment.manifest.clone() }
}

/// Waits until all instances use a revision or a later one; returns the time that this took.
async fn wait_for_revision(instances: &[Instance], revision: Revision) -> Duration {
    let started = Instant::now();
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    eventually("all instances use the revision", move || {
        apps.iter().all(|a| a.revision() >= revision)
    })
    .await;
    started.elapsed()
}

/// Polls the revision of each instance; returns a list that gets a line for each decrease.
fn watch_revisions(instances: &[Instance]) -> Arc<Mutex<Vec<String>>> {
    let decreases = Arc::new(Mutex::new(Vec::new()));
    for instance in instances {
        let (app, decreases) = (instance.app.clone(), decreases.clone());
        tokio::spawn(async move {
            let mut last = Revision(0);
            loop {
                let now = app.revision();
                if now < last {
                    decreases.lock().unwrap().push(format!("{}: {last} to {now}", app.identity));
                }
                last = now;
                sleep(Duration::from_millis(1)).await;
            }
        });
    }
    decreases
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_edits_lose_no_accepted_edit() {
    let deployment = Arc::new(Deployment::start(DeploymentSetup::default()).await);
    let first = deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(3).await;
    let decreases = watch_revisions(&instances);
    deployment.kv.faults.update(|f| f.lose_every = 3);
    let mut operators = JoinSet::new();
    for operator in 0..4 {
        let deployment = deployment.clone();
        operators.spawn(async move {
            let (store, mut accepted) = (store_client(&deployment), Vec::new());
            for edit in 0..6 {
                // Adds a workspace to the manifest in the store and retries on a conflict, as a
                // pipeline does.
                loop {
                    let Ok(Some((base, record))) = lentil_node::follow::read_manifest(&store).await
                    else {
                        continue;
                    };
                    let mut manifest = record.manifest;
                    let name = format!("w-{operator}-{edit}");
                    let share = WorkspaceSpec { share: 1.0 };
                    manifest.workspaces.insert(name.parse().unwrap(), share);
                    match write(&store, base, manifest).await {
                        Ok(Applied::Done(_)) => break accepted.push(name),
                        Ok(Applied::Conflict(_)) => {
                            let current = lentil_node::follow::read_manifest(&store).await;
                            let Ok(Some((_, record))) = current else { continue };
                            let is_present =
                                record.manifest.workspaces.contains_key(&name.parse().unwrap());
                            assert!(!is_present, "{name} was refused but is in the store");
                        }
                        Err(_) => {}
                    }
                }
            }
            accepted
        });
    }
    let accepted: Vec<String> = operators.join_all().await.into_iter().flatten().collect();
    deployment.kv.faults.update(|f| f.lose_every = 0);
    assert_eq!(accepted.len(), 24);
    let last = deployment.kv.revision_of("manifest");
    let took = wait_for_revision(&instances, last).await;
    println!("in force on all instances after {took:?}");
    assert!(last > first);
    for instance in &instances {
        let manifest = instance.app.manifest_index().unwrap().manifest.clone();
        for name in &accepted {
            assert!(
                manifest.workspaces.contains_key(&name.parse().unwrap()),
                "the accepted workspace {name} is missing"
            );
        }
    }
    assert_eq!(*decreases.lock().unwrap(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn activate_manifest_ignores_an_older_revision() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    let first = deployment.apply_manifest(Revision(0)).await;
    let instance = deployment.start_instance(0).await;
    instance.wait_ready().await;
    let old = (*instance.app.active_manifest().unwrap().record).clone();
    let done =
        write(&store_client(&deployment), first, with_weight(&deployment, 9.0)).await.unwrap();
    let Applied::Done(second) = done else { panic!("not written") };
    wait_for_revision(std::slice::from_ref(&instance), second).await;
    assert!(!instance.app.activate_manifest(first, old));
    assert_eq!(instance.app.revision(), second);
    assert_eq!(instance.app.manifest_index().unwrap().manifest.weight.0, 9.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_that_starts_in_a_store_outage_gets_the_manifest_from_members() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    let first = deployment.apply_manifest(Revision(0)).await;
    let mut instances = deployment.start_instances(2).await;
    deployment.kv.faults.update(|f| f.down = true);
    let late = deployment.start_instance(2).await;
    late.wait_ready().await;
    assert_eq!(late.app.revision(), first);
    deployment.kv.faults.update(|f| f.down = false);
    let done =
        write(&store_client(&deployment), first, with_weight(&deployment, 9.0)).await.unwrap();
    let Applied::Done(second) = done else { panic!("not written") };
    instances.push(late);
    let took = wait_for_revision(&instances, second).await;
    println!("in force on all instances after {took:?}");
    assert!(instances.iter().all(|i| i.app.manifest_index().unwrap().manifest.weight.0 == 9.0));
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_without_a_manifest_is_not_ready() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.kv.faults.update(|f| f.down = true);
    let instance = deployment.start_instance(0).await;
    sleep(Duration::from_millis(800)).await;
    assert!(!instance.app.ready());
    deployment.kv.faults.update(|f| f.down = false);
    deployment.apply_manifest(Revision(0)).await;
    instance.wait_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_reads_do_not_grow_with_the_number_of_instances() {
    let mut reads = Vec::new();
    for count in [6, 24, 60] {
        let deployment = Deployment::start(DeploymentSetup {
            engines: Vec::new(),
            ..DeploymentSetup::default()
        })
        .await;
        // Without engines there is no cell, so all reads are those that follow the manifest.
        let mut bare = deployment.manifest.clone();
        bare.models.clear();
        bare.groups.clear();
        bare.callers.values_mut().for_each(|c| {
            c.models.clear();
            c.group = None;
        });
        let Ok(Applied::Done(first)) =
            write(&store_client(&deployment), Revision(0), bare.clone()).await
        else {
            panic!("not written");
        };
        let mut instances = Vec::new();
        for i in 0..count {
            instances.push(deployment.start_instance(i).await);
        }
        wait_for_revision(&instances, first).await;
        // While the members are still unknown, more instances watch the store than necessary.
        let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
        let expected = (count - 1).min(lentil_core::mesh::MAX_REGION_MEMBERS);
        eventually("all instances know the other members", move || {
            apps.iter().all(|a| a.member_view().live().count() >= expected)
        })
        .await;
        sleep(Duration::from_secs(6)).await;
        let before = deployment.kv.calls.reads.load(Ordering::Relaxed);
        bare.weight = ChangeWeight(7.0);
        let Ok(Applied::Done(next)) = write(&store_client(&deployment), first, bare).await else {
            panic!("not written");
        };
        let took = wait_for_revision(&instances, next).await;
        println!("{count} instances: in force on all after {took:?}");
        sleep(Duration::from_secs(6)).await;
        reads.push(deployment.kv.calls.reads.load(Ordering::Relaxed) - before);
    }
    println!("reads in 6 s with 6, 24 and 60 instances: {reads:?}");
    assert!(reads[2] <= reads[0] + 12, "{reads:?}");
}
