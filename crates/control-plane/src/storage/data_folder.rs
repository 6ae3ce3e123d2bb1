//! The data folder of a control node: who owns it, and what happens to a damaged one (design 2.6).

use super::{
    Corruption, FileStore, LoadResult, Medium, OpenError, OpenedStorage, StateStorage, SystemMedium,
    layout::file_names,
};
use crate::{consensus::DurableState, types::VoterInfo};
use common::{Incarnation, log_event, settings::Settings};
use std::{fs::File, io, path::PathBuf, sync::Arc};

/// Folder in the data folder that holds the files that were found damaged last.
pub const DAMAGED_FILES: &str = "damaged";

/// The identity of a voter with a blank data folder. Its incarnation is random, so that no two are equal.
pub fn blank_voter(settings: &Settings) -> VoterInfo {
    VoterInfo {
        number: u8::MAX,
        incarnation: Incarnation(common::runtime::random::<u64>() >> 1),
        node: settings.node.as_str().into(),
        zone: settings.zone.as_str().into(),
        rpc_addr: settings.advertised_rpc(),
        http: settings.advertised_http(),
    }
}

/// The data folder of a control node, as the storage of its voter.
pub struct DataFolder {
    settings: Settings,
    path: PathBuf,
    medium: Arc<dyn Medium>,
}

fn io_error(step: &'static str) -> impl Fn(io::Error) -> OpenError {
    move |error| OpenError::Io { step, error }
}

impl DataFolder {
    /// The data folder that is set in the settings.
    ///
    /// # Errors
    /// The settings have no data folder.
    pub fn new(settings: &Settings) -> eyre::Result<Self> {
        Self::with_medium(settings, Arc::new(SystemMedium))
    }

    /// Like [`DataFolder::new`], with all writes and syncs done by `medium`.
    ///
    /// # Errors
    /// As for [`DataFolder::new`].
    pub fn with_medium(settings: &Settings, medium: Arc<dyn Medium>) -> eyre::Result<Self> {
        let path = settings.data.clone();
        let path = path.ok_or_else(|| eyre::eyre!("data: missing; allowed: a folder of this node's own"))?;
        Ok(Self { settings: settings.clone(), path, medium })
    }

    /// Reads the state in the folder. Damaged files are moved aside rather than overwritten, and the voter is
    /// then blank.
    fn read(&self) -> Result<DurableState, OpenError> {
        let blank = DurableState::blank(&blank_voter(&self.settings));
        match FileStore::load(&self.path).map_err(io_error("read"))? {
            LoadResult::Empty => Ok(blank),
            LoadResult::State(state) => self.check_owner(*state),
            LoadResult::IncompatibleFormat => {
                Err(self.foreign("was written in another format", "a folder of this version, or a blank one"))
            }
            LoadResult::Corrupt(corruption) => {
                self.move_aside(&corruption).map_err(io_error("move aside"))?;
                Ok(blank)
            }
        }
    }

    fn foreign(&self, what: &str, allowed: &str) -> OpenError {
        OpenError::Foreign(format!("data: {:?} {what}; allowed: {allowed}", self.path))
    }

    /// Checks that the state belongs to this node, and gives it the zone and addresses of the current settings.
    fn check_owner(&self, state: DurableState) -> Result<DurableState, OpenError> {
        let settings = &self.settings;
        let cluster = &state.cluster_state.cluster;
        if state.initialized && *cluster != settings.cluster {
            let what = format!("belongs to cluster {cluster:?}");
            return Err(self.foreign(&what, &format!("one of {:?}", settings.cluster)));
        }
        if state.identity.node.as_str() != settings.node {
            let what = format!("belongs to node {}", state.identity.node);
            return Err(self.foreign(&what, &format!("one of {}", settings.node)));
        }
        let VoterInfo { number, incarnation, .. } = state.identity;
        let identity = VoterInfo { number, incarnation, ..blank_voter(settings) };
        Ok(DurableState { identity, ..state })
    }

    /// Moves the files into a folder of their own within the data folder, since nothing else may be writable, in place of
    /// those that were damaged before. The new names are synced before anything else is written: an older slot that
    /// came back without the newer one would be taken for the newest state.
    fn move_aside(&self, corruption: &Corruption) -> io::Result<()> {
        let moved_to = self.path.join(DAMAGED_FILES);
        log_event!(Error, "data folder", "cause" => corruption.to_string(), "moved_to" => moved_to.display().to_string());
        std::fs::create_dir_all(&moved_to)?;
        for file in file_names() {
            match std::fs::rename(self.path.join(&file), moved_to.join(&file)) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        for folder in [&moved_to, &self.path] {
            File::open(folder)?.sync_all()?;
        }
        Ok(())
    }
}

impl StateStorage for DataFolder {
    fn open(&mut self) -> Result<OpenedStorage, OpenError> {
        let state = self.read()?;
        let store = FileStore::open_with_medium(&self.path, &state, self.medium.clone())
            .map_err(io_error("write"))?;
        Ok(OpenedStorage { state, writer: Box::new(store) })
    }
}
