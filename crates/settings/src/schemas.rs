//! Schemas of host settings, the fleet configuration and its items.

use crate::{Field, Schema, limits};

const NAME: Schema = Schema::Name(limits::NAME_LENGTH);
const MODEL: Schema = Schema::Model(limits::MODEL_LENGTH);
const DIGEST: Schema = Schema::Hex(limits::DIGEST_LENGTH);

/// Schema of a [`Class`](crate::Class).
pub const CLASS: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("tier", Schema::Number(limits::TIER)),
    Field::required("first_token_ms", Schema::Number(limits::FIRST_TOKEN_MS)),
    Field::required("token_gap_ms", Schema::Number(limits::TOKEN_GAP_MS)),
    Field::required("max_wait_ms", Schema::Number(limits::MAX_WAIT_MS)),
    Field::optional("reserved_percent", Schema::Number(limits::RESERVED_PERCENT)),
]);

/// Schema of an [`Account`](crate::Account).
pub const ACCOUNT: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("key_sha256", Schema::List(1, &DIGEST)),
    Field::required("default_class", NAME),
    Field::required("classes", Schema::List(1, &NAME)),
    Field::required("requests_per_s", Schema::Number(limits::REQUESTS_PER_S)),
    Field::required(
        "requests_in_flight",
        Schema::Number(limits::REQUESTS_IN_FLIGHT),
    ),
    Field::required("tokens_in_flight", Schema::Number(limits::TOKENS_IN_FLIGHT)),
    Field::optional("weight", Schema::Number(limits::WEIGHT)),
    Field::optional("tier", Schema::Number(limits::ENGINE_PRIORITY)),
]);

const HONOURS: Schema = Schema::Object(&[
    Field::optional("priority", Schema::Bool),
    Field::optional("resume", Schema::Bool),
    Field::optional("fencing", Schema::Bool),
]);

/// Schema of an [`Upstream`](crate::Upstream).
pub const UPSTREAM: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("kind", Schema::OneOf(&["model", "service"])),
    Field::required("address", Schema::Address),
    Field::required("region", NAME),
    Field::required("zone", NAME),
    Field::optional("models", Schema::List(0, &MODEL)),
    // The rules check with the kind whether this is the name of a service; it is empty for engines.
    Field::optional("service", Schema::Text(0..=*limits::NAME_LENGTH.end())),
    Field::required("slots", Schema::Number(limits::SLOTS)),
    Field::optional("honours", HONOURS),
    Field::optional("state", Schema::OneOf(&["live", "leaving"])),
    Field::optional("engine", ENGINE),
    Field::optional("started_ms", Schema::Number(limits::SAFE_INTEGER)),
    Field::optional("reclaimable", Schema::Bool),
]);

const ENGINE: Schema = Schema::Object(&[
    Field::required("cache_tokens", Schema::Number(limits::CACHE_TOKENS)),
    Field::optional(
        "cache_token_bytes",
        Schema::Number(limits::CACHE_TOKEN_BYTES),
    ),
    Field::optional("link_mbps", Schema::Number(limits::LINK_MBPS)),
]);

const REQUEST_MATCHER: Schema = Schema::Object(&[
    Field::required(
        "method",
        Schema::OneOf(&["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
    ),
    Field::required("path_prefix", Schema::Text(limits::PATH_LENGTH)),
]);

/// Schema of a [`Service`](crate::Service).
pub const SERVICE: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("answer_max_ms", Schema::Number(limits::ANSWER_MAX_MS)),
    Field::optional("non_idempotent", Schema::List(0, &REQUEST_MATCHER)),
    Field::optional("engine", ENGINE),
    Field::optional("autoscaling", AUTOSCALING),
]);

const ZONE_PRICE: Schema = Schema::Object(&[
    Field::required("zone", Schema::Text(limits::PLATFORM_NAME_LENGTH)),
    Field::required("price_permille", Schema::Number(limits::PRICE_PERMILLE)),
]);

/// Schema of [`Autoscaling`](crate::Autoscaling).
pub const AUTOSCALING: Schema = Schema::Object(&[
    Field::required("upstreams_min", Schema::Number(limits::UPSTREAMS_MIN)),
    Field::required("upstreams_max", Schema::Number(limits::UPSTREAMS_MAX)),
    Field::required("start_ms", Schema::Number(limits::UPSTREAM_START_MS)),
    Field::required(
        "reclaimable_price_permille",
        Schema::Number(limits::RECLAIMABLE_PRICE_PERMILLE),
    ),
    Field::required("zones", Schema::List(1, &ZONE_PRICE)),
]);

const SHARE: Schema = Schema::Object(&[
    Field::required("service", NAME),
    Field::required("weight", Schema::Number(limits::SHARE_WEIGHT)),
]);

