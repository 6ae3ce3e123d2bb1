//! A file that is read at the start, and again on SIGHUP and at regular intervals (design 1.10).

use crate::{log_event, program::Shutdown};
use eyre::Result;
use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use tokio::{signal::unix::Signal, sync::watch, time::timeout};

/// Holds what was read last.
pub type Receiver<T> = watch::Receiver<Arc<T>>;

/// First and longest pause between two attempts to read the file for the first time.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Reads a file and checks its content.
pub type Load<T> = Box<dyn Fn(&Path) -> Result<T> + Send>;

/// Where a file is, how it is read, and how long to wait before it is read again.
pub struct WatchedFile<T> {
    /// Its path.
    pub path: PathBuf,
    /// Reads and checks it.
    pub load: Load<T>,
    /// The pause after what was read last.
    pub interval: fn(&T) -> Duration,
}

impl<T: PartialEq + Send + Sync + 'static> WatchedFile<T> {
    /// Reads the file, and rereads it in the background for as long as the process runs. While it can't be read for the
    /// first time, it may still be being written: this waits, and prints the error. Afterwards what could be read last
    /// stays in use. `None` if the process is asked to stop before.
    pub async fn watch(self, mut hangup: Signal, shutdown: &Shutdown) -> Option<Receiver<T>> {
        let first = shutdown.unless_requested(self.read_first(&mut hangup)).await?;
        let (sender, receiver) = watch::channel(Arc::new(first));
        tokio::spawn(self.reread(sender, hangup));
        Some(receiver)
    }

    async fn read_first(&self, hangup: &mut Signal) -> T {
        let (mut pause, mut last_error) = (FIRST_PAUSE, String::new());
        loop {
            match (self.load)(&self.path) {
                Ok(value) => return value,
                Err(error) => {
                    let cause = format!("{error:#}");
                    if cause != last_error {
                        eprintln!("error: {cause}; it is read again");
                        last_error = cause;
                    }
                }
            }
            let _ = timeout(pause, hangup.recv()).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn reread(self, sender: watch::Sender<Arc<T>>, mut hangup: Signal) {
        // An error that persists is logged once.
        let mut last_error = String::new();
        loop {
            let pause = (self.interval)(&sender.borrow());
            let _ = timeout(pause, hangup.recv()).await;
            match (self.load)(&self.path) {
                Ok(new) if new != **sender.borrow() => {
                    log_event!(Info, "settings file", "change" => "taken");
                    last_error.clear();
                    sender.send_replace(Arc::new(new));
                }
                Ok(_) => last_error.clear(),
                Err(error) => {
                    let cause = format!("{error:#}");
                    if cause != last_error {
                        log_event!(Warn, "settings file", "change" => "not taken", "cause" => cause);
                        last_error = cause;
                    }
                }
            }
        }
    }
}
