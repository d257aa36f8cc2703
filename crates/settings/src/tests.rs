//! Tests of the parsing and validation of settings and configurations.

use serde_json::{Value, json};

use crate::{Config, Host, Problem, hash_api_key};

fn host() -> Value {
    json!({
        "name": "entry-1", "region": "costa", "zone": "costa-norte",
        "listen": "127.0.0.1:8080", "admin_listen": "127.0.0.1:8081",
        "peer_listen": "127.0.0.1:8082", "store": "127.0.0.1:9000",
        "body_max_bytes": 30_000_000, "descriptors_reserved": 64,
        "peer_keys": [{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}],
    })
}

fn config() -> Value {
    json!({
        "version": 1,
        "classes": [
            {"name": "urgent", "tier": 0, "first_token_ms": 790, "token_gap_ms": 33,
                "max_wait_ms": 5_000, "reserved_percent": 10},
            {"name": "bulk", "tier": 2, "first_token_ms": 9_000, "token_gap_ms": 90,
                "max_wait_ms": 5_000},
        ],
        "accounts": [
            {"name": "a", "key_sha256": [hash_api_key("a")], "default_class": "urgent",
                "classes": ["urgent"], "requests_per_s": 9, "requests_in_flight": 9,
                "tokens_in_flight": 9},
            {"name": "b", "key_sha256": [hash_api_key("b")], "default_class": "bulk",
                "classes": ["bulk", "urgent"], "requests_per_s": 9, "requests_in_flight": 9,
                "tokens_in_flight": 9},
        ],
        "upstreams": [
            {"name": "engine-1", "kind": "model", "address": "127.0.0.1:9100", "region": "costa",
                "zone": "costa-norte", "models": ["m", "n"], "slots": 8},
            {"name": "parts-1", "kind": "service", "address": "127.0.0.1:9200",
                "region": "costa", "zone": "costa-norte", "service": "parts", "slots": 8},
        ],
        "services": [{"name": "parts", "answer_max_ms": 5_000,
            "non_idempotent": [{"method": "POST", "path_prefix": "/orders"}],
            "autoscaling": {"upstreams_min": 1, "upstreams_max": 48, "start_ms": 4_000,
                "reclaimable_price_permille": 180,
                "zones": [{"zone": "costa-norte", "price_permille": 1_000},
                    {"zone": "costa-sur", "price_permille": 800}]}}],
    })
}

/// One case a line: name, JSON pointer of the edit, new value (null removes the key), path of the
/// expected error, part of its message.
const HOST_CASES: &str = r#"
unknown key | /lisen | 1 | lisen | did you mean "listen"
far key | /quota | 1 | quota | unknown key
missing | /zone | null | zone | missing
type | /workers | true | workers | from 1 to 256, found true
unit | /drain_max_ms | "2s" | drain_max_ms | whole number of milliseconds
fraction | /receive_max_ms | 0.5 | receive_max_ms | milliseconds
range | /store_poll_ms | 5001 | store_poll_ms | from 1 to 5000
bytes | /body_max_bytes | 1 | body_max_bytes | of bytes from 1024
negative | /cross_region_bytes_per_s | -1 | cross_region_bytes_per_s | bytes a second
address | /store | "localhost:9" | store | IP address and port
no port | /listen | "127.0.0.1" | listen | IP address and port
name | /name | "Entry 1" | name | lower-case letters
long name | /name | "eeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeee" | name | found 64 characters
equal | /peer_listen | "127.0.0.1:8081" | peer_listen | address of admin_listen
store | /store | "127.0.0.1:8080" | store | address of listen
no key | /peer_keys | [] | peer_keys | at least 1
short key | /peer_keys/0/secret_hex | "00ff" | peer_keys[0].secret_hex | 32 to 128
half byte | /peer_keys/0/secret_hex | "000000000000000000000000000000000" | peer_keys[0].secret_hex | hexadecimal
no hex | /peer_keys/0/secret_hex | "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" | peer_keys[0].secret_hex | hexadecimal
id | /peer_keys/0/id | 256 | peer_keys[0].id | from 0 to 255
memory | /memory_max_mb | 47 | memory_max_mb | from 48
descriptors | /descriptors_max | 15 | descriptors_max | from 16
slow | /caller_min_bytes_per_s | 6251 | caller_min_bytes_per_s | from 1 to 6250
short window | /caller_window_ms | 4999 | caller_window_ms | from 5000
large body | /memory_max_mb | 64 | body_max_bytes | room for bodies of up to 20000000 bytes
no descriptors | /descriptors_max | 64 | descriptors_reserved | none of descriptors_max 64
repeated id | /peer_keys | [{"id": 1, "secret_hex": "00000000000000000000000000000000"}, {"id": 1, "secret_hex": "11111111111111111111111111111111"}] | peer_keys[1].id | already the id of peer_keys[0]
"#;

