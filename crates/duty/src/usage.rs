use crate::{Counts, HolderNotice, Message, Origin, Tally, candidates, pages::pages};

/// Time after the end of a window at which a host closes its own counts: what began in the window
/// is known by then.
const CLOSE_DELAY_US: u64 = 400_000;

/// Number of daemons that keep the sums of each host.
const KEEPERS: usize = 2;

/// Number of times that a host tells the sums of a window before its end. What it has not told is
/// lost with it.
const TELLS: u64 = 4;

/// Time after the end of a window at which the holder asks for sums that it has not got.
const WANT_AFTER_US: u64 = 500_000;

/// Time between two such requests to a host.
const WANT_INTERVAL_US: u64 = 600_000;

/// Time between two notices of the holder to the other candidates.
const NOTICE_INTERVAL_US: u64 = 1_000_000;

/// Counts of one host by window, and what it keeps of the counts of other hosts.
#[derive(Debug, Clone)]
pub struct Usage {
    window_us: u64,
    /// Time after the end of a window for which its counts are kept.
    late_us: u64,
    origin: Origin,
    tally: Tally,
    /// Own sums that the keepers were told, sorted by window.
    told: Vec<Told>,
    /// Daemons that were told them.
    told_to: Vec<String>,
    stops: bool,
    next_tell_us: u64,
    next_notice_us: u64,
    /// Hosts that were asked for sums, with the window and the time.
    wanted: Vec<(String, u64, u64)>,
    /// Token and window for which the other candidates were last asked for sums of hosts that are
    /// gone.
    orphans_asked: Option<(u64, u64)>,
    holder: Option<HolderNotice>,
    /// Live hosts, sorted; without this one.
    live: Vec<String>,
    /// Last window that this host has closed.
    closed: Option<u64>,
}

/// Sums of a window that the keepers were told.
#[derive(Debug, Clone)]
struct Told {
    window: u64,
    counts: Counts,
    /// Whether the window was over.
    is_closed: bool,
}

impl Usage {
    /// Creates the counts of a host; `run` must be unique among its runs.
    #[must_use]
    pub fn new(window_s: u64, late_s: u64, host: &str, run: u64) -> Self {
        Self {
            window_us: window_s.max(1).saturating_mul(1_000_000),
            late_us: late_s.saturating_mul(1_000_000),
            origin: Origin {
                host: host.to_owned(),
                run,
            },
            tally: Tally::default(),
            told: Vec::new(),
            told_to: Vec::new(),
            stops: false,
            next_tell_us: 0,
            next_notice_us: 0,
            wanted: Vec::new(),
            orphans_asked: None,
            holder: None,
            live: Vec::new(),
            closed: None,
        }
    }

    /// Returns the number of the window of a Unix time.
    #[must_use]
    pub const fn window_of(&self, unix_us: u64) -> u64 {
        unix_us / self.window_us
    }

