//! The messages between voters, as sent on the wire (design 2.3).

use crate::{
    state_machine::ClusterState,
    types::{LogEntry, VoterInfo},
};
use common::{Incarnation, Index, Term, Tick};
use serde::{Deserialize, Serialize};

/// Identifies a voter in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterId {
    /// Position in the voter set.
    pub number: u8,
    /// Distinguishes successive voters in the same position.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
}

/// The tail of a voter's log, sent to a candidate with the vote.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogTail {
    /// The term in which the log was installed.
    pub log_term: Term,
    /// Index of the last entry of the log.
    pub last: Index,
    /// Index up to which the voter knows entries to be committed.
    #[serde(rename = "accepted")]
    pub commit_index: Index,
    /// Snapshot of the state, if the log no longer reaches back to the candidate's commit index or is too long to send.
    pub snapshot: Option<ClusterState>,
    /// Entries after the snapshot, else after the candidate's commit index.
    pub entries: Vec<LogEntry>,
}

/// The payload of an append.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AppendBody {
    /// Nothing: shows that the leader is alive.
    #[serde(rename = "Ping")]
    Heartbeat,
    /// The log of a new term: truncate to `truncate_to` or install the snapshot, then append the entries.
    Install {
        /// A committed index; later entries of the follower's log are discarded.
        #[serde(rename = "cut")]
        truncate_to: Index,
        /// Snapshot of the state, if the leader's log no longer reaches back to `truncate_to` or is too long to send.
        snapshot: Option<ClusterState>,
        /// Entries after the snapshot, else after `truncate_to`.
        entries: Vec<LogEntry>,
    },
    /// Entries that follow `prev` in the log of the current term.
    Append {
        /// Index of the entry before the first one.
        prev: Index,
        /// The entries.
        entries: Vec<LogEntry>,
    },
}

/// A message between voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Announces a blank voter to the seeds, or states the voter set if the sender is initialized.
    Discover {
        /// The sender.
        #[serde(rename = "holder")]
        voter: VoterInfo,
        /// Whether the sender holds the state of a cluster.
        #[serde(rename = "formed")]
        initialized: bool,
        /// The voter set; empty if the sender is blank.
        voters: Vec<VoterInfo>,
        /// The commit index at which this voter set is valid.
        #[serde(rename = "idx")]
        index: Index,
    },
    /// Announces a learner, a control node without a disk, to the seeds (design 2.10).
    Learner,
    /// Initializes a blank voter with the initial state of a new cluster.
    Bootstrap {
        /// The initial state, with no change applied.
        #[serde(rename = "ledger")]
        cluster_state: ClusterState,
    },
    /// A blank voter asks the voters of a cluster to be admitted.
    JoinRequest {
        /// The sender.
        #[serde(rename = "holder")]
        voter: VoterInfo,
    },
    /// A voter that has just started asks whether the receiver leads; its start time identifies the run of its process.
    LeaderQuery(Tick),
    /// Answer to [`Message::LeaderQuery`], with its time: the sender does not lead.
    NotLeading(Tick),
    /// A leader that is about to stop gives up its term, so that the others need not wait for the election timeout.
    StepDown {
        /// The leader.
        by: VoterId,
        /// Its term.
        term: Term,
    },
    /// Asks whether a vote in this term would be granted, without committing either side to anything.
    PreVote {
        /// The candidate.
        by: VoterId,
        /// The term that it would stand for.
        term: Term,
    },
    /// Answer to [`Message::PreVote`]: the vote would be granted.
    PreVoteGranted {
        /// The voter.
        by: VoterId,
        /// The term of the pre-vote.
        term: Term,
    },
    /// Asks for a vote in a new term.
    VoteRequest {
        /// The candidate.
        by: VoterId,
        /// The new term.
        term: Term,
        /// Index up to which the candidate knows entries to be committed.
        #[serde(rename = "accepted")]
        commit_index: Index,
    },
    /// Grants a vote: the voter takes part in no older term from now on.
    Vote {
        /// The voter.
        by: VoterId,
        /// The new term.
        term: Term,
        /// The tail of its log.
        tail: LogTail,
    },
    /// Replicates entries, or a heartbeat, from the leader to a follower.
    Append {
        /// The leader.
        by: VoterId,
        /// Voter number of the follower.
        to: u8,
        /// The leader's term.
        term: Term,
        /// Index up to which the leader knows entries to be committed.
        #[serde(rename = "accepted")]
        commit_index: Index,
        /// Send time on the leader's clock.
        #[serde(rename = "stamp")]
        sent_at: Tick,
        /// The payload.
        body: AppendBody,
    },
    /// Answer to [`Message::Append`]: the state of the follower's log, as far as it is synced.
    AppendReply {
        /// The follower.
        by: VoterId,
        /// Its term.
        term: Term,
        /// Whether it has installed the log of that term.
        installed: bool,
        /// Index of the last entry of its log.
        last: Index,
        /// Index up to which it knows entries to be committed.
        #[serde(rename = "accepted")]
        commit_index: Index,
        /// Send time of the append that it answers.
        #[serde(rename = "stamp")]
        sent_at: Tick,
    },
    /// Asks whether the receiver is a blank voter that knows of no cluster.
    BlankQuery {
        /// Incarnation of the sender.
        asker: Incarnation,
        /// Send time on the sender's clock.
        sent_at: Tick,
    },
    /// Answer to [`Message::BlankQuery`]: the sender is blank and knows of no cluster.
    Blank {
        /// The sender.
        voter: VoterInfo,
        /// Incarnation of the voter that asked.
        asker: Incarnation,
        /// Send time of the query that it answers.
        sent_at: Tick,
    },
}

impl AppendBody {
    /// Upper bound on the encoded length of the state and entries that it carries, in bytes.
    pub fn max_payload_len(&self) -> usize {
        match self {
            AppendBody::Heartbeat => 0,
            AppendBody::Install { snapshot, entries, .. } => max_len_of(snapshot.as_ref(), entries),
            AppendBody::Append { entries, .. } => max_len_of(None, entries),
        }
    }
}

impl Message {
    /// Upper bound on the encoded length of the state and entries that it carries, in bytes.
    pub fn max_payload_len(&self) -> usize {
        match self {
            Message::Bootstrap { cluster_state } => cluster_state.max_encoded_len(),
            Message::Vote { tail, .. } => max_len_of(tail.snapshot.as_ref(), &tail.entries),
            Message::Append { body, .. } => body.max_payload_len(),
            _ => 0,
        }
    }
}

/// Upper bound on the encoded length of a snapshot and entries, in bytes.
fn max_len_of(snapshot: Option<&ClusterState>, entries: &[LogEntry]) -> usize {
    snapshot.map_or(0, ClusterState::max_encoded_len)
        + entries.iter().map(LogEntry::max_encoded_len).sum::<usize>()
}