fn host_with_duties() -> Value {
    let mut host = host();
    host["duties"] = json!({
        "address": "127.0.0.1:9100", "kinds": ["usage_report", "autoscale"],
        "calls_per_s": 50.0, "lease_ms": 3_000, "thaw_ms": 300, "checks_tokens": false,
        "usage": {"window_s": 5, "late_s": 10, "tolerance": 0.05},
    });
    host
}

/// Cases for singleton duties, as [`HOST_CASES`].
const DUTIES_CASES: &str = r#"
none | /duties/kinds | [] | duties.kinds | at least 1
unknown | /duties/kinds/1 | "autoscael" | duties.kinds[1] | usage_report, autoscale
twice | /duties/kinds/1 | "usage_report" | duties.kinds[1] | listed twice
address | /duties/address | 9100 | duties.address | IP address and port
no windows | /duties/usage | null | duties.usage | needs the windows
window | /duties/usage/window_s | 0 | duties.usage.window_s | from 1
tolerance | /duties/usage/tolerance | 1.5 | duties.usage.tolerance | a number from 0 to 1
rate | /duties/calls_per_s | 0 | duties.calls_per_s | a number from 0.01
short lease | /duties/lease_ms | 100 | duties.lease_ms | milliseconds from 500
late | /duties/usage/late_s | 1 | duties.usage.late_s | at least the
misspelt | /duties/leas_ms | 1 | duties.leas_ms | "lease_ms"
"#;

/// Cases for the configuration, as [`HOST_CASES`].
const CONFIG_CASES: &str = r#"
tier | /classes/0/tier | 3 | classes[0].tier | from 0 to 2
target | /classes/0/first_token_ms | 0 | classes[0].first_token_ms | from 1
misspelt | /classes/0/teir | 1 | classes[0].teir | "tier"
reserved | /classes/1/reserved_percent | 85 | classes | is 95, at most 90
repeated class | /classes/1/name | "urgent" | classes[1].name | already the name
digest | /accounts/0/key_sha256/0 | "ab" | accounts[0].key_sha256[0] | 64
no digest | /accounts/0/key_sha256 | [] | accounts[0].key_sha256 | at least 1
shared key | /accounts/1/key_sha256/0 | "CA978112CA1BBDCAFAC231B39A23DC4DA786EFF8147C4E72B9807785AFEE48BB" | accounts[1].key_sha256[0] | key of account "a"
unknown class | /accounts/1/classes/0 | "fast" | accounts[1].classes[0] | does not exist
class twice | /accounts/1/classes/0 | "urgent" | accounts[1].classes[1] | listed twice
closed default | /accounts/0/default_class | "bulk" | accounts[0].default_class | not in
weight | /accounts/0/weight | 0 | accounts[0].weight | from 1 to 1000
rate | /accounts/0/requests_per_s | "9/s" | accounts[0].requests_per_s | a second
kind | /upstreams/0/kind | "engine" | upstreams[0].kind | model, service
unsorted | /upstreams/0/models | ["n", "m"] | upstreams[0].models | sorted
no models | /upstreams/0/models | [] | upstreams[0].models | at least one model
alias | /upstreams/0/models/0 | "m@urgent" | upstreams[0].models[0] | '@'
both | /upstreams/0/service | "parts" | upstreams[0].service | names no service
unknown service | /upstreams/1/service | "bills" | upstreams[1].service | does not exist
no upstream | /upstreams/1/service | "bills" | services[0] | no upstream provides
no service | /upstreams/1/service | null | upstreams[1].service | names its service
models | /upstreams/1/models | ["m"] | upstreams[1].models | serves no models
equal | /upstreams/1/address | "127.0.0.1:9100" | upstreams[1].address | address of
slots | /upstreams/0/slots | 0 | upstreams[0].slots | from 1 to 65536
honours | /upstreams/0/honours | {"priorty": true} | upstreams[0].honours.priorty | "priority"
state | /upstreams/0/state | "gone" | upstreams[0].state | live, leaving
method | /services/0/non_idempotent/0/method | "post" | services[0].non_idempotent[0].method | POST
path | /services/0/non_idempotent/0/path_prefix | "x" | services[0].non_idempotent[0].path_prefix | '/'
upstreams | /services/0/autoscaling/upstreams_min | 49 | services[0].autoscaling.upstreams_min | more than upstreams_max, which is 48
too many | /services/0/autoscaling/upstreams_max | 10001 | services[0].autoscaling.upstreams_max | from 1 to 10000
overflow | /services/0/autoscaling/upstreams_max | 18446744073709551616 | services[0].autoscaling.upstreams_max | from 1 to 10000
price | /services/0/autoscaling/zones/0/price_permille | -1 | services[0].autoscaling.zones[0].price_permille | from 0
free | /services/0/autoscaling/reclaimable_price_permille | 0 | services[0].autoscaling.reclaimable_price_permille | from 1 to 1000
dearer | /services/0/autoscaling/reclaimable_price_permille | 1001 | services[0].autoscaling.reclaimable_price_permille | from 1 to 1000
no zone | /services/0/autoscaling/zones | [] | services[0].autoscaling.zones | at least 1
zone twice | /services/0/autoscaling/zones/1/zone | "costa-norte" | services[0].autoscaling.zones[1].zone | already zones[0]
reclaimable | /upstreams/0/reclaimable | "yes" | upstreams[0].reclaimable | true or false
"#;

