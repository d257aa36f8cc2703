//! Command-line arguments of `fireflylever`, parsed by gumdrop.
//!
//! Names of fields and variants are flags and subcommands.

use gumdrop::Options;

/// Command line of `fireflylever`.
#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// Subcommand of `fireflylever`.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check host settings, configurations and release notes offline")]
    Check(FilesArgs),
    #[options(help = "check, apply and show releases")]
    Release(ReleaseArgs),
    #[options(help = "list the hosts that the platform reports")]
    Hosts(StoreArgs),
    #[options(help = "list the upstreams in force")]
    Upstreams(StoreArgs),
    #[options(help = "send commands to upstreams")]
    Upstream(UpstreamArgs),
    #[options(help = "show and settle claims of non-idempotent calls")]
    Claim(ClaimArgs),
    #[options(help = "stop new work on a host")]
    Drain(DrainArgs),
    #[options(help = "show why a request ended as it did, from a host or from logs")]
    Explain(ExplainArgs),
    #[options(help = "print a random API key and its digest")]
    Key(NoArgs),
}

/// Commands about releases.
#[derive(Debug, Options)]
pub(crate) struct ReleaseArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    pub(crate) command: Option<ReleaseCommand>,
}

/// Subcommand of `release`.
#[derive(Debug, Options)]
pub(crate) enum ReleaseCommand {
    #[options(help = "check a release note against the configuration in force")]
    Check(NoteArgs),
    #[options(help = "put a release note in force")]
    Apply(NoteArgs),
    #[options(help = "show the configuration in force, or the record of a version")]
    Show(ShowArgs),
    #[options(help = "list the last releases")]
    History(HistoryArgs),
    #[options(help = "print the note that turns what is in force into a configuration file")]
    Diff(DiffArgs),
    #[options(help = "compare the configuration of each host with the release in force")]
    Status(StatusArgs),
}

/// No arguments.
#[derive(Debug, Options)]
pub(crate) struct NoArgs {
    #[options(help = "print help")]
    help: bool,
}

/// Arguments of `check`.
#[derive(Debug, Options)]
pub(crate) struct FilesArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "files to check")]
    pub(crate) files: Vec<String>,
}

/// Arguments of the commands that only read the table service.
#[derive(Debug, Options)]
pub(crate) struct StoreArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `release history`.
#[derive(Debug, Options)]
pub(crate) struct HistoryArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
    #[options(help = "number of releases", meta = "COUNT", default = "20")]
    pub(crate) last: u64,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `release check` and `release apply`.
#[derive(Debug, Options)]
pub(crate) struct NoteArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "file of the release note")]
    pub(crate) note: String,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
    #[options(
        help = "continue the attempt with this number, whose outcome is unknown",
        meta = "NUMBER"
    )]
    pub(crate) attempt: Option<String>,
}

/// Arguments of `release show`.
#[derive(Debug, Options)]
pub(crate) struct ShowArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, help = "version whose record is shown")]
    pub(crate) version: Option<u64>,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
}

/// Arguments of `release diff`.
#[derive(Debug, Options)]
pub(crate) struct DiffArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "file of the configuration")]
    pub(crate) file: String,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
    #[options(help = "author of the note", default = "AUTHOR")]
    pub(crate) author: String,
    #[options(help = "reason of the note", default = "REASON")]
    pub(crate) reason: String,
}

/// Arguments of `release status`.
#[derive(Debug, Options)]
pub(crate) struct StatusArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
    #[options(help = "admin addresses, separated by commas", meta = "LIST", no_short)]
    pub(crate) hosts: Option<String>,
    #[options(
        help = "file with one admin address on each line",
        meta = "FILE",
        no_short
    )]
    pub(crate) hosts_file: Option<String>,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `drain`.
#[derive(Debug, Options)]
pub(crate) struct DrainArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "admin address of the host")]
    pub(crate) host: String,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
pub(crate) struct ExplainArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(
        free,
        help = "id of the request, after the admin address of the host if one is queried"
    )]
    pub(crate) words: Vec<String>,
    #[options(
        help = "log file of a daemon, or of several; may be repeated",
        meta = "FILE",
        no_short
    )]
    pub(crate) log: Vec<String>,
}

/// Commands about upstreams.
#[derive(Debug, Options)]
pub(crate) struct UpstreamArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    pub(crate) command: Option<UpstreamCommand>,
}

/// Subcommand of `upstream`.
#[derive(Debug, Options)]
pub(crate) enum UpstreamCommand {
    #[options(help = "load or unload a model, or change the role, under a lease")]
    Command(SendArgs),
}

/// Arguments of `upstream command`.
#[derive(Debug, Options)]
pub(crate) struct SendArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "name of the upstream")]
    pub(crate) upstream: String,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
    #[options(help = "load this model", meta = "MODEL", no_short)]
    pub(crate) load: Option<String>,
    #[options(help = "unload this model", meta = "MODEL", no_short)]
    pub(crate) unload: Option<String>,
    #[options(help = "change the role", meta = "ROLE", no_short)]
    pub(crate) role: Option<String>,
    #[options(
        help = "operator who sends the command; by default $USER",
        meta = "NAME",
        no_short
    )]
    pub(crate) by: Option<String>,
    #[options(
        help = "longest wait for a lease that another holder has",
        meta = "MS",
        default = "30000",
        no_short
    )]
    pub(crate) wait_ms: u64,
}

/// Commands about claims of non-idempotent calls.
#[derive(Debug, Options)]
pub(crate) struct ClaimArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    pub(crate) command: Option<ClaimCommand>,
}

/// Subcommand of `claim`.
#[derive(Debug, Options)]
pub(crate) enum ClaimCommand {
    #[options(help = "list the claims of an account that need a decision")]
    List(ClaimListArgs),
    #[options(help = "show a claim")]
    Show(ClaimShowArgs),
    #[options(help = "decide whether the call of a claim ran")]
    Settle(SettleArgs),
}

/// Arguments of `claim list`.
#[derive(Debug, Options)]
pub(crate) struct ClaimListArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "client account")]
    pub(crate) account: String,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
    #[options(
        help = "age from which a claim without an outcome is listed",
        meta = "SECONDS",
        default = "600",
        no_short
    )]
    pub(crate) older_s: u64,
    #[options(help = "print JSON")]
    pub(crate) json: bool,
}

/// Arguments of `claim show`.
#[derive(Debug, Options)]
pub(crate) struct ClaimShowArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "client account")]
    pub(crate) account: String,
    #[options(free, required, help = "idempotency key")]
    pub(crate) key: String,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
}

/// Arguments of `claim settle`.
#[derive(Debug, Options)]
pub(crate) struct SettleArgs {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "client account")]
    pub(crate) account: String,
    #[options(free, required, help = "idempotency key")]
    pub(crate) key: String,
    #[options(required, help = "address of the table service", meta = "ADDRESS")]
    pub(crate) store: String,
    #[options(required, help = "whether the call ran", meta = "yes|no", no_short)]
    pub(crate) ran: String,
    #[options(required, help = "who decides", meta = "NAME", no_short)]
    pub(crate) by: String,
    #[options(required, help = "why", meta = "TEXT", no_short)]
    pub(crate) reason: String,
}
