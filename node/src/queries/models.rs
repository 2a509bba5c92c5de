use {
    crate::{
        front::{json_response, Call},
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
pub fn models(call: &Call) -> Response<Body> {
    let owner = call.index.manifest.deployment.clone();
    let entry = |id| ModelEntry { id, object: "model", owned_by: owner.clone() };
    let data = call.index.model_names(&call.spec).into_iter().map(entry).collect();
    json_response(200, &ModelList { object: "list", data })
}
