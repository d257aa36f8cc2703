use std::sync::Arc;

use batch::Event as Token;
use grant::{Demand, Grants};
use sched::{JobId, LoadReport, Outcome};

use crate::fault::Fault;

/// Something that happens at a time.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A caller sends a request, or sends it again after its daemon was lost.
    Arrive { request: usize },
    /// A request is at a daemon; `forwarded` if another daemon took it in.
    Submit {
        daemon: usize,
        request: usize,
        forwarded: bool,
    },
    /// A caller disconnects.
    Leave { request: usize },
    /// The disconnect of a caller is at its daemon.
    Disconnect { request: usize },
    /// An attempt is at its engine.
    EngineAdd { attempt: usize },
    /// The cancellation of an attempt is at its engine.
    EngineCancel { attempt: usize },
    /// A step ends.
    StepEnd { engine: usize, epoch: u32 },
    /// Tokens of one step are at a daemon.
    Tokens { daemon: usize, tokens: Vec<Token> },
    /// A daemon notices that an attempt is lost.
    Lost { attempt: usize, outcome: Outcome },
    /// The engines publish their load.
    Publish,
    /// A load report is at the daemons.
    Report { engine: usize, load: LoadReport },
    /// A daemon's timer.
    Tick { daemon: usize },
    /// A report of demand is at a home.
    Demand {
        from: usize,
        to: usize,
        demand: Demand,
    },
    /// Grants are at a daemon.
    Grants {
        from: Arc<str>,
        to: usize,
        grants: Grants,
    },
    /// The views of the live hosts change.
    View,
    /// A request may need a second copy or another daemon.
    Late { job: JobId },
    /// The environment changes.
    Fault(Fault),
}
