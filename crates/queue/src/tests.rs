//! Tests of fair queueing and of the queue's indexes.

use crate::{Item, ItemKind, Queue};

fn item(id: u64, lane: usize, tier: u8, account: &str, cost: u64) -> Item {
    Item {
        id,
        lane,
        tier,
        account: account.into(),
        kind: ItemKind::Fresh,
        arrival: id,
        deadline_us: 1_000 + id,
        cost,
        bounded: true,
    }
}

/// Starts `count` items of one lane and tier and returns how many each account had.
fn serve(queue: &mut Queue, items: &[Item], count: usize) -> Vec<(String, usize)> {
    let mut served: Vec<(String, usize)> = Vec::new();
    for _ in 0..count {
        let head = queue.head(0, 1, ItemKind::ALL).unwrap();
        let item = items.iter().find(|item| item.id == head.id).unwrap();
        assert!(queue.start(item));
        match served.iter_mut().find(|(name, _)| *name == *item.account) {
            Some((_, count)) => *count += 1,
            None => served.push((item.account.to_string(), 1)),
        }
    }
    served.sort();
    served
}

/// Guards against an account that exceeds its weighted share by sending more or larger jobs.
#[test]
fn service_follows_weights() {
    for (name, weights, costs, expected) in [
        ("equal", [1, 1], [10, 10], [20, 20]),
        ("weighted", [3, 1], [10, 10], [30, 10]),
        ("larger jobs", [1, 1], [30, 10], [10, 30]),
    ] {
        let mut queue = Queue::default();
        queue.set_weights([("a", weights[0]), ("b", weights[1])]);
        let mut items = Vec::new();
        for id in 0..200 {
            // The first account sends all its jobs before the second sends its first.
            let account = usize::from(id >= 100);
            items.push(item(id, 0, 1, ["a", "b"][account], costs[account]));
        }
        for item in &items {
            queue.push(item);
        }
        let served = serve(&mut queue, &items, 40);
        for ((_, count), expected) in served.iter().zip(expected) {
            assert!(count.abs_diff(expected) <= 1, "{name}: {served:?}");
        }
    }
}

/// Guards against an idle account that accumulates credit and then starves the others.
#[test]
fn idle_account_saves_nothing() {
    let mut queue = Queue::default();
    let mut items: Vec<Item> = (0..200).map(|id| item(id, 0, 1, "a", 10)).collect();
    // The second account is already known and has received little service.
    let known = item(999, 0, 1, "b", 1);
    queue.push(&known);
    assert!(queue.start(&known));
    for item in &items {
        queue.push(item);
    }
    serve(&mut queue, &items, 100);
    for id in 200..300 {
        items.push(item(id, 0, 1, "b", 10));
        queue.push(&items[items.len() - 1]);
    }
    let served = serve(&mut queue, &items, 40);
    assert!(served[0].1.abs_diff(20) <= 1, "{served:?}");
}

/// Guards against an item that loses its position when it is queued again.
#[test]
fn requeued_item_keeps_its_place() {
    let mut queue = Queue::default();
    let mut items: Vec<Item> = (0..3).map(|id| item(id, 0, 1, "a", 10)).collect();
    for item in &items {
        queue.push(item);
    }
    assert!(queue.start(&items[0]));
    items[0].kind = ItemKind::Resume;
    queue.push(&items[0]);
    for (name, mask, expected) in [
        ("all", ItemKind::ALL, 0),
        ("not resumed", ItemKind::Fresh.bit(), 1),
        ("resumed", ItemKind::RESUMED, 0),
    ] {
        assert_eq!(queue.head(0, 1, mask).unwrap().id, expected, "{name}");
    }
}

/// Guards against a removal that leaves an entry in one of the indexes.
#[test]
fn removed_item_leaves_no_trace() {
    let mut queue = Queue::default();
    let lanes_and_tiers = [0, 1]
        .into_iter()
        .cycle()
        .zip([0, 1, 2].into_iter().cycle());
    let items: Vec<Item> = (0..9)
        .zip(lanes_and_tiers)
        .map(|(id, (lane, tier))| item(id, lane, tier, "a", 10))
        .collect();
    for item in &items {
        queue.push(item);
    }
    assert_eq!(queue.newest_below(0).unwrap().id, 8);
    assert_eq!(queue.newest_below(2), None);
    let mut resumed = item(99, 0, 2, "a", 10);
    resumed.bounded = false;
    queue.push(&resumed);
    assert_eq!(queue.newest_below(0).unwrap().id, 8);
    assert_eq!(queue.bounded_len(), 9);
    assert!(queue.remove(&resumed));
    for item in &items {
        assert!(queue.remove(item));
        assert!(!queue.remove(item));
    }
    assert_eq!(queue.due(u64::MAX).count(), 0);
    assert_eq!(queue.bounded_len(), 0);
    for tier in 0..3 {
        assert_eq!(queue.len(tier), 0);
        assert_eq!(queue.head(0, tier, ItemKind::ALL), None);
    }
}

/// Guards against counting the whole backlog of a large account as service ahead of a small one.
#[test]
fn estimate_follows_fair_order() {
    let mut queue = Queue::default();
    for id in 0..1_000 {
        queue.push(&item(id, 0, 1, "a", 10));
    }
    let small = item(1_000, 0, 1, "b", 10);
    queue.push(&small);
    assert_eq!(queue.cost_ahead(&small), 10);
    let large = item(1_001, 0, 1, "a", 10);
    queue.push(&large);
    assert_eq!(queue.cost_ahead(&large), 10_010);
}
