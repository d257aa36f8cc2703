//! Small deployment: the store with a configuration, servers, and requests of its clients.

use emulator::{RowKey, Store, StoreSpec};
use eyre::Result;
use serde_json::{Value, json};

/// Host name of all routes.
pub const HOST: &str = "ficu95.example";
/// Key of the only tenant.
pub const API_KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Service of the model servers.
pub const ENGINES: &str = "asistente-grifo";
/// Service of the inventory.
pub const INVENTORY: &str = "inventario-comun";

/// Starts the store with the configuration.
pub async fn start_store() -> Result<Store> {
    let store = Store::start(StoreSpec::default()).await?;
    store.put(&RowKey::new("op", "config"), &config(7));
    Ok(store)
}

fn config(version: u64) -> Value {
    let stream = |name: &str, timeout_ms: u64, aim_ms: u64, gap_ms: u64, priority: u64| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": "streaming",
            "timeout_ms": timeout_ms, "target_latency_ms": aim_ms, "priority": priority,
            "service": ENGINES, "max_attempts": 1, "public": false, "session_affinity": true,
            "stream_resume": false, "gap_aim_ms": gap_ms,
        })
    };
    let plain = |name: &str, kind: &str, attempts: u64| {
        json!({
            "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 1_200, "target_latency_ms": 200, "priority": 2, "service": INVENTORY,
            "max_attempts": attempts, "public": false,
        })
    };
    json!({
        "version": version,
        "routes": [
            stream("catalogo-cruzado", 15_000, 2_500, 800, 2),
            stream("ficha-tecnica", 8_000, 800, 300, 1),
            stream("foto-goteo", 15_000, 500, 200, 0),
            stream("manual-digest", 8_000, 2_000, 1_000, 2),
            plain("reserva-stock", "non_idempotent", 1),
            plain("consulta-stock", "idempotent", 2),
        ],
        "services": [
            {"name": ENGINES, "health_path": "/healthz", "max_connections": 360, "protocol": "h1",
             "tls": false, "engine": {"slots": 12, "kv_capacity_tokens": 609_782,
             "kv_token_bytes": 327_680, "models": [{"name": "m"}]}},
            {"name": INVENTORY, "health_path": "/healthz", "max_connections": 96,
             "protocol": "h1", "tls": false},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "hule930", "api_keys": [API_KEY], "priority": 1}],
    })
}

/// Returns the head of a request to the model servers with a body of a given length.
///
/// `work` is what its server does: `57x230` is a stream of 57 events, 230 ms apart.
pub fn stream_head(
    route: &str,
    work: &str,
    id: &str,
    deadline_ms: u64,
    body_bytes: usize,
) -> String {
    let part = id.bytes().fold(0x9e37_u32, |hash, byte| {
        hash.wrapping_mul(31) ^ u32::from(byte)
    });
    format!(
        "POST /{route}/{work} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 1460,171\r\nPrompt-Prefix: 5c1e07a2:350,{part:08x}:1110\r\n\
         Deadline-Ms: {deadline_ms}\r\nApi-Key: {API_KEY}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

/// Returns a request to the inventory.
pub fn plain_request(route: &str, id: &str) -> String {
    let (method, body) = if route == "reserva-stock" {
        ("POST", "one cartridge")
    } else {
        ("GET", "")
    };
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} /{route}/15 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 1200\r\nApi-Key: {API_KEY}\r\n{length}\r\n{body}"
    )
}
