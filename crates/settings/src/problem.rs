use std::fmt;

/// One fault in a document, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Line, counted from 1; 0 if the fault has no place in the text.
    pub line: usize,
    /// Path of the field, such as `classes[0].tier`.
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

    /// Returns the problem as one line that begins with the file and the line.
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
