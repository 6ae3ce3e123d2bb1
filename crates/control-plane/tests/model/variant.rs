//! Deliberate faults: each variant adds one known fault to the production state machine or its environment, and the
//! search must find a counterexample for it.

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The disk reports each write as synced at once, but a power loss can lose it.
    AcknowledgesBeforeSync,
    /// A voter whose disk was wiped starts with its former identity and the initial state of the cluster.
    BlankVotesWithFormerIdentity,
    /// A restart restores the log but not the promised term.
    ForgetsPromise,
    /// A leader serves reads as long as it believes that it leads, even if its lease has ended.
    ReadsWithoutLease,
    /// The reply of a voter that is being replaced counts towards the majority for its own replacement.
    CountsReplacedVoter,
    /// A voter takes part in elections right after its start, without waiting.
    VotesRightAfterRestart,
    /// A candidate ignores the logs in the votes and continues with its own.
    IgnoresVotersLogs,
    /// Like `IgnoresVotersLogs`, and the voters' replies don't report entries beyond the leader's log.
    IgnoresVotersLogsAndReplies,
    /// Operators are told that a change is accepted as soon as the leader has logged it.
    AcknowledgesOnceLogged,
    /// Operators are told that a logged change was not logged when its leader steps down.
    ReportsLoggedAsNotLogged,
    /// Voters are identified by their numbers alone, and changes of the voter set in logs are ignored.
    KnowsVotersByNumberOnly,
    /// Join requests are ignored.
    IgnoresJoinRequests,
    /// A leader replaces the base revision of a change by its own newest revision.
    RebasesChanges,
}
