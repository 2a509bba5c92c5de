//! The manifest in force on all instances, through races, lost answers and outages.

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

fn store(site: &Deployment) -> HttpStore {
    HttpStore::new(site.kv_server.address, Duration::from_secs(2))
}

fn edited(site: &Deployment, weight: f64) -> Manifest {
    Manifest { weight: ChangeWeight(weight), ..site.manifest.clone() }
}

/// Waits until all instances have a revision, and tells how long that took.
async fn in_force(instances: &[Instance], revision: Revision) -> Duration {
    let begun = Instant::now();
    let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
    eventually("a revision is in force", move || apps.iter().all(|a| a.revision() >= revision))
        .await;
    begun.elapsed()
}

/// Notes every revision that an instance has, and fails if one goes back.
fn watch_revisions(instances: &[Instance]) -> Arc<Mutex<Vec<String>>> {
    let faults = Arc::new(Mutex::new(Vec::new()));
    for instance in instances {
        let (app, faults) = (instance.app.clone(), faults.clone());
        tokio::spawn(async move {
            let mut last = Revision(0);
            loop {
                let now = app.revision();
                if now < last {
                    faults.lock().unwrap().push(format!("{}: {last} to {now}", app.identity));
                }
                last = now;
                sleep(Duration::from_millis(1)).await;
            }
        });
    }
    faults
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_edits_lose_none_that_was_accepted() {
    let site = Arc::new(Deployment::start(DeploymentSetup::default()).await);
    let first = site.apply_manifest(Revision(0)).await;
    let instances = site.start_instances(3).await;
    let faults = watch_revisions(&instances);
    site.kv.faults.update(|f| f.lose_every = 3);
    let mut operators = JoinSet::new();
    for operator in 0..4 {
        let site = site.clone();
        operators.spawn(async move {
            let (store, mut accepted) = (store(&site), Vec::new());
            for edit in 0..6 {
                // Each edit adds a workspace to what stands in the store, as a pipeline does.
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
                            let now = lentil_node::follow::read_manifest(&store).await;
                            let Ok(Some((_, record))) = now else { continue };
                            let own =
                                record.manifest.workspaces.contains_key(&name.parse().unwrap());
                            assert!(!own, "{name} was refused but is in the store");
                        }
                        Err(_) => {}
                    }
                }
            }
            accepted
        });
    }
    let accepted: Vec<String> = operators.join_all().await.into_iter().flatten().collect();
    site.kv.faults.update(|f| f.lose_every = 0);
    assert_eq!(accepted.len(), 24);
    let last = site.kv.revision_of("manifest");
    let took = in_force(&instances, last).await;
    println!("in force everywhere after {took:?}");
    assert!(last > first);
    for instance in &instances {
        let manifest = instance.app.manifest_index().unwrap().manifest.clone();
        for name in &accepted {
            assert!(manifest.workspaces.contains_key(&name.parse().unwrap()), "{name} is lost");
        }
    }
    assert_eq!(*faults.lock().unwrap(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn activate_manifest_never_goes_back() {
    let site = Deployment::start(DeploymentSetup::default()).await;
    let first = site.apply_manifest(Revision(0)).await;
    let instance = site.start_instance(0).await;
    instance.wait_ready().await;
    let old = (*instance.app.active_manifest().unwrap().record).clone();
    let done = write(&store(&site), first, edited(&site, 9.0)).await.unwrap();
    let Applied::Done(second) = done else { panic!("not written") };
    in_force(std::slice::from_ref(&instance), second).await;
    assert!(!instance.app.activate_manifest(first, old));
    assert_eq!(instance.app.revision(), second);
    assert_eq!(instance.app.manifest_index().unwrap().manifest.weight.0, 9.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_that_starts_in_an_outage_hears_from_the_others() {
    let site = Deployment::start(DeploymentSetup::default()).await;
    let first = site.apply_manifest(Revision(0)).await;
    let mut instances = site.start_instances(2).await;
    site.kv.faults.update(|f| f.down = true);
    let late = site.start_instance(2).await;
    late.wait_ready().await;
    assert_eq!(late.app.revision(), first);
    site.kv.faults.update(|f| f.down = false);
    let done = write(&store(&site), first, edited(&site, 9.0)).await.unwrap();
    let Applied::Done(second) = done else { panic!("not written") };
    instances.push(late);
    let took = in_force(&instances, second).await;
    println!("in force everywhere after {took:?}");
    assert!(instances.iter().all(|i| i.app.manifest_index().unwrap().manifest.weight.0 == 9.0));
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_without_a_manifest_is_not_ready() {
    let site = Deployment::start(DeploymentSetup::default()).await;
    site.kv.faults.update(|f| f.down = true);
    let instance = site.start_instance(0).await;
    sleep(Duration::from_millis(800)).await;
    assert!(!instance.app.ready());
    site.kv.faults.update(|f| f.down = false);
    site.apply_manifest(Revision(0)).await;
    instance.wait_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_calls_stay_flat_as_instances_grow() {
    let mut rates = Vec::new();
    for count in [6, 24, 60] {
        let site = Deployment::start(DeploymentSetup {
            engines: Vec::new(),
            ..DeploymentSetup::default()
        })
        .await;
        // No engine and so no cell: only the calls that follow the manifest are counted.
        let mut bare = site.manifest.clone();
        bare.models.clear();
        bare.groups.clear();
        bare.callers.values_mut().for_each(|c| {
            c.models.clear();
            c.group = None;
        });
        let Ok(Applied::Done(first)) = write(&store(&site), Revision(0), bare.clone()).await else {
            panic!("not written");
        };
        let mut instances = Vec::new();
        for i in 0..count {
            instances.push(site.start_instance(i).await);
        }
        in_force(&instances, first).await;
        // Until all know the others, more watch than need to.
        let apps: Vec<_> = instances.iter().map(|i| i.app.clone()).collect();
        let enough = (count - 1).min(lentil_core::mesh::MAX_REGION_MEMBERS);
        eventually("views are full", move || {
            apps.iter().all(|a| a.member_view().live().count() >= enough)
        })
        .await;
        sleep(Duration::from_secs(6)).await;
        let before = site.kv.calls.reads.load(Ordering::Relaxed);
        bare.weight = ChangeWeight(7.0);
        let Ok(Applied::Done(next)) = write(&store(&site), first, bare).await else {
            panic!("not written");
        };
        let took = in_force(&instances, next).await;
        println!("{count} instances: in force everywhere after {took:?}");
        sleep(Duration::from_secs(6)).await;
        rates.push(site.kv.calls.reads.load(Ordering::Relaxed) - before);
    }
    println!("reads in 6 s with 6, 24 and 60 instances: {rates:?}");
    assert!(rates[2] <= rates[0] + 12, "{rates:?}");
}
