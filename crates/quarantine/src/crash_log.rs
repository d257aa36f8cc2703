//! Evidence: which requests were lost at which crashes, and the parts that explain them.

use crate::LossReport;

/// Largest number of crashes that are kept.
const CRASHES_MAX: usize = 256;

/// Largest number of lost requests that are kept for one crash.
const LOSSES_MAX: usize = 16;

/// Time for which a crash is kept as evidence.
const CRASH_AGE_MAX_US: u64 = 600_000_000;

/// Losses at one upstream within this time belong to the same crash: a daemon may notice seconds
/// later than another that an upstream went silent.
const SAME_CRASH_US: u64 = 5_000_000;

/// Crashes within this time count once as evidence against a part: upstreams that fail together
/// have a common cause outside of their requests.
const SAME_MOMENT_US: u64 = 300_000;

/// Crashes that count as one more moment, if they happened at two moments or more.
const CRASHES_OF_A_MOMENT: u32 = 5;

/// Crashes at different moments from which a part is suspected.
pub(crate) const EVIDENCE_MIN: u32 = 3;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Loss {
    parts: Vec<u64>,
    own: u64,
    /// Fingerprint of the whole request; 0 for none.
    request: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Crash {
    upstream: u64,
    at_us: u64,
    losses: Vec<Loss>,
}

impl Crash {
    fn losses_with(&self, part: u64) -> impl Iterator<Item = &Loss> {
        let losses = self.losses.iter();
        losses.filter(move |loss| loss.parts.contains(&part))
    }

    fn has(&self, part: u64) -> bool {
        self.losses_with(part).next().is_some()
    }

    fn has_request(&self, request: u64) -> bool {
        self.losses.iter().any(|loss| loss.request == request)
    }

    /// Returns whether a part of a lost request was released since.
    fn is_settled<R>(&self, released_us: R) -> bool
    where
        R: Fn(u64) -> Option<u64>,
    {
        let mut parts = self.losses.iter().flat_map(|loss| &loss.parts);
        parts.any(|&part| released_us(part) >= Some(self.at_us))
    }
}

/// Part that explains several crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Culprit {
    pub(crate) part: u64,
    /// Number of crashes that count against it.
    pub(crate) crashes: u32,
}

/// Crash at which requests with a part were lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CrashWithPart {
    pub(crate) at_us: u64,
    pub(crate) upstream: u64,
    /// Parts of these requests alone.
    pub(crate) requests: Vec<u64>,
}

/// Candidate with what decides between it and others.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    part: u64,
    /// Whether an answer to it began at some time.
    answered: bool,
    /// Largest position in a prompt.
    depth: usize,
}

/// Crashes with the requests that were lost in them.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashLog {
    /// In the order of arrival.
    crashes: Vec<Crash>,
}

