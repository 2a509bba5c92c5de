use {
    crate::app::App,
    lentil_core::{
        ids::InstanceId,
        mesh::{Envelope, FrameError, Message, MAX_FRAME_BYTES},
    },
    std::{io, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Longest time for a request and its answer.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a request to another instance got no answer.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The request could not be sealed, or the answer's frame was refused.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// No answer arrived in time.
    #[error("no answer in time")]
    Timeout,
}

/// Sends a request to another instance by a new connection and waits for the answer.
///
/// # Errors
/// [`RequestError`] if the connection fails, a frame is refused or no answer arrives in time.
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
    timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or(Err(RequestError::Timeout))
}

pub(super) async fn write(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_u32(frame.len() as u32).await?;
    stream.write_all(frame).await?;
    stream.flush().await
}

pub(super) async fn read(app: &App, stream: &mut TcpStream) -> Result<Envelope, RequestError> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        app.metrics.count_refused_frame(FrameError::TooLarge(length).label(), "none");
        return Err(FrameError::TooLarge(length).into());
    }
    let mut frame = Vec::new();
    // The buffer grows with the bytes received; the announced length allocates nothing.
    (&mut *stream).take(length as u64).read_to_end(&mut frame).await?;
    Ok(app.frame_codec.open(app, &frame, MAX_FRAME_BYTES)?)
}
