//! Stages chunks on the target and verifies them there.

use std::time::Duration;

use futures_util::future;
use log::{info, warn};

use crate::clock::Clock;
use crate::clock::Moment;
use crate::host::Host;
use crate::host::proof::Proof;
use crate::platform::engine::{self, Manifest};

/// Timeout for storing or reading a chunk in the target's staging area on this VM.
const STAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections over which chunks are read back at the same time.
const READERS: usize = 8;
/// Rounds of reads after which a version is loaded although they take too long to be current.
const MAX_ROUNDS: usize = 6;

impl<C: Clock> Host<C> {
    /// Copies all chunks into the target's staging area. Returns whether that succeeded.
    pub(super) async fn stage(&self, manifest: &Manifest) -> bool {
        for index in 0..manifest.digests.len() {
            if !self.stage_chunk(manifest, index).await {
                return false;
            }
        }
        true
    }

    async fn stage_chunk(&self, manifest: &Manifest, index: usize) -> bool {
        let data = self.chunks.get(&manifest.model, manifest.version, index);
        let Some(data) = data else { return false };
        let staged = engine::stage_chunk(self.target, &manifest.model, index, data, STAGE_TIMEOUT);
        match staged.await {
            Ok(()) => true,
            Err(e) => {
                let reason = e.to_string();
                warn!(version = manifest.version, index, reason = reason.as_str(); "chunk not staged");
                false
            }
        }
    }

    /// Reads the staged chunks back until `proof` is current, and stages those again that are
    /// damaged or unreadable. Returns whether all chunks are in place.
    pub(super) async fn verify_staged(&self, manifest: &Manifest, proof: &mut Proof) -> bool {
        let started = self.clock.now();
        let mut stale = proof.stale(Moment::of(&self.clock));
        let (mut rounds, mut reads) = (0, 0);
        while !stale.is_empty() && rounds < MAX_ROUNDS {
            rounds += 1;
            reads += stale.len();
            let shares = stale.chunks(stale.len().div_ceil(READERS));
            let shares = shares.map(|indexes| self.verify_chunks(manifest, indexes));
            for result in future::join_all(shares).await {
                let Some(checks) = result else { return false };
                for (index, asked) in checks {
                    match asked {
                        Some(asked) => proof.record(index, asked),
                        None => proof.reject(index),
                    }
                }
            }
            stale = proof.stale(Moment::of(&self.clock));
        }
        let version = manifest.version;
        if !stale.is_empty() {
            let age = proof.age(Moment::of(&self.clock));
            let ms = age.map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX));
            warn!(version, reads, age = ms; "staged chunks are not read back in time");
            return age.is_some();
        }
        if rounds > 0 {
            let took = self.clock.now().saturating_duration_since(started);
            let ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
            info!(version, rounds, reads, ms; "staged chunks verified");
        }
        true
    }

    /// Reads chunks back one after the other. Returns when each was requested, or `None` for those
    /// that had to be staged again; `None` if that failed.
    async fn verify_chunks(
        &self,
        manifest: &Manifest,
        indexes: &[usize],
    ) -> Option<Vec<(usize, Option<Moment>)>> {
        let mut reader = engine::StageReader::new(self.target);
        let mut checks = Vec::with_capacity(indexes.len());
        for &index in indexes {
            let asked = Moment::of(&self.clock);
            let chunk = (index, &manifest.digests[index]);
            let read = reader.is_sound(&manifest.model, chunk, STAGE_TIMEOUT).await;
            let is_sound = read.is_ok_and(|is_sound| is_sound);
            if !is_sound {
                warn!(version = manifest.version, index; "staged chunk invalid, staging it again");
                if !self.stage_chunk(manifest, index).await {
                    return None;
                }
            }
            checks.push((index, is_sound.then_some(asked)));
        }
        Some(checks)
    }
}
