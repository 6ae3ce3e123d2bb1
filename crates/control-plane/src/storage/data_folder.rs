//! The data folder of a control node (design 2.6).

use super::{
    Corruption, FileStore, LoadResult, Medium, OpenError, OpenedStorage, StateStorage, SystemMedium,
};
use crate::{consensus::DurableState, types::VoterInfo};
use common::{Incarnation, log_event, settings::Settings};
use std::{io, path::PathBuf, sync::Arc};

/// The identity that a blank folder begins with. Its incarnation is drawn, so that no two are alike.
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

/// The data folder of a control node.
pub struct DataFolder {
    settings: Settings,
    path: PathBuf,
    medium: Arc<dyn Medium>,
}

fn refused(step: &'static str) -> impl Fn(io::Error) -> OpenError {
    move |error| OpenError::Io { step, error }
}

impl DataFolder {
    /// The folder that the settings name.
    ///
    /// # Errors
    /// The settings name none.
    pub fn new(settings: &Settings) -> eyre::Result<Self> {
        Self::with_medium(settings, Arc::new(SystemMedium))
    }

    /// The same with writes through `medium`.
    ///
    /// # Errors
    /// As for [`DataFolder::new`].
    pub fn with_medium(settings: &Settings, medium: Arc<dyn Medium>) -> eyre::Result<Self> {
        let path = settings.data.clone();
        let path = path.ok_or_else(|| eyre::eyre!("data: missing; allowed: a folder of this node's own"))?;
        Ok(Self { settings: settings.clone(), path, medium })
    }

    /// What is whole in the folder; a damaged one is moved aside, never written over.
    fn read(&self) -> Result<DurableState, OpenError> {
        let blank = DurableState::blank(&blank_voter(&self.settings));
        match FileStore::load(&self.path).map_err(refused("read"))? {
            LoadResult::Empty => Ok(blank),
            LoadResult::State(state) => self.check_owner(*state),
            LoadResult::IncompatibleFormat => {
                Err(self
                    .not_ours("was written in another format", "a folder of this version, or a blank one"))
            }
            LoadResult::Corrupt(why) => {
                self.move_aside(&why).map_err(refused("move aside"))?;
                Ok(blank)
            }
        }
    }

    fn not_ours(&self, what: &str, allowed: &str) -> OpenError {
        OpenError::Foreign(format!("data: {:?} {what}; allowed: {allowed}", self.path))
    }

    /// The state under the addresses that this node has now, if it belongs to this node.
    fn check_owner(&self, state: DurableState) -> Result<DurableState, OpenError> {
        let settings = &self.settings;
        let cluster = &state.cluster_state.cluster;
        if state.initialized && *cluster != settings.cluster {
            let what = format!("belongs to cluster {cluster:?}");
            return Err(self.not_ours(&what, &format!("one of {:?}", settings.cluster)));
        }
        if state.me.node.as_str() != settings.node {
            let what = format!("belongs to node {}", state.me.node);
            return Err(self.not_ours(&what, &format!("one of {}", settings.node)));
        }
        let VoterInfo { number, incarnation, .. } = state.me;
        let me = VoterInfo { number, incarnation, ..blank_voter(settings) };
        Ok(DurableState { me, ..state })
    }

    fn move_aside(&self, why: &Corruption) -> io::Result<()> {
        let aside = self.path.with_extension(format!("damaged-{}", common::clock::wall_ms()));
        log_event!(Error, "data folder", "cause" => why.to_string(), "moved_to" => aside.display().to_string());
        std::fs::rename(&self.path, &aside)
    }
}

impl StateStorage for DataFolder {
    fn open(&mut self) -> Result<OpenedStorage, OpenError> {
        let state = self.read()?;
        let store =
            FileStore::open_with_medium(&self.path, &state, self.medium.clone()).map_err(refused("write"))?;
        Ok(OpenedStorage { state, writer: Box::new(store) })
    }
}
