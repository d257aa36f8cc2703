//! Parses lines of the daemons' logs.

use jiff::Timestamp;

/// Log levels; the message of a line begins after the level.
const LEVELS: [&str; 5] = ["TRACE", "DEBUG", "INFO", "WARN", "ERROR"];

/// One parsed line of a log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LogLine<'a> {
    /// Time in seconds: since the Unix epoch, or the plain number that the line begins with.
    pub at_s: f64,
    /// Daemon, if the line names one, as in a file with the logs of several daemons.
    pub host: Option<&'a str>,
    /// Component and event, such as `caller: refused`, with the fields as `name=value`.
    pub message: &'a str,
}

impl<'a> LogLine<'a> {
    /// Parses a line; `None` if it is not in the format of a daemon's log.
    #[must_use]
    pub fn parse(text: &'a str) -> Option<Self> {
        let text = text.trim();
        let (time, mut rest) = text.split_once(' ')?;
        let at_s = match time.parse::<Timestamp>() {
            Ok(time) => time.as_duration().as_secs_f64(),
            Err(_) => time.parse().ok()?,
        };
        let mut host = None;
        loop {
            let (word, after) = rest.trim_start().split_once(' ')?;
            if LEVELS.contains(&word) {
                let message = after.trim_start();
                return Some(Self {
                    at_s,
                    host,
                    message,
                });
            }
            if host.is_some() {
                return None;
            }
            (host, rest) = (Some(word), after);
        }
    }

    /// Returns whether the message starts with a component and event, such as `caller: refused`.
    #[must_use]
    pub fn starts_with(&self, event: &str) -> bool {
        self.message.starts_with(event)
    }

    /// Returns the value of a field, without quotes.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut rest = self.message;
        loop {
            let start = rest.find(name)?;
            let after = &rest[start + name.len()..];
            let starts_word = rest[..start].ends_with(' ');
            match after.strip_prefix('=').filter(|_| starts_word) {
                Some(value) => return Some(leading_value(value)),
                None => rest = after,
            }
        }
    }

    /// Returns the value of a field that is a whole number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

/// Returns the value at the start of a text, which ends at the closing quote or the next space.
fn leading_value(text: &str) -> &str {
    match text.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().unwrap_or_default(),
        None => text.split(' ').next().unwrap_or_default(),
    }
}
