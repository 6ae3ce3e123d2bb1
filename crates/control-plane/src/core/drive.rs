//! What carries a voter's records to its disk, off the threads that serve (design 2.4, 2.7).

use super::{Core, DataFolder, Recorder, RecoveryBackoff, Start, folder::blank};
use crate::{
    consensus::{Event, Record},
    disk::OpenError,
};
use common::{log_event, settings::Settings};
use std::sync::{Arc, Weak, mpsc};

/// Takes records in order, and tells the core of each once it is synced; or that one failed, and then
/// what the disk holds once it works again.
pub trait LogWriter: Send + Sync {
    fn write(&self, token: u64, record: Record);
}

struct Write {
    token: u64,
    record: Record,
}

struct ThreadedLogWriter(mpsc::Sender<Write>);

impl LogWriter for ThreadedLogWriter {
    fn write(&self, token: u64, record: Record) {
        let _ = self.0.send(Write { token, record });
    }
}

/// The thread that writes for one core.
struct Writer {
    core: Weak<Core>,
    recorder: Recorder,
    queue: mpsc::Receiver<Write>,
    runtime: tokio::runtime::Handle,
}

/// The core is gone: its process ends.
struct CoreGone;

impl Writer {
    fn core(&self) -> Result<Arc<Core>, CoreGone> {
        self.core.upgrade().ok_or(CoreGone)
    }

    fn tell(&self, event: Event) -> Result<(), CoreGone> {
        let core = self.core()?;
        let _inside = self.runtime.enter();
        core.step(event);
        Ok(())
    }

    fn run(mut self) -> Result<(), CoreGone> {
        loop {
            if self.recorder.failed() {
                self.recover()?;
            }
            let Write { token, record } = self.queue.recv().map_err(|_| CoreGone)?;
            match self.recorder.write(&record) {
                Ok(()) => self.tell(Event::Synced(token))?,
                Err(error) => {
                    log_event!(Error, "sync", "peer" => self.core()?.set.node, "cause" => error.to_string());
                    self.tell(Event::SyncFailed)?;
                }
            }
        }
    }

    /// The voter has stepped aside and writes nothing more: what it wrote before is dropped, and the
    /// folder is opened anew as often as it takes.
    fn recover(&mut self) -> Result<(), CoreGone> {
        while self.queue.try_recv().is_ok() {}
        let mut retry = RecoveryBackoff::new(&self.core()?.set.timing);
        loop {
            std::thread::sleep(retry.wait());
            let core = self.core()?;
            match self.recorder.recover() {
                Ok(image) => {
                    log_event!(Info, "disk recovered", "peer" => core.set.node, "failures" => retry.failures());
                    return self.tell(Event::Recovered(Box::new(image)));
                }
                Err(error) if retry.failed() => {
                    log_event!(Error, "recover", "peer" => core.set.node, "cause" => error.to_string(), "failures" => retry.failures());
                }
                Err(_) => {}
            }
        }
    }
}

fn spawn_writer(core: Weak<Core>, recorder: Recorder) -> Box<dyn LogWriter> {
    let (sender, queue) = mpsc::channel();
    let runtime = tokio::runtime::Handle::current();
    let writer = Writer { core, recorder, queue, runtime };
    std::thread::spawn(move || {
        let _ = writer.run();
    });
    Box::new(ThreadedLogWriter(sender))
}

/// Makes a drive for a core that is about to start.
pub type LogWriterFactory = Box<dyn FnOnce(Weak<Core>) -> Box<dyn LogWriter> + Send>;

/// What the data folder holds, and a drive that writes to it. Where the disk refuses, the core starts
/// all the same and waits for it; a folder that is another's ends the start.
pub fn files(set: &Settings) -> eyre::Result<(Start, LogWriterFactory)> {
    let mut recorder = Recorder::new(Box::new(DataFolder::new(set)?));
    let start = match recorder.recover() {
        Ok(image) => Start::from(image),
        Err(OpenError::NotOurs(why)) => eyre::bail!(why),
        Err(error) => {
            log_event!(Error, "data folder", "peer" => set.node, "cause" => error.to_string());
            Start::Waiting(Box::new(blank(set)))
        }
    };
    Ok((start, Box::new(move |core| spawn_writer(core, recorder))))
}
