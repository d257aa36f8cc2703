use std::fmt;

use serde::{Serialize, Serializer};

use crate::{Entry, Retry, Run, TABLE};

/// Numbered result code.
///
/// The thousands digit names the subject: 1 the request, 2 the client account, 3 admission, 4 the
/// upstream, 5 non-idempotent calls, 7 changes by operators. The variants are in the order of
/// [`TABLE`], which they index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Code {
    /// The body is not a valid request.
    BadRequest,
    /// The body is larger than the limit of this host.
    BodyTooLarge,
    /// The headers are larger than the limit of this host.
    HeadersTooLarge,
    /// No upstream of the configuration in force serves this model.
    UnknownModel,
    /// The class of service does not exist, or this client account may not use it.
    UnknownClass,
    /// The configuration in force has no plain service of this name.
    UnknownService,
    /// The request body did not arrive in time.
    SlowSender,
    /// No endpoint has this path.
    UnknownPath,
    /// The API key does not belong to any client account.
    UnknownKey,
    /// The client account is over its request rate.
    RateLimited,
    /// The client account has too many tokens in flight.
    TokensInFlight,
    /// The client account has too many requests in flight.
    RequestsInFlight,
    /// The queue of this tier is full.
    QueueFull,
    /// By the state of the queue, the request can't start before its deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// This host is stopping and takes no new work.
    Draining,
    /// This host has no configuration yet.
    NoConfig,
    /// This host was suspended and has not refreshed its view of the fleet yet.
    StaleView,
    /// The request, or a part of its prompt, crashed several upstreams and is quarantined.
    PromptQuarantined,
    /// This host has no memory left for the request.
    HostFull,
    /// No upstream accepts work at present.
    NoUpstream,
    /// The connection to the upstream failed before a byte was sent.
    ConnectFailed,
    /// The connection to the upstream was lost before an answer.
    UpstreamLost,
    /// The answer was interrupted and could not be resumed.
    StreamBroken,
    /// The upstream did not answer in time.
    UpstreamTimeout,
    /// The upstream answered with an error.
    UpstreamError,
    /// This host stopped before the upstream had answered.
    CutByStop,
    /// A call with this idempotency key may have run; it is not run again.
    MayHaveRun,
    /// The idempotency key was used with another request.
    KeyReused,
    /// A call with this idempotency key is in progress; it is not run again.
    InProgress,
    /// The platform's store is down, so the call was not started.
    ClaimStoreDown,
    /// The store did not confirm the claim, so the call was not started.
    ClaimUnknown,
    /// The idempotency key is missing, empty or too long.
    BadKey,
    /// The call was sent and its outcome could not be recorded.
    OutcomeNotRecorded,
    /// The release note does not match the configuration in force.
    NoteMismatch,
    /// Another release took effect first.
    NoteConflict,
    /// The release note or the resulting configuration is invalid.
    NoteInvalid,
    /// The platform's store is down.
    StoreDown,
    /// The store did not confirm the release. Applying it again with the same attempt ID tells
    /// whether it took effect.
    NoteUnknown,
    /// The admin address of the host did not answer as expected.
    HostUnreachable,
    /// A command-line argument is wrong or a file can't be read.
    BadArgument,
    /// Another process holds the lease of the upstream; no command was sent.
    LeaseBusy,
    /// The upstream refused the command.
    CommandRefused,
    /// The command may have been applied and could not be confirmed.
    CommandUnconfirmed,
    /// The command was applied; its audit record could not be written.
    AuditMissing,
    /// No claim exists for this client account and idempotency key.
    UnknownClaim,
    /// The claim can't be settled, or another writer changed it first.
    ClaimConflict,
    /// The store did not confirm the settlement. Running the same command again shows whether it
    /// took effect.
    SettleUnknown,
}

impl Code {
    /// Returns the code with this number.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        let index = TABLE.binary_search_by_key(&number, |entry| entry.number);
        index.ok().map(|index| TABLE[index].code)
    }

    /// Returns the number used in answers, logs and documentation.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.entry().number
    }

    /// Returns the short name in snake case.
    #[must_use]
    pub const fn name(self) -> &'static str {
        self.entry().name
    }

    /// Returns the HTTP status of an answer with this code.
    #[must_use]
    pub const fn http_status(self) -> u16 {
        self.entry().http_status
    }

    /// Returns whether an upstream ran the request.
    #[must_use]
    pub const fn run(self) -> Run {
        self.entry().run
    }

    /// Returns whether the caller may retry, and how.
    #[must_use]
    pub const fn retry(self) -> Retry {
        self.entry().retry
    }

    /// Returns one sentence that says what happened.
    #[must_use]
    pub const fn message(self) -> &'static str {
        self.entry().message
    }

    /// Returns the table entry of the code.
    #[must_use]
    pub const fn entry(self) -> &'static Entry {
        &TABLE[self as usize]
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

impl Serialize for Code {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}
