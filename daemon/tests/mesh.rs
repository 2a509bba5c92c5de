//! Invalid frames on real sockets: each is refused and counted, and has no other effect.

use {
    lentil_core::{
        ids::{Incarnation, Revision},
        mesh::{seal, Envelope, Message, MAX_DATAGRAM_BYTES},
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
    let mut newer_version = valid.clone();
    newer_version[0] = 9;
    let cases = [
        ("short", vec![1, 2, 3]),
        ("version", newer_version),
        ("mac", frame(b"another key here", 2, None)),
        ("large", vec![1; MAX_DATAGRAM_BYTES + 1]),
        ("misdirected", frame(&key, 3, Some("someone-else"))),
        ("replay", valid.clone()),
    ];
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = instance.app.settings.mesh.listen;
    socket.send_to(&valid, address).await.unwrap();
    let members = instance.app.member_view().members().count();
    for (label, bytes) in cases {
        let counter = instance.app.metrics.refused_frames.with_label_values(&[label]);
        let before = counter.get();
        socket.send_to(&bytes, address).await.unwrap();
        let polled = counter.clone();
        eventually(label, move || polled.get() == before + 1).await;
    }
    let large = instance.app.metrics.refused_frames.with_label_values(&["large"]);
    let before = large.get();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(&u32::MAX.to_be_bytes()).unwrap();
    eventually("a large frame on a connection is refused", move || large.get() == before + 1).await;
    assert_eq!(instance.app.member_view().members().count(), members);
    assert!(instance.app.ready());
}
