//! Messages of version 2 between instances on real sockets.

use {
    lentil_core::{
        ids::{Incarnation, Revision},
        mesh::{Announcement, Extension, PaceEntry, TargetPace, VersionRange},
    },
    lentil_fakes::deployment::{eventually, Deployment, DeploymentSetup},
    lentil_node::{
        app::App,
        mesh::{broadcast_extension, send_extension},
        queries::status,
    },
};

fn pace() -> Extension {
    let entries = vec![PaceEntry { target: "e1".into(), pace: 250, age_ms: 20 }];
    Extension::TargetPace(TargetPace { entries })
}

fn extensions(app: &App, end: &str) -> f64 {
    let text = String::from_utf8(app.metrics.encode()).unwrap();
    let line = format!("lentil_mesh_extensions_total{{end=\"{end}\",message=\"target_pace\"}} ");
    text.lines().find_map(|l| l.strip_prefix(&line)).map_or(0.0, |n| n.parse().unwrap())
}

/// Guards against a message of version 2 for a process that hasn't announced the version, and
/// against one that is omitted although the receiver understands it.
#[tokio::test(flavor = "multi_thread")]
async fn extension_is_sent_only_to_an_incarnation_that_announced_it() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let (a, b) = (&instances[0].app, &instances[1].app);
    let (id, address) = (&b.identity.instance, b.settings.mesh.listen);
    eventually("the announcement arrives", || {
        a.peer_versions.get(id).is_some() && a.member_view().member(id).is_some()
    })
    .await;
    assert!(send_extension(a, address, id, pace()).await);
    assert_eq!(broadcast_extension(a, &pace()).await, 1);
    eventually("both messages are handled", || extensions(b, "received") == 2.0).await;
    eventually("the frame announces its sender", || {
        b.peer_versions.get(&a.identity.instance).is_some_and(|p| p.start == a.identity.start)
    })
    .await;

    // The next incarnation of the name runs a build that announces nothing.
    let mut next = b.member_view().me().clone();
    next.start = Incarnation(next.start.0 + 1);
    a.member_view().record_heartbeat(&next, a.now());
    assert!(!send_extension(a, address, id, pace()).await);
    let announced =
        Announcement { start: next.start, build: None, versions: VersionRange::UNANNOUNCED };
    a.peer_versions.record(id, announced);
    assert!(!send_extension(a, address, id, pace()).await);
    assert_eq!(extensions(a, "omitted"), 2.0);
    let builds = status(a).builds;
    assert_eq!(builds.len(), 2);
    let own = builds.iter().find(|build| build.instance == a.identity.instance).unwrap();
    assert_eq!(own.versions, Some(VersionRange::OWN));
    let other = builds.iter().find(|build| build.instance == *id).unwrap();
    assert_eq!((&other.build, other.versions), (&None, Some(VersionRange::UNANNOUNCED)));
    let unknown = "someone-else".parse().unwrap();
    assert!(!send_extension(a, address, &unknown, pace()).await);
}

/// Guards against a guarantee that needs a message of version 2 while a member runs an older build:
/// instances that announce nothing find each other, follow the manifest and are ready.
#[tokio::test(flavor = "multi_thread")]
async fn instances_without_announcements_follow_the_manifest() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    let first = deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let apps: Vec<&App> = instances.iter().map(|i| &*i.app).collect();
    eventually("both are members and have announced themselves", || {
        let announced = |app: &&App| app.peer_versions.all().len() == 1;
        apps.iter().all(|app| announced(app) && app.member_view().live().count() == 1)
    })
    .await;
    for app in &apps {
        for (id, announced) in app.peer_versions.all() {
            let versions = VersionRange::UNANNOUNCED;
            app.peer_versions.record(&id, Announcement { versions, ..announced });
        }
    }
    let second = deployment.apply_manifest(first).await;
    eventually("both follow the manifest", || apps.iter().all(|app| app.revision() == second))
        .await;
    for app in &apps {
        assert_eq!(broadcast_extension(app, &pace()).await, 0);
        assert!(app.ready());
        assert_eq!(app.member_view().live().count(), 1);
    }
}
