//! The whole path on real sockets: callers, instances, stand-ins.

use {
    hyper::Method,
    lentil_core::{ids::Revision, manifest::Role},
    lentil_fakes::{
        client::{Caller, CompletionRequest, StreamReply},
        deployment::{eventually, Deployment, DeploymentSetup, CAMERA_KEY, DESK_KEY},
        engine::expected_answer,
    },
};

fn prompt(text: &str, stream: bool) -> CompletionRequest {
    CompletionRequest { model: "groot".into(), prompt: text.into(), max_tokens: 12, stream }
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_whole_and_streamed() {
    let site = Deployment::start(DeploymentSetup::default()).await;
    site.apply_manifest(Revision(0)).await;
    let instances = site.start_instances(2).await;
    let caller = Caller::new(CAMERA_KEY);
    let at = instances[0].address();
    let whole = caller.complete(at, &prompt("a bright meteor", false)).await.unwrap();
    assert_eq!(whole.status, 200, "{}", whole.body);
    let want = expected_answer("a bright meteor", "", 12);
    assert_eq!(whole.field("/choices/0/text"), want);
    assert_eq!(whole.field("/choices/0/finish_reason"), "length");
    assert_eq!(whole.field("/usage/completion_tokens"), "12");

    let StreamReply::Events(mut events) = caller
        .stream_completion(instances[1].address(), &prompt("a bright meteor", true))
        .await
        .unwrap()
    else {
        panic!("the stream was refused");
    };
    let (mut text, mut ids) = (String::new(), Vec::new());
    while let Some(event) = events.next().await {
        if event.is_done() {
            break;
        }
        text.push_str(&event.text());
        ids.push(event.id.rsplit(':').next().unwrap().to_owned());
    }
    assert_eq!(text, want);
    assert_eq!(ids[..3], ["1", "2", "3"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn complete_resolves_names_by_the_callers_group() {
    let site = Deployment::start(DeploymentSetup::default()).await;
    site.apply_manifest(Revision(0)).await;
    let instances = site.start_instances(1).await;
    let at = instances[0].address();
    let app = instances[0].app.clone();
    eventually("the adapter is loaded by order", move || {
        app.fleet().engines.iter().any(|e| !e.adapters.is_empty())
    })
    .await;
    let ask = CompletionRequest { model: "verslag".into(), ..prompt("len=3 x", false) };
    let camera = Caller::new(CAMERA_KEY).complete(at, &ask).await.unwrap();
    let desk = Caller::new(DESK_KEY).complete(at, &ask).await.unwrap();
    assert_eq!(
        camera.field("/choices/0/text"),
        expected_answer("len=3 x", "rapport", 12),
        "{}",
        camera.body
    );
    assert_eq!(desk.field("/choices/0/text"), expected_answer("len=3 x", "", 12), "{}", desk.body);
    let models = Caller::new(DESK_KEY).call(at, Method::GET, "/v1/models", "").await.unwrap();
    assert_eq!(models.field("/data/0/id"), "verslag");
}

#[tokio::test(flavor = "multi_thread")]
async fn dispatch_answers_bad_input_by_the_table() {
    let site = Deployment::start(DeploymentSetup::default()).await;
    site.apply_manifest(Revision(0)).await;
    let mut settings = site.settings(0);
    settings.limits.body.0 = 1_000;
    let instance = site.start_instance_with(settings).await;
    instance.wait_ready().await;
    let at = instance.address();
    let long = format!("{{\"model\": \"groot\", \"prompt\": \"{}\"}}", "x".repeat(1_000));
    let cases = [
        ("no key", "", "/v1/completions", "{}", 401, "no-caller"),
        ("wrong key", "nobody", "/v1/completions", "{}", 401, "no-caller"),
        ("not JSON", CAMERA_KEY, "/v1/completions", "{", 400, "bad-request"),
        ("no prompt", CAMERA_KEY, "/v1/completions", "{\"model\": \"groot\"}", 400, "bad-request"),
        (
            "no model",
            CAMERA_KEY,
            "/v1/completions",
            r#"{"model": "x", "prompt": "y"}"#,
            404,
            "unknown-model",
        ),
        ("too large", CAMERA_KEY, "/v1/completions", &long, 413, "too-large"),
        ("no service", CAMERA_KEY, "/services/none/x", "", 404, "unknown-service"),
        ("no path", CAMERA_KEY, "/v2/else", "", 404, "no-route"),
        ("key needed", CAMERA_KEY, "/services/bookings/vouchers", "", 400, "bad-request"),
    ];
    for (name, key, path, body, status, code) in cases {
        let reply = Caller::new(key).call(at, Method::POST, path, body).await.unwrap();
        assert_eq!((reply.status, reply.field("/error/code").as_str()), (status, code), "{name}");
        assert_eq!(reply.header("lentil-outcome"), "not-run", "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn call_service_runs_a_key_once() {
    let site = Deployment::start(DeploymentSetup::default()).await;
    site.apply_manifest(Revision(0)).await;
    let instances = site.start_instances(2).await;
    let caller = Caller::new(DESK_KEY);
    let (a, b) = (instances[0].address(), instances[1].address());
    let path = "/services/bookings/manifest";
    let first = caller.post_keyed(a, path, "k1", "seat 1").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.body);
    let mut again = caller.post_keyed(b, path, "k1", "seat 1").await.unwrap();
    while again.status == 409 {
        again = caller.post_keyed(b, path, "k1", "seat 1").await.unwrap();
    }
    assert_eq!(again.body, first.body);
    assert_eq!(again.header("lentil-stored"), "yes");
    let reused = caller.post_keyed(b, path, "k1", "seat 2").await.unwrap();
    assert_eq!(reused.field("/error/code"), "key-reused");
    assert_eq!(site.effects.run_counts().values().collect::<Vec<_>>(), [&1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn control_changes_a_role_by_order_when_the_mix_asks_for_it() {
    let mut setup = DeploymentSetup { change_weight: 0.0, ..DeploymentSetup::default() };
    setup.engines.iter_mut().for_each(|e| e.prefill_rate = 20_000.0);
    let site = Deployment::start(setup).await;
    site.apply_manifest(Revision(0)).await;
    let instances = site.start_instances(2).await;
    let caller = Caller::new(CAMERA_KEY);
    let at = instances[0].address();
    let long = "stacked frames ".repeat(4_000);
    let engines = site.engines.clone();
    let load = async {
        for i in 0..400 {
            let ask = CompletionRequest { max_tokens: 1, ..prompt(&format!("{i} {long}"), false) };
            let _ = caller.complete(at, &ask).await;
        }
    };
    let changed = eventually("a role changes", move || {
        engines.iter().any(|e| e.report().role == Role::Prefill)
    });
    tokio::select! {
        () = load => panic!("no role changed under the load"),
        () = changed => {}
    }
    let cut: usize = site.engines.iter().flat_map(|e| e.order_effects()).map(|e| e.runs_cut).sum();
    assert_eq!(cut, 0);
}
