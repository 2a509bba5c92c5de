use {
    bytes::Bytes,
    hyper::{body::Incoming, Request},
    lentil_node::http::read_all,
    serde::de::DeserializeOwned,
};

/// Size limit of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;

/// A request whose body has been read.
pub struct BufferedRequest {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Body; empty if it was too large or could not be read.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Reads the body of a request.
    pub async fn read(request: Request<Incoming>) -> Self {
        let (head, body) = request.into_parts();
        let body = read_all(body, MAX_BODY_BYTES).await.unwrap_or_default();
        let query = head.uri.query().unwrap_or_default().to_owned();
        Self { method: head.method, path: head.uri.path().to_owned(), query, body }
    }

    /// A number in the query; 0 if it is missing or not a number.
    pub fn query_number(&self, name: &str) -> u64 {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next();
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Parses the body as JSON; `None` if it does not match the type.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}
