//! Writes a voter's records to its disk on a thread of its own, so that writes don't block requests (design 2.4, 2.7).

use super::{ControlNode, Start};
use crate::{
    consensus::{Event, Record},
    storage::{DataFolder, OpenError, Recorder, RecoveryBackoff, blank_voter},
};
use common::{log_event, settings::Settings};
use std::sync::{Arc, Weak, mpsc};

/// Writes records in order. It notifies the control node of each record that was synced; or that one failed and, once
/// the disk works again, of the state that the disk holds.
pub trait LogWriter: Send + Sync {
    /// Queues a record; `token` identifies it in the notification.
    fn write(&self, token: u64, record: Record);
}

/// Makes the log writer of a control node that is about to start.
pub type LogWriterFactory = Box<dyn FnOnce(Weak<ControlNode>) -> Box<dyn LogWriter> + Send>;

struct QueuedWrite {
    token: u64,
    record: Record,
}

struct ThreadedLogWriter(mpsc::Sender<QueuedWrite>);

impl LogWriter for ThreadedLogWriter {
    fn write(&self, token: u64, record: Record) {
        let _ = self.0.send(QueuedWrite { token, record });
    }
}

/// The thread that writes for one control node.
struct WriterThread {
    node: Weak<ControlNode>,
    recorder: Recorder,
    queue: mpsc::Receiver<QueuedWrite>,
    runtime: tokio::runtime::Handle,
}

/// The control node was dropped, so the writer thread ends.
struct NodeGone;

impl WriterThread {
    fn node(&self) -> Result<Arc<ControlNode>, NodeGone> {
        self.node.upgrade().ok_or(NodeGone)
    }

    fn notify(&self, event: Event) -> Result<(), NodeGone> {
        let node = self.node()?;
        let _runtime_context = self.runtime.enter();
        node.step(event);
        Ok(())
    }

    fn run(mut self) -> Result<(), NodeGone> {
        loop {
            if self.recorder.failed() {
                self.recover()?;
            }
            let QueuedWrite { token, record } = self.queue.recv().map_err(|_| NodeGone)?;
            match self.recorder.write(&record) {
                Ok(()) => self.notify(Event::Synced(token))?,
                Err(error) => {
                    log_event!(Error, "sync", "peer" => self.node()?.settings.node, "cause" => error.to_string());
                    self.notify(Event::SyncFailed)?;
                }
            }
        }
    }

    /// Drops the queued records and reopens the data folder until that succeeds. The voter knows of the failure and
    /// queues no more records until then.
    fn recover(&mut self) -> Result<(), NodeGone> {
        while self.queue.try_recv().is_ok() {}
        let mut backoff = RecoveryBackoff::new(&self.node()?.settings.timing);
        loop {
            std::thread::sleep(backoff.wait());
            let node = self.node()?.settings.node.clone();
            match self.recorder.recover() {
                Ok(state) => {
                    log_event!(Info, "disk recovered", "peer" => node, "failures" => backoff.failures());
                    return self.notify(Event::Recovered(Box::new(state)));
                }
                Err(error) if backoff.record_failure() => {
                    log_event!(Error, "recover", "peer" => node, "cause" => error.to_string(), "failures" => backoff.failures());
                }
                Err(_) => {}
            }
        }
    }
}

fn spawn_writer(node: Weak<ControlNode>, recorder: Recorder) -> Box<dyn LogWriter> {
    let (sender, queue) = mpsc::channel();
    let runtime = tokio::runtime::Handle::current();
    let thread = WriterThread { node, recorder, queue, runtime };
    std::thread::spawn(move || {
        let _ = thread.run();
    });
    Box::new(ThreadedLogWriter(sender))
}

/// Opens the data folder: returns the state that it holds and its log writer. If the disk fails, the node starts
/// nevertheless and waits for the disk to recover.
///
/// # Errors
/// The settings name no folder, or it belongs to another node, cluster or version.
pub fn open_data_folder(settings: &Settings) -> eyre::Result<(Start, LogWriterFactory)> {
    let mut recorder = Recorder::new(Box::new(DataFolder::new(settings)?));
    let start = match recorder.recover() {
        Ok(state) => Start::from(state),
        Err(OpenError::Foreign(why)) => eyre::bail!(why),
        Err(error) => {
            log_event!(Error, "data folder", "peer" => settings.node, "cause" => error.to_string());
            Start::AwaitingDisk(Box::new(blank_voter(settings)))
        }
    };
    Ok((start, Box::new(move |node| spawn_writer(node, recorder))))
}
