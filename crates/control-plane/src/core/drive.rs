//! What carries a seat's records to its disk, off the threads that serve (design 2.4, 2.7).

use super::{Core, folder};
use crate::{
    disk::Disk,
    seat::{Ev, Image, Rec},
    store::FileStore,
};
use common::{jot, settings::Settings};
use std::sync::{Weak, mpsc};

/// Takes records in order, and tells the core of each once it is synced, or that a sync failed.
pub trait Drive: Send + Sync {
    fn write(&self, tok: u64, rec: Rec);
}

struct FileDrive(mpsc::Sender<(u64, Rec)>);

impl Drive for FileDrive {
    fn write(&self, tok: u64, rec: Rec) {
        let _ = self.0.send((tok, rec));
    }
}

fn thread(core: Weak<Core>, mut store: FileStore) -> Box<dyn Drive> {
    let ((tx, rx), rt) = (mpsc::channel(), tokio::runtime::Handle::current());
    std::thread::spawn(move || {
        for (tok, rec) in rx {
            let res = store.write(&rec);
            let Some(core) = core.upgrade() else { return };
            let _in = rt.enter();
            match res {
                Ok(()) => core.step(Ev::Synced(tok)),
                Err(e) => {
                    jot!(Error, "sync", "peer" => core.set.node, "cause" => e.to_string());
                    core.step(Ev::SyncFailed);
                    return;
                }
            }
        }
    });
    Box::new(FileDrive(tx))
}

/// Makes a drive for a core that is about to start.
pub type MakeDrive = Box<dyn FnOnce(Weak<Core>) -> Box<dyn Drive> + Send>;

/// What the data folder holds, and a drive that writes to it.
pub fn files(set: &Settings) -> eyre::Result<(Image, MakeDrive)> {
    let dir =
        set.data.clone().ok_or_else(|| eyre::eyre!("data: missing; allowed: a folder of this node's own"))?;
    let img = folder::take_up(set, &dir)?;
    let store = FileStore::open(&dir, &img)?;
    Ok((img, Box::new(move |core| thread(core, store))))
}
