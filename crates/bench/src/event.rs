//! Events of the simulation.

use std::sync::Arc;

use batch::Event as TokenEvent;
use grant::{Demand, Grants};
use sched::{JobId, LoadReport, Outcome};

use crate::fault::Fault;

/// Event of the simulation.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// A caller sends a request, or sends it again after its daemon was lost.
    Arrive { request: usize },
    /// A request reaches a daemon; `forwarded` if another daemon received it from the caller.
    Submit {
        daemon: usize,
        request: usize,
        forwarded: bool,
    },
    /// A caller disconnects, unless its answer has come in time.
    CallerDisconnect { request: usize },
    /// The disconnect of a caller reaches its daemon.
    DisconnectArrived { request: usize },
    /// An attempt reaches its engine.
    EngineAdd { attempt: usize },
    /// The cancellation of an attempt reaches its engine.
    EngineCancel { attempt: usize },
    /// An engine completes a batching step.
    StepEnd { engine: usize, epoch: u32 },
    /// The tokens of one step reach a daemon.
    Tokens {
        daemon: usize,
        tokens: Vec<TokenEvent>,
    },
    /// A daemon detects that the connection of an attempt is lost.
    AttemptLost { attempt: usize, outcome: Outcome },
    /// The engines publish their load reports.
    PublishLoads,
    /// A load report reaches the daemons.
    LoadReport { engine: usize, load: LoadReport },
    /// A daemon's timer fires.
    Tick { daemon: usize },
    /// A demand report reaches a home daemon.
    Demand {
        from: usize,
        to: usize,
        demand: Demand,
    },
    /// Slot grants reach a daemon.
    Grants {
        from: Arc<str>,
        to: usize,
        grants: Grants,
    },
    /// The daemons' views of the live hosts are updated.
    ViewChange,
    /// The delay ends after which an urgent request without a token is hedged or migrated.
    HedgeTimer { job: JobId },
    /// A fault begins or ends.
    Fault(Fault),
}
