//! Generate requests in the shape of the common completions and chat APIs.

use std::convert;
use std::sync;

use axum::body;
use axum::extract;
use axum::response;
use axum::response::IntoResponse as _;
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use walnuthaven_lib::clock;
use walnuthaven_lib::config;
use walnuthaven_lib::config_versions;
use walnuthaven_lib::prefix;
use walnuthaven_lib::queue;
use walnuthaven_lib::refusal;

use crate::answer;
use crate::api;
use crate::connections;
use crate::generate;
use crate::host;

/// Tokens generated for a request that names no number.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// The body of a completions or chat request. Fields of the common API that do not concern routing
/// are accepted and left alone.
#[derive(Clone, Debug, Deserialize)]
pub struct Body {
    /// The service.
    pub model: String,
    /// The prompt of a completions request.
    pub prompt: Option<String>,
    /// The messages of a chat request.
    pub messages: Option<Vec<Message>>,
    /// Tokens wanted.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// The priority, unless the header gives it.
    pub priority: Option<String>,
}

/// A message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: Content,
}

/// The content of a message.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// Plain text.
    Text(String),
    /// Parts.
    Parts(Vec<Part>),
}

/// A part of a message.
#[derive(Clone, Debug, Deserialize)]
pub struct Part {
    /// The text.
    #[serde(default)]
    pub text: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Shape {
    Completions,
    Chat,
}

/// `GET /v1/models`: the model services of the caller's workspace.
pub async fn models(
    extract::State(cx): extract::State<sync::Arc<host::Host>>,
    headers: http::HeaderMap,
) -> response::Response {
    let workspace = match api::caller_workspace(&cx, &headers) {
        Ok(workspace) => workspace,
        Err(refusal) => return api::refusal_response(&refusal),
    };
    let services = workspace.document.services.iter();
    let models = services.filter(|service| service.kind == config::Kind::Model);
    let data: Vec<serde_json::Value> = models
        .map(|service| {
            serde_json::json!({
                "id": service.name,
                "object": "model",
                "created": workspace.unix_ms / 1_000,
                "owned_by": workspace.document.workspace,
            })
        })
        .collect();
    axum::Json(serde_json::json!({ "object": "list", "data": data })).into_response()
}

/// `POST /v1/completions`.
pub async fn completions(
    extract::State(cx): extract::State<sync::Arc<host::Host>>,
    axum::Extension(connection): axum::Extension<connections::Connection>,
    headers: http::HeaderMap,
    body: Result<Bytes, extract::rejection::BytesRejection>,
) -> response::Response {
    handle(&cx, connection, &headers, body, Shape::Completions).await
}

/// `POST /v1/chat/completions`.
pub async fn chat(
    extract::State(cx): extract::State<sync::Arc<host::Host>>,
    axum::Extension(connection): axum::Extension<connections::Connection>,
    headers: http::HeaderMap,
    body: Result<Bytes, extract::rejection::BytesRejection>,
) -> response::Response {
    handle(&cx, connection, &headers, body, Shape::Chat).await
}

async fn handle(
    cx: &sync::Arc<host::Host>,
    connection: connections::Connection,
    headers: &http::HeaderMap,
    body: Result<Bytes, extract::rejection::BytesRejection>,
    shape: Shape,
) -> response::Response {
    host::Counters::add(&cx.counters.requests, 1);
    let parsed =
        read_body(cx, body).and_then(|body| ask(cx, headers, &body, shape).map(|ask| (ask, body)));
    let opened = match parsed {
        Ok((ask, body)) => {
            let prompt_tokens = prefix::estimated_tokens(&ask.prompt);
            let opened = generate::accept(cx, ask).await;
            opened.map(|opened| (opened, body, prompt_tokens))
        }
        Err(refusal) => Err(refusal),
    };
    let (opened, body, prompt_tokens) = match opened {
        Ok(opened) => opened,
        Err(refusal) => {
            host::Counters::add(&cx.counters.refused, 1);
            return api::refusal_response(&refusal);
        }
    };
    let id = opened.id.to_string();
    let reply = Reply {
        cx: cx.clone(),
        connection,
        opened,
        shape,
        model: body.model,
        prompt_tokens,
        created: clock::millis(cx.unix_time()) / 1_000,
    };
    let mut response = match body.stream {
        true => reply.stream().await,
        false => reply.whole().await,
    };
    if let Ok(value) = http::HeaderValue::from_str(&id) {
        response.headers_mut().insert(api::ID_HEADER, value);
    }
    response
}

/// Reads a JSON body.
///
/// # Errors
///
/// Refuses a body that is too large, cut off or malformed.
pub fn read_body(
    cx: &host::Host,
    body: Result<Bytes, extract::rejection::BytesRejection>,
) -> Result<Body, refusal::Refusal> {
    let body = body.map_err(|rejection| {
        let too_large = rejection.status() == http::StatusCode::PAYLOAD_TOO_LARGE;
        let code = match too_large {
            true => refusal::Code::TooLarge,
            false => refusal::Code::BadRequest,
        };
        let limit = cx.settings.limits.max_body_bytes;
        let message = format!("the body exceeds {limit} bytes or was cut off");
        refusal::Refusal::not_run(code, message)
    })?;
    serde_json::from_slice(&body).map_err(|error| {
        let message = format!("body: {error}");
        refusal::Refusal::not_run(refusal::Code::BadRequest, message)
    })
}

fn ask(
    cx: &host::Host,
    headers: &http::HeaderMap,
    body: &Body,
    shape: Shape,
) -> Result<generate::Request, refusal::Refusal> {
    let bad = |message| refusal::Refusal::not_run(refusal::Code::BadRequest, message);
    let workspace = api::caller_workspace(cx, headers)?;
    let service = find_model_service(&workspace, &body.model)?;
    let prompt = match shape {
        Shape::Completions => body.prompt.clone(),
        Shape::Chat => body.messages.as_deref().map(chat_prompt),
    };
    let prompt = prompt.filter(|prompt| !prompt.is_empty()).ok_or_else(|| {
        bad(match shape {
            Shape::Completions => "prompt: is missing or empty".to_owned(),
            Shape::Chat => "messages: is missing or empty".to_owned(),
        })
    })?;
    let class = parse_priority(headers, body, &workspace)?;
    let narrowed = match api::header(headers, api::REPEATABLE_HEADER) {
        None | Some("true") => false,
        Some("false") => true,
        Some(other) => {
            let name = api::REPEATABLE_HEADER;
            return Err(bad(format!("{name}: {other:?} is neither true nor false")));
        }
    };
    let offset = match api::header(headers, api::OFFSET_HEADER) {
        None => None,
        Some(text) => Some(text.parse().map_err(|_| {
            let name = api::OFFSET_HEADER;
            bad(format!("{name}: {text:?} is not a whole number"))
        })?),
    };
    Ok(generate::Request {
        repeatable: service.repeatable && !narrowed,
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        id: api::request_id(headers)?,
        arrived: cx.now(),
        workspace,
        service,
        prompt,
        class,
        offset,
    })
}

/// Finds a model service of a workspace.
///
/// # Errors
///
/// Refuses a name that is no model service.
pub fn find_model_service(
    workspace: &config_versions::Stored,
    name: &str,
) -> Result<config::Service, refusal::Refusal> {
    let service = workspace.document.service(name);
    let service = service.filter(|service| service.kind == config::Kind::Model);
    service.cloned().ok_or_else(|| {
        let message = format!("model: service {name:?} does not exist in the workspace");
        refusal::Refusal::not_run(refusal::Code::NotFound, message)
    })
}

/// Reads the priority from header or body.
///
/// # Errors
///
/// Refuses a priority that the workspace does not know.
pub fn parse_priority(
    headers: &http::HeaderMap,
    body: &Body,
    workspace: &config_versions::Stored,
) -> Result<queue::Class, refusal::Refusal> {
    let priority = api::header(headers, api::PRIORITY_HEADER).or(body.priority.as_deref());
    let Some(priority) = priority else {
        return Ok(queue::Class::default());
    };
    workspace.document.class(priority).ok_or_else(|| {
        let message = format!("priority: {priority:?} is not known in the workspace");
        refusal::Refusal::not_run(refusal::Code::BadRequest, message)
    })
}

fn chat_prompt(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            Content::Text(text) => prompt.push_str(text),
            Content::Parts(parts) => prompt.extend(parts.iter().map(|part| part.text.as_str())),
        }
        prompt.push('\n');
    }
    prompt
}

