use crate::digest::Digest;
use crate::host::chunks::ChunkCache;
use crate::platform::engine::Manifest;
use crate::weights::choice::{self, ChunkState};

fn manifest(version: u64) -> Manifest {
    Manifest {
        model: "m0".into(),
        version,
        chunk_size: 8,
        digests: vec![Digest::of(&version.to_le_bytes()); 4],
    }
}

/// While a version is fetched, three newer ones may become known and push it out of the
/// cache. The running fetch must notice that and not index chunks that are gone.
#[test]
fn version_dropped_during_its_fetch_has_all_chunks_missing() {
    let cache = ChunkCache::default();
    let fetched = cache.insert_manifest(manifest(1));
    for version in 2..=4 {
        cache.insert_manifest(manifest(version));
    }
    assert!(!cache.contains(&fetched));
    let missing = cache.missing(&fetched);
    let states = choice::states(4, &missing, [3].into_iter());
    assert_eq!(states[..3], [ChunkState::Missing; 3]);
    assert_eq!(states[3], ChunkState::InFlight);
}
