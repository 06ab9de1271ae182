//! Subscriptions to what peers hold.

use std::sync::Arc;
use std::time::Instant;

use super::{Swarm, Task};
use crate::clock::Clock;
use crate::control::pb;
use crate::resource::{Object, model};
use crate::weights::follow;

#[derive(Debug)]
pub(super) struct Followed {
    peer: String,
    address: std::net::SocketAddr,
    _tasks: Vec<Task>,
}

impl<C: Clock> Swarm<C> {
    /// Follows the peers of the plan while chunks are missing.
    pub(super) fn follow(&mut self, complete: bool, now: Instant) {
        if complete {
            self.followed.clear();
            return;
        }
        let plan = &self.plan;
        let is_current = |f: &Followed| {
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

    fn subscribe(&self, index: usize) -> Followed {
        let peer = &self.plan.peers[index];
        let parts = self.wanted.iter().flat_map(|w| &w.manifests).enumerate();
        let task = |(part, manifest): (usize, &Arc<Object<model::Model>>)| {
            let request = pb::HaveRequest {
                model: manifest.spec.model.clone(),
                version: manifest.spec.version.clone(),
                vm: self.ctx.settings.vm.clone(),
            };
            let subscription = follow::Subscription {
                epoch: self.epoch,
                peer: peer.name.clone(),
                address: peer.address,
                part,
                request,
            };
            let run = follow::run(
                self.ctx.pool.clone(),
                subscription,
                self.outputs.events.clone(),
            );
            Task(tokio::spawn(run).abort_handle())
        };
        Followed {
            peer: peer.name.clone(),
            address: peer.address,
            _tasks: parts.map(task).collect(),
        }
    }
}
