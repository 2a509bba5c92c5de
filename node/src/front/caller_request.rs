use {
    crate::{
        app::App,
        http::{read_all, ReadError},
    },
    bytes::Bytes,
    hyper::{body::Incoming, header, HeaderMap, Method, Request},
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault},
        ids::CallerId,
        manifest::{CallerSpec, ClassName, ClassSpec, ManifestIndex},
    },
    std::sync::Arc,
};

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
    pub body: Bytes,
}

impl CallerRequest {
    /// Authenticates the caller by its bearer key and reads the body.
    ///
    /// # Errors
    /// Returns [`ErrorKind::NotReady`] if no manifest is active yet, [`ErrorKind::NoCaller`] if the
    /// key is missing or unknown, [`ErrorKind::TooLarge`] if the body exceeds the limit, and
    /// [`ErrorKind::BadRequest`] if the body can't be read.
    pub async fn read(app: &App, request: Request<Incoming>) -> Result<Self, Fault> {
        let arrived = app.now();
        let index = app.manifest_index()?;
        let (head, body) = request.into_parts();
        let (caller, spec) = index.caller(bearer_key(&head.headers))?;
        let (caller, spec) = (caller.clone(), spec.clone());
        let limit = app.settings.limits.body;
        let body = read_all(body, limit.0 as usize).await.map_err(|e| match e {
            ReadError::TooLarge => Fault::new(
                ErrorKind::TooLarge,
                format!("the request body is larger than {limit} bytes"),
            ),
            ReadError::Failed(text) => Fault::new(ErrorKind::BadRequest, text),
        })?;
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
    /// Returns [`ErrorKind::BadRequest`] if the class does not exist.
    pub fn class(&self) -> Result<(ClassName, ClassSpec), Fault> {
        self.index.class(&self.spec, self.header("lentil-class"))
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}