/// Checks that each edit of a valid document causes the expected error at the right line.
fn check_cases(base: &Value, check: fn(&str) -> Vec<Problem>, cases: &str) {
    assert_eq!(check(&base.to_string()), [], "unedited");
    for line in cases.trim().lines() {
        let cells: Vec<&str> = line.split(" | ").collect();
        let [name, pointer, value, path, message] = cells[..] else {
            panic!("{line}");
        };
        let value: Value = serde_json::from_str(value).unwrap();
        let mut edited = base.clone();
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        match edited.pointer_mut(parent).unwrap() {
            Value::Object(object) if value.is_null() => drop(object.remove(key)),
            parent => match key.parse::<usize>() {
                Ok(index) => parent[index] = value.clone(),
                Err(_) => parent[key] = value.clone(),
            },
        }
        // Every key is on a line of its own, so that the line of the error can be checked.
        let text = serde_json::to_string_pretty(&edited).unwrap();
        let problems = check(&text);
        let found = problems
            .iter()
            .find(|problem| problem.path == path && problem.message.contains(message));
        let found = found.unwrap_or_else(|| panic!("{name}: {problems:?}"));
        assert!(found.line >= 1, "{name}");
        if let Some(key) = path.rsplit('.').next().filter(|_| !value.is_null())
            && !key.ends_with(']')
        {
            let line = text.lines().nth(found.line - 1).unwrap();
            assert!(line.contains(key), "{name}: line {} is {line}", found.line);
        }
    }
}

/// Guards against a daemon that starts with invalid settings.
#[test]
fn host_faults() {
    let check = |text: &str| Host::parse(text).err().unwrap_or_default();
    check_cases(&host(), check, HOST_CASES);
    check_cases(&host_with_duties(), check, DUTIES_CASES);
}

/// Guards against releasing a configuration with which daemons can't serve requests.
#[test]
fn config_faults() {
    let check = |text: &str| Config::parse(text).err().unwrap_or_default();
    check_cases(&config(), check, CONFIG_CASES);
}

/// Guards against a check that stops at the first error, and against wrong line numbers.
#[test]
fn every_fault_is_listed_with_its_line() {
    let text = "{\n// comment\n\"name\": \"A\",\n\"region\": 7,\n\n\"lisen\": \"127.0.0.1:1\",\n\
        \"admin_listen\": \"127.0.0.1:2\", \"peer_listen\":\n\"127.0.0.1:2\",\n\
        \"peer_keys\": [{\"id\": 1,\n\"secret_hex\": \"00\"}],\n}";
    let problems = Host::parse(text).unwrap_err();
    let found: Vec<(usize, &str)> = problems
        .iter()
        .map(|problem| (problem.line, problem.path.as_str()))
        .collect();
    let expected = [
        (1, "listen"),
        (1, "store"),
        (1, "zone"),
        (3, "name"),
        (4, "region"),
        (6, "lisen"),
        (7, "peer_listen"),
        (10, "peer_keys[0].secret_hex"),
    ];
    assert_eq!(found, expected);
    assert!(
        problems[3]
            .in_file("h.jsonc")
            .starts_with("h.jsonc:3: name: expected 1 to 63")
    );
}