    /// Returns the Unix time at which a window ends.
    #[must_use]
    pub const fn end_us(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.window_us)
    }

    /// Returns the Unix time by which a window must be reported.
    #[must_use]
    pub const fn due_us(&self, window: u64) -> u64 {
        self.end_us(window).saturating_add(self.late_us)
    }

    /// Counts a request that began to run at a Unix time.
    pub fn record(&mut self, account: &str, began_unix_us: u64) {
        let window = self.window_of(began_unix_us);
        let sums = self.tally.entry(window, &self.origin);
        sums.counts.add(account, 1);
        if sums.closed_total.is_some() {
            sums.closed_total = Some(sums.counts.total());
        }
    }

    /// Updates the live hosts; without this one, in any order.
    pub fn set_live(&mut self, mut live: Vec<String>) {
        live.sort_unstable();
        self.live = live;
    }

    /// Makes the host tell its counts as they change, because it stops soon.
    pub const fn stop(&mut self) {
        self.stops = true;
    }

    /// Records who holds the duties, unless a newer holder is known.
    pub fn see_holder(&mut self, notice: &HolderNotice) {
        let known = self.holder.as_ref().map_or(0, |holder| holder.token);
        if notice.token > known {
            self.holder = Some(notice.clone());
        }
    }

    /// Returns the newest holder that is known.
    #[must_use]
    pub const fn holder(&self) -> Option<&HolderNotice> {
        self.holder.as_ref()
    }

    /// Closes the windows that are over, forgets those that can't be reported any more, and returns
    /// the messages that are due. `token` is that of this host's hold on the duties, if it has one.
    pub fn tick(
        &mut self,
        now_us: u64,
        unix_us: u64,
        token: Option<u64>,
    ) -> Vec<(String, Message)> {
        self.forget_before(
            self.window_of(unix_us.saturating_sub(self.late_us + 2 * self.window_us)),
        );
        let mut messages = Vec::new();
        let closed_one = self.close(unix_us);
        if closed_one || self.stops || now_us >= self.next_tell_us {
            self.next_tell_us = now_us + self.window_us / TELLS;
            self.tell(&mut messages);
        }
        if let Some(token) = token {
            let notice = HolderNotice {
                host: self.origin.host.clone(),
                token,
            };
            self.see_holder(&notice);
            self.announce(now_us, &notice, &mut messages);
            self.request(now_us, unix_us, &notice, &mut messages);
        }
        messages
    }

    /// Handles a message of another daemon and returns the replies.
    pub fn receive(&mut self, message: &Message) -> Vec<Message> {
        match message {
            Message::Page(page) => {
                self.tally.merge(page);
                Vec::new()
            }
            Message::Want {
                window,
                orphans,
                holder,
            } => {
                self.see_holder(holder);
                let is_asked = |of: &Origin| of == &self.origin || (*orphans && self.is_gone(of));
                let sums = self.tally.of_window(*window).iter();
                let asked = sums.filter(|sums| is_asked(&sums.origin));
                asked.flat_map(|sums| pages(sums, None)).collect()
            }
            Message::Holder(notice) => {
                self.see_holder(notice);
                Vec::new()
            }
        }
    }

    /// Returns the counts of a window over all hosts.
    #[must_use]
    pub fn counts(&self, window: u64) -> Counts {
        self.tally.counts(window)
    }

    /// Returns whether this host and all live ones have told their counts of a window.
    #[must_use]
    pub fn is_complete(&self, window: u64) -> bool {
        let live = self.live.iter().map(String::as_str);
        let hosts = live.chain([self.origin.host.as_str()]);
        self.tally.is_complete(window, hosts)
    }

    /// Closes the windows that are over at this host; returns whether there was one.
    fn close(&mut self, unix_us: u64) -> bool {
        let closing_us = unix_us.saturating_sub(CLOSE_DELAY_US);
        let Some(last) = self.window_of(closing_us).checked_sub(1) else {
            return false;
        };
        let oldest = self.window_of(unix_us.saturating_sub(self.late_us));
        // A host that has just started has counted nothing before.
        let first = self.closed.map_or(last, |closed| closed + 1).max(oldest);
        for window in first..=last {
            let sums = self.tally.entry(window, &self.origin);
            sums.closed_total = Some(sums.counts.total());
        }
        self.closed = self.closed.max(Some(last));
        first <= last
    }

    /// Tells the keepers the own sums that have changed, and all sums of a window when it is over.
    fn tell(&mut self, messages: &mut Vec<(String, Message)>) {
        let keepers = self.keepers();
        if keepers != self.told_to {
            self.told.clear();
            self.told_to.clone_from(&keepers);
        }
        let own = self.tally.sums().iter();
        for sums in own.filter(|sums| sums.origin == self.origin) {
            let index = self
                .told
                .binary_search_by_key(&sums.window, |told| told.window);
            let told = index.ok().map(|index| &self.told[index]);
            let is_closed = sums.closed_total.is_some();
            // A window that is over is told whole, which replaces what was lost of it before.
            let is_whole = told.is_none_or(|told| told.is_closed != is_closed);
            if !is_whole && told.is_some_and(|told| told.counts == sums.counts) {
                continue;
            }
            let known = told.filter(|_| !is_whole).map(|told| &told.counts);
            let news = pages(sums, known);
            let now_told = Told {
                window: sums.window,
                counts: sums.counts.clone(),
                is_closed,
            };
            match index {
                Ok(index) => self.told[index] = now_told,
                Err(index) => self.told.insert(index, now_told),
            }
            for keeper in &keepers {
                messages.extend(news.iter().map(|page| (keeper.clone(), page.clone())));
            }
        }
    }

    /// Tells the other candidates who holds the duties, so that all hosts can learn it from them.
    fn announce(
        &mut self,
        now_us: u64,
        notice: &HolderNotice,
        messages: &mut Vec<(String, Message)>,
    ) {
        if now_us < self.next_notice_us {
            return;
        }
        self.next_notice_us = now_us + NOTICE_INTERVAL_US;
        let others = self.candidates().into_iter();
        let others = others.filter(|host| *host != self.origin.host);
        messages.extend(others.map(|host| (host.to_owned(), Message::Holder(notice.clone()))));
    }

    /// Asks the hosts whose sums of a window that is over are missing.
    fn request(
        &mut self,
        now_us: u64,
        unix_us: u64,
        notice: &HolderNotice,
        messages: &mut Vec<(String, Message)>,
    ) {
        self.wanted
            .retain(|(_, _, asked_us)| now_us.saturating_sub(*asked_us) < WANT_INTERVAL_US);
        let last = self
            .window_of(unix_us.saturating_sub(WANT_AFTER_US))
            .saturating_sub(1);
        let oldest = self.window_of(unix_us.saturating_sub(self.late_us));
        let want = |window, orphans| Message::Want {
            window,
            orphans,
            holder: notice.clone(),
        };
        let first = match self.orphans_asked {
            Some((token, window)) if token == notice.token => oldest.max(window + 1),
            _ => oldest,
        };
        self.orphans_asked = Some((notice.token, last));
        for host in self.candidates() {
            messages.extend((first..=last).map(|window| (host.to_owned(), want(window, true))));
        }
        for window in oldest..=last {
            for host in &self.live {
                let is_asked = |asked: &(String, u64, u64)| asked.0 == *host && asked.1 == window;
                if self.tally.is_complete(window, [host.as_str()])
                    || self.wanted.iter().any(is_asked)
                {
                    continue;
                }
                self.wanted.push((host.clone(), window, now_us));
                messages.push((host.clone(), want(window, false)));
            }
        }
        messages.retain(|(host, _)| *host != self.origin.host);
    }

    fn forget_before(&mut self, window: u64) {
        self.tally.forget_before(window);
        self.told.retain(|told| told.window >= window);
    }

    /// Returns whether an origin may be a run that has ended.
    fn is_gone(&self, origin: &Origin) -> bool {
        let is_live = self.live.binary_search(&origin.host).is_ok();
        let is_own = origin.host == self.origin.host;
        !(is_live || is_own) || self.tally.has_restarted(&origin.host)
    }

    /// Returns the daemons that keep this host's sums: the holder and the best candidates.
    fn keepers(&self) -> Vec<String> {
        let own = self.origin.host.as_str();
        let holder = self.holder.iter().map(|holder| holder.host.as_str());
        let is_live = |host: &&str| self.live.iter().any(|live| live == host);
        let mut keepers: Vec<&str> = holder
            .filter(|host| *host == own || is_live(host))
            .collect();
        for candidate in self.candidates() {
            if !keepers.contains(&candidate) {
                keepers.push(candidate);
            }
        }
        keepers.truncate(KEEPERS);
        keepers
            .into_iter()
            .filter(|keeper| *keeper != own)
            .map(str::to_owned)
            .collect()
    }

    fn candidates(&self) -> Vec<&str> {
        let live = self.live.iter().map(String::as_str);
        candidates(live.chain([self.origin.host.as_str()]))
    }
}
