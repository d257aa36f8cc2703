//! Command line.

use gumdrop::Options as Parse;

use crate::{arrival::Arrival, deployment::Deployment, policy::Policy};

/// Command line of the bench.
#[expect(
    clippy::struct_excessive_bools,
    reason = "one for each flag of the command line"
)]
#[derive(Debug, Clone, Parse)]
pub(crate) struct Options {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        free,
        required,
        help = "scenario, `day`, `day-crest` or `day-crash` for the users' deployments, or `all` for the table of targets"
    )]
    pub(crate) scenario: String,
    #[options(no_short, help = "seed of all random numbers", default = "1")]
    pub(crate) seed: u64,
    #[options(
        no_short,
        help = "fifo, least, alone, home, grant or default",
        default = "default"
    )]
    pub(crate) policy: Policy,
    #[options(no_short, help = "print one JSON object")]
    pub(crate) json: bool,
    #[options(no_short, help = "number of daemons", default = "6")]
    pub(crate) daemons: usize,
    #[options(
        no_short,
        help = "number of engines, by default in proportion to the daemons"
    )]
    pub(crate) upstreams: Option<usize>,
    #[options(
        no_short,
        help = "grifo-comun or fliperama, by default the one that fits the scenario"
    )]
    pub(crate) deployment: Option<Deployment>,
    #[options(
        no_short,
        help = "balanced or skewed distribution of callers over daemons",
        default = "balanced"
    )]
    pub(crate) arrival: Arrival,
    #[options(
        no_short,
        help = "simulated time of arrivals, more than the 5 s of the start that are not measured",
        default = "45"
    )]
    pub(crate) seconds: u64,
    #[options(no_short, help = "percent of the scenario's demand", default = "100")]
    pub(crate) load_percent: u32,
    #[options(
        no_short,
        help = "hedge an urgent request that has no token after this time, 0 for never",
        default = "0"
    )]
    pub(crate) hedge_ms: u64,
    #[options(
        no_short,
        help = "migrate an urgent request that is queued for this time, 0 for never",
        default = "0"
    )]
    pub(crate) migrate_ms: u64,
    #[options(no_short, help = "leave out the client accounts' limits")]
    pub(crate) no_limits: bool,
    #[options(no_short, help = "leave out the scenario's faults")]
    pub(crate) no_faults: bool,
}
