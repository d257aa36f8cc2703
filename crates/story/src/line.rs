use jiff::Timestamp;

/// Levels, which tell where the message of a line begins.
const LEVELS: [&str; 5] = ["TRACE", "DEBUG", "INFO", "WARN", "ERROR"];

/// One line of a log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LogLine<'a> {
    /// Time in seconds: since 1970, or as the log counts them.
    pub at_s: f64,
    /// Daemon, if the line names one, as logs of several daemons in one file do.
    pub host: Option<&'a str>,
    /// Part of the daemon and what happened, with its fields.
    pub message: &'a str,
}

impl<'a> LogLine<'a> {
    /// Reads a line; `None` if it is not one of a daemon.
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
            let (word, behind) = rest.trim_start().split_once(' ')?;
            if LEVELS.contains(&word) {
                let message = behind.trim_start();
                return Some(Self {
                    at_s,
                    host,
                    message,
                });
            }
            if host.is_some() {
                return None;
            }
            (host, rest) = (Some(word), behind);
        }
    }

    /// Returns whether the message begins with a part and event, such as `caller: refused`.
    #[must_use]
    pub fn starts_with(&self, event: &str) -> bool {
        self.message.starts_with(event)
    }

    /// Returns the value of a field without its quotes.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut rest = self.message;
        loop {
            let start = rest.find(name)?;
            let behind = &rest[start + name.len()..];
            let begins = rest[..start].ends_with(' ');
            match behind.strip_prefix('=').filter(|_| begins) {
                Some(value) => return Some(value_of(value)),
                None => rest = behind,
            }
        }
    }

    /// Returns a field that is a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }
}

/// Returns the value at the start of a text: up to the closing quote, or the next space.
fn value_of(text: &str) -> &str {
    match text.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().unwrap_or_default(),
        None => text.split(' ').next().unwrap_or_default(),
    }
}
