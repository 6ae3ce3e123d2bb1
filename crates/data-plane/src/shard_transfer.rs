//! How the rows of a placement shard reach its new owner (design 5.3).

use crate::{
    placement_table::SHARDS,
    router::Router,
    rpc::{RouterRequest, RouterResponse},
};
use common::Epoch;
use std::sync::Arc;

/// Routers next in line that the new owner of a shard asks for its rows.
const ASKED_FOLLOWERS: usize = 3;

impl Router {
    /// Fetches the rows of each shard that this node becomes the owner of from the routers next in line. Owners change
    /// only with the membership.
    pub async fn fetch_shards(self: Arc<Self>) {
        let mut owned = vec![false; SHARDS as usize];
        let mut last_epoch = Epoch(0);
        let mut applied = self.member.applied.subscribe();
        loop {
            let epoch = self.cluster_state().epoch;
            if epoch != last_epoch {
                last_epoch = epoch;
                for shard in 0..SHARDS {
                    let owns = self.owns(shard);
                    let owned_before = std::mem::replace(&mut owned[shard as usize], owns);
                    if owns && !owned_before {
                        self.fetch_shard(shard);
                    }
                }
            }
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    fn fetch_shard(self: &Arc<Self>, shard: u16) {
        for follower in self.owners(shard).into_iter().skip(1).take(ASKED_FOLLOWERS) {
            let (router, address) = (self.clone(), follower.info.rpc_addr);
            common::runtime::spawn(async move {
                let request = RouterRequest::FetchShard { shard };
                let response = router.rpc_client.call("fetch shard", address, request).await;
                if let Ok(RouterResponse::Placements(rows)) = response {
                    router.install_rows(rows);
                }
            });
        }
    }
}
