use {
    crate::http::{full, Body},
    hyper::{header, HeaderMap, Response, StatusCode},
    lentil_core::error::Fault,
    serde::Serialize,
};

/// Response header that states, for an error, whether the request ran.
pub const OUTCOME_HEADER: &str = "lentil-outcome";

/// Body of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    error: ErrorDetails,
}

#[derive(Debug, Serialize)]
struct ErrorDetails {
    code: &'static str,
    message: String,
    outcome: String,
}

impl From<&Fault> for ErrorBody {
    fn from(fault: &Fault) -> Self {
        Self {
            error: ErrorDetails {
                code: fault.kind.answer().code,
                message: fault.text.clone(),
                outcome: fault.outcome.to_string(),
            },
        }
    }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

/// Builds a response with a JSON body.
pub fn json_response(status: u16, body: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(full(serde_json::to_vec(body).unwrap_or_default()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    insert_header(response.headers_mut(), header::CONTENT_TYPE.as_str(), "application/json");
    response
}

/// Builds a response with a plain-text body.
pub fn text_response(status: u16, body: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    insert_header(
        response.headers_mut(),
        header::CONTENT_TYPE.as_str(),
        "text/plain; charset=utf-8",
    );
    response
}

/// Builds the response to a fault: status and code by its error kind, the outcome, and
/// `Retry-After` if a retry makes sense.
pub fn error_response(fault: &Fault) -> Response<Body> {
    let answer = fault.kind.answer();
    let mut response = json_response(answer.status, &ErrorBody::from(fault));
    let headers = response.headers_mut();
    insert_header(headers, OUTCOME_HEADER, &fault.outcome.to_string());
    if let Some(wait) = fault.retry {
        // Rounded up to whole seconds: an earlier retry would be rejected again.
        let seconds = wait.as_millis().div_ceil(1_000).max(1);
        insert_header(headers, header::RETRY_AFTER.as_str(), &seconds.to_string());
    }
    response
}
