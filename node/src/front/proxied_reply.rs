use {
    crate::{
        http::{full, streamed, Body},
        ports::AnswerHead,
        run::{AnswerSource, Piece, Pieces},
    },
    bytes::Bytes,
    futures_util::stream::unfold,
    hyper::{Response, StatusCode},
    lentil_core::error::{ErrorKind, Fault},
    std::io,
};

fn with_head(head: AnswerHead, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = head.headers;
    response
}

/// Creates the response from the pieces of a target's answer; a successful answer is streamed if
/// `streams` is set.
///
/// # Errors
/// The fault that occurred before the response could begin.
pub async fn proxied_reply(
    mut pieces: Pieces,
    streams: bool,
) -> Result<(Response<Body>, AnswerSource), Fault> {
    let out_of_order =
        || Fault::new(ErrorKind::BadAnswer, "pieces of the answer came in the wrong order");
    let Piece::Head(head, source) = pieces.next().await? else { return Err(out_of_order()) };
    if streams && head.status == 200 {
        return Ok((with_head(head, streamed_body(pieces)), source));
    }
    let body = match pieces.next().await? {
        Piece::Bytes(body) => body,
        Piece::Done => Bytes::new(),
        _ => return Err(out_of_order()),
    };
    Ok((with_head(head, full(body)), source))
}

/// Creates a body that ends normally only if the answer is complete; on a fault it closes the
/// connection before the end, so that the caller notices.
fn streamed_body(pieces: Pieces) -> Body {
    streamed(unfold(Some(pieces), |pieces| async move {
        let mut pieces = pieces?;
        match pieces.next().await {
            Ok(Piece::Bytes(bytes)) => Some((Ok(bytes), Some(pieces))),
            Ok(_) => None,
            Err(fault) => Some((Err(io::Error::other(fault.to_string())), None)),
        }
    }))
}
