//! Traces that a reader can follow.

use super::world::{Action, World};
use control_plane::seat::{Body, SeatMsg};

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
            Action::Beat => "time goes on by a heartbeat".into(),
        };
        format!("[{} ms] {what}", self.now.0)
    }

    /// What each machine holds, for a state that is shown.
    pub fn summary(&self) -> Vec<String> {
        let line = |n: usize| match self.seat(n) {
            None => format!("n{n} is down"),
            Some(seat) => format!(
                "n{n}/{}: term {} log term {} accepted {} last {} {:?}",
                seat.me.inc,
                seat.promised,
                seat.log_view,
                seat.accepted(),
                seat.last(),
                seat.post
            ),
        };
        (0..self.machines.len()).map(line).collect()
    }
}

fn shown(message: &SeatMsg) -> String {
    match message {
        SeatMsg::Canvass { view, .. } => format!("pre-vote request for term {view}"),
        SeatMsg::Canvassed { view, .. } => format!("pre-vote for term {view}"),
        SeatMsg::Stop { view, .. } => format!("vote request for term {view}"),
        SeatMsg::Stopped { view, tail, .. } => {
            format!("vote for term {view} (log term {}, last {})", tail.log_view, tail.last)
        }
        SeatMsg::Feed { view, accepted, body, .. } => {
            let what = match body {
                Body::Ping => "heartbeat".into(),
                Body::Install { cut, frame, entries } => {
                    format!("install after {cut}, snapshot {}, {} entries", frame.is_some(), entries.len())
                }
                Body::Append { prev, entries } => format!("append after {prev}, {} entries", entries.len()),
            };
            format!("{what} of term {view}, accepted {accepted}")
        }
        SeatMsg::Held { view, installed, last, .. } => {
            format!("reply in term {view}, installed {installed}, last {last}")
        }
        SeatMsg::Asks(_) => "question whether it leads".into(),
        SeatMsg::Rests(_) => "answer that it does not lead".into(),
        SeatMsg::Yield { view, .. } => format!("hand-over of term {view}"),
        SeatMsg::Plea { holder } => format!("join request of {}", holder.inc),
        SeatMsg::Census { formed, .. } => format!("discovery, formed {formed}"),
        SeatMsg::Found { .. } => "founding".into(),
    }
}
