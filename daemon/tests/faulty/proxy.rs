use {
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            tcp::{OwnedReadHalf, OwnedWriteHalf},
            TcpListener, TcpStream,
        },
        sync::watch,
        time::sleep,
    },
};

/// What a proxy does to the bytes that go through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Holds each piece back for so long.
    Delay(Duration),
    /// Loses everything toward the far side.
    Forth,
    /// Loses everything that comes back.
    Back,
    /// Loses everything; connections stay open.
    Silent,
}

/// A loopback proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    resets: Arc<watch::Sender<u64>>,
}

impl Proxy {
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (resets, _) = watch::channel(0);
        let proxy =
            Self { address, mode: Arc::new(Mutex::new(Mode::Pass)), resets: Arc::new(resets) };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let proxy = serving.clone();
                tokio::spawn(async move { proxy.connection(near, to).await });
            }
        });
        proxy
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    async fn connection(&self, near: TcpStream, to: SocketAddr) {
        let mut resets = self.resets.subscribe();
        resets.mark_unchanged();
        let Ok(far) = TcpStream::connect(to).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        tokio::select! {
            () = async { tokio::join!(self.pump(near_in, far_out, true), self.pump(far_in, near_out, false)); } => {}
            _ = resets.changed() => {}
        }
    }

    async fn pump(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, forth: bool) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(n) = from.read(&mut buffer).await {
            if n == 0 {
                break;
            }
            match self.mode() {
                Mode::Delay(pause) => sleep(pause).await,
                Mode::Silent => continue,
                Mode::Forth if forth => continue,
                Mode::Back if !forth => continue,
                _ => {}
            }
            if to.write_all(&buffer[..n]).await.is_err() {
                break;
            }
        }
        // The end is passed on unless it would be lost as well.
        while self.mode() == Mode::Silent {
            sleep(Duration::from_millis(50)).await;
        }
        let _ = to.shutdown().await;
    }
}
