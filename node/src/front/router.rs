use {
    super::{error_response, CallerRequest, Shape},
    crate::{
        app::{App, Phase},
        commands,
        http::{Body, OverCapacity},
        intake::{awaits_leave, discard_rest},
        queries,
    },
    futures_util::future::BoxFuture,
    hyper::{
        body::Incoming,
        header::{self, HeaderValue},
        http::request::Parts,
        Method, Request, Response,
    },
    lentil_core::error::{ErrorKind, Fault},
    std::{
        convert::Infallible,
        sync::Arc,
        task::{Context, Poll},
    },
    tower::{limit::ConcurrencyLimitLayer, load_shed::LoadShedLayer, Service, ServiceBuilder},
};

/// Innermost service, which dispatches requests to their handlers.
#[derive(Clone)]
struct Router {
    app: Arc<App>,
}

impl Service<Request<Incoming>> for Router {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<Body>, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let app = self.app.clone();
        Box::pin(async move {
            let (head, mut body) = request.into_parts();
            let waits = awaits_leave(&head.headers);
            let answer = dispatch(app, head, &mut body).await;
            Ok(answer.unwrap_or_else(|fault| {
                let mut response = error_response(&fault);
                if discard_rest(&fault, waits, body) {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                response
            }))
        })
    }
}

/// Service for all requests of callers. It rejects requests beyond the configured concurrency
/// limit; probes do not count against the limit.
#[derive(Clone)]
pub struct Front {
    app: Arc<App>,
    inner: tower::util::BoxCloneService<Request<Incoming>, Response<Body>, tower::BoxError>,
}

impl Front {
    /// Creates the service of an instance.
    pub fn new(app: Arc<App>) -> Self {
        let inner = ServiceBuilder::new()
            .layer(LoadShedLayer::new())
            .layer(ConcurrencyLimitLayer::new(app.settings.limits.open))
            .service(Router { app: app.clone() });
        Self { app, inner: tower::util::BoxCloneService::new(inner) }
    }
}

impl Service<Request<Incoming>> for Front {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response<Body>, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        // The load-shedding layer is always ready and rejects requests beyond the limit.
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        if let Some(answer) = queries::probe(&self.app, request.uri().path()) {
            return Box::pin(async { Ok(answer) });
        }
        let mut inner = self.inner.clone();
        Box::pin(async move {
            // Polling for readiness acquires the permit of the concurrency limit.
            let ready = std::future::poll_fn(|cx| inner.poll_ready(cx)).await;
            let answer = match ready {
                Ok(()) => inner.call(request).await,
                Err(e) => Err(e),
            };
            Ok(answer.unwrap_or_else(|_| {
                error_response(&Fault::new(
                    ErrorKind::NoCapacity,
                    "too many requests are in progress",
                ))
            }))
        })
    }
}

async fn dispatch(
    app: Arc<App>,
    head: Parts,
    body: &mut Incoming,
) -> Result<Response<Body>, Fault> {
    if *app.phase.borrow() == Phase::Draining {
        return Err(Fault::new(ErrorKind::Stopping, "this instance is stopping"));
    }
    if head.extensions.get::<OverCapacity>().is_some() {
        let text = "too many connections are in use";
        return Err(Fault::new(ErrorKind::NoCapacity, text));
    }
    let path = head.uri.path().to_owned();
    let method = head.method.clone();
    let request = CallerRequest::read(&app, head, body).await?;
    if let Some(rest) = path.strip_prefix("/services/") {
        return commands::call_service(app, request, rest).await;
    }
    if let Some(ticket) = path.strip_prefix("/v1/streams/") {
        if method == Method::GET {
            return queries::resume_stream(app, request, ticket).await;
        }
    }
    match (method, path.as_str()) {
        (Method::POST, "/v1/chat/completions") => {
            commands::generate(app, request, Shape::Chat).await
        }
        (Method::POST, "/v1/completions") => commands::generate(app, request, Shape::Text).await,
        (Method::GET, "/v1/models") => Ok(queries::models(&request)),
        (method, path) => {
            let text = format!("{method} {path:?} is not a known endpoint");
            Err(Fault::new(ErrorKind::NoRoute, text))
        }
    }
}
