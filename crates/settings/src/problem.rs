use std::fmt;

/// One error in a document, with its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line, counted from 1; 0 if the error has no location in the text.
    pub line: usize,
    /// Path of the value, such as `classes[0].tier`; empty for the whole document.
    pub path: String,
    /// What is wrong and which values are allowed.
    pub message: String,
}

impl Problem {
    /// Creates a problem at a line.
    #[must_use]
    pub fn new(line: usize, path: &str, message: &str) -> Self {
        Self {
            line,
            path: path.to_owned(),
            message: message.to_owned(),
        }
    }

    /// Formats the problem as one line that starts with the file name and the line number.
    #[must_use]
    pub fn in_file(&self, file: &str) -> String {
        let separator = if self.path.is_empty() { "" } else { ": " };
        format!(
            "{file}:{}: {}{separator}{}",
            self.line, self.path, self.message
        )
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}
