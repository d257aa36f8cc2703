//! The error type of all commands.

use std::{fmt, process::ExitCode};

use code::Code;
use settings::Problem;
use store::StoreError;

/// Failed command, printed with its numbered result code.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) code: Code,
    detail: String,
    /// One line for each fault, printed before the code.
    lines: Vec<String>,
}

impl Failure {
    pub(crate) fn new<D>(code: Code, detail: D) -> Self
    where
        D: fmt::Display,
    {
        Self {
            code,
            detail: detail.to_string(),
            lines: Vec::new(),
        }
    }

    /// Creates a failure that lists the faults found in a file.
    pub(crate) fn in_file(code: Code, file: &str, problems: &[Problem]) -> Self {
        let lines = problems.iter().map(|problem| problem.in_file(file));
        Self::in_lines(code, lines.collect())
    }

    /// Creates a failure that lists faults, one a line, of any number of files.
    pub(crate) fn in_lines(code: Code, lines: Vec<String>) -> Self {
        Self {
            code,
            detail: format!("{} fault(s)", lines.len()),
            lines,
        }
    }

    /// Returns the exit code: 2 if a command or a settlement may have taken effect, otherwise 1.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self.code {
            Code::CommandUnconfirmed | Code::SettleUnknown => ExitCode::from(2),
            _ => ExitCode::FAILURE,
        }
    }

    /// Creates the failure of a read from the store.
    pub(crate) fn store(error: &StoreError) -> Self {
        Self::new(Code::StoreDown, error)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        let Self { code, detail, .. } = self;
        write!(f, "error {code}: {} ({detail})", code.message())
    }
}
