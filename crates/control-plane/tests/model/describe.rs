//! Readable descriptions of actions and states, for the traces of counterexamples.

use super::world::{Action, World};
use control_plane::consensus::{AppendBody, Message};

impl World {
    /// One line for an action in this state.
    pub fn describe(&self, action: Action) -> String {
        let unsynced = |slow: bool| if slow { ", and its write is not synced yet" } else { "" };
        let what = match action {
            Action::Deliver { packet, duplicate, slow } => {
                let packet = &self.packets[packet].value;
                let remains = if duplicate { " (a duplicate stays in flight)" } else { "" };
                let message = describe_message(&packet.message);
                format!("n{} receives from n{}: {message}{remains}{}", packet.to, packet.from, unsynced(slow))
            }
            Action::Wakeup { machine, slow } => format!("n{machine} checks its timers{}", unsynced(slow)),
            Action::Sync { machine } => format!("the oldest write of n{machine} is synced"),
            Action::Crash { machine, kept } => {
                format!("n{machine} loses power, {kept} unsynced writes are on disk")
            }
            Action::FailSync { machine, kept } => {
                format!("a sync of n{machine} fails, {kept} unsynced writes are on disk")
            }
            Action::Wipe { machine } => format!("the disk of n{machine} is wiped"),
            Action::Restart { machine } => format!("n{machine} starts"),
            Action::Propose { machine, change, slow } => {
                let operation = self.changes[change].op().map_or("", |op| op.as_str());
                format!("an operator sends {operation} to n{machine}{}", unsynced(slow))
            }
            Action::StepDown { machine } => format!("the leader n{machine} steps down"),
            Action::AdvanceToDeadline => "time advances to the next deadline".into(),
            Action::NextRound => "time advances to the next round".into(),
            Action::Delay { packet } => {
                let packet = &self.packets[packet].value;
                format!("delayed: n{} to n{}: {}", packet.from, packet.to, describe_message(&packet.message))
            }
            Action::DeliverLate { packet } => {
                let late = self.schedule.iter().flat_map(|schedule| &schedule.late).nth(packet);
                late.map_or(String::new(), |packet| {
                    let packet = &packet.value;
                    format!(
                        "n{} receives late from n{}: {}",
                        packet.to,
                        packet.from,
                        describe_message(&packet.message)
                    )
                })
            }
            Action::CutOff { machine } => format!("n{machine} is cut off"),
            Action::Heal => "the network is whole again".into(),
            Action::Freeze { machine } => format!("n{machine} freezes"),
            Action::Thaw => "the frozen machine continues".into(),
            Action::UpdateLearner { voter } => format!("the learner receives the state of n{voter}"),
            Action::AdvanceHeartbeat => "time advances by a heartbeat interval".into(),
        };
        format!("[{} ms] {what}", self.now.0)
    }

    /// One line for each machine, with the state of its voter.
    pub fn summary(&self) -> Vec<String> {
        let line = |n: usize| match self.voter(n) {
            None => format!("n{n} is down"),
            Some(voter) => format!(
                "n{n}/{}: term {} log term {} committed {} last {} {:?}",
                voter.identity.incarnation,
                voter.current_term,
                voter.log_term,
                voter.commit_index(),
                voter.last_index(),
                voter.role
            ),
        };
        (0..self.machines.len()).map(line).collect()
    }
}

fn describe_message(message: &Message) -> String {
    match message {
        Message::PreVote { term, .. } => format!("pre-vote request for term {term}"),
        Message::PreVoteGranted { term, .. } => format!("pre-vote for term {term}"),
        Message::VoteRequest { term, .. } => format!("vote request for term {term}"),
        Message::Vote { term, tail, .. } => {
            format!("vote for term {term} (log term {}, last {})", tail.log_term, tail.last)
        }
        Message::Append { term, commit_index, body, .. } => {
            let what = match body {
                AppendBody::Heartbeat => "heartbeat".into(),
                AppendBody::Install { truncate_to, snapshot, entries } => {
                    format!(
                        "install after {truncate_to}, snapshot {}, {} entries",
                        snapshot.is_some(),
                        entries.len()
                    )
                }
                AppendBody::Append { prev, entries } => {
                    format!("append after {prev}, {} entries", entries.len())
                }
            };
            format!("{what} of term {term}, committed {commit_index}")
        }
        Message::AppendReply { term, installed, last, .. } => {
            format!("reply in term {term}, installed {installed}, last {last}")
        }
        Message::LeaderQuery(_) => "leader query".into(),
        Message::NotLeading(_) => "not leading".into(),
        Message::StepDown { term, .. } => format!("step-down in term {term}"),
        Message::JoinRequest { voter } => format!("join request of {}", voter.incarnation),
        Message::BlankQuery { .. } => "blank query".into(),
        Message::Blank { .. } => "blank".into(),
        Message::Discover { initialized, .. } => format!("discovery, initialized {initialized}"),
        Message::Bootstrap { .. } => "bootstrap".into(),
        Message::Learner => "learner".into(),
    }
}
