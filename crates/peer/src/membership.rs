use rand::Rng;

use crate::{
    Counters, Keys, ListedHost, Member, Options, Output, State, budget::Budget, entry::Entry,
    leaving_list::LeavingList, options::log2, payload_queue::PayloadQueue, probe::Probe,
    relay::Relay, rumors::Rumors,
};

/// View that one daemon has of all daemons, and the state of the membership protocol.
#[derive(Debug, Clone)]
pub struct Membership {
    pub(crate) keys: Keys,
    pub(crate) options: Options,
    pub(crate) me: Member,
    /// Incarnation at the start of this process.
    pub(crate) first_incarnation: u64,
    /// Whether this process has announced that it stops.
    pub(crate) stopping: bool,
    /// The other members, sorted by name.
    pub(crate) entries: Vec<Entry>,
    pub(crate) rumors: Rumors,
    pub(crate) leaving: LeavingList,
    pub(crate) payloads: PayloadQueue,
    /// Payloads that are sent at the next tick, beside the budget of all others.
    pub(crate) urgent: PayloadQueue,
    pub(crate) urgent_budget: Budget,
    pub(crate) budget: Budget,
    pub(crate) counters: Counters,
    pub(crate) sequence: u64,
    /// Time passed to the last call. A long gap between calls means that this process was
    /// suspended.
    pub(crate) last_call_us: Option<u64>,
    /// Probe in progress.
    pub(crate) probe: Option<Probe>,
    /// Members still to be probed in this round, in random order.
    pub(crate) round: Vec<String>,
    /// Indirect probes in progress on behalf of other members.
    pub(crate) relays: Vec<Relay>,
    pub(crate) next_probe_us: u64,
    pub(crate) next_gossip_us: u64,
    pub(crate) next_dead_probe_us: u64,
    /// Number of datagrams still to be sent until a new configuration version of this daemon no
    /// longer causes additional pings.
    pub(crate) version_sends_left: u32,
    /// Whether the digest in the last acknowledgement differed from this daemon's.
    pub(crate) view_differs: bool,
    /// Name of the last record received for synchronisation; the next request starts after it.
    pub(crate) sync_after: String,
    /// Nonces of the pings sent since this process was suspended. `None` if it was not, or once a
    /// peer has confirmed in reply to one of them that the configuration version is current.
    pub(crate) confirm_nonces: Option<Vec<u64>>,
}

impl Membership {
    /// Creates the view of a daemon that knows only itself.
    ///
    /// The incarnation should be higher than that of any earlier process on this host. If it is
    /// not, the first peer that remembers the earlier process makes the daemon choose a higher one.
    #[must_use]
    pub fn new(mut me: Member, keys: Keys, options: Options) -> Self {
        me.incarnation = me.incarnation.max(1);
        let mut rumors = Rumors::default();
        rumors.add(&me.name);
        Self {
            keys,
            first_incarnation: me.incarnation,
            me,
            stopping: false,
            entries: Vec::new(),
            rumors,
            leaving: LeavingList::default(),
            payloads: PayloadQueue::default(),
            urgent: PayloadQueue::default(),
            urgent_budget: Budget::new(options.urgent_bytes_per_s, options.urgent_burst_bytes),
            budget: Budget::new(options.send_bytes_per_s, options.send_burst_bytes),
            counters: Counters::default(),
            options,
            sequence: 0,
            last_call_us: None,
            probe: None,
            round: Vec::new(),
            relays: Vec::new(),
            next_probe_us: 0,
            next_gossip_us: 0,
            next_dead_probe_us: 0,
            version_sends_left: 0,
            view_differs: false,
            sync_after: String::new(),
            confirm_nonces: None,
        }
    }

    /// Updates the view from the platform's host list, which may be out of date.
    ///
    /// A host that is new in the list is probed like a live one. A dead member is pinged again if
    /// its entry is new or its address changed.
    pub fn set_hosts(&mut self, hosts: &[ListedHost]) {
        let mut names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
        names.sort_unstable();
        for entry in &mut self.entries {
            if names.binary_search(&entry.member.name.as_str()).is_err() {
                entry.listed = false;
                entry.listed_leaving = false;
            }
        }
        for host in hosts {
            if host.name == self.me.name {
                // Another daemon may have marked this one as leaving from an older list.
                if !host.leaving && !self.stopping && self.me.state == State::Leaving {
                    self.me.state = State::Live;
                    self.refute(self.me.incarnation);
                }
                continue;
            }
            self.set_host(host);
        }
    }

