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

/// A request with the caller it was recognised to come from.
pub struct Call {
    /// The manifest that it is judged by, whatever comes into force meanwhile.
    pub index: Arc<ManifestIndex>,
    /// Who sent it.
    pub caller: CallerId,
    /// What the manifest says of the caller.
    pub spec: CallerSpec,
    /// When it arrived.
    pub arrived: Time,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Recognises the caller and reads the body.
    ///
    /// # Errors
    /// [`ErrorKind::NotReady`], [`ErrorKind::NoCaller`], [`ErrorKind::TooLarge`] or
    /// [`ErrorKind::BadRequest`].
    pub async fn read(app: &App, request: Request<Incoming>) -> Result<Self, Fault> {
        let arrived = app.now();
        let index = app.manifest_index()?;
        let (head, body) = request.into_parts();
        let (caller, spec) = index.caller(bearer(&head.headers))?;
        let (caller, spec) = (caller.clone(), spec.clone());
        let limit = app.settings.limits.body;
        let body = read_all(body, limit.0 as usize).await.map_err(|e| match e {
            ReadError::Large => {
                Fault::new(ErrorKind::TooLarge, format!("the body has over {limit} bytes"))
            }
            ReadError::Broken(text) => Fault::new(ErrorKind::BadRequest, text),
        })?;
        let path = head.uri.path_and_query().map_or_else(String::new, ToString::to_string);
        let (method, headers) = (head.method, head.headers);
        Ok(Self { index, caller, spec, arrived, method, path, headers, body })
    }

    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The request's class, by the `lentil-class` header or the caller's own.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] if the class does not exist.
    pub fn class(&self) -> Result<(ClassName, ClassSpec), Fault> {
        self.index.class(&self.spec, self.header("lentil-class"))
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}
