//! Crowds of clients that send large or unfinished requests: the process lives, its memory and file
//! descriptors stay bounded, and ordinary callers are answered.
//!
//! `cargo test --release -p lentilgrade --test crowd -- --test-threads=1`, apart from other load.

#[path = "../../platform/tests/common/mod.rs"]
mod platform;

mod crowds;

use {
    crowds::*,
    lentil_core::ids::{Bytes, Revision},
    lentil_fakes::deployment::{free_address, DeploymentSetup},
    platform::{request, Deployment},
    std::{sync::Arc, time::Duration},
};

/// Clients that send large bodies; together more than the instance may hold.
const CLIENTS: usize = 60;
/// Size of a body over the limit.
const OVERSIZED_BODY: usize = 16 << 20;
/// Size of the chunks of a body over the limit.
const CHUNK: usize = 256 << 10;

async fn start() -> (Deployment, Process) {
    start_with(MANY_DESCRIPTORS).await
}

async fn start_with(descriptors: u64) -> (Deployment, Process) {
    let deployment = Deployment::start(2).await;
    deployment.store.put("op/config", crowd_config().to_string());
    let process = start_instance(&deployment, descriptors).await;
    (deployment, process)
}

fn ordinary() -> String {
    request("POST", "/safe/a", "ordinary", "", "x")
}

/// Checks the process and an ordinary caller beside the crowd, and once it is gone a caller with the
/// largest legal body.
async fn check_beside(process: &mut Process, crowd: Vec<tokio::net::TcpStream>) {
    hold().await;
    process.serve_ordinary(&ordinary()).await;
    process.check();
    drop(crowd);
    process.serve_ordinary(&ordinary()).await;
    process.serve_ordinary(&request("POST", "/safe/a", "largest", "", &"x".repeat(MAX_BODY))).await;
    process.check();
}

fn head_with_length(id: usize, length: usize) -> Arc<[u8]> {
    let head = patient_head("/safe/a", id, &format!("Content-Length: {length}\r\n"));
    head.into_bytes().into()
}

fn chunked_head(id: usize) -> Arc<[u8]> {
    patient_head("/safe/a", id, "Transfer-Encoding: chunked\r\n").into_bytes().into()
}

/// A chunk without the line end after it.
fn open_chunk(size: usize) -> Arc<[u8]> {
    let mut bytes = format!("{size:x}\r\n").into_bytes();
    bytes.resize(bytes.len() + size, b'x');
    bytes.into()
}

