//! HTTP handlers of the engine stand-in.

use futures::stream;
use lease::Command;
use ntex::web::{HttpRequest, HttpResponse, types};
use serde_json::{Value, json};
use wire::Form;

use super::{
    Engine,
    answer::{ResponseHead, next_event},
    prompt::Prompt,
};
use crate::{EngineControl, service::broken_response};

pub(super) async fn chat(
    request: HttpRequest,
    engine: types::State<Engine>,
    body: types::Json<Value>,
) -> HttpResponse {
    let prompt = Prompt::from_chat(&body);
    generate(&request, &engine, &body, prompt, Form::Chat).await
}

pub(super) async fn text_completion(
    request: HttpRequest,
    engine: types::State<Engine>,
    body: types::Json<Value>,
) -> HttpResponse {
    let prompt = Prompt::from_text(&body);
    generate(&request, &engine, &body, prompt, Form::Text).await
}

/// Adds a request to the batch and writes its response, as events or as one body.
pub(super) async fn generate(
    request: &HttpRequest,
    engine: &Engine,
    body: &Value,
    prompt: Prompt,
    form: Form,
) -> HttpResponse {
    if engine.with_inner(|inner| inner.control.rejecting) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let priority = body["priority"]
        .as_i64()
        .and_then(|value| i32::try_from(value).ok());
    let prompt_tokens = prompt.input_tokens;
    let Some(receiver) = engine.add_request(prompt, priority.unwrap_or(0)) else {
        return broken_response();
    };
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    let head = ResponseHead {
        form,
        model,
        prompt_tokens,
        completion_tokens: 0,
    };
    let mut response = HttpResponse::Ok();
    if let Some(id) = request.headers().get("x-request-id") {
        response.header("x-request-id", id.clone());
    }
    if body["stream"] == true {
        let tokens = stream::unfold((head, receiver, false), next_event);
        return response
            .content_type("text/event-stream")
            .streaming(Box::pin(tokens));
    }
    let mut receiver = receiver;
    let (mut text, mut count, mut is_complete) = (String::new(), 0_u32, false);
    while let Some(token) = receiver.recv().await {
        text.push_str(&token.text);
        count += 1;
        is_complete = token.last;
    }
    if is_complete {
        response.json(&head.full_response(&text, count))
    } else {
        broken_response()
    }
}

pub(super) async fn set_control(
    engine: types::State<Engine>,
    control: types::Json<EngineControl>,
) -> HttpResponse {
    engine.control(control.into_inner());
    HttpResponse::Ok().finish()
}

pub(super) async fn get_stats(engine: types::State<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.stats())
}

pub(super) async fn get_metrics(engine: types::State<Engine>) -> HttpResponse {
    let sample = engine.with_inner(|inner| inner.samples.first().copied().unwrap_or_default());
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(format!(
        "vllm:num_requests_running {}\nvllm:num_requests_waiting {}\nvllm:kv_cache_usage_perc 0\n",
        sample.running, sample.waiting
    ))
}

pub(super) async fn get_models(engine: types::State<Engine>) -> HttpResponse {
    let data: Vec<Value> = engine
        .state()
        .models
        .iter()
        .map(|model| json!({"id": model, "object": "model"}))
        .collect();
    HttpResponse::Ok().json(&json!({"object": "list", "data": data}))
}

pub(super) async fn get_commands(engine: types::State<Engine>) -> HttpResponse {
    if engine.with_inner(|inner| inner.control.crashed) {
        return broken_response();
    }
    HttpResponse::Ok().json(&engine.state())
}

pub(super) async fn post_command(
    engine: types::State<Engine>,
    command: types::Json<Command>,
) -> HttpResponse {
    let honours_fencing = engine.honours_fencing;
    engine.with_inner(|inner| {
        let control = &mut inner.control;
        if control.crashed || consume_fault(&mut control.lose_commands) {
            return broken_response();
        }
        if consume_fault(&mut control.ignore_commands) {
            return HttpResponse::Ok().json(&json!({"applied": true}));
        }
        let is_lost = consume_fault(&mut control.lose_command_answers);
        let applied = inner.state.try_apply(&command, honours_fencing);
        if is_lost {
            return broken_response();
        }
        let token = inner.state.token;
        let mut response = if applied {
            HttpResponse::Ok()
        } else {
            HttpResponse::Conflict()
        };
        response.json(&json!({"applied": applied, "token": token}))
    })
}

/// Decrements the count of a fault; returns whether the fault applies to this call.
pub(super) const fn consume_fault(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}
