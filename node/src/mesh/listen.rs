use {
    super::{
        extensions,
        frame_codec::Received,
        handlers,
        request::{read, write, RequestError, REQUEST_TIMEOUT},
    },
    crate::app::App,
    lentil_core::mesh::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream, UdpSocket},
        sync::Semaphore,
        time::{sleep, timeout},
    },
};

/// Number of requests handled concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receives and handles datagrams; never returns.
pub async fn listen_datagrams(app: Arc<App>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else { continue };
        match app.frame_codec.open_datagram(&app, &buffer[..length]) {
            Ok(Received::Message(envelope)) => handlers::datagram(&app, address, envelope).await,
            Ok(Received::Extensions(envelope)) => extensions::handle(&app, address, envelope),
            Err(error) => {
                log::debug!("mesh: datagram from {address} refused: {error}");
                app.refusals.log(&app, address, &buffer[..length], error);
            }
        }
    }
}

/// Accepts connections and answers one request on each; never returns.
pub async fn listen_requests(app: Arc<App>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let app = app.clone();
        tokio::spawn(async move {
            let _permit = permit;
            match timeout(REQUEST_TIMEOUT, answer(&app, stream)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::debug!("mesh: request refused: {error}"),
                Err(_) => log::debug!("mesh: request timed out"),
            }
        });
    }
}

async fn answer(app: &Arc<App>, mut stream: TcpStream) -> Result<(), RequestError> {
    let envelope = read(app, &mut stream).await?;
    let to = envelope.from.instance.clone();
    let body = handlers::request(app, envelope).await;
    let frame = app.frame_codec.seal(app, Some(to), body, MAX_FRAME_BYTES)?;
    write(&mut stream, &frame).await?;
    Ok(())
}
