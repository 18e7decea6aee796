//! What a request to model engines needs of an engine's memory.

use walnuthaven_lib::dialect;
use walnuthaven_lib::engine_memory;
use walnuthaven_lib::routing;

use crate::locks;
use crate::router::context;

/// Maximum answer length in tokens of a request whose headers don't state one.
const DEFAULT_MAX_OUTPUT: u32 = 512;

/// Returns the tokens for which a request needs memory, from the predicted length of its answer.
/// `generated` tokens were generated before an interruption, and count as part of the prompt.
pub(crate) fn need_of<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &str,
    prompt: Option<&dialect::Prompt>,
    generated: u32,
) -> engine_memory::Need {
    let lengths = locks::lock(&cx.answer_lengths)
        .get(service)
        .copied()
        .unwrap_or_default();
    let (tokens, max_output, hint) = match prompt {
        Some(prompt) => (prompt.tokens, prompt.max_output, prompt.output_hint),
        None => (0, DEFAULT_MAX_OUTPUT, None),
    };
    let output = lengths.predict(hint, max_output);
    engine_memory::Need::with_generated(tokens, output, generated)
}

/// Returns the tokens of the answer that the caller has already if it resumes a stream.
pub(crate) fn delivered_before(head: &dialect::RequestHead, engines: &routing::EnginePool) -> u32 {
    let max_output = head
        .prompt
        .as_ref()
        .map_or(DEFAULT_MAX_OUTPUT, |prompt| prompt.max_output);
    engine_memory::delivered_tokens(head.resume_after, engines.tokens_per_event, max_output)
}
