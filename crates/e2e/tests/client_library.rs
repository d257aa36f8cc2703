//! Tests the published client library that callers use against a daemon process.

mod support;

use async_openai::{
    Client,
    config::OpenAIConfig,
    error::OpenAIError,
    types::{
        chat::{
            ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
            CreateChatCompletionRequestArgs,
        },
        completions::CreateCompletionRequestArgs,
    },
};
use futures::StreamExt as _;
use standin::answer_text;
use support::{Fleet, KEY};

fn chat_request(model: &str, prompt: &str) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content(prompt)
        .build()
        .unwrap();
    CreateChatCompletionRequestArgs::default()
        .model(model)
        .messages([message.into()])
        .max_completion_tokens(50_u32)
        .build()
        .unwrap()
}

fn library(base: &str, key: &str) -> Client<OpenAIConfig> {
    Client::with_config(OpenAIConfig::new().with_api_base(base).with_api_key(key))
}

/// Guards against answers that the callers' client library can't parse: complete and streamed chat
/// answers, text completions, the list of models, and errors.
#[ntex::test]
async fn published_client_library_is_served() {
    let fleet = Fleet::start("entry-library").await;
    let base = format!("http://{}/v1", fleet.daemon.address);
    let client = library(&base, KEY);
    let models = client.models().list().await.unwrap();
    assert_eq!(models.data[0].id, "faucet-vision");

    let prompt = "the left tap drips len=9";
    let answer = client
        .chat()
        .create(chat_request("faucet-vision", prompt))
        .await
        .unwrap();
    assert_eq!(
        answer.choices[0].message.content.as_deref(),
        Some(&*answer_text(prompt, 9))
    );
    assert_eq!(answer.usage.unwrap().completion_tokens, 9);

    let request = chat_request("faucet-vision@bulk", prompt);
    let mut stream = client.chat().create_stream(request).await.unwrap();
    let mut text = String::new();
    while let Some(chunk) = stream.next().await {
        for choice in chunk.unwrap().choices {
            text.push_str(choice.delta.content.as_deref().unwrap_or_default());
        }
    }
    assert_eq!(text, answer_text(prompt, 9));

    let request = CreateCompletionRequestArgs::default()
        .model("faucet-vision")
        .prompt(prompt)
        .build()
        .unwrap();
    let answer = client.completions().create(request).await.unwrap();
    assert_eq!(answer.choices[0].text, answer_text(prompt, 9));

    let cases = [
        (library(&base, KEY), "no-such-model", "1004"),
        (library(&base, "wrong"), "faucet-vision", "2001"),
    ];
    for (client, model, number) in cases {
        match client.chat().create(chat_request(model, prompt)).await {
            Err(OpenAIError::ApiError(error)) => {
                assert!(format!("{error:?}").contains(number), "{error:?}");
            }
            other => panic!("{model}: {other:?}"),
        }
    }
}
