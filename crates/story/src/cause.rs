//! Derives from log lines how a request ended and what may have caused it.

use code::{Code, Run};

use crate::{Explanation, LogLine};

/// Prefixes of log lines about the state of a daemon and its view of the store and its peers.
const STATE_PREFIXES: [&str; 5] = ["store:", "config:", "daemon:", "drain:", "peer:"];

/// Prompt tokens to prefill before a request's first token, from which prefill explains a late
/// response: engines prefill 50 to 64 tokens a millisecond, so this many take longer than the
/// shortest latency objectives.
const LONG_PREFILL_TOKENS: u64 = 25_000;

/// Returns whether a line is about the state of a daemon rather than about one request.
pub(crate) fn is_state_line(line: &LogLine<'_>) -> bool {
    STATE_PREFIXES.iter().any(|prefix| line.starts_with(prefix))
}

/// Returns sentences on how a request ended and on what may explain it.
pub(crate) fn sentences(explanation: &Explanation<'_>) -> Vec<String> {
    let mut sentences = vec![outcome_sentence(explanation)];
    sentences.extend(attempt_sentences(explanation));
    sentences.extend(context_sentences(explanation));
    sentences
}

/// Returns the sentence on how the request ended.
fn outcome_sentence(explanation: &Explanation<'_>) -> String {
    if let Some(entry) = explanation.last("caller: refused") {
        let text = entry.line.field("code").unwrap_or_default();
        let code = text.parse().ok().and_then(Code::from_number);
        let Some(code) = code else {
            return format!("Refused with the unknown code {text}.");
        };
        let run = match code.run() {
            Run::No => "The request was not run.",
            Run::Yes => "The request was run.",
            Run::Unknown => "Whether the request was run is not known.",
        };
        let (number, name) = (code.number(), code.name());
        return format!("Refused with {number} {name}: {} {run}", code.message());
    }
    if let Some(entry) = explanation.last("caller: stream ended") {
        let outcome = entry.line.field("outcome").unwrap_or_default();
        let waited_ms = entry.line.field("waited_ms").unwrap_or("?");
        return format!("The stream ended after {waited_ms} ms: {outcome}.");
    }
    if let Some(entry) = explanation.last("caller: answered") {
        let status = entry.line.field("status").unwrap_or("?");
        let waited_ms = entry.line.field("waited_ms").unwrap_or("?");
        return format!("Answered with status {status} after {waited_ms} ms.");
    }
    "No line says how it ended: the caller left, or the daemon stopped or dropped lines.".to_owned()
}

/// Returns sentences on long prefills and failed attempts of the request.
fn attempt_sentences(explanation: &Explanation<'_>) -> Vec<String> {
    let started = explanation.entries.iter();
    let started = started.filter(|entry| entry.line.starts_with("attempt: started"));
    let mut sentences = Vec::new();
    let mut count = 0;
    for entry in started {
        count += 1;
        let upstream = entry.line.field("upstream").unwrap_or("?");
        let work_tokens = entry.line.number("work_tokens").unwrap_or(0);
        if work_tokens >= LONG_PREFILL_TOKENS {
            sentences.push(format!(
                "{upstream} had {work_tokens} prompt tokens to read before the first token."
            ));
        }
    }
    if count == 0 {
        sentences.push("Nothing was sent to an upstream.".to_owned());
    }
    for entry in &explanation.entries {
        if entry.line.starts_with("attempt: failed") {
            let upstream = entry.line.field("upstream").unwrap_or("?");
            let detail = entry.line.field("detail").unwrap_or("?");
            sentences.push(format!("The attempt at {upstream} failed: {detail}."));
        }
    }
    sentences
}

/// Returns sentences on state changes of the request's daemons and upstreams until it ended.
///
/// An upstream that leaves the list shortly after the end counts too.
fn context_sentences(explanation: &Explanation<'_>) -> Vec<String> {
    let (first_s, last_s) = explanation.span_s();
    let mut sentences: Vec<String> = Vec::new();
    for entry in &explanation.context {
        let (host, line) = (entry.host, &entry.line);
        let name = line.field("name").unwrap_or("?");
        if line.starts_with("upstream: gone") {
            sentences.push(format!("{name} left the list of upstreams."));
        }
        if line.at_s > last_s {
            continue;
        }
        let stopping = format!("{host} was stopping.");
        let read = line.field("read").unwrap_or("?");
        let lost = |read: &str| format!("{host} had lost the store for its {read}.");
        if line.starts_with("daemon: SIGTERM") || line.starts_with("drain: started") {
            sentences.push(stopping);
        } else if line.starts_with("store: lost") {
            sentences.push(lost(read));
        } else if line.starts_with("store: regained") && line.at_s <= first_s {
            sentences.retain(|sentence| *sentence != lost(read));
        } else if line.starts_with("daemon: ") && line.message.contains(" serves callers ") {
            // Earlier sentences describe the previous process of this host.
            let host_prefix = format!("{host} ");
            sentences.retain(|sentence| !sentence.starts_with(&host_prefix));
            sentences.push(format!("{host} had started within the last seconds."));
        } else if line.starts_with("peer: this process was suspended") {
            sentences.push(format!("{host} was suspended."));
        }
    }
    sentences.sort_unstable();
    sentences.dedup();
    sentences
}
