//! End-to-end requests on real sockets, from callers through instances to fake engines and targets.

use {
    hyper::Method,
    lentil_core::{ids::Revision, manifest::Role},
    lentil_fakes::{
        client::{Caller, CompletionRequest, StreamReply},
        deployment::{eventually, Deployment, DeploymentSetup, CAMERA_KEY, DESK_KEY},
        engine::expected_answer,
    },
};

fn completion(text: &str, stream: bool) -> CompletionRequest {
    CompletionRequest { model: "groot".into(), prompt: text.into(), max_tokens: 12, stream }
}

#[tokio::test(flavor = "multi_thread")]
async fn completion_has_the_same_text_with_and_without_streaming() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let caller = Caller::new(CAMERA_KEY);
    let address = instances[0].address();
    let reply = caller.complete(address, &completion("a bright meteor", false)).await.unwrap();
    assert_eq!(reply.status, 200, "{}", reply.body);
    let expected = expected_answer("a bright meteor", "", 12);
    assert_eq!(reply.field("/choices/0/text"), expected);
    assert_eq!(reply.field("/choices/0/finish_reason"), "length");
    assert_eq!(reply.field("/usage/completion_tokens"), "12");

    let StreamReply::Events(mut events) = caller
        .stream_completion(instances[1].address(), &completion("a bright meteor", true))
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
    assert_eq!(text, expected);
    assert_eq!(ids[..3], ["1", "2", "3"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn model_name_is_resolved_by_the_group_of_the_caller() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(1).await;
    let address = instances[0].address();
    let app = instances[0].app.clone();
    eventually("the adapter is loaded", move || {
        app.fleet().engines.iter().any(|e| !e.adapters.is_empty())
    })
    .await;
    let request = CompletionRequest { model: "verslag".into(), ..completion("len=3 x", false) };
    let camera = Caller::new(CAMERA_KEY).complete(address, &request).await.unwrap();
    let desk = Caller::new(DESK_KEY).complete(address, &request).await.unwrap();
    assert_eq!(
        camera.field("/choices/0/text"),
        expected_answer("len=3 x", "rapport", 12),
        "{}",
        camera.body
    );
    assert_eq!(desk.field("/choices/0/text"), expected_answer("len=3 x", "", 12), "{}", desk.body);
    let models = Caller::new(DESK_KEY).call(address, Method::GET, "/v1/models", "").await.unwrap();
    assert_eq!(models.field("/data/0/id"), "verslag");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_gets_its_error_code_and_outcome_not_run() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let mut settings = deployment.settings(0);
    settings.limits.body.0 = 1_000;
    let instance = deployment.start_instance_with(settings).await;
    instance.wait_ready().await;
    let address = instance.address();
    let long = format!("{{\"model\": \"groot\", \"prompt\": \"{}\"}}", "x".repeat(1_000));
    let cases = [
        ("no caller key", "", "/v1/completions", "{}", 401, "no-caller"),
        ("unknown caller key", "nobody", "/v1/completions", "{}", 401, "no-caller"),
        ("not JSON", CAMERA_KEY, "/v1/completions", "{", 400, "bad-request"),
        ("no prompt", CAMERA_KEY, "/v1/completions", "{\"model\": \"groot\"}", 400, "bad-request"),
        (
            "unknown model",
            CAMERA_KEY,
            "/v1/completions",
            r#"{"model": "x", "prompt": "y"}"#,
            404,
            "unknown-model",
        ),
        ("too large", CAMERA_KEY, "/v1/completions", &long, 413, "too-large"),
        ("unknown service", CAMERA_KEY, "/services/none/x", "", 404, "unknown-service"),
        ("unknown path", CAMERA_KEY, "/v2/else", "", 404, "no-route"),
        ("no idempotency key", CAMERA_KEY, "/services/bookings/vouchers", "", 400, "bad-request"),
    ];
    for (name, key, path, body, status, code) in cases {
        let reply = Caller::new(key).call(address, Method::POST, path, body).await.unwrap();
        assert_eq!((reply.status, reply.field("/error/code").as_str()), (status, code), "{name}");
        assert_eq!(reply.header("lentil-outcome"), "not-run", "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_service_call_runs_once_on_two_instances() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
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
    assert_eq!(deployment.effects.run_counts().values().collect::<Vec<_>>(), [&1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn long_prompts_change_a_role_without_cutting_a_run() {
    let mut setup = DeploymentSetup { change_weight: 0.0, ..DeploymentSetup::default() };
    setup.engines.iter_mut().for_each(|e| e.prefill_rate = 20_000.0);
    let deployment = Deployment::start(setup).await;
    deployment.apply_manifest(Revision(0)).await;
    let instances = deployment.start_instances(2).await;
    let caller = Caller::new(CAMERA_KEY);
    let address = instances[0].address();
    let long_prompt = "stacked frames ".repeat(4_000);
    let engines = deployment.engines.clone();
    let load = async {
        for i in 0..400 {
            let request = CompletionRequest {
                max_tokens: 1,
                ..completion(&format!("{i} {long_prompt}"), false)
            };
            let _ = caller.complete(address, &request).await;
        }
    };
    let changed = eventually("a role changes", move || {
        engines.iter().any(|e| e.report().role == Role::Prefill)
    });
    tokio::select! {
        () = load => panic!("no role changed under the load"),
        () = changed => {}
    }
    let runs_cut: usize =
        deployment.engines.iter().flat_map(|e| e.order_effects()).map(|e| e.runs_cut).sum();
    assert_eq!(runs_cut, 0);
}
