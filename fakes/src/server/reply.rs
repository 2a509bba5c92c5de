use {
    bytes::Bytes,
    hyper::{body::Incoming, Request, Response, StatusCode},
    lentil_node::http::{full, read_all, Body},
    serde::{de::DeserializeOwned, Serialize},
};

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY: usize = 8 << 20;

/// A request with its body read.
pub struct Asked {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path without the query.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// Body.
    pub body: Bytes,
}

impl Asked {
    /// Reads a request.
    pub async fn read(request: Request<Incoming>) -> Self {
        let (head, body) = request.into_parts();
        let body = read_all(body, MAX_BODY).await.unwrap_or_default();
        let query = head.uri.query().unwrap_or_default().to_owned();
        Self { method: head.method, path: head.uri.path().to_owned(), query, body }
    }

    /// A number of the query.
    pub fn number(&self, name: &str) -> u64 {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// An answer with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(full(serde_json::to_vec(body).unwrap_or_default()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// An answer with a text body.
pub fn text(status: u16, body: &str) -> Response<Body> {
    let mut response = Response::new(full(body.to_owned()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}
