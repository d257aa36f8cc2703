//! Exchange of evidence and verdicts about prompts that crash upstreams with the other daemons.

use std::{sync::Arc, time::Duration};

use log::{debug, warn};
use quarantine::{Message, Verdict, VerdictState};

use crate::{core::Core, shared::Shared, sharing::Message as PeerMessage};

/// Interval between exchanges while there is something to judge or to tell.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between exchanges otherwise, unless something happens.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Judges the evidence, and exchanges evidence and verdicts with the other daemons.
pub(crate) async fn exchange_prompt_evidence(shared: Arc<Shared>) {
    shared.with_core(|now_us, core| core.dispatcher.quarantine_mut().catch_up(now_us));
    loop {
        let is_idle = shared.with_core(|_, core| core.dispatcher.quarantine().is_idle());
        if is_idle {
            let _ = tokio::time::timeout(IDLE_INTERVAL, shared.evidence.notified()).await;
        } else {
            tokio::time::sleep(BUSY_INTERVAL).await;
        }
        let live: Vec<Arc<str>> = shared.peers.with(|membership| {
            let live = membership.live();
            live.map(|member| member.name.as_str().into()).collect()
        });
        let messages = shared.with_core(|now_us, core| {
            let quarantine = core.dispatcher.quarantine_mut();
            quarantine.set_live(live);
            quarantine.tick(now_us);
            apply_changes(core, now_us);
            let quarantine = core.dispatcher.quarantine_mut();
            quarantine.take_messages(now_us, &mut rand::rng())
        });
        for (to, message) in messages {
            send(&shared, &to, message);
        }
    }
}

/// Handles a message of another daemon and sends the replies.
pub(crate) fn receive(shared: &Shared, from: &str, message: &Message) {
    let replies = shared.with_core(|now_us, core| {
        let replies = core.dispatcher.quarantine_mut().receive(now_us, message);
        apply_changes(core, now_us);
        replies
    });
    for reply in replies {
        send(shared, from, reply);
    }
    if !matches!(message, Message::Digest { .. }) {
        shared.evidence.notify_one();
    }
}

/// Releases a part for an operator; returns whether it was suspected or quarantined.
pub(crate) fn release(shared: &Shared, part: u64) -> bool {
    let released = shared.with_core(|now_us, core| {
        let released = core.dispatcher.quarantine_mut().release(now_us, part);
        apply_changes(core, now_us);
        released
    });
    shared.evidence.notify_one();
    released
}

/// Logs the changed verdicts, and refuses the queued requests that they concern.
pub(crate) fn apply_changes(core: &mut Core, now_us: u64) {
    let changes = core.dispatcher.quarantine_mut().take_changes();
    if changes.is_empty() {
        return;
    }
    for verdict in &changes {
        log_verdict(verdict);
    }
    core.dispatch(now_us, |dispatcher, actions| {
        dispatcher.refuse_quarantined(now_us, actions);
    });
}

fn log_verdict(verdict: &Verdict) {
    let state = match verdict.state {
        VerdictState::Suspected => "suspected",
        VerdictState::Quarantined => "quarantined",
        VerdictState::Cleared => "cleared",
        VerdictState::Released => "released",
        VerdictState::Dismissed => "dismissed",
    };
    let kind = if verdict.is_request {
        "request"
    } else {
        "part"
    };
    warn!(
        "prompt: {kind} {state} part={:016x} epoch={} crashes={} failed_trials={} age_ms={}",
        verdict.part, verdict.epoch, verdict.crashes, verdict.failed_trials, verdict.age_ms
    );
}

/// Queues a message to another daemon.
fn send(shared: &Shared, to: &str, message: Message) {
    match postcard::to_stdvec(&PeerMessage::Quarantine(message)) {
        Ok(bytes) => shared
            .peers
            .with(|membership| membership.queue_urgent_payload(to, bytes)),
        Err(error) => debug!("prompt: message to {to} dropped: {error}"),
    }
}
