//! Subscriptions to the held chunks of peers.

use std::sync::Arc;
use std::time::Instant;

use super::{AbortOnDrop, Swarm};
use crate::clock::Clock;
use crate::control::pb;
use crate::resource::{Object, model};
use crate::weights::follow;

/// A peer with one subscription task per wanted manifest.
#[derive(Debug)]
pub(super) struct FollowedPeer {
    peer: String,
    address: std::net::SocketAddr,
    _tasks: Vec<AbortOnDrop>,
}

impl<C: Clock> Swarm<C> {
    /// Subscribes to the followed peers of the plan while chunks are missing.
    pub(super) fn update_followed(&mut self, complete: bool, now: Instant) {
        if complete {
            self.followed.clear();
            return;
        }
        let plan = &self.plan;
        let is_current = |f: &FollowedPeer| {
            let found = plan.peers.binary_search_by(|p| p.name.cmp(&f.peer));
            found.is_ok_and(|i| {
                plan.followed.binary_search(&i).is_ok() && plan.peers[i].address == f.address
            })
        };
        self.followed.retain(is_current);
        for index in self.plan.followed.clone() {
            let peer = &self.plan.peers[index];
            if !self.followed.iter().any(|f| f.peer == peer.name) {
                self.peers.mark_connecting(index, now);
                let followed = self.subscribe(index);
                self.followed.push(followed);
            }
        }
    }

    fn subscribe(&self, peer_index: usize) -> FollowedPeer {
        let peer = &self.plan.peers[peer_index];
        let manifests = self.wanted.iter().flat_map(|w| &w.manifests).enumerate();
        let task = |(index, manifest): (usize, &Arc<Object<model::Model>>)| {
            let request = pb::HaveRequest {
                model: manifest.spec.model.clone(),
                version: manifest.spec.version.clone(),
                vm: self.ctx.settings.vm.clone(),
            };
            let subscription = follow::Subscription {
                epoch: self.epoch,
                peer: peer.name.clone(),
                address: peer.address,
                manifest: index,
                request,
            };
            let run = follow::run(
                self.ctx.pool.clone(),
                subscription,
                self.outputs.events.clone(),
            );
            AbortOnDrop(tokio::spawn(run).abort_handle())
        };
        FollowedPeer {
            peer: peer.name.clone(),
            address: peer.address,
            _tasks: manifests.map(task).collect(),
        }
    }
}
