use {
    super::handlers,
    crate::app::App,
    lentil_core::{
        ids::InstanceId,
        mesh::{Envelope, FrameError, Message, MAX_FRAME_BYTES},
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::{sleep, timeout},
    },
};

/// Longest time for a question and its answer.
const LIMIT: Duration = Duration::from_secs(15);
/// Questions answered at once.
const AT_ONCE: usize = 64;
/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(50);

/// Why a question to another instance has no answer.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame was refused.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// No answer came in time.
    #[error("no answer in time")]
    Timeout,
}

/// Asks another instance by a connection of its own.
///
/// # Errors
/// [`AskError`].
pub async fn request(
    app: &App,
    address: SocketAddr,
    to: Option<InstanceId>,
    body: Message,
) -> Result<Message, RequestError> {
    let frame = app.frame_codec.seal(app, to, body, MAX_FRAME_BYTES)?;
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        write(&mut stream, &frame).await?;
        Ok(read(app, &mut stream).await?.body)
    };
    timeout(LIMIT, exchange).await.unwrap_or(Err(RequestError::Timeout))
}

/// Answers questions for ever.
pub async fn listen_requests(app: Arc<App>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(AT_ONCE));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let app = app.clone();
        tokio::spawn(async move {
            let _place = place;
            match timeout(LIMIT, answer(&app, stream)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::debug!("mesh: question refused: {error}"),
                Err(_) => log::debug!("mesh: question took too long"),
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

async fn write(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_u32(frame.len() as u32).await?;
    stream.write_all(frame).await?;
    stream.flush().await
}

async fn read(app: &App, stream: &mut TcpStream) -> Result<Envelope, RequestError> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        app.metrics.refused_frames.with_label_values(&[FrameError::Large(length).label()]).inc();
        return Err(FrameError::Large(length).into());
    }
    let mut frame = Vec::new();
    // Memory grows with what arrives, not with what the length promises.
    (&mut *stream).take(length as u64).read_to_end(&mut frame).await?;
    Ok(app.frame_codec.open(app, &frame, MAX_FRAME_BYTES)?)
}
