//! Property test of several hosts that hold the duties in turn, with inaccurate clocks, freezes,
//! restarts, stops, faults of the store and calls without answers. The oracle is what the control
//! service sees.

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use store::{Fault, MemoryTable, Row, StoreError, StoreVersion, TableCopy};

use crate::{Holder, HolderStep, HolderTiming};

const HOSTS: usize = 3;
const LEASE_US: u64 = 3_000_000;
const LATE_US: u64 = 300_000;
const CALL_US: u64 = 1_000_000;
const KEY: &str = "duty/lease";

/// Largest deviation of a clock rate: just below the allowed error of a tenth.
const RATE_MAX_PPM: i64 = 99_990;

/// Longest time between the check of the hold and the send in a process that isn't frozen.
const SEND_US: u64 = 20_000;

/// Longest time without a holder after a restore that the last one doesn't survive: the pause of an
/// observer's polls, in which it learns of it, then the length of a lease and its clock error, by a
/// clock that is as slow as allowed, and three rounds of the test to read the row and write it.
const HELD_AGAIN_US: u64 = (LEASE_US / 2 + LEASE_US + LATE_US) * 10 / 9 + 3 * 50_000;

#[derive(Debug, Clone)]
enum Transition {
    /// The hosts run for some rounds and make a call whenever they may.
    Run {
        rounds: u8,
        pause_us: u64,
        /// Host that is frozen meanwhile, at whatever stage it is; none if there is no such host.
        frozen: usize,
        /// Host whose calls to the store fail with this fault.
        cut: usize,
        fault: Fault,
        /// Time that calls take to arrive.
        flight_us: u64,
        /// Whether their answers are lost.
        is_lost: bool,
    },
    /// The host checks its hold for a call that it has not sent yet.
    Begin { host: usize },
    /// The host is told to stop.
    Stop { host: usize },
    /// The process ends at this point, and another one starts.
    Restart { host: usize },
    /// The store is copied.
    Copy,
    /// The store comes back from the last copy.
    Restore,
    /// The host learns the era of the store from another one.
    Hear { host: usize },
}

#[derive(Debug, Clone)]
struct Reference {
    rates_ppm: [i64; HOSTS],
}

impl ReferenceStateMachine for Reference {
    type State = Self;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<Self> {
        let rate = prop_oneof![
            Just(-RATE_MAX_PPM),
            Just(RATE_MAX_PPM),
            -RATE_MAX_PPM..=RATE_MAX_PPM
        ];
        prop::array::uniform3(rate)
            .prop_map(|rates_ppm| Self { rates_ppm })
            .boxed()
    }

    fn transitions(_state: &Self) -> BoxedStrategy<Transition> {
        let fault = prop_oneof![
            Just(Fault::Down),
            Just(Fault::AnswerLost),
            Just(Fault::RequestLost),
            Just(Fault::Stale),
        ];
        let flight = prop_oneof![
            2 => 0..20_000_u64,
            1 => CALL_US - 100_000..CALL_US,
        ];
        // Half of the numbers name no host.
        let run = (
            1..25_u8,
            20_000..250_000_u64,
            0..2 * HOSTS,
            0..2 * HOSTS,
            fault,
            flight,
            prop::bool::weighted(0.2),
        );
        let run = run.prop_map(
            |(rounds, pause_us, frozen, cut, fault, flight_us, is_lost)| Transition::Run {
                rounds,
                pause_us,
                frozen,
                cut,
                fault,
                flight_us,
                is_lost,
            },
        );
        prop_oneof![
            10 => run,
            2 => (0..HOSTS).prop_map(|host| Transition::Begin { host }),
            2 => (0..HOSTS).prop_map(|host| Transition::Stop { host }),
            3 => (0..HOSTS).prop_map(|host| Transition::Restart { host }),
            2 => Just(Transition::Copy),
            2 => Just(Transition::Restore),
            1 => (0..HOSTS).prop_map(|host| Transition::Hear { host }),
        ]
        .boxed()
    }

    fn apply(state: Self, _transition: &Transition) -> Self {
        state
    }
}

enum Stage {
    Ask,
    Perform(HolderStep),
    /// Result, with the newest era that an answer told until then.
    Read(Result<Option<Row>, StoreError>, u64),
    Written(Result<StoreVersion, StoreError>, u64),
}

enum Call {
    /// The hold was checked at this time.
    Checked { token: u64, at_us: u64 },
    /// The result is known at this time.
    Sent { ends_us: u64, is_lost: bool },
}

struct Host {
    holder: Holder,
    run: u32,
    stage: Stage,
    call: Option<Call>,
    /// Newest era that an answer of the store told this process.
    era: u64,
}

