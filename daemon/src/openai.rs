//! Generation requests in the format of the OpenAI completions and chat APIs.

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

/// Maximum number of tokens generated for a request that doesn't say how many.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// The body of a completions or chat request. Fields of the OpenAI API that are not needed here are
/// accepted and ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Body {
    /// The name of the model service.
    pub model: String,
    /// The prompt of a completions request.
    pub prompt: Option<String>,
    /// The messages of a chat request.
    pub messages: Option<Vec<Message>>,
    /// Maximum number of tokens to generate.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether to send the tokens as they are generated, as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The priority; the header takes precedence.
    pub priority: Option<String>,
}

/// A message of a chat.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// The author's role, such as `user`.
    pub role: String,
    /// The text of the message.
    pub content: Content,
}

/// The content of a message.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// A plain text.
    Text(String),
    /// Several parts, whose texts are joined.
    Parts(Vec<Part>),
}

/// A part of a message.
#[derive(Clone, Debug, Deserialize)]
pub struct Part {
    /// The text; empty for parts of other kinds.
    #[serde(default)]
    pub text: String,
}

/// The API that a request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Format {
    Completions,
    Chat,
}

/// Handles `GET /v1/models`: lists the model services of the caller's workspace.
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

/// Handles `POST /v1/completions`.
pub async fn completions(
    extract::State(cx): extract::State<sync::Arc<host::Host>>,
    axum::Extension(connection): axum::Extension<connections::Connection>,
    headers: http::HeaderMap,
    body: Result<Bytes, extract::rejection::BytesRejection>,
) -> response::Response {
    handle(&cx, connection, &headers, body, Format::Completions).await
}

/// Handles `POST /v1/chat/completions`.
pub async fn chat(
    extract::State(cx): extract::State<sync::Arc<host::Host>>,
    axum::Extension(connection): axum::Extension<connections::Connection>,
    headers: http::HeaderMap,
    body: Result<Bytes, extract::rejection::BytesRejection>,
) -> response::Response {
    handle(&cx, connection, &headers, body, Format::Chat).await
}

