//! Messages between voters (design 2.3).

use crate::{
    state_machine::ClusterState,
    types::{LogEntry, VoterInfo},
};
use common::{Incarnation, Index, Term, Tick};
use serde::{Deserialize, Serialize};

/// A voter's name in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterId {
    /// Its position in the voter set.
    pub number: u8,
    /// Tells apart the holders of that position.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
}

/// The end of a voter's log, sent to a candidate with a vote.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogTail {
    /// The term in which the log was installed.
    pub log_term: Term,
    /// Index of its last entry.
    pub last: Index,
    /// Up to here the voter knows all to be committed.
    #[serde(rename = "accepted")]
    pub commit_index: Index,
    /// Sent where the log no longer reaches back to the candidate's commit index.
    pub snapshot: Option<ClusterState>,
    /// Entries after the candidate's commit index, or after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// What an append carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AppendBody {
    /// Nothing: the leader is there.
    #[serde(rename = "Ping")]
    Heartbeat,
    /// The log of a new term: truncate to `truncate_to`, or take the snapshot, then append the entries.
    Install {
        /// A committed index.
        #[serde(rename = "cut")]
        truncate_to: Index,
        /// Sent where the leader's log no longer reaches back to `truncate_to`.
        snapshot: Option<ClusterState>,
        /// What follows.
        entries: Vec<LogEntry>,
    },
    /// Entries that follow `prev` in the log of the current term.
    Append {
        /// Index that the entries follow.
        prev: Index,
        /// What follows.
        entries: Vec<LogEntry>,
    },
}

/// A message between voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A blank voter introduces itself to the seeds; an initialized one answers with the voter set.
    Discover {
        /// The sender.
        #[serde(rename = "holder")]
        voter: VoterInfo,
        /// Whether the sender holds the state of a cluster.
        #[serde(rename = "formed")]
        initialized: bool,
        /// The voter set, from an initialized sender.
        voters: Vec<VoterInfo>,
        /// The commit index to which the voter set belongs.
        #[serde(rename = "idx")]
        index: Index,
    },
    /// A control node without a disk introduces itself to the seeds (design 2.10).
    Learner,
    /// The initial state of a new cluster.
    Bootstrap {
        /// With nothing applied yet.
        #[serde(rename = "ledger")]
        cluster_state: ClusterState,
    },
    /// A blank voter asks to be admitted.
    JoinRequest {
        /// The sender.
        #[serde(rename = "holder")]
        voter: VoterInfo,
    },
    /// A voter that has just started asks whether the other leads; the time names this run of its process.
    LeaderQuery(Tick),
    /// It does not.
    NotLeading(Tick),
    /// A leader that is about to stop gives up its term, so that nobody waits for its election time-out.
    StepDown {
        /// The leader.
        by: VoterId,
        /// Its term.
        term: Term,
    },
    /// Asks whether a vote in that term would be granted; promises nothing.
    PreVote {
        /// The candidate.
        by: VoterId,
        /// The term that it would ask for.
        term: Term,
    },
    /// It would be granted.
    PreVoteGranted {
        /// The voter.
        by: VoterId,
        /// The term asked for.
        term: Term,
    },
    /// Asks for a vote in a new term.
    VoteRequest {
        /// The candidate.
        by: VoterId,
        /// The new term.
        term: Term,
        /// What the candidate knows to be committed.
        #[serde(rename = "accepted")]
        commit_index: Index,
    },
    /// A vote: the voter takes part in no older term from now on.
    Vote {
        /// The voter.
        by: VoterId,
        /// The new term.
        term: Term,
        /// The end of its log.
        tail: LogTail,
    },
    /// From the leader to a follower.
    Append {
        /// The leader.
        by: VoterId,
        /// Number of the follower.
        to: u8,
        /// The leader's term.
        term: Term,
        /// What the leader knows to be committed.
        #[serde(rename = "accepted")]
        commit_index: Index,
        /// When it was sent, on the leader's clock.
        #[serde(rename = "stamp")]
        sent_at: Tick,
        /// What it carries.
        body: AppendBody,
    },
    /// What the follower holds, synced.
    AppendReply {
        /// The follower.
        by: VoterId,
        /// Its term.
        term: Term,
        /// Its log is the one of that term.
        installed: bool,
        /// Index of the last entry of its log.
        last: Index,
        /// What it knows to be committed.
        #[serde(rename = "accepted")]
        commit_index: Index,
        /// The time in the append that it answers.
        #[serde(rename = "stamp")]
        sent_at: Tick,
    },
    /// Asks whether the receiver is a blank voter.
    BlankQuery {
        /// Incarnation of the asker.
        asker: Incarnation,
        /// When it was sent, on the asker's clock.
        sent_at: Tick,
    },
    /// It is, and knows of no cluster.
    Blank {
        /// The sender.
        voter: VoterInfo,
        /// Who asked.
        asker: Incarnation,
        /// The time in the question that it answers.
        sent_at: Tick,
    },
}

impl AppendBody {
    /// Upper bound on the state that it carries, in bytes.
    pub fn weight(&self) -> usize {
        match self {
            AppendBody::Heartbeat => 0,
            AppendBody::Install { snapshot, entries, .. } => state_weight(snapshot.as_ref(), entries),
            AppendBody::Append { entries, .. } => state_weight(None, entries),
        }
    }
}

impl Message {
    /// Upper bound on the state that it carries, in bytes.
    pub fn weight(&self) -> usize {
        match self {
            Message::Bootstrap { cluster_state } => cluster_state.weight(),
            Message::Vote { tail, .. } => state_weight(tail.snapshot.as_ref(), &tail.entries),
            Message::Append { body, .. } => body.weight(),
            _ => 0,
        }
    }
}

fn state_weight(snapshot: Option<&ClusterState>, entries: &[LogEntry]) -> usize {
    snapshot.map_or(0, ClusterState::weight) + entries.iter().map(LogEntry::max_encoded_len).sum::<usize>()
}
