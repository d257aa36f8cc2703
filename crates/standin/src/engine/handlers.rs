use futures::stream;
use lease::Command;
use ntex::web::{HttpRequest, HttpResponse, types};
use serde_json::{Value, json};
use wire::Form;

use super::{
    Engine,
    answer::{Head, next_event},
    prompt::Prompt,
};
use crate::{EngineControl, service::dropped};

pub(super) async fn chat(
    request: HttpRequest,
    engine: types::State<Engine>,
    body: types::Json<Value>,
) -> HttpResponse {
    let prompt = Prompt::chat(&body);
    complete(&request, &engine, &body, prompt, Form::Chat).await
}

pub(super) async fn text_completion(
    request: HttpRequest,
    engine: types::State<Engine>,
    body: types::Json<Value>,
) -> HttpResponse {
    let prompt = Prompt::text(&body);
    complete(&request, &engine, &body, prompt, Form::Text).await
}

pub(super) async fn complete(
    request: &HttpRequest,
    engine: &Engine,
    body: &Value,
    prompt: Prompt,
    form: Form,
) -> HttpResponse {
    if engine.with(|inner| inner.control.rejecting) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let priority = body["priority"]
        .as_i64()
        .and_then(|value| i32::try_from(value).ok());
    let prompt_tokens = prompt.length_tokens;
    let Some(receiver) = engine.add(prompt, priority.unwrap_or(0)) else {
        return dropped();
    };
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    let head = Head {
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
    let (mut text, mut count, mut complete) = (String::new(), 0_u32, false);
    while let Some(token) = receiver.recv().await {
        text.push_str(&token.text);
        count += 1;
        complete = token.last;
    }
    if complete {
        response.json(&head.whole(&text, count))
    } else {
        dropped()
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
    let sample = engine.with(|inner| inner.samples.first().copied().unwrap_or_default());
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
    if engine.with(|inner| inner.control.crashed) {
        return dropped();
    }
    HttpResponse::Ok().json(&engine.state())
}

pub(super) async fn post_command(
    engine: types::State<Engine>,
    command: types::Json<Command>,
) -> HttpResponse {
    let honours_fencing = engine.honours_fencing;
    engine.with(|inner| {
        let control = &mut inner.control;
        if control.crashed || take_one(&mut control.lose_commands) {
            return dropped();
        }
        if take_one(&mut control.ignore_commands) {
            return HttpResponse::Ok().json(&json!({"applied": true}));
        }
        let lost = take_one(&mut control.lose_command_answers);
        let applied = inner.state.try_apply(&command, honours_fencing);
        if lost {
            return dropped();
        }
        let token = inner.state.token;
        let mut answer = if applied {
            HttpResponse::Ok()
        } else {
            HttpResponse::Conflict()
        };
        answer.json(&json!({"applied": applied, "token": token}))
    })
}

pub(super) const fn take_one(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
