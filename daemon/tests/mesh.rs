//! Invalid frames on real sockets: each is refused and counted, and has no other effect.

use {
    lentil_core::{
        ids::{Incarnation, Revision},
        mesh::{seal, Envelope, FrameError, Message, MAX_DATAGRAM_BYTES},
        order::Holder,
    },
    lentil_fakes::deployment::{eventually, Deployment, DeploymentSetup},
    std::{io::Write, net::TcpStream},
    tokio::net::UdpSocket,
};

/// Encodes a frame of an unknown instance `z`, sealed with the key.
fn frame(key: &[u8], number: u64, to: Option<&str>) -> Vec<u8> {
    let from = Holder { instance: "z".parse().unwrap(), start: Incarnation(1) };
    let to = to.map(|t| t.parse().unwrap());
    let envelope = Envelope { from, to, number, body: Message::Pull { have: Revision(0) } };
    seal(&envelope, key, MAX_DATAGRAM_BYTES).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_invalid_frame_is_refused_and_counted() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    deployment.apply_manifest(Revision(0)).await;
    let instance = deployment.start_instance(0).await;
    instance.wait_ready().await;
    let key = instance.app.settings.mesh.key.clone().into_bytes();
    let valid = frame(&key, 1, None);
    let with_version = |version| [&[version], &valid[1..]].concat();
    let cases = [
        ("short", "none", Vec::new()),
        ("short", "1", vec![1, 2, 3]),
        ("short", "2", vec![2, 2, 3]),
        ("version", "other", with_version(9)),
        ("mac", "1", frame(b"another key here", 2, None)),
        ("mac", "2", with_version(2)),
        ("large", "1", vec![1; MAX_DATAGRAM_BYTES + 1]),
        ("misdirected", "1", frame(&key, 3, Some("someone-else"))),
        ("replay", "1", valid.clone()),
    ];
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = instance.app.settings.mesh.listen;
    socket.send_to(&valid, address).await.unwrap();
    let members = instance.app.member_view().members().count();
    for (label, version, bytes) in cases {
        let counter = instance.app.metrics.refused_frames.with_label_values(&[label, version]);
        let before = counter.get();
        socket.send_to(&bytes, address).await.unwrap();
        let polled = counter.clone();
        eventually(label, move || polled.get() == before + 1).await;
    }
    let large = instance.app.metrics.refused_frames.with_label_values(&["large", "none"]);
    let before = large.get();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&u32::MAX.to_be_bytes()).unwrap();
    eventually("a large frame on a connection is refused", move || large.get() == before + 1).await;
    assert_eq!(instance.app.member_view().members().count(), members);
    assert!(instance.app.ready());
}

/// Guards against a log that a peer of another build or key fills, and against a line that hides
/// the refusals of its next process.
#[tokio::test(flavor = "multi_thread")]
async fn refused_frame_is_logged_once_for_each_peer_incarnation_and_reason() {
    let deployment = Deployment::start(DeploymentSetup::default()).await;
    let instance = deployment.start_instance(0).await;
    let app = &instance.app;
    let mut peer = app.member_view().me().clone();
    peer.id = "z".parse().unwrap();
    peer.address = "127.0.0.1:9".parse().unwrap();
    app.member_view().record_heartbeat(&peer, app.now());
    let log = |address, error| app.refusals.log(app, address, &[9], error);
    let version = FrameError::UnsupportedVersion(9);
    assert!(log(peer.address, version));
    assert!(!log(peer.address, version));
    assert!(log(peer.address, FrameError::Replay));
    peer.start = Incarnation(peer.start.0 + 1);
    app.member_view().record_heartbeat(&peer, app.now());
    assert!(log(peer.address, version));
    assert!(log("127.0.0.1:7".parse().unwrap(), version));
    assert!(!log("127.0.0.1:8".parse().unwrap(), version), "senders that are not members");
}
