//! Forms of the documents and of their parts.

use crate::{Field, Shape, limits as l};

const NAME: Shape = Shape::Name(l::NAME_LENGTH);
const MODEL: Shape = Shape::Model(l::MODEL_LENGTH);
const DIGEST: Shape = Shape::Hex(l::DIGEST_LENGTH);

/// Form of a [`Class`](crate::Class).
pub const CLASS: Shape = Shape::Object(&[
    Field::required("name", NAME),
    Field::required("tier", Shape::Number(l::TIER)),
    Field::required("first_token_ms", Shape::Number(l::FIRST_TOKEN_MS)),
    Field::required("token_gap_ms", Shape::Number(l::TOKEN_GAP_MS)),
    Field::required("max_wait_ms", Shape::Number(l::MAX_WAIT_MS)),
    Field::optional("reserved_percent", Shape::Number(l::RESERVED_PERCENT)),
]);

/// Form of an [`Account`](crate::Account).
pub const ACCOUNT: Shape = Shape::Object(&[
    Field::required("name", NAME),
    Field::required("key_sha256", Shape::List(1, &DIGEST)),
    Field::required("default_class", NAME),
    Field::required("classes", Shape::List(1, &NAME)),
    Field::required("requests_per_s", Shape::Number(l::REQUESTS_PER_S)),
    Field::required("requests_in_flight", Shape::Number(l::REQUESTS_IN_FLIGHT)),
    Field::required("tokens_in_flight", Shape::Number(l::TOKENS_IN_FLIGHT)),
    Field::optional("weight", Shape::Number(l::WEIGHT)),
    Field::optional("tier", Shape::Number(l::RANK)),
]);

const HONOURS: Shape = Shape::Object(&[
    Field::optional("priority", Shape::Bool),
    Field::optional("resume", Shape::Bool),
    Field::optional("fencing", Shape::Bool),
]);

/// Form of an [`Upstream`](crate::Upstream).
pub const UPSTREAM: Shape = Shape::Object(&[
    Field::required("name", NAME),
    Field::required("kind", Shape::OneOf(&["model", "service"])),
    Field::required("address", Shape::Address),
    Field::required("region", NAME),
    Field::required("zone", NAME),
    Field::optional("models", Shape::List(0, &MODEL)),
    // Whether the text is a name is checked with the kind: it is empty for an engine.
    Field::optional("service", Shape::Text(0..=*l::NAME_LENGTH.end())),
    Field::required("slots", Shape::Number(l::SLOTS)),
    Field::optional("honours", HONOURS),
    Field::optional("state", Shape::OneOf(&["live", "leaving"])),
    Field::optional("engine", ENGINE),
    Field::optional("started_ms", Shape::Number(l::ANY)),
]);

const ENGINE: Shape = Shape::Object(&[Field::required(
    "cache_tokens",
    Shape::Number(l::CACHE_TOKENS),
)]);

const RULE: Shape = Shape::Object(&[
    Field::required(
        "method",
        Shape::OneOf(&["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
    ),
    Field::required("path_prefix", Shape::Text(l::PATH_LENGTH)),
]);

/// Form of a [`Service`](crate::Service).
pub const SERVICE: Shape = Shape::Object(&[
    Field::required("name", NAME),
    Field::required("answer_max_ms", Shape::Number(l::ANSWER_MAX_MS)),
    Field::optional("non_idempotent", Shape::List(0, &RULE)),
    Field::optional("engine", ENGINE),
]);

const SHARE: Shape = Shape::Object(&[
    Field::required("service", NAME),
    Field::required("weight", Shape::Number(l::SHARE_WEIGHT)),
]);

/// Form of a [`Route`](crate::Route).
pub const ROUTE: Shape = Shape::Object(&[
    Field::required("name", NAME),
    Field::required("host", Shape::Text(l::HOST_LENGTH)),
    Field::required("path_prefix", Shape::Text(l::PATH_LENGTH)),
    Field::required(
        "kind",
        Shape::OneOf(&["idempotent", "non_idempotent", "stream", "resumable_stream"]),
    ),
    Field::required("timeout_ms", Shape::Number(l::ANSWER_MAX_MS)),
    Field::required("target_ms", Shape::Number(l::ANSWER_MAX_MS)),
    Field::optional("event_gap_ms", Shape::Number(0..=*l::TOKEN_GAP_MS.end())),
    Field::required("tier", Shape::Number(l::RANK)),
    Field::required("attempts_max", Shape::Number(l::ATTEMPTS_MAX)),
    Field::optional("public", Shape::Bool),
    Field::required("shares", Shape::List(1, &SHARE)),
]);

const CALLER_LIMITS: Shape = Shape::Object(&[
    Field::required("header_max_bytes", Shape::Number(l::BODY_MAX_BYTES)),
    Field::required("body_max_bytes", Shape::Number(l::BODY_MAX_BYTES)),
    Field::required("header_max_ms", Shape::Number(l::RECEIVE_MAX_MS)),
    Field::required("idle_max_ms", Shape::Number(l::RECEIVE_MAX_MS)),
]);

/// Form of a [`Config`](crate::Config).
pub const CONFIG: Shape = Shape::Object(&[
    Field::required("version", Shape::Number(l::ANY)),
    Field::required("classes", Shape::List(0, &CLASS)),
    Field::required("accounts", Shape::List(0, &ACCOUNT)),
    Field::required("upstreams", Shape::List(0, &UPSTREAM)),
    Field::required("services", Shape::List(0, &SERVICE)),
    Field::optional("routes", Shape::List(0, &ROUTE)),
    Field::optional("caller_limits", CALLER_LIMITS),
]);

const PEER_KEY: Shape = Shape::Object(&[
    Field::required("id", Shape::Number(l::KEY_ID)),
    Field::required("secret_hex", Shape::Hex(l::SECRET_LENGTH)),
]);

const ZONE: Shape = Shape::Object(&[
    Field::required("zone", NAME),
    Field::required("region", NAME),
]);

/// Form of a [`Host`](crate::Host).
pub const HOST: Shape = Shape::Object(&[
    Field::required("name", NAME),
    Field::required("region", NAME),
    Field::required("zone", NAME),
    Field::required("listen", Shape::Address),
    Field::required("admin_listen", Shape::Address),
    Field::required("peer_listen", Shape::Address),
    Field::required("store", Shape::Address),
    Field::required("peer_keys", Shape::List(1, &PEER_KEY)),
    Field::optional("metrics_listen", Shape::Address),
    Field::optional("leaving_max_ms", Shape::Number(l::DRAIN_MAX_MS)),
    Field::optional("drain_min_ms", Shape::Number(l::DRAIN_MAX_MS)),
    Field::optional("stop_grace_s", Shape::Number(l::DRAIN_MAX_MS)),
    Field::optional("zones", Shape::List(0, &ZONE)),
    Field::optional("workers", Shape::Number(l::WORKERS)),
    Field::optional("body_max_bytes", Shape::Number(l::BODY_MAX_BYTES)),
    Field::optional("receive_max_ms", Shape::Number(l::RECEIVE_MAX_MS)),
    Field::optional("store_poll_ms", Shape::Number(l::STORE_POLL_MS)),
    Field::optional("drain_max_ms", Shape::Number(l::DRAIN_MAX_MS)),
    Field::optional(
        "cross_region_bytes_per_s",
        Shape::Number(l::CROSS_REGION_BYTES_PER_S),
    ),
]);
