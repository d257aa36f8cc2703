//! Collects the log lines about a request and prints them with the likely cause of its outcome.

use std::fmt;

use crate::{LogLine, cause};

/// Time before a request's first line from which state changes of its daemons may explain it.
const CONTEXT_BEFORE_S: f64 = 10.0;

/// Time before and after a request in which failed attempts of other requests at the same upstreams
/// are counted.
const NEARBY_S: f64 = 2.0;

/// Log of one daemon, or of several whose lines name them.
#[derive(Debug, Clone, Copy)]
pub struct Log<'a> {
    /// Name of the daemon; a line that names its daemon overrides it.
    pub name: &'a str,
    /// Content of the log.
    pub text: &'a str,
}

/// Log line and the daemon that wrote it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LogEntry<'a> {
    pub(crate) host: &'a str,
    pub(crate) line: LogLine<'a>,
}

/// Log lines about one request, and about the state of its daemons and upstreams at the time.
///
/// The `Display` output lists the lines and the likely cause of the outcome.
#[derive(Debug, Clone)]
pub struct Explanation<'a> {
    id: &'a str,
    /// Lines about the request, ordered by time.
    pub(crate) entries: Vec<LogEntry<'a>>,
    /// Other lines about the same daemons and upstreams near that time, ordered by time.
    pub(crate) context: Vec<LogEntry<'a>>,
}

impl<'a> Explanation<'a> {
    /// Collects the lines about the request with this ID; `None` if there are none.
    #[must_use]
    pub fn from_logs(logs: &[Log<'a>], id: &'a str) -> Option<Self> {
        let mut all: Vec<LogEntry<'a>> = Vec::new();
        for log in logs {
            let lines = log.text.lines().filter_map(LogLine::parse);
            all.extend(lines.map(|line| LogEntry {
                host: line.host.unwrap_or(log.name),
                line,
            }));
        }
        all.sort_by(|a, b| a.line.at_s.total_cmp(&b.line.at_s));
        let is_about_request = |entry: &&LogEntry<'_>| entry.line.field("request") == Some(id);
        let entries: Vec<LogEntry<'a>> = all.iter().filter(is_about_request).copied().collect();
        let (first, last) = (entries.first()?.line.at_s, entries.last()?.line.at_s);
        let mut hosts: Vec<&str> = entries.iter().map(|entry| entry.host).collect();
        let mut upstreams: Vec<&str> = entries
            .iter()
            .filter_map(|entry| entry.line.field("upstream"))
            .collect();
        hosts.sort_unstable();
        upstreams.sort_unstable();
        let context = all.into_iter().filter(|entry| {
            let LogEntry { host, line } = entry;
            let is_host_involved = hosts.binary_search(host).is_ok();
            let names_upstream = |name: &str| {
                line.field(name)
                    .is_some_and(|value| upstreams.binary_search(&value).is_ok())
            };
            let is_in_context =
                line.at_s >= first - CONTEXT_BEFORE_S && line.at_s <= last + NEARBY_S;
            let is_nearby = line.at_s >= first - NEARBY_S;
            let is_other_request = line.field("request").is_some_and(|request| request != id);
            is_in_context
                && if is_other_request {
                    is_nearby && line.starts_with("attempt: failed") && names_upstream("upstream")
                } else {
                    is_host_involved && cause::is_state_line(line)
                        || line.starts_with("upstream:") && names_upstream("name")
                }
        });
        Some(Self {
            id,
            context: context.collect(),
            entries,
        })
    }

    /// Returns the times of the first and the last line about the request, in seconds.
    pub(crate) fn span_s(&self) -> (f64, f64) {
        let time = |entry: Option<&LogEntry<'_>>| entry.map_or(0.0, |entry| entry.line.at_s);
        (time(self.entries.first()), time(self.entries.last()))
    }

    /// Returns the last line about the request whose message starts with an event.
    pub(crate) fn last(&self, event: &str) -> Option<&LogEntry<'a>> {
        self.entries
            .iter()
            .rev()
            .find(|entry| entry.line.starts_with(event))
    }
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first_s = self.entries[0].line.at_s;
        let write_entry = |f: &mut fmt::Formatter<'_>, entry: &LogEntry<'_>| {
            let ms = (entry.line.at_s - first_s) * 1_000.0;
            writeln!(f, "{ms:>9.0} ms  {}  {}", entry.host, entry.line.message)
        };
        writeln!(f, "request {}", self.id)?;
        for entry in &self.entries {
            write_entry(f, entry)?;
        }
        let (failed_attempts, state_entries): (Vec<&LogEntry<'_>>, Vec<&LogEntry<'_>>) = self
            .context
            .iter()
            .partition(|entry| entry.line.starts_with("attempt: failed"));
        if !state_entries.is_empty() {
            writeln!(f, "around it")?;
        }
        for entry in state_entries {
            write_entry(f, entry)?;
        }
        if !failed_attempts.is_empty() {
            let count = failed_attempts.len();
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
