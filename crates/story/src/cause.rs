//! What speaks for which cause.

use code::{Code, Run};

use crate::{Explanation, LogLine};

/// Parts whose lines say what a daemon believed or what happened to it.
const BELIEFS: [&str; 5] = ["store:", "config:", "daemon:", "drain:", "peer:"];

/// Prompt tokens ahead of a request from which the engine's work explains a late answer: at the
/// engines' 50 to 64 tokens a millisecond they take longer than the shortest objectives.
const MUCH_WORK_TOKENS: u64 = 25_000;

/// Returns whether a line tells what a daemon believed rather than what it did with a request.
pub(crate) fn is_belief(line: &LogLine<'_>) -> bool {
    BELIEFS.iter().any(|part| line.starts_with(part))
}

/// Returns how a request ended and what explains it.
pub(crate) fn sentences(story: &Explanation<'_>) -> Vec<String> {
    let mut sentences = vec![ending(story)];
    sentences.extend(attempts(story));
    sentences.extend(surroundings(story));
    sentences
}

fn ending(story: &Explanation<'_>) -> String {
    if let Some(step) = story.last("caller: refused") {
        let text = step.line.field("code").unwrap_or_default();
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
    if let Some(step) = story.last("caller: stream ended") {
        let outcome = step.line.field("outcome").unwrap_or_default();
        let waited_ms = step.line.field("waited_ms").unwrap_or("?");
        return format!("The stream ended after {waited_ms} ms: {outcome}.");
    }
    if let Some(step) = story.last("caller: answered") {
        let status = step.line.field("status").unwrap_or("?");
        let waited_ms = step.line.field("waited_ms").unwrap_or("?");
        return format!("Answered with status {status} after {waited_ms} ms.");
    }
    "No line says how it ended: the caller left, or the daemon stopped or dropped lines.".to_owned()
}

fn attempts(story: &Explanation<'_>) -> Vec<String> {
    let started = story.steps.iter();
    let started = started.filter(|step| step.line.starts_with("attempt: started"));
    let mut sentences = Vec::new();
    let mut count = 0;
    for step in started {
        count += 1;
        let upstream = step.line.field("upstream").unwrap_or("?");
        let work_tokens = step.line.number("work_tokens").unwrap_or(0);
        if work_tokens >= MUCH_WORK_TOKENS {
            sentences.push(format!(
                "{upstream} had {work_tokens} prompt tokens to read before the first token."
            ));
        }
    }
    if count == 0 {
        sentences.push("Nothing was sent to an upstream.".to_owned());
    }
    for step in &story.steps {
        if step.line.starts_with("attempt: failed") {
            let upstream = step.line.field("upstream").unwrap_or("?");
            let detail = step.line.field("detail").unwrap_or("?");
            sentences.push(format!("The attempt at {upstream} failed: {detail}."));
        }
    }
    sentences
}

/// Returns what its daemons and upstreams went through by the time the request ended.
fn surroundings(story: &Explanation<'_>) -> Vec<String> {
    let (first_s, last_s) = story.span_s();
    let mut sentences: Vec<String> = Vec::new();
    for step in &story.around {
        let (host, line) = (step.host, &step.line);
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
            // A new process is not what the one before it was.
            let own = format!("{host} ");
            sentences.retain(|sentence| !sentence.starts_with(&own));
            sentences.push(format!("{host} had started within the last seconds."));
        } else if line.starts_with("peer: this process was suspended") {
            sentences.push(format!("{host} was suspended."));
        }
    }
    sentences.sort_unstable();
    sentences.dedup();
    sentences
}
