use {
    crate::{
        front::{json_response, CallerRequest},
        http::Body,
    },
    hyper::Response,
    serde::Serialize,
};

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: String,
}

/// Lists the models and aliases that the caller may use, in the form of `/v1/models`.
pub fn models(request: &CallerRequest) -> Response<Body> {
    let owner = request.index.manifest.deployment.clone();
    let entry = |id| ModelEntry { id, object: "model", owned_by: owner.clone() };
    let data = request.index.model_names(&request.spec).into_iter().map(entry).collect();
    json_response(200, &ModelList { object: "list", data })
}
