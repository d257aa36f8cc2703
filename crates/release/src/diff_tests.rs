//! Property test of `diff` together with `check`.

use proptest::prelude::*;
use settings::{Account, Config, Service, Upstream, UpstreamKind};

use crate::{
    Note, check, diff,
    tests::{account, config},
};

fn arbitrary_config() -> impl Strategy<Value = Config> {
    let accounts = prop::collection::btree_map("[a-d]", (1_u32..4, 1_u32..4), 0..4);
    let engines = prop::collection::btree_map("[e-h]", (1_u32..4, any::<bool>()), 0..4);
    (accounts, engines, any::<bool>()).prop_map(|(accounts, engines, service)| {
        let mut next = config(7);
        next.accounts = accounts
            .into_iter()
            .map(|(name, (weight, rate))| {
                let mut account: Account = serde_json::from_value(account(&name, weight)).unwrap();
                account.requests_per_s = rate;
                account
            })
            .collect();
        let template = next.upstreams.remove(0);
        next.upstreams = engines
            .into_iter()
            .enumerate()
            .map(|(index, (name, (slots, resume)))| {
                let mut upstream: Upstream = template.clone();
                upstream
                    .address
                    .set_port(9_000 + u16::try_from(index).unwrap());
                upstream.name = name;
                upstream.slots = slots;
                upstream.honours.resume = resume;
                upstream
            })
            .collect();
        if service {
            let mut upstream = template;
            upstream.name = "parts-1".to_owned();
            upstream.kind = UpstreamKind::Service;
            upstream.models.clear();
            upstream.service = "parts".to_owned();
            next.upstreams.push(upstream);
            let name = "parts".to_owned();
            next.services = vec![Service {
                name,
                answer_max_ms: 1,
                non_idempotent: Vec::new(),
                engine: None,
                autoscaling: None,
            }];
        }
        next
    })
}

proptest! {
    /// Guards against a computed note that `check` refuses or that leads to another configuration.
    #[test]
    fn a_computed_note_leads_to_the_wanted_configuration(
        before in arbitrary_config(),
        after in arbitrary_config(),
    ) {
        let note = diff(&before, &after, "ana", "test");
        let text = serde_json::to_string_pretty(&note).unwrap();
        prop_assert_eq!(&Note::parse(&text).unwrap(), &note);
        match check(&note, &before) {
            Ok(next) => {
                prop_assert_eq!(next.version, 8);
                let next = Config { version: 7, ..next };
                prop_assert_eq!(next.digest(), after.digest());
            }
            Err(problems) => {
                prop_assert_eq!(before, after);
                prop_assert_eq!(problems[0].message.as_str(), "the note changes nothing");
            }
        }
    }
}
