//! Traces that a reader can follow.

use super::world::{Action, World};
use control_plane::consensus::{AppendBody, Message};

impl World {
    /// One line for an action in this state.
    pub fn describe(&self, action: Action) -> String {
        let late = |slow: bool| if slow { ", and its write is not synced yet" } else { "" };
        let what = match action {
            Action::Deliver { packet, again, slow } => {
                let packet = &self.packets[packet].value;
                let kept = if again { " (and it stays in flight)" } else { "" };
                let message = shown(&packet.message);
                format!("n{} takes from n{}: {message}{kept}{}", packet.to, packet.from, late(slow))
            }
            Action::Wakeup { machine, slow } => format!("n{machine} looks at its timers{}", late(slow)),
            Action::Sync { machine } => format!("the oldest write of n{machine} is synced"),
            Action::Crash { machine, kept } => {
                format!("n{machine} loses power, {kept} unsynced writes are kept")
            }
            Action::FailSync { machine, kept } => {
                format!("a sync of n{machine} fails, {kept} unsynced writes are kept")
            }
            Action::Wipe { machine } => format!("the disk of n{machine} is wiped"),
            Action::Restart { machine } => format!("n{machine} starts"),
            Action::Propose { machine, change, slow } => {
                let operation = self.changes[change].op().map_or("", |op| op.as_str());
                format!("an operator sends {operation} to n{machine}{}", late(slow))
            }
            Action::Yield { machine } => format!("n{machine} hands over"),
            Action::ToDeadline => "time goes on to the next deadline".into(),
            Action::GoOn => "time goes on".into(),
            Action::Delay { packet } => {
                let packet = &self.packets[packet].value;
                format!("late: n{} to n{}: {}", packet.from, packet.to, shown(&packet.message))
            }
            Action::DeliverLate { packet } => {
                let late = self.schedule.iter().flat_map(|schedule| &schedule.late).nth(packet);
                late.map_or(String::new(), |packet| {
                    let packet = &packet.value;
                    format!("n{} takes late from n{}: {}", packet.to, packet.from, shown(&packet.message))
                })
            }
            Action::CutOff { machine } => format!("n{machine} is cut off"),
            Action::Heal => "the cut ends".into(),
            Action::Freeze { machine } => format!("n{machine} freezes"),
            Action::Thaw => "the frozen machine goes on".into(),
            Action::Follow { voter } => format!("the learner is told of the state of n{voter}"),
            Action::Beat => "time goes on by a heartbeat".into(),
        };
        format!("[{} ms] {what}", self.now.0)
    }

    /// What each machine holds, for a state that is shown.
    pub fn summary(&self) -> Vec<String> {
        let line = |n: usize| match self.voter(n) {
            None => format!("n{n} is down"),
            Some(voter) => format!(
                "n{n}/{}: term {} log term {} accepted {} last {} {:?}",
                voter.me.incarnation,
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

fn shown(message: &Message) -> String {
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
            format!("{what} of term {term}, accepted {commit_index}")
        }
        Message::AppendReply { term, installed, last, .. } => {
            format!("reply in term {term}, installed {installed}, last {last}")
        }
        Message::LeaderQuery(_) => "question whether it leads".into(),
        Message::NotLeading(_) => "answer that it does not lead".into(),
        Message::StepDown { term, .. } => format!("hand-over of term {term}"),
        Message::JoinRequest { voter } => format!("join request of {}", voter.incarnation),
        Message::BlankQuery { .. } => "question whether it is blank".into(),
        Message::Blank { .. } => "blank".into(),
        Message::Discover { initialized, .. } => format!("discovery, formed {initialized}"),
        Message::Bootstrap { .. } => "founding".into(),
        Message::Learner => "learner".into(),
    }
}
