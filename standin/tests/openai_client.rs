//! An off-the-shelf OpenAI client library works with the completions and chat endpoints.

use async_openai::config;
use async_openai::types::chat;
use async_openai::types::completions;
use futures_util::StreamExt as _;
use walnuthaven_standin::local_fleet;
use walnuthaven_standin::tokens;
use walnuthaven_standin::world;

fn client(fleet: &local_fleet::Fleet, index: usize) -> async_openai::Client<config::OpenAIConfig> {
    let address = &fleet.api_addresses()[index];
    let config = config::OpenAIConfig::new()
        .with_api_key(world::COOP_KEY)
        .with_api_base(format!("http://{address}/v1"));
    async_openai::Client::with_config(config)
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_completions_through_each_host() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let prompt = "a refund for the women's hall";
    for index in 0..3 {
        let request = completions::CreateCompletionRequestArgs::default()
            .model("summary")
            .prompt(prompt)
            .max_tokens(12_u32)
            .stream(true)
            .build()
            .unwrap();
        let mut stream = client(&fleet, index)
            .completions()
            .create_stream(request)
            .await
            .unwrap();
        let mut text = String::new();
        while let Some(chunk) = stream.next().await {
            text.push_str(&chunk.unwrap().choices[0].text);
        }
        assert_eq!(text, tokens::answer(prompt, 12));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_chat_without_streaming() {
    let world = world::World::start(&[world::User::Coop]).await.unwrap();
    let fleet = local_fleet::Fleet::start(&world, 3, "current")
        .await
        .unwrap();
    let message = chat::ChatCompletionRequestUserMessageArgs::default()
        .content("which halls are open?")
        .build()
        .unwrap();
    let request = chat::CreateChatCompletionRequestArgs::default()
        .model("summary")
        .messages([message.into()])
        .max_completion_tokens(9_u32)
        .build()
        .unwrap();
    let answer = client(&fleet, 1).chat().create(request).await.unwrap();
    let content = answer.choices[0].message.content.clone().unwrap();
    assert_eq!(content, tokens::answer("user: which halls are open?\n", 9));
    assert_eq!(answer.usage.unwrap().completion_tokens, 9);
}
