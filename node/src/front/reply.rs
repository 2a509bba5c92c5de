use {
    crate::http::{full, Body},
    hyper::{header, HeaderMap, Response, StatusCode},
    lentil_core::error::Fault,
    serde::Serialize,
};

/// Header that says of an error what is known of the run.
pub const OUTCOME_HEADER: &str = "lentil-outcome";

/// Body of an error answer.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    error: ErrorText,
}

#[derive(Debug, Serialize)]
struct ErrorText {
    code: &'static str,
    message: String,
    outcome: String,
}

impl From<&Fault> for ErrorBody {
    fn from(fault: &Fault) -> Self {
        Self {
            error: ErrorText {
                code: fault.kind.answer().code,
                message: fault.text.clone(),
                outcome: fault.outcome.to_string(),
            },
        }
    }
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

/// An answer with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(full(serde_json::to_vec(body).unwrap_or_default()));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    put(response.headers_mut(), header::CONTENT_TYPE.as_str(), "application/json");
    response
}

/// An answer with a text body.
pub fn text(status: u16, body: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    put(response.headers_mut(), header::CONTENT_TYPE.as_str(), "text/plain; charset=utf-8");
    response
}

/// The answer that the table of error kinds gives to a fault.
pub fn error_response(fault: &Fault) -> Response<Body> {
    let answer = fault.kind.answer();
    let mut response = json(answer.status, &ErrorBody::from(fault));
    let headers = response.headers_mut();
    put(headers, OUTCOME_HEADER, &fault.outcome.to_string());
    if let Some(wait) = fault.retry {
        // Whole seconds, rounded up: an earlier return would be refused again.
        let seconds = wait.as_millis().div_ceil(1_000).max(1);
        put(headers, header::RETRY_AFTER.as_str(), &seconds.to_string());
    }
    response
}
