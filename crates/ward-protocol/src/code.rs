//! Numbered result codes.
//!
//! Every refusal and failure that a caller or operator sees carries a result code. The
//! page `docs/CODES.md` lists them; a test checks that the page and this table are equal.
//! The hundreds digit groups the codes: 1 invalid input, 2 refused for now,
//! 3 platform, 4 backend servers, 5 requests that must not run twice, 6 plans,
//! 7 settings, 8 communication between daemons.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about a request that is answered with a result code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The request did not run: no byte of it reached a backend server, or the backend
    /// server said that it did not run it.
    NotRun,
    /// The request ran, at least in part, and failed.
    Failed,
    /// It is not known whether the request ran.
    InDoubt,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::InDoubt => "in_doubt",
        })
    }
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $title:literal, $help:literal;)*) => {
        /// A numbered result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// All codes in order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Number of the code; its hundreds digit is the group.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// HTTP status of answers with this code.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// One line that says what happened, in lower case.
            #[must_use]
            pub const fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }

            /// One sentence that says what the reader can do.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self { $(Self::$name => $help,)* }
            }

            /// Name of the variant.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }
        }
    };
}

result_codes! {
    /// The request cannot be read.
    MalformedRequest = 101, 400, "the request cannot be read", "Correct the request as the detail says.";
    /// The plan has no row for the requested model.
    UnknownModel = 102, 404, "the plan has no such model", "Ask GET /v1/models for the names in force.";
    /// The plan has no row for the requested service.
    UnknownService = 103, 404, "the plan has no such service", "Ask your operator which services the plan names.";
    /// No resource has the requested path.
    UnknownPath = 104, 404, "there is nothing at this address", "See the OpenAPI file for the addresses.";
    /// The requested path does not allow the method.
    MethodNotAllowed = 105, 405, "this address does not take that method", "See the OpenAPI file for the methods.";
    /// The body is too large.
    BodyTooLarge = 106, 413, "the body is too large", "Send a smaller body; the detail names the limit.";
    /// The body did not arrive within the timeout.
    BodyTimeout = 107, 408, "the body did not arrive in time", "Send the request again over a faster connection.";
    /// The request's time limit is malformed or out of range.
    InvalidDeadline = 108, 400, "the time limit is not valid", "Give Request-Timeout in whole milliseconds within the limit named.";
    /// The request must not run twice and has no idempotency key.
    KeyRequired = 109, 400, "this call may not be repeated and needs a key", "Send an Idempotency-Key, the same at each try.";
    /// The idempotency key was used for another request.
    KeyReused = 110, 422, "the key was used for another request", "Use a fresh key for each new request.";
    /// The idempotency key is older than the time for which keys are kept.
    KeyExpired = 111, 422, "the key is older than keys are kept", "Check by other means whether the call ran; then use a fresh key.";
    /// The header is too large.
    HeaderTooLarge = 112, 431, "the header is too large", "Send fewer or shorter header fields.";
    /// The operators' token is missing or wrong.
    Unauthorized = 113, 401, "the token is missing or wrong", "Send Authorization: Bearer with the operators' token.";

    /// Too many requests wait for replicas.
    QueueFull = 201, 503, "too many requests wait here", "Come back after the time in Retry-After.";
    /// No replica can answer within the time limit.
    TooLate = 202, 503, "no replica can answer within the time limit", "Come back after the time in Retry-After, or allow more time.";
    /// The time limit passed before the request could be sent.
    DeadlineExpired = 203, 504, "the time limit passed before the request could be sent", "Send it again with more time.";
    /// The plan or the engines have no room for a replica.
    NoCapacity = 204, 503, "the plan or the engines have no room for a replica now", "Come back after the time in Retry-After.";
    /// Refused in favour of requests with higher priority.
    Overloaded = 205, 503, "requests of higher priority take all capacity", "Come back after the time in Retry-After.";
    /// The daemon is stopping.
    Stopping = 206, 503, "this daemon is stopping", "Use another address from GET /v1/entries.";
    /// The requested version was removed from the plan.
    Withdrawn = 207, 404, "the version was taken out of the plan", "Ask GET /v1/models for the versions in force.";
    /// Too many connections of callers are open.
    TooManyConnections = 208, 503, "too many connections are open here", "Use another address from GET /v1/entries.";

    /// The log service cannot be reached.
    LogUnavailable = 301, 503, "the platform's log cannot be reached", "Come back after the time in Retry-After.";
    /// The daemon has no state yet.
    StateMissing = 302, 503, "this daemon has no state yet", "Use another address, or come back after the time in Retry-After.";
    /// The log holds records of a newer format.
    NewerFormat = 303, 503, "the log holds records of a newer format", "Upgrade this daemon.";
    /// A record of the log cannot be read.
    RecordInvalid = 304, 500, "a record of the log cannot be read", "Look for the sender in the log lines; the record is skipped.";

    /// The backend server failed the request.
    BackendFailed = 401, 502, "the backend server failed the request", "Send it again if it may run twice.";
    /// The backend server was lost during the request.
    BackendLost = 402, 502, "the backend server was lost during the request", "Send it again if it may run twice.";
    /// The answer does not belong to the request, or is broken.
    AnswerInvalid = 403, 502, "the backend server's answer is broken or belongs to another request", "Send it again if it may run twice.";
    /// The request is refused because it crashed backend servers.
    SuspectRefused = 404, 422, "this request crashed backend servers", "Change the request, or wait for the time in Retry-After.";
    /// The model could not be loaded.
    LoadFailed = 405, 503, "the model could not be loaded", "Come back after the time in Retry-After.";
    /// The stream ended before its last event.
    StreamCut = 406, 502, "the stream was cut before its end", "Resume it with the id in the last event.";
    /// No backend server answers the service.
    NoBackend = 407, 503, "no backend server answers this service now", "Come back after the time in Retry-After.";

    /// It is not known whether the call ran.
    InDoubt = 501, 409, "it is not known whether the call ran", "Check by other means; a call under this key will not run again.";
    /// The call with this idempotency key is still running.
    StillRunning = 502, 409, "the call under this key still runs", "Ask again with the same key after the time in Retry-After.";
    /// The call with this idempotency key ran; its answer was too large to keep.
    AnswerNotKept = 503, 409, "the call ran and its answer was not kept", "Check by other means; the call will not run again.";

    /// The submitted plan sheet has mistakes.
    SheetInvalid = 601, 422, "the sheet has mistakes", "Correct every place listed and submit it again.";
    /// The submitted plan is not based on the revision in force.
    StaleBase = 602, 409, "another plan was accepted in the meantime", "Look at the plan in force, then submit again on top of it.";
    /// The requested plan revision does not exist or is no longer kept.
    UnknownRevision = 603, 404, "there is no such revision to go back to", "Ask plan history for the revisions that are kept.";
    /// Not all daemons have adopted the accepted plan in time.
    NotAdopted = 604, 504, "the plan is accepted but not yet in force everywhere", "Ask plan status until every daemon shows it.";

    /// The settings have mistakes.
    SettingsInvalid = 701, 500, "the settings have mistakes", "Correct every path listed.";

    /// A message between daemons was not authentic.
    PeerRejected = 801, 403, "a message between daemons was not authentic", "Give all daemons the same keys.";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.number(), self.title())
    }
}