    /// Sets the version of the configuration in force at this daemon.
    pub fn set_config_version(&mut self, version: u64) {
        if version > self.me.config_version {
            self.me.config_version = version;
            self.version_sends_left = self.hot_sends();
        }
    }

    /// Records that an upstream was seen leaving and spreads this to all peers.
    pub fn add_leaving(&mut self, now_us: u64, upstream: &str) {
        self.leaving.add(now_us, upstream, None, 0);
    }

    /// Records that the instance of an upstream that started at `started_ms`, in Unix
    /// milliseconds, said itself that it is leaving, and spreads this to all peers.
    pub fn add_leaving_instance(&mut self, now_us: u64, upstream: &str, started_ms: u64) {
        self.leaving.add(now_us, upstream, Some(started_ms), 0);
    }

    /// Announces that this daemon is leaving: immediately pings a few members, which spread it
    /// further by gossip.
    pub fn leave<R>(&mut self, now_us: u64, rng: &mut R, out: &mut Vec<Output>)
    where
        R: Rng + ?Sized,
    {
        let now_us = self.advance(now_us, out);
        self.stopping = true;
        self.me.state = State::Leaving;
        self.rumors.add(&self.me.name);
        self.ping_random_live(now_us, rng, out);
    }

    /// Queues an application payload for a member.
    ///
    /// It is sent with the next datagram to that member, or in a separate one at the next tick for
    /// which the byte budget suffices. Delivery is not guaranteed: payloads above 800 bytes are
    /// dropped, and so is the oldest one when more than four wait for the same member.
    ///
    /// # Examples
    ///
    /// ```
    /// use peer::{Keys, ListedHost, Member, Membership, Options, Output};
    /// use rand::{SeedableRng, rngs::StdRng};
    /// use settings::PeerKey;
    ///
    /// let key = PeerKey { id: 1, secret_hex: "00112233445566778899aabbccddeeff".to_owned() };
    /// let keys = Keys::new(&[key]).unwrap();
    /// let mut rng = StdRng::seed_from_u64(1);
    /// let [a, b] = ["127.0.0.1:7001", "127.0.0.1:7002"].map(|text| text.parse().unwrap());
    /// let new = |name, address| {
    ///     Membership::new(Member::new(name, address, 1), keys.clone(), Options::default())
    /// };
    /// let (mut first, mut second) = (new("first", a), new("second", b));
    /// first.set_hosts(&[ListedHost::new("second", b)]);
    ///
    /// // The receiver ignores payloads until the sender knows its incarnation.
    /// let mut delivered = Vec::new();
    /// for t in 1..=3 {
    ///     first.queue_payload("second", vec![7]);
    ///     let (mut out, mut answers) = (Vec::new(), Vec::new());
    ///     first.tick(t * 1_000_000, &mut rng, &mut out);
    ///     for output in out {
    ///         let Output::Send { bytes, .. } = output else { continue };
    ///         second.receive(t * 1_000_000, a, &bytes, &mut rng, &mut answers).unwrap();
    ///     }
    ///     for output in answers {
    ///         match output {
    ///             Output::Send { bytes, .. } => {
    ///                 first.receive(t * 1_000_000, b, &bytes, &mut rng, &mut Vec::new()).unwrap();
    ///             }
    ///             Output::Payload { from, .. } => delivered.push(from),
    ///             _ => {}
    ///         }
    ///     }
    /// }
    /// assert!(delivered.iter().all(|from| from == "first") && !delivered.is_empty());
    /// ```
    pub fn queue_payload(&mut self, to: &str, bytes: Vec<u8>) {
        self.payloads.push(to, bytes);
    }

    /// Queues an application payload that is sent at the next tick.
    ///
    /// Like [`Self::queue_payload`], but with a byte budget of its own, so that it waits for nothing
    /// else.
    pub fn queue_urgent_payload(&mut self, to: &str, bytes: Vec<u8>) {
        self.urgent.push(to, bytes);
    }

