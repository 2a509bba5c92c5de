use {
    crate::{
        app::App,
        intake::{IntakeError, RequestBody},
    },
    hyper::{body::Incoming, header, http::request::Parts, HeaderMap, Method},
    lentil_core::{
        clock::Time,
        error::Fault,
        ids::CallerId,
        manifest::{CallerSpec, ClassName, ClassSpec, ManifestIndex},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Header that names a class other than the caller's own.
const CLASS_HEADER: &str = "lentil-class";
/// Timeout for reading the body of a request of no known class.
const NO_CLASS_TIMEOUT: Duration = Duration::from_secs(10);

/// An authenticated request of a caller.
pub struct CallerRequest {
    /// Manifest that applies to the request; later manifests do not affect it.
    pub index: Arc<ManifestIndex>,
    /// Caller that the request's bearer key belongs to.
    pub caller: CallerId,
    /// The caller's entry in the manifest.
    pub spec: CallerSpec,
    /// When the request head arrived; the objectives of its class count from here.
    pub arrived: Time,
    /// HTTP method; together with the path it selects a plain service's repeat rule.
    pub method: Method,
    /// Path and query string.
    pub path: String,
    /// Request headers as received.
    pub headers: HeaderMap,
    /// Complete request body, within the configured size limit.
    pub body: RequestBody,
}

impl CallerRequest {
    /// Authenticates the caller by its bearer key and reads the body.
    ///
    /// # Errors
    /// Returns [`NotReady`](lentil_core::error::ErrorKind::NotReady) if no manifest is active yet,
    /// [`NoCaller`](lentil_core::error::ErrorKind::NoCaller) if the key is missing or unknown, and the
    /// kind of an [`IntakeError`] if the body is not read.
    pub async fn read(app: &App, head: Parts, body: &mut Incoming) -> Result<Self, Fault> {
        let arrived = app.now();
        let index = app.manifest_index()?;
        let (caller, spec) = index.caller(bearer_key(&head.headers))?;
        let (caller, spec) = (caller.clone(), spec.clone());
        let class = head.headers.get(CLASS_HEADER).and_then(|name| name.to_str().ok());
        // After the deadline of its class the request could no longer be served in time. What names
        // no class, or a wrong one, is refused or answered from the head.
        let time = index
            .class(&spec, class)
            .map_or(NO_CLASS_TIMEOUT, |(_, class)| class.deadline.duration());
        let read = app.memory.read(body, app.settings.limits.body.0 as usize);
        let body = timeout(time, read).await.unwrap_or(Err(IntakeError::Stalled))?;
        let path = head.uri.path_and_query().map_or_else(String::new, ToString::to_string);
        let (method, headers) = (head.method, head.headers);
        Ok(Self { index, caller, spec, arrived, method, path, headers, body })
    }

    /// Returns a header's value, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the class named by the `lentil-class` header, or the caller's default class.
    ///
    /// # Errors
    /// Returns [`BadRequest`](lentil_core::error::ErrorKind::BadRequest) if the class does not exist.
    pub fn class(&self) -> Result<(ClassName, ClassSpec), Fault> {
        self.index.class(&self.spec, self.header(CLASS_HEADER))
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}