/// Guards against lenient parsing, with which a typing error changes the meaning without an error.
#[test]
fn syntax_faults() {
    let cases = [
        ("empty", "", 1, "empty"),
        ("no comma", "{\"name\": \"a\"\n\"zone\": \"b\"}", 1, "comma"),
        ("single quotes", "{\n'name': 1}", 2, "quote"),
        ("hexadecimal", "{\n\n\"workers\": 0x10}", 3, "exadecimal"),
        ("open", "{\"name\": [1,\n", 1, "Unterminated"),
        (
            "key twice",
            "{\"name\": \"a\",\n\"name\": \"b\"}",
            2,
            "already given on line 1",
        ),
        ("no object", "[]", 1, "expected an object"),
    ];
    for (name, text, line, message) in cases {
        let problems = Host::parse(text).unwrap_err();
        let found = problems
            .iter()
            .any(|problem| problem.line == line && problem.message.contains(message));
        assert!(found, "{name}: {problems:?}");
    }
}

/// Guards against a digest that depends on the order of the items in the lists.
#[test]
fn digest_follows_the_content() {
    let config: Config = serde_json::from_value(config()).unwrap();
    assert_eq!(config.check(), []);
    let mut sorted = config.clone();
    sorted.sort();
    assert_ne!(config, sorted);
    assert_eq!(config.digest(), sorted.digest());
    sorted.accounts[0].weight = 2;
    assert_ne!(config.digest(), sorted.digest());
}

/// Guards against a leaving upstream that is noticed too late: in the pause between two long polls,
/// or because the poll after it gets no answer. Such a poll ends a second after its wait; the next
/// one follows after 220 ms at most.
#[test]
fn leaving_upstreams_are_noticed_in_time() {
    let mut host = crate::Host::parse(POLLING_HOST).unwrap();
    for leaving_max_ms in [2_200, 3_000, 4_000, 5_000, 60_000] {
        host.leaving_max_ms = Some(leaving_max_ms);
        let pause_ms = host.upstream_pause_ms() * 11 / 10;
        let noticed_ms = pause_ms + host.upstream_wait_ms() + 1_000 + 220;
        assert!(
            noticed_ms < leaving_max_ms,
            "{leaving_max_ms}: {noticed_ms}"
        );
        assert!(
            pause_ms >= 200,
            "the store isn't asked in a tight loop: {pause_ms}"
        );
        // Rows of live upstreams expire after some 3.6 s of an outage, which must be noticed first.
        assert!(host.upstream_wait_ms() + 1_000 <= 3_600);
    }
    host.store_poll_ms = 90;
    assert_eq!(
        host.upstream_pause_ms() + host.upstream_wait_ms(),
        90,
        "as the operator set it"
    );
    host.stop_grace_s = Some(8);
    assert_eq!(host.drain_max(), std::time::Duration::from_secs(7));
}

/// Guards against a new configuration that is in force too late because the poll before it gets no
/// answer: on a large site a host answered 404 for a new route 5.2 s after it was acknowledged. Such
/// a poll ends a second after its wait, the next one follows after 220 ms at most.
#[test]
fn configurations_are_noticed_in_time_after_a_lost_poll() {
    let mut host = crate::Host::parse(POLLING_HOST).unwrap();
    for config_max_ms in [2_400, 3_000, 4_000, 5_000, 11_000] {
        host.config_max_ms = Some(config_max_ms);
        let noticed_ms = host.config_wait_ms() + 1_000 + 220;
        assert!(noticed_ms < config_max_ms, "{config_max_ms}: {noticed_ms}");
        assert!(host.config_wait_ms() >= 400, "no tight loop");
    }
}

const POLLING_HOST: &str = r#"{
    "name": "entry-1", "region": "costa", "zone": "norte", "store_poll_ms": 5000,
    "listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2", "peer_listen": "127.0.0.1:3",
    "store": "127.0.0.1:4", "peer_keys": [{"id": 1, "secret_hex": "00112233445566778899aabbccddeeff"}],
}"#;