async fn handle(
    cx: &sync::Arc<host::Host>,
    connection: connections::Connection,
    headers: &http::HeaderMap,
    body: Result<Bytes, extract::rejection::BytesRejection>,
    format: Format,
) -> response::Response {
    host::Counters::add(&cx.counters.requests, 1);
    let parsed = read_body(cx, body)
        .and_then(|body| parse_request(cx, headers, &body, format).map(|request| (request, body)));
    let accepted = match parsed {
        Ok((request, body)) => {
            let prompt_tokens = prefix::estimated_tokens(&request.prompt);
            let accepted = generate::accept(cx, request).await;
            accepted.map(|accepted| (accepted, body, prompt_tokens))
        }
        Err(refusal) => Err(refusal),
    };
    let (accepted, body, prompt_tokens) = match accepted {
        Ok(accepted) => accepted,
        Err(refusal) => {
            host::Counters::add(&cx.counters.refused, 1);
            return api::refusal_response(&refusal);
        }
    };
    let id = accepted.id.to_string();
    let reply = Reply {
        cx: cx.clone(),
        connection,
        accepted,
        format,
        model: body.model,
        prompt_tokens,
        created: clock::millis(cx.unix_time()) / 1_000,
    };
    let mut response = match body.stream {
        true => reply.streamed().await,
        false => reply.unstreamed().await,
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

/// Builds the generation request for a body and its headers.
fn parse_request(
    cx: &host::Host,
    headers: &http::HeaderMap,
    body: &Body,
    format: Format,
) -> Result<generate::Request, refusal::Refusal> {
    let bad = |message| refusal::Refusal::not_run(refusal::Code::BadRequest, message);
    let workspace = api::caller_workspace(cx, headers)?;
    let service = find_model_service(&workspace, &body.model)?;
    let prompt = match format {
        Format::Completions => body.prompt.clone(),
        Format::Chat => body.messages.as_deref().map(chat_prompt),
    };
    let prompt = prompt.filter(|prompt| !prompt.is_empty()).ok_or_else(|| {
        bad(match format {
            Format::Completions => "prompt: is missing or empty".to_owned(),
            Format::Chat => "messages: is missing or empty".to_owned(),
        })
    })?;
    let class = parse_priority(headers, body, &workspace)?;
    let caller_forbids_retries = match api::header(headers, api::REPEATABLE_HEADER) {
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
        repeatable: service.repeatable && !caller_forbids_retries,
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

/// Parses the priority, from the header or else from the body.
///
/// # Errors
///
/// Refuses a priority that is not defined in the workspace.
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

/// Joins the messages of a chat to a prompt.
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

/// The answer to a request, and what is needed to send it to the caller.
struct Reply {
    cx: sync::Arc<host::Host>,
    connection: connections::Connection,
    accepted: generate::AcceptedRequest,
    format: Format,
    model: String,
    prompt_tokens: u32,
    created: u64,
}

impl Reply {
    /// Builds the response with the complete answer.
    async fn unstreamed(mut self) -> response::Response {
        let mut text = String::new();
        let mut count = 0;
        loop {
            match self.accepted.reader.next().await {
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
        let body = self.unstreamed_body(&text, count);
        self.connection
            .record_sent(&self.cx, self.accepted.delivery);
        axum::Json(body).into_response()
    }

    fn unstreamed_body(&self, text: &str, count: usize) -> serde_json::Value {
        let choice = match self.format {
            Format::Completions => serde_json::json!({
                "index": 0, "text": text, "logprobs": null, "finish_reason": "stop",
            }),
            Format::Chat => serde_json::json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "logprobs": null,
                "finish_reason": "stop",
            }),
        };
        serde_json::json!({
            "id": self.accepted.id.to_string(),
            "object": self.object_type(false),
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

    /// Builds the response that streams the answer as server-sent events. A refusal before the first
    /// token is sent as an ordinary error response.
    async fn streamed(mut self) -> response::Response {
        let first = self.accepted.reader.next().await;
        if let answer::Chunk::End(answer::End::Refused(refusal)) = &first {
            return api::refusal_response(refusal);
        }
        let state = EventStream {
            reply: self,
            first: Some(first),
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

    /// Returns the value of the `object` field.
    fn object_type(&self, streaming: bool) -> &'static str {
        match (self.format, streaming) {
            (Format::Completions, _) => "text_completion",
            (Format::Chat, false) => "chat.completion",
            (Format::Chat, true) => "chat.completion.chunk",
        }
    }

    /// Writes an event: a token, or the end of the answer if `text` is `None`. This runs once per token,
    /// so the fixed parts are written as bytes rather than serialized.
    fn write_event(&self, out: &mut Vec<u8>, text: Option<&str>) {
        let object = self.object_type(true);
        let Self { created, .. } = self;
        out.extend_from_slice(b"data: {\"id\":\"");
        out.extend_from_slice(self.accepted.id.to_string().as_bytes());
        out.extend_from_slice(
            format!("\",\"object\":\"{object}\",\"created\":{created},").as_bytes(),
        );
        out.extend_from_slice(b"\"model\":");
        write_json(out, &self.model);
        out.extend_from_slice(b",\"choices\":[{\"index\":0,\"logprobs\":null,\"finish_reason\":");
        out.extend_from_slice(if text.is_some() { b"null" } else { b"\"stop\"" });
        match self.format {
            Format::Completions => {
                out.extend_from_slice(b",\"text\":");
                write_json(out, text.unwrap_or_default());
                out.extend_from_slice(b"}]}\n\n");
            }
            Format::Chat => {
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

/// The state of a streamed answer.
struct EventStream {
    reply: Reply,
    /// The first chunk, until it is sent.
    first: Option<answer::Chunk>,
    /// Whether the last event was returned.
    done: bool,
}

impl EventStream {
    /// Waits for more tokens or the end of the answer. Returns the events of all available tokens
    /// together, so that they are sent in one write.
    async fn next_bytes(&mut self) -> Option<Bytes> {
        if self.done {
            return None;
        }
        let chunk = match self.first.take() {
            Some(chunk) => chunk,
            None => self.reply.accepted.reader.next().await,
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
                let delivery = self.reply.accepted.delivery.clone();
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