/// Schema of a [`Route`](crate::Route).
pub const ROUTE: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("host", Schema::Text(limits::HOST_LENGTH)),
    Field::required("path_prefix", Schema::Text(limits::PATH_LENGTH)),
    Field::required(
        "kind",
        Schema::OneOf(&["idempotent", "non_idempotent", "stream", "resumable_stream"]),
    ),
    Field::required("timeout_ms", Schema::Number(limits::ANSWER_MAX_MS)),
    Field::required("target_ms", Schema::Number(limits::ANSWER_MAX_MS)),
    Field::optional(
        "event_gap_ms",
        Schema::Number(0..=*limits::TOKEN_GAP_MS.end()),
    ),
    Field::required("tier", Schema::Number(limits::ENGINE_PRIORITY)),
    Field::required("attempts_max", Schema::Number(limits::ATTEMPTS_MAX)),
    Field::optional("public", Schema::Bool),
    Field::required("shares", Schema::List(1, &SHARE)),
]);

const CALLER_LIMITS: Schema = Schema::Object(&[
    Field::required("header_max_bytes", Schema::Number(limits::BODY_MAX_BYTES)),
    Field::required("body_max_bytes", Schema::Number(limits::BODY_MAX_BYTES)),
    Field::required("header_max_ms", Schema::Number(limits::RECEIVE_MAX_MS)),
    Field::required("idle_max_ms", Schema::Number(limits::RECEIVE_MAX_MS)),
]);

/// Schema of a [`Config`](crate::Config).
pub const CONFIG: Schema = Schema::Object(&[
    Field::required("version", Schema::Number(limits::SAFE_INTEGER)),
    Field::required("classes", Schema::List(0, &CLASS)),
    Field::required("accounts", Schema::List(0, &ACCOUNT)),
    Field::required("upstreams", Schema::List(0, &UPSTREAM)),
    Field::required("services", Schema::List(0, &SERVICE)),
    Field::optional("routes", Schema::List(0, &ROUTE)),
    Field::optional("caller_limits", CALLER_LIMITS),
]);

const PEER_KEY: Schema = Schema::Object(&[
    Field::required("id", Schema::Number(limits::KEY_ID)),
    Field::required("secret_hex", Schema::Hex(limits::SECRET_LENGTH)),
]);

const ZONE: Schema = Schema::Object(&[
    Field::required("zone", NAME),
    Field::required("region", NAME),
]);

const USAGE_WINDOWS: Schema = Schema::Object(&[
    Field::required("window_s", Schema::Number(limits::WINDOW_S)),
    Field::required("late_s", Schema::Number(limits::WINDOW_S)),
    Field::required("tolerance", Schema::Decimal(limits::TOLERANCE)),
]);

const DUTY: Schema = Schema::OneOf(&["usage_report", "autoscale"]);

const DUTIES: Schema = Schema::Object(&[
    Field::required("address", Schema::Address),
    Field::required("kinds", Schema::List(1, &DUTY)),
    Field::required("calls_per_s", Schema::Decimal(limits::CALLS_PER_S)),
    Field::required("lease_ms", Schema::Number(limits::LEASE_MS)),
    Field::optional("thaw_ms", Schema::Number(limits::THAW_MS)),
    Field::optional("checks_tokens", Schema::Bool),
    Field::optional("usage", USAGE_WINDOWS),
]);

/// Schema of a [`Host`](crate::Host).
pub const HOST: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("region", NAME),
    Field::required("zone", NAME),
    Field::required("listen", Schema::Address),
    Field::required("admin_listen", Schema::Address),
    Field::required("peer_listen", Schema::Address),
    Field::required("store", Schema::Address),
    Field::required("peer_keys", Schema::List(1, &PEER_KEY)),
    Field::optional("metrics_listen", Schema::Address),
    Field::optional("leaving_max_ms", Schema::Number(limits::DRAIN_MAX_MS)),
    Field::optional("config_max_ms", Schema::Number(limits::DRAIN_MAX_MS)),
    Field::optional("drain_min_ms", Schema::Number(limits::DRAIN_MAX_MS)),
    Field::optional("stop_grace_s", Schema::Number(limits::DRAIN_MAX_MS)),
    Field::optional("zones", Schema::List(0, &ZONE)),
    Field::optional("workers", Schema::Number(limits::WORKERS)),
    Field::optional("body_max_bytes", Schema::Number(limits::BODY_MAX_BYTES)),
    Field::optional("receive_max_ms", Schema::Number(limits::RECEIVE_MAX_MS)),
    Field::optional("memory_max_mb", Schema::Number(limits::MEMORY_MAX_MB)),
    Field::optional("descriptors_max", Schema::Number(limits::DESCRIPTORS)),
    Field::optional("descriptors_reserved", Schema::Number(limits::DESCRIPTORS)),
    Field::optional(
        "caller_min_bytes_per_s",
        Schema::Number(limits::CALLER_BYTES_PER_S),
    ),
    Field::optional("caller_window_ms", Schema::Number(limits::CALLER_WINDOW_MS)),
    Field::optional("store_poll_ms", Schema::Number(limits::STORE_POLL_MS)),
    Field::optional("drain_max_ms", Schema::Number(limits::DRAIN_MAX_MS)),
    Field::optional(
        "cross_region_bytes_per_s",
        Schema::Number(limits::CROSS_REGION_BYTES_PER_S),
    ),
    Field::optional("duties", DUTIES),
]);
