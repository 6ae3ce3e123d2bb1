//! Announcements of long prompts among the routers (design 9.5). Long prompts are few, and each occupies a replica
//! for a while, so that other routers should know of it.

use super::{
    plan::Plan, prefill::PromptSent, replica_choice::PREFILL_TOKENS_PER_MS, replica_view::Candidate,
    state::Serving,
};
use crate::{
    router::{Router, lock},
    rpc::RouterRequest,
};
use std::sync::Arc;

/// Up to this many members, a prompt is announced to all routers; above, only to those of the two regions concerned.
const ANNOUNCE_TO_ALL_MAX_MEMBERS: usize = 32;

impl Router {
    /// Records a long prompt that this or another router sent.
    pub fn note_prompt(&self, sent: &PromptSent) {
        lock(&self.prefill_tracker).record_sent(sent, PREFILL_TOKENS_PER_MS, self.now());
    }
}

impl Serving {
    /// Records a long prompt that is sent to `replica`, and tells the routers that send to the same replicas.
    pub fn announce_prompt(self: &Arc<Self>, plan: &Plan, replica: &Candidate) {
        if !plan.long_prompt {
            return;
        }
        let note = PromptSent {
            replica: replica.id.clone(),
            prefixes: plan.prefixes.clone(),
            tokens: plan.prompt.tokens_in,
            memory: replica.memory_total,
        };
        self.router.note_prompt(&note);
        let state = self.router.cluster_state();
        let is_small_cluster = state.members.len() <= ANNOUNCE_TO_ALL_MAX_MEMBERS;
        let is_concerned = |member: &&control_plane::Member| {
            let region = self.site.zones.get(&member.info.zone);
            let in_same_region = region == Some(&self.site.region) || region == Some(&replica.region);
            (is_small_cluster || in_same_region) && member.info.node != *self.router.node()
        };
        for member in state.routers().into_iter().filter(is_concerned) {
            let (router, to, note) = (self.router.clone(), member.info.rpc_addr, note.clone());
            common::runtime::spawn(async move {
                let _ = router
                    .rpc_client
                    .call("announce prompt", to, RouterRequest::AnnouncePrompt { note })
                    .await;
            });
        }
    }
}
