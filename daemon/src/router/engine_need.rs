//! What a request to model engines needs of an engine's memory.

use walnuthaven_lib::answer_lengths;
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
    let tokens = prompt.map_or(0, |prompt| prompt.tokens);
    let (hint, max_output) = output_limits(prompt);
    let output = lengths_of(cx, service).predict(hint, max_output);
    engine_memory::Need::with_generated(tokens, output, generated)
}

/// Returns a number of tokens that nine of ten answers to such a request don't exceed after the first `generated` ones.
/// `None` if nothing is known of their length.
pub(crate) fn longest_rest<D: dialect::Dialect>(
    cx: &context::Router<D>,
    service: &str,
    prompt: Option<&dialect::Prompt>,
    generated: u32,
) -> Option<u32> {
    let (hint, max_output) = output_limits(prompt);
    let longest = lengths_of(cx, service).predict_longest(hint, max_output)?;
    Some(longest.saturating_sub(generated))
}

fn lengths_of<D>(cx: &context::Router<D>, service: &str) -> answer_lengths::LengthPredictor {
    let lengths = locks::lock(&cx.answer_lengths);
    lengths.get(service).copied().unwrap_or_default()
}

/// Returns the caller's estimate of the answer's length in tokens, if any, and the longest one that it allows.
fn output_limits(prompt: Option<&dialect::Prompt>) -> (Option<u32>, u32) {
    match prompt {
        Some(prompt) => (prompt.output_hint, prompt.max_output),
        None => (None, DEFAULT_MAX_OUTPUT),
    }
}

/// Returns the tokens of the answer that the caller has already if it resumes a stream.
pub(crate) fn delivered_before(head: &dialect::RequestHead, engines: &routing::EnginePool) -> u32 {
    let max_output = head
        .prompt
        .as_ref()
        .map_or(DEFAULT_MAX_OUTPUT, |prompt| prompt.max_output);
    engine_memory::delivered_tokens(head.resume_after, engines.tokens_per_event, max_output)
}