/// Call on its way to the control service.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at_us: u64,
    host: usize,
    run: u32,
    token: u64,
    /// Whether its sender was frozen before it, which excuses its order.
    is_excused: bool,
}

struct System {
    table: MemoryTable,
    copy: TableCopy,
    real_us: u64,
    rates_ppm: [i64; HOSTS],
    hosts: Vec<Host>,
    runs: u32,
    arrivals: Vec<Arrival>,
}

impl System {
    fn local_us(&self, host: usize) -> u64 {
        let rate = u64::try_from(1_000_000 + self.rates_ppm[host]).unwrap();
        self.real_us * rate / 1_000_000 + 7_000_000 * host as u64
    }

    fn start(&mut self, host: usize) -> Host {
        self.runs += 1;
        let timing = HolderTiming::new(LEASE_US, LATE_US, CALL_US);
        let name = format!("host-{host}");
        let run = self.runs.to_string();
        let mut holder = Holder::new(timing, &name, &run, self.local_us(host));
        holder.set_candidate(true);
        Host {
            holder,
            run: self.runs,
            stage: Stage::Ask,
            call: None,
            era: 0,
        }
    }

    fn step(&mut self, index: usize, fault: Option<Fault>) {
        let now_us = self.local_us(index);
        let host = &mut self.hosts[index];
        host.stage = match std::mem::replace(&mut host.stage, Stage::Ask) {
            Stage::Ask => match host.holder.step(now_us) {
                HolderStep::Wait { .. } => Stage::Ask,
                step => Stage::Perform(step),
            },
            Stage::Perform(HolderStep::Read) => {
                self.table.push_fault(fault);
                let row = self.table.read_now(KEY);
                if row.is_ok() {
                    host.era = self.table.era_now();
                }
                Stage::Read(row, host.era)
            }
            Stage::Perform(HolderStep::Write { expect, record }) => {
                let is_unaware = host.era < self.table.era_now();
                let unaware = is_unaware.then_some(Fault::EraUnknown);
                self.table.push_fault(fault.or(unaware));
                let result = self.table.write_now(KEY, expect, &record.to_value());
                if fault.is_none() || matches!(result, Err(StoreError::Conflict(_))) {
                    host.era = self.table.era_now();
                }
                Stage::Written(result, host.era)
            }
            Stage::Perform(HolderStep::Wait { .. }) => Stage::Ask,
            Stage::Read(result, era) => {
                host.holder.see_era(now_us, era);
                host.holder.handle_read(now_us, result);
                Stage::Ask
            }
            Stage::Written(result, era) => {
                host.holder.see_era(now_us, era);
                host.holder.handle_write(now_us, result);
                Stage::Ask
            }
        };
    }

    fn begin(&mut self, index: usize) {
        let now_us = self.local_us(index);
        let at_us = self.real_us;
        let host = &mut self.hosts[index];
        if host.call.is_none()
            && let Some(hold) = host.holder.begin_call(now_us, CALL_US)
        {
            let token = hold.token;
            host.call = Some(Call::Checked { token, at_us });
        }
    }

    /// Sends a checked call; its sender gives it up after `CALL_US` by its clock, and resets its
    /// connection then.
    fn send(&mut self, index: usize, flight_us: u64, is_lost: bool) {
        let real_us = self.real_us;
        let host = &mut self.hosts[index];
        let Some(Call::Checked { token, at_us }) = host.call else {
            return;
        };
        let is_excused = real_us - at_us > SEND_US;
        let arrives_us = real_us + flight_us;
        let ends_us = if is_lost {
            real_us + CALL_US
        } else {
            arrives_us
        };
        host.call = Some(Call::Sent { ends_us, is_lost });
        self.arrivals.push(Arrival {
            at_us: arrives_us,
            host: index,
            run: host.run,
            token,
            is_excused,
        });
    }

    fn finish(&mut self, index: usize) {
        let real_us = self.real_us;
        let host = &mut self.hosts[index];
        if let Some(Call::Sent { ends_us, is_lost }) = host.call
            && real_us >= ends_us
        {
            host.call = None;
            host.holder.finish_call(!is_lost, is_lost);
        }
    }

    /// Returns the host that holds the duties.
    fn holder(&self) -> Option<usize> {
        (0..HOSTS).find(|&host| {
            let holder = &self.hosts[host].holder;
            holder.current(self.local_us(host)).is_some()
        })
    }

