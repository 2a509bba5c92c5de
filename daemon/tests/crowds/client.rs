use {
    crate::platform::{read_message, Message},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Time for which a client tries to send its bytes; an instance may stop reading.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a client waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Head of a request whose client would wait for ten minutes. Each line of `headers` ends in CRLF.
pub fn patient_head(path: &str, id: usize, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: p{id}\r\nDeadline-Ms: 600000\r\n\
         Authorization: Bearer {}\r\n{headers}\r\n",
        lentil_fakes::deployment::CAMERA_KEY
    )
}

/// Sends what `bytes` returns for each of `count` clients, all at the same time. Returns the
/// connections, which stay open; errors are ignored, since an instance may close them.
pub async fn send_all(
    at: SocketAddr,
    count: usize,
    bytes: impl Fn(usize) -> Vec<Arc<[u8]>>,
) -> Vec<TcpStream> {
    let mut clients = JoinSet::new();
    for i in 0..count {
        let parts = bytes(i);
        clients.spawn(async move {
            let mut stream = timeout(SEND_TIMEOUT, TcpStream::connect(at)).await.ok()?.ok()?;
            let send = async {
                for part in parts {
                    if stream.write_all(&part).await.is_err() {
                        return;
                    }
                }
            };
            // A client that is not read in time leaves its connection open.
            let _ = timeout(SEND_TIMEOUT, send).await;
            Some(stream)
        });
    }
    clients.join_all().await.into_iter().flatten().collect()
}

/// Sends a request and reads its response; `None` if there is none.
pub async fn exchange(mut stream: TcpStream, request: &[u8]) -> Option<Message> {
    let mut unread = Vec::new();
    let sent = timeout(SEND_TIMEOUT, stream.write_all(request)).await;
    sent.ok()?.ok()?;
    let read = read_message(&mut stream, &mut unread);
    timeout(RESPONSE_TIMEOUT, read).await.ok()?.ok()?
}

/// Time for which a crowd stays open before the instance is checked.
pub async fn hold() {
    sleep(Duration::from_secs(3)).await;
}
