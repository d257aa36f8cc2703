//! Handlers of the model list and of unknown paths.

use std::sync::Arc;

use code::Code;
use ntex::web::{
    HttpRequest, HttpResponse,
    types::{Payload, State},
};
use serde_json::{Value, json};

use crate::{
    input::{authenticate, discard_body, request_id},
    refusal::{Refusal, record_refusal},
    shared::Shared,
};

/// Serves `/v1/models`: the models of the configuration in force.
pub(crate) async fn models(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    let snapshot = shared.snapshot.load();
    if let Err(refusal) = authenticate(&snapshot, &request) {
        let request_id = request_id(&shared, shared.next_id());
        record_refusal(&shared, &request_id, &refusal);
        return refusal.response(&request_id);
    }
    let entry =
        |model: &String| json!({"id": model, "object": "model", "created": 0, "owned_by": ""});
    let data: Vec<Value> = snapshot.models().iter().map(entry).collect();
    HttpResponse::Ok().json(&json!({"object": "list", "data": data}))
}

/// Refuses requests to all other paths.
pub(crate) async fn unknown_path(
    request: HttpRequest,
    mut payload: Payload,
    shared: State<Arc<Shared>>,
) -> HttpResponse {
    discard_body(&shared, &request, &mut payload, Code::UnknownPath).await;
    let refusal = Refusal::new(Code::UnknownPath);
    let request_id = request_id(&shared, shared.next_id());
    record_refusal(&shared, &request_id, &refusal);
    refusal.response(&request_id)
}
