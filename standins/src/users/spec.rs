//! Objects that the operator and the targets write to the simulated store.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Name of the service whose targets are model engines.
const ENGINE_SERVICE: &str = "llm";

/// Returns the `spec` of a configuration with a model service `llm`, a plain service `desk`
/// and the origin of weights at `origin`.
#[must_use]
pub fn config_spec(version: u64, origin: SocketAddr, chunks: usize) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": "a.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 400, "priority": 1, "service": service,
            "max_attempts": attempts, "public": false, "stream_resume": kind == "streaming",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("plan", "/plan/", "streaming", "llm", 2),
            route("book", "/book/", "unsafe", "desk", 1),
            route("check", "/check/", "safe", "desk", 2),
        ],
        "services": [
            {"name": "llm", "max_connections": 100, "engine": {
                "slots": 4, "step_ms": 7.0, "per_seq_ms": 0.02, "read_per_s": 30000.0,
                "usual": {"prompt": 100, "answer": 10}, "layers": 16, "chunks": chunks,
                "models": [{"name": "m0", "warm_s": 0.1}],
            }},
            {"name": "desk", "max_connections": 100},
            {"name": "weights", "origin": origin, "max_connections": 100},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "rounds", "api_keys": ["key-1"], "priority": 1}],
    })
}

/// Returns the `spec` of a target's object in the store.
#[must_use]
pub fn target_spec(service: &str, address: SocketAddr, version: u64) -> Value {
    let models = if version == 0 {
        json!([])
    } else {
        json!([{"name": "m0", "version": version, "adapters": []}])
    };
    let mut spec = json!({"service": service, "address": address, "zone": "z-a", "slots": 4,
        "state": "ready", "sequence": 1, "born": 1});
    if service == ENGINE_SERVICE {
        spec["models"] = models;
    }
    spec
}