    /// Checks what the control service has seen.
    fn check(&self) {
        let mut senders: Vec<(u64, u32)> = self
            .arrivals
            .iter()
            .map(|arrival| (arrival.token, arrival.run))
            .collect();
        senders.sort_unstable();
        senders.dedup();
        let is_shared = senders.windows(2).any(|pair| pair[0].0 == pair[1].0);
        assert!(!is_shared, "two holders sent one token: {senders:?}");
        let mut seen: Vec<Arrival> = self.arrivals.clone();
        seen.retain(|arrival| !arrival.is_excused);
        seen.sort_by_key(|arrival| arrival.at_us);
        let tokens: Vec<u64> = seen.iter().map(|arrival| arrival.token).collect();
        assert!(
            tokens.is_sorted(),
            "lower token after a higher one: {seen:?}"
        );
        for (index, last) in seen.iter().enumerate() {
            let earlier = &seen[..index];
            let recent = earlier
                .iter()
                .filter(|arrival| last.at_us - arrival.at_us < LEASE_US);
            let recent: Vec<usize> = recent.map(|arrival| arrival.host).collect();
            let own = recent.iter().position(|host| *host == last.host);
            let alternates = own.is_some_and(|own| recent[own..].iter().any(|h| *h != last.host));
            assert!(!alternates, "holders alternate within a lease: {seen:?}");
        }
        let holding = (0..HOSTS).filter(|&host| {
            let holder = &self.hosts[host].holder;
            holder.current(self.local_us(host)).is_some()
        });
        assert!(holding.count() <= 1, "two hosts hold the duties");
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = System;
    type Reference = Reference;

    fn init_test(reference: &Reference) -> System {
        let mut system = System {
            table: MemoryTable::default(),
            copy: TableCopy::default(),
            real_us: 0,
            rates_ppm: reference.rates_ppm,
            hosts: Vec::new(),
            runs: 0,
            arrivals: Vec::new(),
        };
        for host in 0..HOSTS {
            let started = system.start(host);
            system.hosts.push(started);
        }
        system
    }

    fn apply(mut system: System, _reference: &Reference, transition: Transition) -> System {
        match transition {
            Transition::Run {
                rounds,
                pause_us,
                frozen,
                cut,
                fault,
                flight_us,
                is_lost,
            } => {
                for _ in 0..rounds {
                    system.real_us += pause_us;
                    for host in (0..HOSTS).filter(|host| *host != frozen) {
                        system.send(host, flight_us, is_lost);
                        system.finish(host);
                        for _ in 0..6 {
                            system.step(host, (host == cut).then_some(fault));
                        }
                        system.begin(host);
                        system.send(host, flight_us, is_lost);
                    }
                    system.check();
                }
            }
            Transition::Begin { host } => system.begin(host),
            Transition::Stop { host } => system.hosts[host].holder.stop(),
            Transition::Restart { host } => system.hosts[host] = system.start(host),
            Transition::Copy => system.copy = system.table.copy(),
            Transition::Restore => system.table.restore(&system.copy),
            Transition::Hear { host } => {
                let (now_us, era) = (system.local_us(host), system.table.era_now());
                system.hosts[host].holder.see_era(now_us, era);
            }
        }
        system
    }

    fn check_invariants(system: &System, _reference: &Reference) {
        system.check();
    }

    /// Checks that somebody holds the duties after a while without faults, that the holder keeps
    /// them when the store comes back from a copy, and that they are held again in time if it does
    /// so while the holder ends.
    fn teardown(mut system: System, _reference: Reference) {
        for host in 0..HOSTS {
            system.hosts[host] = system.start(host);
        }
        for _ in 0..400 {
            system.real_us += 50_000;
            for host in 0..HOSTS {
                system.step(host, None);
            }
            system.check();
        }
        let holder = system.holder().expect("nobody holds the duties");
        system.table.restore(&system.copy);
        // Another call of the process may tell the era before the holder's renewal does.
        if system.table.era_now().is_multiple_of(2) {
            for host in 0..HOSTS {
                let (now_us, era) = (system.local_us(host), system.table.era_now());
                system.hosts[host].holder.see_era(now_us, era);
            }
        }
        for _ in 0..200 {
            system.real_us += 50_000;
            for host in 0..HOSTS {
                system.step(host, None);
            }
            system.check();
            assert_eq!(system.holder(), Some(holder), "the holder lost the duties");
        }

        system.hosts[holder] = system.start(holder);
        system.table.restore(&system.copy);
        let restored_us = system.real_us;
        while system.holder().is_none() {
            system.real_us += 50_000;
            for host in 0..HOSTS {
                for _ in 0..6 {
                    system.step(host, None);
                }
            }
            system.check();
            let after_us = system.real_us - restored_us;
            assert!(after_us <= HELD_AGAIN_US, "nobody after {after_us} us");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    /// Guards against two holders that send one token, a lower token after a higher one, holders
    /// that alternate within a lease, and duties that nobody takes over, also if the store comes back
    /// from older copies.
    #[test]
    fn holds_duties_for_racing_hosts(sequential 1..60 => Test);
}