/// An answer on its way to the caller.
struct Reply {
    cx: sync::Arc<host::Host>,
    connection: connections::Connection,
    opened: generate::AcceptedRequest,
    shape: Shape,
    model: String,
    prompt_tokens: u32,
    created: u64,
}

impl Reply {
    async fn whole(mut self) -> response::Response {
        let mut text = String::new();
        let mut count = 0;
        loop {
            match self.opened.reader.next().await {
                answer::Chunk::Tokens(_, tokens) => {
                    count += tokens.len();
                    text.extend(tokens.iter().map(|token| &**token));
                }
                answer::Chunk::End(answer::End::Complete) => break,
                answer::Chunk::End(answer::End::Refused(refusal)) => {
                    return api::refusal_response(&refusal);
                }
            }
        }
        host::Counters::add(&self.cx.counters.tokens, count as u64);
        let body = self.whole_body(&text, count);
        self.connection.record_sent(&self.cx, self.opened.delivery);
        axum::Json(body).into_response()
    }

    fn whole_body(&self, text: &str, count: usize) -> serde_json::Value {
        let choice = match self.shape {
            Shape::Completions => serde_json::json!({
                "index": 0, "text": text, "logprobs": null, "finish_reason": "stop",
            }),
            Shape::Chat => serde_json::json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "logprobs": null,
                "finish_reason": "stop",
            }),
        };
        serde_json::json!({
            "id": self.opened.id.to_string(),
            "object": self.object(false),
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": count,
                "total_tokens": self.prompt_tokens as usize + count,
            },
        })
    }

    /// Streams the answer. A refusal before the first token is an ordinary error response.
    async fn stream(mut self) -> response::Response {
        let first = self.opened.reader.next().await;
        if let answer::Chunk::End(answer::End::Refused(refusal)) = &first {
            return api::refusal_response(refusal);
        }
        let state = Streaming {
            reply: self,
            next: Some(first),
            done: false,
        };
        let events = stream::unfold(state, |mut state| async {
            let bytes = state.next_bytes().await?;
            Some((Ok::<_, convert::Infallible>(bytes), state))
        });
        let headers = [
            (http::header::CONTENT_TYPE, "text/event-stream"),
            (http::header::CACHE_CONTROL, "no-cache"),
        ];
        (headers, body::Body::from_stream(events)).into_response()
    }

    fn object(&self, streaming: bool) -> &'static str {
        match (self.shape, streaming) {
            (Shape::Completions, _) => "text_completion",
            (Shape::Chat, false) => "chat.completion",
            (Shape::Chat, true) => "chat.completion.chunk",
        }
    }

    /// Writes one event. The fixed parts are written directly: this runs once a token.
    fn write_event(&self, out: &mut Vec<u8>, text: Option<&str>) {
        let object = self.object(true);
        let Self { created, .. } = self;
        out.extend_from_slice(b"data: {\"id\":\"");
        out.extend_from_slice(self.opened.id.to_string().as_bytes());
        out.extend_from_slice(
            format!("\",\"object\":\"{object}\",\"created\":{created},").as_bytes(),
        );
        out.extend_from_slice(b"\"model\":");
        write_json(out, &self.model);
        out.extend_from_slice(b",\"choices\":[{\"index\":0,\"logprobs\":null,\"finish_reason\":");
        out.extend_from_slice(if text.is_some() { b"null" } else { b"\"stop\"" });
        match self.shape {
            Shape::Completions => {
                out.extend_from_slice(b",\"text\":");
                write_json(out, text.unwrap_or_default());
                out.extend_from_slice(b"}]}\n\n");
            }
            Shape::Chat => {
                out.extend_from_slice(b",\"delta\":{");
                if let Some(text) = text {
                    out.extend_from_slice(b"\"role\":\"assistant\",\"content\":");
                    write_json(out, text);
                }
                out.extend_from_slice(b"}}]}\n\n");
            }
        }
    }
}

