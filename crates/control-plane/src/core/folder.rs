//! Taking up a data folder (design 2.6).

use crate::{
    change::VoterInfo,
    consensus::{DurableState, Voter},
    disk::{LoadResult, OpenError, Opened, StateStorage},
    store::{FileStore, Medium, System},
};
use common::{Incarnation, log_event, settings::Settings};
use std::{io, path::PathBuf, sync::Arc};

/// The holder that a blank folder begins: its incarnation is drawn, so that no two are alike.
pub fn blank(set: &Settings) -> VoterInfo {
    VoterInfo {
        number: u8::MAX,
        incarnation: Incarnation(common::runtime::draw::<u64>() >> 1),
        node: set.node.as_str().into(),
        zone: set.zone.as_str().into(),
        rpc_addr: set.rpc_addr(),
        http: set.advertised_http(),
    }
}

/// The data folder of a control node.
pub struct DataFolder {
    settings: Settings,
    path: PathBuf,
    medium: Arc<dyn Medium>,
}

fn refused(step: &'static str) -> impl Fn(io::Error) -> OpenError {
    move |error| OpenError::Refused { step, error }
}

impl DataFolder {
    pub fn new(settings: &Settings) -> eyre::Result<Self> {
        Self::on(settings, Arc::new(System))
    }

    /// The same on a medium of one's own.
    pub fn on(settings: &Settings, medium: Arc<dyn Medium>) -> eyre::Result<Self> {
        let path = settings.data.clone();
        let path = path.ok_or_else(|| eyre::eyre!("data: missing; allowed: a folder of this node's own"))?;
        Ok(Self { settings: settings.clone(), path, medium })
    }

    /// What is whole there; a damaged folder is moved aside, never written over (design 2.6).
    fn read(&self) -> Result<DurableState, OpenError> {
        let fresh = Voter::blank_state(&blank(&self.settings));
        match FileStore::load(&self.path).map_err(refused("read"))? {
            LoadResult::Nothing => Ok(fresh),
            LoadResult::DurableState(image) => self.own(*image),
            LoadResult::IncompatibleFormat => Err(self.not_ours(
                "was written in another form".into(),
                "a folder of this version, or a blank one".into(),
            )),
            LoadResult::Corrupt(why) => {
                self.move_aside(&why).map_err(refused("move aside"))?;
                Ok(fresh)
            }
        }
    }

    fn not_ours(&self, what: String, allowed: String) -> OpenError {
        OpenError::NotOurs(format!("data: {:?} {what}; allowed: {allowed}", self.path))
    }

    /// An image of this node, under the addresses that it has now.
    fn own(&self, image: DurableState) -> Result<DurableState, OpenError> {
        let set = &self.settings;
        if image.initialized && image.cluster_state.cluster != set.cluster {
            let what = format!("belongs to cluster {:?}", image.cluster_state.cluster);
            return Err(self.not_ours(what, format!("one of {:?}", set.cluster)));
        }
        if image.me.node.as_str() != set.node {
            let what = format!("belongs to node {}", image.me.node);
            return Err(self.not_ours(what, format!("one of {}", set.node)));
        }
        let me = VoterInfo { number: image.me.number, incarnation: image.me.incarnation, ..blank(set) };
        Ok(DurableState { me, ..image })
    }

    fn move_aside(&self, why: &str) -> io::Result<()> {
        let aside = self.path.with_extension(format!("damaged-{}", common::clock::wall_ms()));
        log_event!(Error, "data folder", "cause" => why, "moved_to" => aside.display().to_string());
        std::fs::rename(&self.path, &aside)
    }
}

impl StateStorage for DataFolder {
    fn open(&mut self) -> Result<Opened, OpenError> {
        let image = self.read()?;
        let disk = FileStore::open_on(&self.path, &image, self.medium.clone()).map_err(refused("write"))?;
        Ok(Opened { image, disk: Box::new(disk) })
    }
}
