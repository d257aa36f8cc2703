use std::fmt;

use crate::{LogLine, cause};

/// Time before a request's first line in which what a daemon believed may explain it.
const BEFORE_S: f64 = 10.0;

/// Time around a request's attempts in which other failures at the same upstream count.
const AROUND_S: f64 = 2.0;

/// Log of one daemon, or of several whose lines name them.
#[derive(Debug, Clone, Copy)]
pub struct Log<'a> {
    /// Name of the daemon, unless the lines name one.
    pub name: &'a str,
    /// Text.
    pub text: &'a str,
}

/// Log line with the daemon that wrote it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Step<'a> {
    pub(crate) host: &'a str,
    pub(crate) line: LogLine<'a>,
}

/// What the logs say of one request.
#[derive(Debug, Clone)]
pub struct Explanation<'a> {
    id: &'a str,
    /// Lines about the request, by time.
    pub(crate) steps: Vec<Step<'a>>,
    /// What the same daemons and upstreams went through around it, by time.
    pub(crate) around: Vec<Step<'a>>,
}

impl<'a> Explanation<'a> {
    /// Collects the lines about a request; `None` if there are none.
    #[must_use]
    pub fn from_logs(logs: &[Log<'a>], id: &'a str) -> Option<Self> {
        let mut all: Vec<Step<'a>> = Vec::new();
        for log in logs {
            let lines = log.text.lines().filter_map(LogLine::parse);
            all.extend(lines.map(|line| Step {
                host: line.host.unwrap_or(log.name),
                line,
            }));
        }
        all.sort_by(|a, b| a.line.at_s.total_cmp(&b.line.at_s));
        let own = |step: &&Step<'_>| step.line.field("request") == Some(id);
        let steps: Vec<Step<'a>> = all.iter().filter(own).copied().collect();
        let (first, last) = (steps.first()?.line.at_s, steps.last()?.line.at_s);
        let mut hosts: Vec<&str> = steps.iter().map(|step| step.host).collect();
        let mut upstreams: Vec<&str> = steps
            .iter()
            .filter_map(|step| step.line.field("upstream"))
            .collect();
        hosts.sort_unstable();
        upstreams.sort_unstable();
        let around = all.into_iter().filter(|step| {
            let Step { host, line } = step;
            let here = hosts.binary_search(host).is_ok();
            let known = |name: &str| {
                line.field(name)
                    .is_some_and(|value| upstreams.binary_search(&value).is_ok())
            };
            let near = line.at_s >= first - BEFORE_S && line.at_s <= last + AROUND_S;
            let close = line.at_s >= first - AROUND_S;
            let other = line.field("request").is_some_and(|request| request != id);
            near && if other {
                close && line.starts_with("attempt: failed") && known("upstream")
            } else {
                here && cause::is_belief(line) || line.starts_with("upstream:") && known("name")
            }
        });
        Some(Self {
            id,
            around: around.collect(),
            steps,
        })
    }

    /// Returns the times of the first and last line about the request.
    pub(crate) fn span_s(&self) -> (f64, f64) {
        let time = |step: Option<&Step<'_>>| step.map_or(0.0, |step| step.line.at_s);
        (time(self.steps.first()), time(self.steps.last()))
    }

    /// Returns the last line with an event.
    pub(crate) fn last(&self, event: &str) -> Option<&Step<'a>> {
        self.steps
            .iter()
            .rev()
            .find(|step| step.line.starts_with(event))
    }
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first_s = self.steps[0].line.at_s;
        let write = |f: &mut fmt::Formatter<'_>, step: &Step<'_>| {
            let ms = (step.line.at_s - first_s) * 1_000.0;
            writeln!(f, "{ms:>9.0} ms  {}  {}", step.host, step.line.message)
        };
        writeln!(f, "request {}", self.id)?;
        for step in &self.steps {
            write(f, step)?;
        }
        let (failed, beliefs): (Vec<&Step<'_>>, Vec<&Step<'_>>) = self
            .around
            .iter()
            .partition(|step| step.line.starts_with("attempt: failed"));
        if !beliefs.is_empty() {
            writeln!(f, "around it")?;
        }
        for step in beliefs {
            write(f, step)?;
        }
        if !failed.is_empty() {
            let count = failed.len();
            writeln!(
                f,
                "other attempts that failed at the same upstreams: {count}"
            )?;
        }
        writeln!(f, "cause")?;
        for sentence in cause::sentences(self) {
            writeln!(f, "  {sentence}")?;
        }
        Ok(())
    }
}