fn write_json(out: &mut Vec<u8>, text: &str) {
    // Writing a string to memory can't fail.
    let _ = serde_json::to_writer(out, text);
}

struct Streaming {
    reply: Reply,
    next: Option<answer::Chunk>,
    done: bool,
}

impl Streaming {
    /// Returns the events of all tokens that are there, as one write.
    async fn next_bytes(&mut self) -> Option<Bytes> {
        if self.done {
            return None;
        }
        let chunk = match self.next.take() {
            Some(chunk) => chunk,
            None => self.reply.opened.reader.next().await,
        };
        let mut out = Vec::new();
        match chunk {
            answer::Chunk::Tokens(_, tokens) => {
                let counters = &self.reply.cx.counters;
                host::Counters::add(&counters.tokens, tokens.len() as u64);
                for token in &tokens {
                    self.reply.write_event(&mut out, Some(token));
                }
            }
            answer::Chunk::End(answer::End::Complete) => {
                self.done = true;
                self.reply.write_event(&mut out, None);
                out.extend_from_slice(b"data: [DONE]\n\n");
                let delivery = self.reply.opened.delivery.clone();
                self.reply.connection.record_sent(&self.reply.cx, delivery);
            }
            answer::Chunk::End(answer::End::Refused(refusal)) => {
                self.done = true;
                let error = serde_json::json!({ "error": refusal });
                out.extend_from_slice(format!("data: {error}\n\n").as_bytes());
            }
        }
        Some(out.into())
    }
}
