use settings::PeerKey;

use crate::{Keys, ListedHost, Member, Membership, Options};

/// Returns the view of host `me` of `hosts` hosts in two zones, of which it knows those that
/// `knows` selects.
fn view<F>(me: usize, hosts: usize, knows: F) -> Membership
where
    F: Fn(usize) -> bool,
{
    let secret_hex = "00112233445566778899aabbccddeeff".to_owned();
    let keys = Keys::new(&[PeerKey { id: 1, secret_hex }]).unwrap();
    let zone = |index: usize| {
        if index.is_multiple_of(2) {
            "norte"
        } else {
            "sur"
        }
    };
    let name = |index: usize| format!("entry-{index}");
    let address = ([10, 0, 0, 1], 7_000).into();
    let own = Member::new(&name(me), address, 1).with_locality("costa", zone(me));
    let mut membership = Membership::new(own, keys, Options::default());
    let others = (0..hosts).filter(|&index| index != me && knows(index));
    let listed = others
        .map(|index| ListedHost::new(&name(index), address).with_locality("costa", zone(index)));
    membership.set_hosts(&listed.collect::<Vec<_>>());
    membership
}

/// Follows the parents of a host up to the one that asks the store, and returns their number.
fn depth<F>(start: usize, hosts: usize, knows: F) -> usize
where
    F: Fn(usize, usize) -> bool,
{
    let (mut at, mut depth) = (start, 0);
    loop {
        let membership = view(at, hosts, |other| knows(at, other));
        let Some(parent) = membership.tree_parent(|_| false) else {
            return depth;
        };
        assert_eq!(parent.zone, membership.me().zone);
        at = parent.name["entry-".len()..].parse().unwrap();
        depth += 1;
        assert!(depth <= hosts, "daemons that follow each other");
    }
}

/// Guards against hosts that all ask the store, long chains, and hosts that serve too many others.
#[test]
fn one_host_of_each_zone_asks_the_store() {
    let hosts = 120;
    let depths: Vec<usize> = (0..hosts)
        .map(|host| depth(host, hosts, |_, _| true))
        .collect();
    assert_eq!(depths.iter().filter(|&&depth| depth == 0).count(), 2);
    assert!(depths.iter().all(|&depth| depth <= 2), "{depths:?}");
    let parents: Vec<Option<String>> = (0..hosts)
        .map(|host| {
            let membership = view(host, hosts, |_| true);
            membership
                .tree_parent(|_| false)
                .map(|parent| parent.name.clone())
        })
        .collect();
    for host in 0..hosts {
        let name = format!("entry-{host}");
        let followers = parents.iter().flatten().filter(|&parent| *parent == name);
        assert!(followers.count() <= 8, "{name}");
    }
}

/// Guards against daemons that wait for each other, and against none that asks the store, while
/// their views differ: right after a start each knows only some of the others.
#[test]
fn daemons_with_different_views_never_follow_each_other() {
    let hosts = 60;
    let knows = |host: usize, other: usize| (host * 7 + other * 13) % 5 < 2;
    for host in 0..hosts {
        depth(host, hosts, knows);
    }
}

/// Guards against a host that follows one that doesn't answer, and against one that finds no other.
#[test]
fn avoided_hosts_are_not_followed() {
    let hosts = 40;
    for host in 0..hosts {
        let membership = view(host, hosts, |_| true);
        let mut avoided: Vec<String> = Vec::new();
        while let Some(parent) = membership.tree_parent(|name| avoided.iter().any(|a| a == name)) {
            assert!(!avoided.contains(&parent.name));
            avoided.push(parent.name.clone());
        }
        assert!(avoided.len() < hosts / 2);
    }
}
