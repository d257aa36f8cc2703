//! Forged, misdirected, replayed and damaged datagrams.

mod sim;

use peer::{Keys, ListedHost, Member, Membership, Options, Output, Reject};
use proptest::prelude::*;
use rand::{SeedableRng as _, rngs::StdRng};
use settings::PeerKey;
use sim::{address, keys, name};

fn membership(index: usize, keys: Keys) -> Membership {
    let me = Member::new(&name(index), address(index), 10).with_config_version(7);
    let mut membership = Membership::new(me, keys, Options::default());
    membership.set_hosts(&sim::listed_hosts(3));
    membership
}

/// Returns a ping from member 0 to member 1 with a configuration version, a leaving upstream and a
/// payload.
fn ping(keys: Keys, version: u64) -> Vec<u8> {
    let mut sender = membership(0, keys);
    sender.set_hosts(&[ListedHost::new(&name(1), address(1))]);
    sender.set_config_version(version);
    sender.add_leaving(1, "engine-1");
    sender.queue_payload(&name(1), vec![1, 2, 3]);
    let mut rng = StdRng::seed_from_u64(3);
    for round in 0..8 {
        let mut out = Vec::new();
        sender.tick(1 + round * 1_000_000, &mut rng, &mut out);
        for output in out {
            match output {
                Output::Send { to, bytes } if to == address(1) => return bytes,
                _ => {}
            }
        }
    }
    panic!("no ping");
}

/// Returns the state that a datagram can change, without the clock.
fn state(membership: &Membership) -> String {
    let members: Vec<&Member> = membership.members().collect();
    format!("{:?} {members:?}", membership.me())
}

fn receive(receiver: &mut Membership, bytes: &[u8]) -> (Result<(), Reject>, Vec<Output>) {
    let mut out = Vec::new();
    let mut rng = StdRng::seed_from_u64(4);
    let result = receiver.receive(1, address(0), bytes, &mut rng, &mut out);
    (result, out)
}

/// Guards against accepting a datagram that was not validly signed or is for another member.
#[test]
fn peer_drops_forged_and_misdirected_datagrams() {
    let secret_hex = "ff112233445566778899aabbccddeeff".to_owned();
    let other = Keys::new(&[PeerKey { id: 1, secret_hex }]).unwrap();
    let secret_hex = "00112233445566778899aabbccddeeff".to_owned();
    let unknown = Keys::new(&[PeerKey { id: 9, secret_hex }]).unwrap();
    let oversized = [ping(keys(), 8), vec![0; 1_200]].concat();
    let cases = [
        ("another secret", 1, ping(other, 8), Reject::Forged),
        (
            "unknown key number",
            1,
            ping(unknown, 8),
            Reject::UnknownKey,
        ),
        ("another member's", 2, ping(keys(), 8), Reject::Misdirected),
        ("its own", 0, ping(keys(), 8), Reject::Misdirected),
        ("oversized", 1, oversized, Reject::Size),
        ("empty", 1, Vec::new(), Reject::Size),
    ];
    for (case, index, bytes, expected) in cases {
        let mut receiver = membership(index, keys());
        let before = state(&receiver);
        assert_eq!(
            receive(&mut receiver, &bytes),
            (Err(expected), vec![]),
            "{case}"
        );
        assert_eq!(state(&receiver), before, "{case}");
    }
}

/// Guards against a replayed datagram that takes effect a second time, or after a restart of the
/// receiver.
#[test]
fn peer_drops_replayed_datagrams() {
    let bytes = ping(keys(), 8);
    let mut receiver = membership(1, keys());
    let (first, out) = receive(&mut receiver, &bytes);
    assert_eq!(first, Ok(()));
    assert!(
        out.iter()
            .any(|output| matches!(output, Output::NewerConfig { version: 8, .. }))
    );
    let before = state(&receiver);
    assert_eq!(
        receive(&mut receiver, &bytes),
        (Err(Reject::Replayed), vec![])
    );
    assert_eq!(state(&receiver), before);
    // The sender did not know this incarnation of the receiver, so payloads and leaving upstreams
    // are ignored: the datagram may be a replay from before a restart.
    let payload_or_leaving = |output: &Output| {
        matches!(
            output,
            Output::Payload { .. } | Output::UpstreamLeaving { .. }
        )
    };
    assert!(!out.iter().any(payload_or_leaving));
}

proptest! {
    /// Guards against modified, truncated or extended datagrams that change the membership or
    /// report a configuration version.
    #[test]
    fn holds_config_against_damaged_datagrams(
        cut in 0_usize..400,
        flips in prop::collection::vec((0_usize..400, 1_u8..=255), 0..4),
        tail in prop::collection::vec(any::<u8>(), 0..8),
    ) {
        let valid = ping(keys(), 8);
        let mut bytes = valid.clone();
        bytes.truncate(bytes.len().saturating_sub(cut.saturating_sub(200)));
        for (index, bits) in flips {
            if let Some(byte) = bytes.get_mut(index) {
                *byte ^= bits;
            }
        }
        bytes.extend(tail);
        prop_assume!(bytes != valid);
        let mut receiver = membership(1, keys());
        let before = state(&receiver);
        let (result, out) = receive(&mut receiver, &bytes);
        prop_assert!(result.is_err());
        prop_assert_eq!(out, vec![]);
        prop_assert_eq!(state(&receiver), before);
        // The original is still accepted: the damaged one has not moved the replay window.
        prop_assert_eq!(receive(&mut receiver, &valid).0, Ok(()));
    }

    /// Guards against arbitrary bytes after a valid format and key id that cause a panic or a
    /// change.
    #[test]
    fn holds_config_against_arbitrary_bytes(
        bytes in prop::collection::vec(any::<u8>(), 0..1_400),
        length in 0_usize..1_400,
    ) {
        let mut bytes = [vec![1, 1], bytes].concat();
        bytes.truncate(length);
        let mut receiver = membership(1, keys());
        let before = state(&receiver);
        let (result, out) = receive(&mut receiver, &bytes);
        prop_assert!(result.is_err());
        prop_assert_eq!(out, vec![]);
        prop_assert_eq!(state(&receiver), before);
    }
}