fn bytes_of(size: usize) -> Arc<[u8]> {
    vec![b'x'; size].into()
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_with_a_length_that_stop_short_of_their_end() {
    let (_deployment, mut process) = start().await;
    let body = bytes_of(MAX_BODY - 1);
    let parts = |i| vec![head_with_length(i, MAX_BODY), body.clone()];
    let crowd = send_all(process.front, CLIENTS, parts).await;
    check_beside(&mut process, crowd).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_one_chunk_without_an_end() {
    let (_deployment, mut process) = start().await;
    let chunk = open_chunk(MAX_BODY);
    let parts = |i| vec![chunked_head(i), chunk.clone()];
    let crowd = send_all(process.front, CLIENTS, parts).await;
    check_beside(&mut process, crowd).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_without_an_end() {
    let (_deployment, mut process) = start().await;
    let chunks: Arc<[u8]> = b"1\r\nx\r\n".repeat(1 << 20).into();
    let parts = |i| vec![chunked_head(i), chunks.clone()];
    let crowd = send_all(process.front, 6, parts).await;
    check_beside(&mut process, crowd).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_for_targets_that_answer_late() {
    let (deployment, mut process) = start().await;
    deployment.runners.iter().for_each(|r| r.set_service_time(Duration::from_secs(3)));
    let body = bytes_of(MAX_BODY);
    let parts = |i| vec![head_with_length(i, MAX_BODY), body.clone()];
    let crowd = send_all(process.front, CLIENTS, parts).await;
    hold().await;
    deployment.runners.iter().for_each(|r| r.set_service_time(Duration::ZERO));
    check_beside(&mut process, crowd).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn announced_bodies_over_the_limit() {
    let (_deployment, mut process) = start().await;
    let body = bytes_of(OVERSIZED_BODY);
    let parts = |i| vec![head_with_length(i, OVERSIZED_BODY), body.clone()];
    let crowd = send_all(process.front, 40, parts).await;
    check_beside(&mut process, crowd).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_over_the_limit() {
    let (_deployment, mut process) = start().await;
    let mut chunk = open_chunk(CHUNK).to_vec();
    chunk.extend(b"\r\n");
    let chunk: Arc<[u8]> = chunk.into();
    let parts = |i| {
        let chunks = std::iter::repeat_n(chunk.clone(), OVERSIZED_BODY / CHUNK);
        std::iter::once(chunked_head(i)).chain(chunks).collect()
    };
    let crowd = send_all(process.front, 40, parts).await;
    check_beside(&mut process, crowd).await;
}

/// Returns the status that a client sees which sends all of an oversized body before it reads.
async fn status_after(process: &Process, parts: &[Arc<[u8]>]) -> Option<u16> {
    let stream = tokio::net::TcpStream::connect(process.front).await.unwrap();
    exchange(stream, &parts.concat()).await.map(|r| r.status())
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn announced_body_over_the_limit_is_answered() {
    let (_deployment, mut process) = start().await;
    let parts = [head_with_length(0, OVERSIZED_BODY), bytes_of(OVERSIZED_BODY)];
    assert_eq!(status_after(&process, &parts).await, Some(413));
    process.check();
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn chunked_body_over_the_limit_is_answered() {
    let (_deployment, mut process) = start().await;
    let parts = [chunked_head(0), open_chunk(OVERSIZED_BODY), (*b"\r\n0\r\n\r\n").into()];
    assert_eq!(status_after(&process, &parts).await, Some(413));
    process.check();
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end() {
    let (_deployment, mut process) = start().await;
    let mut head = b"POST /safe/a HTTP/1.1\r\nHost: a.example\r\nX-Long: ".to_vec();
    head.resize(60_000, b'x');
    let head: Arc<[u8]> = head.into();
    let crowd = send_all(process.front, 4_000, |_| vec![head.clone()]).await;
    check_beside(&mut process, crowd).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn small_bodies_that_stop_short_of_their_end() {
    const SIZE: usize = 30_000;
    let (_deployment, mut process) = start().await;
    let body = bytes_of(SIZE - 1);
    let parts = |i| vec![head_with_length(i, SIZE), body.clone()];
    let crowd = send_all(process.front, 4_000, parts).await;
    check_beside(&mut process, crowd).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn stalled_bodies_do_not_hold_up_a_stop() {
    let (deployment, mut process) = start().await;
    let mut config = crowd_config();
    config["version"] = 5.into();
    config["routes"][0]["timeout_ms"] = 60_000.into();
    deployment.store.put("op/config", config.to_string());
    hold().await;
    let body = bytes_of(MAX_BODY - 1);
    let parts = |i| vec![head_with_length(i, MAX_BODY), body.clone()];
    let _crowd = send_all(process.front, 4, parts).await;
    let log = process.stop().await;
    assert!(log.contains("daemon: stop ends cut=false"), "{log}");
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_a_row_whose_answers_are_not_read() {
    let (_deployment, mut process) = start().await;
    let row: Arc<[u8]> = ordinary().repeat(5_000).into_bytes().into();
    let crowd = send_all(process.front, 300, |_| vec![row.clone()]).await;
    check_beside(&mut process, crowd).await;
}

/// Checks that a crowd at the address that `at` selects leaves the instance descriptors.
async fn check_descriptors(at: impl Fn(&Process) -> std::net::SocketAddr) {
    const DESCRIPTORS: u64 = 400;
    let (_deployment, mut process) = start_with(DESCRIPTORS).await;
    let crowd = send_all(at(&process), 420, |_| vec![bytes_of(1)]).await;
    hold().await;
    let open = process.descriptors();
    assert!(open < DESCRIPTORS as usize, "{open} descriptors are open");
    check_beside(&mut process, crowd).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_callers_beyond_the_descriptors() {
    check_descriptors(|process| process.front).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_probes_beyond_the_descriptors() {
    check_descriptors(|process| process.probe).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_scrapes_beyond_the_descriptors() {
    check_descriptors(|process| process.metrics).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn connections_of_relays_beyond_the_descriptors() {
    check_descriptors(|process| process.relay).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn relayed_bodies_that_stop_short_of_their_end() {
    let (_deployment, mut process) = start().await;
    let body = bytes_of(MAX_BODY - 1);
    let parts = |i| {
        let head = patient_head("/relay", i, &format!("Content-Length: {MAX_BODY}\r\n"));
        vec![head.into_bytes().into(), body.clone()]
    };
    let crowd = send_all(process.relay, CLIENTS, parts).await;
    check_beside(&mut process, crowd).await;
}

/// An instance of a deployment without a platform, which allows bodies of [`MAX_BODY`].
async fn start_own() -> (lentil_fakes::deployment::Deployment, Process) {
    let deployment = lentil_fakes::deployment::Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let mut settings = deployment.settings(0);
    settings.listen = free_address();
    settings.mesh.listen = free_address();
    settings.limits.body = Bytes(MAX_BODY as u64);
    let settings_json = serde_json::to_value(&settings).unwrap();
    let process = Process::start(&settings_json, [settings.listen; 4], MANY_DESCRIPTORS);
    process.wait_ready("GET /readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").await;
    (deployment, process)
}

/// Checks the process and an ordinary caller of its own interface beside the crowd.
async fn check_own(process: &mut Process, crowd: Vec<tokio::net::TcpStream>) {
    let body = r#"{"model":"groot","prompt":"Bergen","max_tokens":3}"#;
    let length = format!("Content-Length: {}\r\n", body.len());
    let ordinary = patient_head("/v1/completions", 0, &length) + body;
    hold().await;
    process.serve_ordinary(&ordinary).await;
    drop(crowd);
    process.serve_ordinary(&ordinary).await;
    process.check();
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_completions_that_stop_short_of_their_end() {
    let (_deployment, mut process) = start_own().await;
    let body = bytes_of(MAX_BODY - 1);
    let parts = |i| {
        let length = format!("Content-Length: {MAX_BODY}\r\n");
        vec![patient_head("/v1/completions", i, &length).into_bytes().into(), body.clone()]
    };
    let crowd = send_all(process.front, CLIENTS, parts).await;
    check_own(&mut process, crowd).await;
}

#[cfg_attr(debug_assertions, ignore = "measures the optimized program")]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_completions_in_chunks_of_one_byte() {
    let (_deployment, mut process) = start_own().await;
    let chunks: Arc<[u8]> = b"1\r\nx\r\n".repeat(1 << 20).into();
    let parts = |i| {
        let head = patient_head("/v1/completions", i, "Transfer-Encoding: chunked\r\n");
        vec![head.into_bytes().into(), chunks.clone()]
    };
    let crowd = send_all(process.front, 6, parts).await;
    check_own(&mut process, crowd).await;
}
