//! Format of relayed requests and their responses: HTTP, the body of a request being the length of a
//! sealed frame, that frame, and the body of the caller's request.

use {
    super::RelayLinks,
    crate::{
        app::App,
        http::{full, Body},
        intake::RequestBody,
    },
    bytes::{BufMut, BytesMut},
    hyper::{
        header::{self, HeaderValue},
        HeaderMap, Method, Request, Response, StatusCode,
    },
    lentil_core::{
        error::{ErrorKind, Fault},
        ids::{Fingerprint, InstanceId},
        mesh::{Message, RelayedRequest},
    },
    std::net::SocketAddr,
};

/// Largest sealed head of a relayed request: the caller's own head is smaller.
pub const MAX_HEAD_BYTES: usize = 128 << 10;
/// Bytes of the length before the frame.
const LENGTH_BYTES: usize = 4;

/// Response header with the number of times that the request was sent to targets.
pub const SENDS: &str = "lentil-sends";
/// Response header with the version of the software that answers.
pub const SOFTWARE: &str = "lentil-software";
/// Response header of an instance that gives the request up; the body is the fault.
pub const GIVEN_UP: &str = "lentil-given-up";

/// Encodes a relayed request to the instance `to`.
///
/// # Errors
/// A description of the error if the head is too large.
pub fn encode_request(
    app: &App,
    (to, at): (&InstanceId, SocketAddr),
    head: RelayedRequest,
    body: &RequestBody,
) -> Result<Request<Body>, String> {
    let message = Message::Relayed(Box::new(head));
    let frame = app.links.codec.seal(app, Some(to.clone()), message, MAX_HEAD_BYTES);
    let frame = frame.map_err(|e| e.to_string())?;
    let mut start = BytesMut::with_capacity(LENGTH_BYTES + frame.len());
    start.put_u32(frame.len() as u32);
    start.put_slice(&frame);
    let mut request = Request::new(body.after(start.freeze()).to_http());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static("/relay");
    if let Ok(host) = at.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    Ok(request)
}

/// Decodes a relayed request; returns the instance that sent it, its head and its body.
///
/// # Errors
/// [`ErrorKind::BadRequest`] if it does not come from another instance unchanged.
pub fn decode_request(
    app: &App,
    links: &RelayLinks,
    mut body: RequestBody,
) -> Result<(InstanceId, RelayedRequest, RequestBody), Fault> {
    let bad = |text: &str| Fault::new(ErrorKind::BadRequest, format!("relayed request: {text}"));
    let length = body.split_to(LENGTH_BYTES).ok_or_else(|| bad("it is too short"))?;
    let length = length.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte));
    let frame = body.split_to(length).ok_or_else(|| bad("its head is cut off"))?;
    let envelope = links.codec.open(app, &frame, MAX_HEAD_BYTES);
    let envelope = envelope.map_err(|e| bad(&e.to_string()))?;
    let Message::Relayed(head) = envelope.body else { return Err(bad("it is another message")) };
    if Fingerprint::of_chunked(&[head.path.as_bytes()], body.parts()) != head.checksum {
        return Err(bad("its body was changed"));
    }
    Ok((envelope.from.instance, *head, body))
}

/// Creates the response to a request that is given up.
pub fn given_up(fault: &Fault) -> Response<Body> {
    let mut response = Response::new(full(serde_json::to_vec(fault).unwrap_or_default()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(GIVEN_UP, HeaderValue::from_static("1"));
    response
}

/// Removes the headers that concern the instances only.
pub fn remove_own_headers(headers: &mut HeaderMap) {
    for name in [SENDS, SOFTWARE, GIVEN_UP] {
        headers.remove(name);
    }
}
