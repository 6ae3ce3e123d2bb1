//! Routers of a region tell each other of long prompts (design 9.5): few requests, and each keeps a
//! replica from all else for a while.

use super::{
    plan::Plan, prefill::PromptSent, replica_choice::PREFILL_TOKENS_PER_MS, replica_view::Candidate,
    state::Serving,
};
use crate::{
    router::{Router, lock},
    rpc::RouterRequest,
};
use std::sync::Arc;

/// Up to so many members all are told; above, those of the regions at hand.
const TELL_ALL: usize = 32;

impl Router {
    pub fn note_prompt(&self, n: &PromptSent) {
        lock(&self.reading).record_sent(n, PREFILL_TOKENS_PER_MS, self.now());
    }
}

impl Serving {
    /// Notes a long prompt here, and tells the routers that send to the same replicas.
    pub fn announce_prompt(self: &Arc<Self>, p: &Plan, c: &Candidate) {
        if !p.long_prompt {
            return;
        }
        let note = PromptSent {
            replica: c.id.clone(),
            prefixes: p.prefixes.clone(),
            tokens: p.prompt.tokens_in,
            memory: c.memory_total,
        };
        self.router.note_prompt(&note);
        let l = self.router.cluster_state();
        let few = l.members.len() <= TELL_ALL;
        let near = |m: &&control_plane::Member| {
            let r = self.site.zones.get(&m.info.zone);
            let same = r == Some(&self.site.region) || r == Some(&c.region);
            (few || same) && m.info.node != *self.router.node()
        };
        for m in l.routers().into_iter().filter(near) {
            let (me, to, note) = (self.router.clone(), m.info.rpc_addr, note.clone());
            common::runtime::spawn(async move {
                let _ =
                    me.rpc_client.call("announce prompt", to, RouterRequest::AnnouncePrompt { note }).await;
            });
        }
    }
}
