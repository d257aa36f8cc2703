//! Forms of the documents and of their parts.

use crate::{Field, Schema, limits as l};

const NAME: Schema = Schema::Name(l::NAME_LENGTH);
const MODEL: Schema = Schema::Model(l::MODEL_LENGTH);
const DIGEST: Schema = Schema::Hex(l::DIGEST_LENGTH);

/// Form of a [`Class`](crate::Class).
pub const CLASS: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("tier", Schema::Number(l::TIER)),
    Field::required("first_token_ms", Schema::Number(l::FIRST_TOKEN_MS)),
    Field::required("token_gap_ms", Schema::Number(l::TOKEN_GAP_MS)),
    Field::required("max_wait_ms", Schema::Number(l::MAX_WAIT_MS)),
    Field::optional("reserved_percent", Schema::Number(l::RESERVED_PERCENT)),
]);

/// Form of an [`Account`](crate::Account).
pub const ACCOUNT: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("key_sha256", Schema::List(1, &DIGEST)),
    Field::required("default_class", NAME),
    Field::required("classes", Schema::List(1, &NAME)),
    Field::required("requests_per_s", Schema::Number(l::REQUESTS_PER_S)),
    Field::required("requests_in_flight", Schema::Number(l::REQUESTS_IN_FLIGHT)),
    Field::required("tokens_in_flight", Schema::Number(l::TOKENS_IN_FLIGHT)),
    Field::optional("weight", Schema::Number(l::WEIGHT)),
    Field::optional("tier", Schema::Number(l::RANK)),
]);

const HONOURS: Schema = Schema::Object(&[
    Field::optional("priority", Schema::Bool),
    Field::optional("resume", Schema::Bool),
    Field::optional("fencing", Schema::Bool),
]);

/// Form of an [`Upstream`](crate::Upstream).
pub const UPSTREAM: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("kind", Schema::OneOf(&["model", "service"])),
    Field::required("address", Schema::Address),
    Field::required("region", NAME),
    Field::required("zone", NAME),
    Field::optional("models", Schema::List(0, &MODEL)),
    // Whether the text is a name is checked with the kind: it is empty for an engine.
    Field::optional("service", Schema::Text(0..=*l::NAME_LENGTH.end())),
    Field::required("slots", Schema::Number(l::SLOTS)),
    Field::optional("honours", HONOURS),
    Field::optional("state", Schema::OneOf(&["live", "leaving"])),
    Field::optional("engine", ENGINE),
    Field::optional("started_ms", Schema::Number(l::ANY)),
]);

const ENGINE: Schema = Schema::Object(&[Field::required(
    "cache_tokens",
    Schema::Number(l::CACHE_TOKENS),
)]);

const REQUEST_MATCHER: Schema = Schema::Object(&[
    Field::required(
        "method",
        Schema::OneOf(&["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
    ),
    Field::required("path_prefix", Schema::Text(l::PATH_LENGTH)),
]);

/// Form of a [`Service`](crate::Service).
pub const SERVICE: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("answer_max_ms", Schema::Number(l::ANSWER_MAX_MS)),
    Field::optional("non_idempotent", Schema::List(0, &REQUEST_MATCHER)),
    Field::optional("engine", ENGINE),
]);

const SHARE: Schema = Schema::Object(&[
    Field::required("service", NAME),
    Field::required("weight", Schema::Number(l::SHARE_WEIGHT)),
]);

/// Form of a [`Route`](crate::Route).
pub const ROUTE: Schema = Schema::Object(&[
    Field::required("name", NAME),
    Field::required("host", Schema::Text(l::HOST_LENGTH)),
    Field::required("path_prefix", Schema::Text(l::PATH_LENGTH)),
    Field::required(
        "kind",
        Schema::OneOf(&["idempotent", "non_idempotent", "stream", "resumable_stream"]),
    ),
    Field::required("timeout_ms", Schema::Number(l::ANSWER_MAX_MS)),
    Field::required("target_ms", Schema::Number(l::ANSWER_MAX_MS)),
    Field::optional("event_gap_ms", Schema::Number(0..=*l::TOKEN_GAP_MS.end())),
    Field::required("tier", Schema::Number(l::RANK)),
    Field::required("attempts_max", Schema::Number(l::ATTEMPTS_MAX)),
    Field::optional("public", Schema::Bool),
    Field::required("shares", Schema::List(1, &SHARE)),
]);

const CALLER_LIMITS: Schema = Schema::Object(&[
    Field::required("header_max_bytes", Schema::Number(l::BODY_MAX_BYTES)),
    Field::required("body_max_bytes", Schema::Number(l::BODY_MAX_BYTES)),
    Field::required("header_max_ms", Schema::Number(l::RECEIVE_MAX_MS)),
    Field::required("idle_max_ms", Schema::Number(l::RECEIVE_MAX_MS)),
]);

/// Form of a [`Config`](crate::Config).
pub const CONFIG: Schema = Schema::Object(&[
    Field::required("version", Schema::Number(l::ANY)),
    Field::required("classes", Schema::List(0, &CLASS)),
    Field::required("accounts", Schema::List(0, &ACCOUNT)),
    Field::required("upstreams", Schema::List(0, &UPSTREAM)),
    Field::required("services", Schema::List(0, &SERVICE)),
    Field::optional("routes", Schema::List(0, &ROUTE)),
    Field::optional("caller_limits", CALLER_LIMITS),
]);

const PEER_KEY: Schema = Schema::Object(&[
    Field::required("id", Schema::Number(l::KEY_ID)),
    Field::required("secret_hex", Schema::Hex(l::SECRET_LENGTH)),
]);

const ZONE: Schema = Schema::Object(&[
    Field::required("zone", NAME),
    Field::required("region", NAME),
]);

/// Form of a [`Host`](crate::Host).
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
    Field::optional("leaving_max_ms", Schema::Number(l::DRAIN_MAX_MS)),
    Field::optional("drain_min_ms", Schema::Number(l::DRAIN_MAX_MS)),
    Field::optional("stop_grace_s", Schema::Number(l::DRAIN_MAX_MS)),
    Field::optional("zones", Schema::List(0, &ZONE)),
    Field::optional("workers", Schema::Number(l::WORKERS)),
    Field::optional("body_max_bytes", Schema::Number(l::BODY_MAX_BYTES)),
    Field::optional("receive_max_ms", Schema::Number(l::RECEIVE_MAX_MS)),
    Field::optional("store_poll_ms", Schema::Number(l::STORE_POLL_MS)),
    Field::optional("drain_max_ms", Schema::Number(l::DRAIN_MAX_MS)),
    Field::optional(
        "cross_region_bytes_per_s",
        Schema::Number(l::CROSS_REGION_BYTES_PER_S),
    ),
]);
