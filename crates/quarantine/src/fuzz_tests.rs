//! Random events on three daemons, against a simple oracle.

use std::sync::Arc;

use proptest::{collection::vec, prelude::*};
use rand::{SeedableRng as _, rngs::StdRng};

use crate::{Admission, Message, PromptParts, Quarantine, VerdictState};

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Event at one daemon.
#[derive(Debug, Clone)]
enum Event {
    Loss {
        upstream: u8,
        part: u64,
        own: u64,
    },
    Answer {
        part: u64,
    },
    Admit {
        part: u64,
    },
    Release {
        part: u64,
    },
    Tick,
    /// Delivers the messages of a daemon, or loses them.
    Exchange {
        lost: bool,
    },
    Wait {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let part = 1..5_u64;
    prop_oneof![
        5 => (0..8_u8, part.clone(), 0..20_u64)
            .prop_map(|(upstream, part, own)| Event::Loss { upstream, part, own }),
        1 => part.clone().prop_map(|part| Event::Answer { part }),
        2 => part.clone().prop_map(|part| Event::Admit { part }),
        1 => part.prop_map(|part| Event::Release { part }),
        5 => Just(Event::Tick),
        5 => any::<bool>().prop_map(|lost| Event::Exchange { lost }),
        5 => (1..3_000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

struct Fleet {
    daemons: Vec<Quarantine>,
    rng: StdRng,
    now_us: u64,
    /// Number of losses of each part at any daemon since an answer to it, or its release.
    losses: [u32; 5],
}

impl Fleet {
    fn new() -> Self {
        let daemons = NAMES.map(|name| {
            let mut daemon = Quarantine::new(name);
            let others = NAMES.into_iter().filter(|&other| other != name);
            daemon.set_live(others.map(Arc::from).collect());
            daemon
        });
        Self {
            daemons: daemons.into(),
            rng: StdRng::seed_from_u64(1),
            now_us: 1_000_000,
            losses: [0; 5],
        }
    }

    fn deliver(&mut self, from: usize, to: &str, message: &Message) {
        let to = NAMES.iter().position(|name| *name == to).unwrap();
        for reply in self.daemons[to].receive(self.now_us, message) {
            self.deliver(to, NAMES[from], &reply);
        }
    }

    fn exchange(&mut self, index: usize, lost: bool) {
        let messages = self.daemons[index].take_messages(self.now_us, &mut self.rng);
        for (to, message) in messages {
            if !lost {
                self.deliver(index, &to, &message);
            }
        }
    }

    fn apply(&mut self, index: usize, event: &Event) {
        let now_us = self.now_us;
        let daemon = &mut self.daemons[index];
        match *event {
            Event::Loss {
                upstream,
                part,
                own,
            } => {
                let parts = PromptParts::new([part, own]);
                daemon.record_loss(now_us, 0, &upstream.to_string(), &parts);
                self.losses[usize::try_from(part).unwrap()] += 1;
            }
            Event::Answer { part } => {
                daemon.record_answer(now_us, &PromptParts::new([part, 0]));
                // The oracle must agree at once on the daemon that saw the answer.
                assert!(is_free(daemon, part));
            }
            Event::Admit { part } => {
                let held = !is_free(daemon, part);
                let admission = daemon.admit(now_us, &PromptParts::new([part, 0]));
                assert_eq!(admission == Admission::Admitted, !held);
            }
            Event::Release { part } => {
                daemon.release(now_us, part);
                assert!(is_free(daemon, part));
            }
            Event::Tick => daemon.tick(now_us),
            Event::Exchange { lost } => self.exchange(index, lost),
            Event::Wait { ms } => self.now_us += ms * 1_000,
        }
        for part in 1..5 {
            let few = self.losses[usize::try_from(part).unwrap()] < 3;
            assert!(!few || self.daemons.iter().all(|daemon| is_free(daemon, part)));
        }
    }
}

fn is_free(daemon: &Quarantine, part: u64) -> bool {
    daemon
        .quarantined_part(&PromptParts::new([part, 0]))
        .is_none()
}

proptest! {
    /// Guards against a part that is quarantined on fewer than three losses, that stays so after an
    /// answer or a release, and against daemons whose verdicts never agree.
    #[test]
    fn verdicts_follow_the_evidence_and_agree(events in vec((0..3_usize, event()), 1..200)) {
        let mut fleet = Fleet::new();
        for (index, event) in &events {
            fleet.apply(*index, event);
        }
        // Without further evidence, the daemons agree after some exchanges.
        for _ in 0..60 {
            fleet.now_us += 500_000;
            for index in 0..3 {
                fleet.daemons[index].tick(fleet.now_us);
                fleet.exchange(index, false);
            }
        }
        let quarantined = |daemon: &Quarantine| -> Vec<u64> {
            let parts = daemon.parts(fleet.now_us).into_iter();
            let held = parts.filter(|part| part.state == VerdictState::Quarantined);
            held.map(|part| part.part).collect()
        };
        let first = quarantined(&fleet.daemons[0]);
        for daemon in &fleet.daemons {
            prop_assert_eq!(quarantined(daemon), first.clone());
        }
    }
}
