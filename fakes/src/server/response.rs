use {
    hyper::{Response, StatusCode},
    lentil_node::http::{full, Body},
    serde::Serialize,
};

/// Builds a response with a JSON body.
pub fn json_response(status: u16, body: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(full(serde_json::to_vec(body).unwrap_or_default()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Builds a response with a text body.
pub fn text_response(status: u16, body: &str) -> Response<Body> {
    let mut response = Response::new(full(body.to_owned()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}