impl CrashLog {
    /// Adds a lost request to the crash of its upstream; returns whether it is new.
    pub(crate) fn record(&mut self, at_us: u64, report: &LossReport) -> bool {
        let upstream = report.upstream;
        let parts = &report.parts[..report.parts.len().min(LossReport::PARTS_MAX)];
        let loss = Loss {
            parts: parts.to_vec(),
            own: report.own,
            request: report.request,
        };
        let same = self.crashes.iter_mut().find(|crash| {
            crash.upstream == upstream && crash.at_us.abs_diff(at_us) < SAME_CRASH_US
        });
        if let Some(crash) = same {
            let is_new = crash.losses.len() < LOSSES_MAX && !crash.losses.contains(&loss);
            if is_new {
                crash.losses.push(loss);
            }
            return is_new;
        }
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.remove(0);
        }
        self.crashes.push(Crash {
            upstream,
            at_us,
            losses: vec![loss],
        });
        true
    }

    /// Returns reports of the lost requests that still count, those of the last crashes first.
    pub(crate) fn reports<R>(&self, now_us: u64, released_us: R) -> impl Iterator<Item = LossReport>
    where
        R: Fn(u64) -> Option<u64>,
    {
        let crashes = self.crashes.iter().rev();
        let crashes = crashes.filter(move |crash| !crash.is_settled(&released_us));
        crashes.flat_map(move |crash| {
            let age_ms = now_us.saturating_sub(crash.at_us) / 1_000;
            crash.losses.iter().map(move |loss| LossReport {
                upstream: crash.upstream,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                parts: loss.parts.clone(),
                own: loss.own,
                request: 0,
                ran_ms: 0,
            })
        })
    }

    /// Returns the crashes at which requests with a part were lost, the latest first.
    pub(crate) fn crashes_with<R>(
        &self,
        part: u64,
        cleared_us: Option<u64>,
        released_us: R,
    ) -> impl Iterator<Item = CrashWithPart>
    where
        R: Fn(u64) -> Option<u64>,
    {
        let crashes = self.crashes.iter().rev();
        let crashes = crashes.filter(move |crash| {
            crash.has(part)
                && cleared_us.is_none_or(|cleared_us| crash.at_us > cleared_us)
                && !crash.is_settled(&released_us)
        });
        crashes.map(move |crash| CrashWithPart {
            at_us: crash.at_us,
            upstream: crash.upstream,
            requests: crash.losses_with(part).map(|loss| loss.own).collect(),
        })
    }

    /// Forgets crashes that are too old.
    pub(crate) fn expire(&mut self, now_us: u64) {
        self.crashes
            .retain(|crash| now_us.saturating_sub(crash.at_us) < CRASH_AGE_MAX_US);
    }

    /// Returns whether enough crashes after its clearance speak against a part.
    pub(crate) fn is_evident<R>(&self, part: u64, cleared_us: Option<u64>, released_us: R) -> bool
    where
        R: Fn(u64) -> Option<u64>,
    {
        let crashes = self.crashes.iter().filter(|crash| {
            cleared_us.is_none_or(|cleared_us| crash.at_us > cleared_us)
                && !crash.is_settled(&released_us)
        });
        count_evidence(part, crashes) >= EVIDENCE_MIN
    }

    /// Returns the parts that explain the crashes, as few as possible, with the most likely first.
    ///
    /// `cleared_us` returns when a part was last cleared: earlier crashes don't count against it.
    /// `released_us` returns when a part was last released: earlier crashes with it count against
    /// no part. `is_answered` returns whether an answer to a part is known to have begun at any
    /// time, and `is_quarantined` whether a part is a known culprit, which explains its crashes
    /// first. `is_held_request` returns whether a whole request is held back: it explains the crashes
    /// at which it was lost, unless other held requests share the part.
    pub(crate) fn culprits<C, R, A, Q, H>(
        &self,
        cleared_us: C,
        released_us: R,
        is_answered: A,
        is_quarantined: Q,
        is_held_request: H,
    ) -> Vec<Culprit>
    where
        C: Fn(u64) -> Option<u64>,
        R: Fn(u64) -> Option<u64>,
        A: Fn(u64) -> bool,
        Q: Fn(u64) -> bool,
        H: Fn(u64) -> bool,
    {
        let held_requests = self.held_requests(is_held_request);
        let crashes = self.crashes.iter();
        let settled: Vec<bool> = crashes
            .map(|crash| crash.is_settled(&released_us))
            .collect();
        let counts = |crash: &Crash, part: u64| {
            cleared_us(part).is_none_or(|cleared_us| crash.at_us > cleared_us)
                && !only_request(&held_requests, part)
                    .is_some_and(|request| crash.has_request(request))
        };
        let evidence = |part: u64, explained: &[bool]| {
            let crashes = self.crashes.iter().zip(explained);
            let crashes = crashes.filter(|(crash, explained)| !**explained && counts(crash, part));
            count_evidence(part, crashes.map(|(crash, _)| crash))
        };
        let mut explained = settled.clone();
        let explain = |explained: &mut [bool], part: u64| {
            for (explained, crash) in explained.iter_mut().zip(&self.crashes) {
                *explained |= counts(crash, part) && crash.has(part);
            }
        };
        let (mut chosen, mut candidates): (Vec<Candidate>, Vec<Candidate>) = self
            .candidates(is_answered, &is_quarantined)
            .into_iter()
            .partition(|candidate| is_quarantined(candidate.part));
        for known in &chosen {
            explain(&mut explained, known.part);
        }
        candidates.retain(|candidate| evidence(candidate.part, &explained) >= EVIDENCE_MIN);
        loop {
            let best = candidates
                .iter()
                .map(|candidate| (*candidate, evidence(candidate.part, &explained)))
                .filter(|&(_, count)| count >= EVIDENCE_MIN)
                .max_by_key(|&(candidate, count)| {
                    (!candidate.answered, count, candidate.depth, candidate.part)
                });
            let Some((best, count)) = best else { break };
            let culprit = self
                .nested_candidate(&candidates, best, count, |part| evidence(part, &explained))
                .unwrap_or(best);
            explain(&mut explained, culprit.part);
            candidates.retain(|candidate| candidate.part != culprit.part);
            chosen.push(culprit);
        }
        self.drop_redundant(&mut chosen, &settled, &evidence);
        let culprits = chosen.into_iter().map(|candidate| Culprit {
            part: candidate.part,
            crashes: evidence(candidate.part, &settled),
        });
        culprits.collect()
    }

    /// Returns the fingerprints of the lost requests with a part.
    pub(crate) fn requests_with(&self, part: u64) -> Vec<u64> {
        let losses = self
            .crashes
            .iter()
            .flat_map(|crash| crash.losses_with(part));
        let mut requests: Vec<u64> = losses.map(|loss| loss.request).collect();
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// Returns the parts of the held requests with their fingerprints, sorted.
    fn held_requests<H>(&self, is_held_request: H) -> Vec<(u64, u64)>
    where
        H: Fn(u64) -> bool,
    {
        let losses = self.crashes.iter().flat_map(|crash| &crash.losses);
        let held = losses.filter(|loss| loss.request != 0 && is_held_request(loss.request));
        let parts = held.flat_map(|loss| loss.parts.iter().map(|&part| (part, loss.request)));
        let mut parts: Vec<(u64, u64)> = parts.collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// Returns the parts that enough crashes may speak against, and the known culprits.
    fn candidates<A, Q>(&self, is_answered: A, is_quarantined: Q) -> Vec<Candidate>
    where
        A: Fn(u64) -> bool,
        Q: Fn(u64) -> bool,
    {
        let mut parts = Vec::new();
        for (crash, index) in self.crashes.iter().zip(0_u32..) {
            for loss in &crash.losses {
                let depths = loss.parts.iter().enumerate();
                parts.extend(depths.map(|(depth, &part)| (part, index, depth)));
            }
        }
        parts.sort_unstable();
        let candidates = parts.chunk_by(|a, b| a.0 == b.0).filter_map(|of_part| {
            let part = of_part[0].0;
            let crashes = of_part.chunk_by(|a, b| a.1 == b.1).count();
            let is_candidate = crashes >= EVIDENCE_MIN as usize || is_quarantined(part);
            is_candidate.then(|| Candidate {
                part,
                answered: is_answered(part),
                depth: of_part
                    .iter()
                    .map(|&(_, _, depth)| depth)
                    .max()
                    .unwrap_or(0),
            })
        });
        candidates.collect()
    }

    /// Returns a part that occurs only after the best candidate and explains nearly as much.
    ///
    /// A quarantine of the more specific part holds back fewer sound requests.
    fn nested_candidate<E>(
        &self,
        candidates: &[Candidate],
        best: Candidate,
        best_count: u32,
        evidence: E,
    ) -> Option<Candidate>
    where
        E: Fn(u64) -> u32,
    {
        let nested = candidates.iter().filter(|candidate| {
            candidate.depth > best.depth
                && candidate.answered <= best.answered
                && 3 * evidence(candidate.part) >= 2 * best_count
                && evidence(candidate.part) >= EVIDENCE_MIN
                && self.is_nested(candidate.part, best.part)
        });
        nested
            .max_by_key(|candidate| (candidate.depth, candidate.part))
            .copied()
    }

    /// Returns whether each lost request with a part has the other one before it.
    pub(crate) fn is_nested(&self, part: u64, outer: u64) -> bool {
        let mut losses = self
            .crashes
            .iter()
            .flat_map(|crash| crash.losses_with(part));
        losses.all(|loss| {
            let position = |part| loss.parts.iter().position(|&other| other == part);
            position(outer).is_some_and(|outer| Some(outer) < position(part))
        })
    }

    /// Drops parts whose crashes the others explain too, those with the least evidence first.
    ///
    /// A part that occurs only behind another one stays: requests with it are held back anyway.
    fn drop_redundant<E>(&self, chosen: &mut Vec<Candidate>, settled: &[bool], evidence: &E)
    where
        E: Fn(u64, &[bool]) -> u32,
    {
        if chosen.len() < 2 {
            return;
        }
        chosen.sort_by_key(|candidate| std::cmp::Reverse(evidence(candidate.part, settled)));
        let mut index = chosen.len();
        while index > 0 {
            index -= 1;
            let part = chosen[index].part;
            let others = chosen.iter().map(|candidate| candidate.part);
            let others: Vec<u64> = others
                .filter(|&other| other != part && !self.is_nested(part, other))
                .collect();
            let explained: Vec<bool> = self
                .crashes
                .iter()
                .zip(settled)
                .map(|(crash, settled)| *settled || others.iter().any(|&other| crash.has(other)))
                .collect();
            if evidence(part, &explained) < EVIDENCE_MIN {
                chosen.remove(index);
            }
        }
    }
}

/// Returns the only held request with a part, if there is just one. Two different ones speak against
/// the part that they share.
fn only_request(held_requests: &[(u64, u64)], part: u64) -> Option<u64> {
    let first = held_requests.partition_point(|&(other, _)| other < part);
    let mut of_part = held_requests[first..]
        .iter()
        .take_while(|&&(other, _)| other == part);
    let request = of_part.next().map(|&(_, request)| request);
    request.filter(|_| of_part.next().is_none())
}

/// Counts the crashes that speak against a part, at different moments. A request that is retried is
/// lost at several, so at least half of them must be of different requests.
fn count_evidence<'a, I>(part: u64, crashes: I) -> u32
where
    I: Iterator<Item = &'a Crash>,
{
    let mut times_us = Vec::new();
    let mut owns = Vec::new();
    for crash in crashes {
        let known = owns.len();
        owns.extend(crash.losses_with(part).map(|loss| loss.own));
        if owns.len() > known {
            times_us.push(crash.at_us);
        }
    }
    times_us.sort_unstable();
    owns.sort_unstable();
    owns.dedup();
    let crashes = u32::try_from(times_us.len()).unwrap_or(u32::MAX);
    let mut moments = 0;
    let mut last_us = None;
    for at_us in times_us {
        if last_us.is_none_or(|last_us| at_us - last_us >= SAME_MOMENT_US) {
            moments += 1;
            last_us = Some(at_us);
        }
    }
    let requests = u32::try_from(owns.len()).unwrap_or(u32::MAX);
    // So many crashes that they fall together can't wait for another moment.
    let more = if moments > 1 {
        crashes / CRASHES_OF_A_MOMENT
    } else {
        0
    };
    u32::min(moments + more, (2 * requests).saturating_sub(1))
}