    /// Returns this daemon's record of itself.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the other members, sorted by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().map(|entry| &entry.member)
    }

    /// Returns the other members that are live, without those known only from the host list.
    ///
    /// The host list lags and does not show which hosts run a daemon, so an entry in it is not
    /// enough for decisions on which daemons have to agree.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| member.state == State::Live && member.incarnation > 0)
    }

    /// Returns a member other than this daemon.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.entry(name).map(|entry| &entry.member)
    }

    /// Returns the traffic counters since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the upstreams that this daemon or a peer has seen leaving within the last minute.
    pub fn upstreams_leaving(&self) -> impl Iterator<Item = &str> {
        self.leaving.names()
    }

    /// Returns the approximate memory use of this state, without allocator overhead.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let names: usize = self
            .members()
            .map(|member| {
                member.name.capacity() + member.region.capacity() + member.zone.capacity()
            })
            .sum();
        let round: usize = self.round.iter().map(String::capacity).sum();
        size_of::<Self>()
            + self.entries.capacity() * size_of::<Entry>()
            + self.round.capacity() * size_of::<String>()
            + names
            + round
    }

    /// Returns the index of a member in `entries`, or the index at which it would be inserted.
    pub(crate) fn find(&self, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.member.name.as_str().cmp(name))
    }

    pub(crate) fn entry(&self, name: &str) -> Option<&Entry> {
        self.find(name).ok().map(|index| &self.entries[index])
    }

    pub(crate) fn entry_mut(&mut self, name: &str) -> Option<&mut Entry> {
        let index = self.find(name).ok()?;
        Some(&mut self.entries[index])
    }

    /// Returns how many times a change is sent before it no longer causes additional pings.
    pub(crate) fn hot_sends(&self) -> u32 {
        log2(self.entries.len() + 1) + 2
    }

    /// Refutes a record about this daemon by raising its incarnation above that of the record.
    pub(crate) fn refute(&mut self, incarnation: u64) {
        self.me.incarnation = self.me.incarnation.max(incarnation).saturating_add(1);
        self.rumors.add(&self.me.name);
    }

    /// Returns a digest of the members that are not dead; equal views have equal digests.
    ///
    /// The hashes of the members are combined by XOR, so their order does not matter.
    pub(crate) fn digest(&self) -> u32 {
        self.members().fold(digest_of(&self.me), |digest, member| {
            digest ^ digest_of(member)
        })
    }

    /// Updates the entry of another host from the host list, or adds one.
    fn set_host(&mut self, host: &ListedHost) {
        let index = match self.find(&host.name) {
            Ok(index) => index,
            Err(index) => {
                let member = Member::new(&host.name, host.address, 0)
                    .with_locality(&host.region, &host.zone);
                if !member.is_valid() || self.entries.len() >= self.options.members_max {
                    return;
                }
                self.entries.insert(index, Entry::new(member));
                index
            }
        };
        let entry = &mut self.entries[index];
        let address_changed = entry.member.address != host.address;
        // Only a change in the list counts: a list that lags must not mark a restarted daemon as
        // leaving.
        let became_leaving = host.leaving && !entry.listed_leaving;
        let list_changed = !entry.listed || address_changed;
        entry.listed = true;
        entry.listed_leaving = host.leaving;
        if entry.member.state == State::Dead {
            entry.ping_next |= list_changed;
            if address_changed {
                entry.member.address = host.address;
            }
        } else if entry.member.incarnation == 0 {
            entry.member.address = host.address;
        }
        if became_leaving && entry.member.state < State::Leaving {
            entry.member.state = State::Leaving;
            if entry.member.incarnation > 0 {
                let name = entry.member.name.clone();
                self.rumors.add(&name);
            }
        }
    }
}

/// Returns the contribution of one member to the digest.
fn digest_of(member: &Member) -> u32 {
    if member.incarnation == 0 || member.state == State::Dead {
        return 0;
    }
    let leaving = u64::from(member.state == State::Leaving);
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(
        member.name.as_bytes(),
        member.incarnation.rotate_left(1) ^ leaving,
    );
    u32::try_from(hash >> 32).unwrap_or_default()
}
