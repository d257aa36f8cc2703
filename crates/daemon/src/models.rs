use std::sync::Arc;

use code::Code;
use ntex::web::{
    HttpRequest, HttpResponse,
    types::{Payload, State},
};
use serde_json::{Value, json};

use crate::{
    input::{authenticate, discard_body, request_id},
    refusal::{Refusal, note_refusal},
    shared::Shared,
};

/// Serves `/v1/models`.
pub(crate) async fn models(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    let view = shared.view.load();
    if let Err(refusal) = authenticate(&view, &request) {
        let request_id = request_id(&shared, shared.next_id());
        note_refusal(&shared, &request_id, &refusal);
        return refusal.response(&request_id);
    }
    let entry =
        |model: &String| json!({"id": model, "object": "model", "created": 0, "owned_by": ""});
    let data: Vec<Value> = view.models().iter().map(entry).collect();
    HttpResponse::Ok().json(&json!({"object": "list", "data": data}))
}

/// Serves every path that no interface has.
pub(crate) async fn unknown_path(mut payload: Payload, shared: State<Arc<Shared>>) -> HttpResponse {
    discard_body(&shared, &mut payload).await;
    let refusal = Refusal::new(Code::UnknownPath);
    let request_id = request_id(&shared, shared.next_id());
    note_refusal(&shared, &request_id, &refusal);
    refusal.response(&request_id)
}
