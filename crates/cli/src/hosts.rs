//! Reads the admin addresses of hosts from the arguments of `release status`.

use code::Code;

use crate::{args::StatusArgs, failure::Failure, release_apply::read};

/// Returns the admin addresses given by `--hosts` or in the file of `--hosts-file`.
///
/// Empty lines and lines that start with `#` are skipped.
pub(crate) fn admin_addresses(args: &StatusArgs) -> Result<Vec<String>, Failure> {
    let text = match (&args.hosts, &args.hosts_file) {
        (Some(list), None) => list.replace(',', "\n"),
        (None, Some(file)) => read(file)?,
        _ => {
            let detail = "give either --hosts or --hosts-file";
            return Err(Failure::new(Code::BadArgument, detail));
        }
    };
    let lines = text.lines().map(str::trim);
    Ok(lines
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
        .map(str::to_owned)
        .collect())
}
