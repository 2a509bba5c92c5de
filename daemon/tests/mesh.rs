//! Frames from outside on real sockets are refused with a counter and nothing else.

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

fn frame(key: &[u8], number: u64, to: Option<&str>) -> Vec<u8> {
    let from = Holder { instance: "z".parse().unwrap(), start: Incarnation(1) };
    let to = to.map(|t| t.parse().unwrap());
    let envelope = Envelope { from, to, number, body: Message::Pull { have: Revision(0) } };
    seal(&envelope, key, MAX_DATAGRAM_BYTES).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn listen_refuses_by_the_fault_table() {
    let site = Deployment::start(DeploymentSetup::default()).await;
    site.apply_manifest(Revision(0)).await;
    let instance = site.start_instance(0).await;
    instance.wait_ready().await;
    let key = instance.app.settings.mesh.key.clone().into_bytes();
    let good = frame(&key, 1, None);
    let mut future = good.clone();
    future[0] = 9;
    let cases = [
        ("short", vec![1, 2, 3]),
        ("version", future),
        ("mac", frame(b"another key here", 2, None)),
        ("large", vec![1; MAX_DATAGRAM_BYTES + 1]),
        ("misdirected", frame(&key, 3, Some("someone-else"))),
        ("replay", good.clone()),
    ];
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let at = instance.app.settings.mesh.listen;
    socket.send_to(&good, at).await.unwrap();
    let members = instance.app.member_view().members().count();
    for (label, bytes) in cases {
        let counter = instance.app.metrics.refused_frames.with_label_values(&[label]);
        let before = counter.get();
        socket.send_to(&bytes, at).await.unwrap();
        let seen = counter.clone();
        eventually(label, move || seen.get() == before + 1).await;
    }
    let large = instance.app.metrics.refused_frames.with_label_values(&["large"]);
    let before = large.get();
    let mut stream = TcpStream::connect(at).unwrap();
    stream.write_all(&u32::MAX.to_be_bytes()).unwrap();
    eventually("a large frame by connection", move || large.get() == before + 1).await;
    assert_eq!(instance.app.member_view().members().count(), members);
    assert!(instance.app.ready());
}
