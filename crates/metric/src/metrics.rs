//! Registry and counters of the metric families.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::{
    Attainment, ClassLabel, CodeLabel, ComplaintLabel, DutyCallLabel, Gauges, KindLabel,
    ReasonLabel, ShortageLabel, TierLabel, UpstreamCountLabel, UpstreamOrderLabel, WasteLabel,
    WindowLabel, reuse::ReuseCounters,
};

/// Prefix of all metric names.
const PREFIX: &str = "fireflylever";

/// Metric families of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<ClassLabel, Counter>,
    judged: Family<ClassLabel, Counter>,
    met: Family<ClassLabel, Counter>,
    goodput_tokens: Family<ClassLabel, Counter>,
    wasted_tokens: Family<WasteLabel, Counter>,
    first_token_seconds: Family<ClassLabel, Histogram>,
    token_gap_seconds: Family<ClassLabel, Histogram>,
    refused: Family<CodeLabel, Counter>,
    attempts: Counter,
    retries: Counter,
    preemptions: Counter,
    hedges: Counter,
    upstream_departures: Counter,
    upstream_pauses: Counter,
    sent_after_leaving: Counter,
    ordered_upstreams: Family<UpstreamCountLabel, Gauge>,
    upstream_orders: Family<UpstreamOrderLabel, Counter>,
    duty_holder_changes: Counter,
    duty_calls: Family<DutyCallLabel, Counter>,
    usage_windows: Family<WindowLabel, Counter>,
    duties_held: Gauge,
    lost_histories: Family<KindLabel, Counter>,
    dropped_reads: Family<ReasonLabel, Counter>,
    upstreams_version: Gauge,
    store_era: Gauge,
    restores: Counter,
    reuse: ReuseCounters,
    upstream_complaints: Family<ComplaintLabel, Counter>,
    shortages: Family<ShortageLabel, Counter>,
    closed_callers: Family<ReasonLabel, Counter>,
    held_bytes: Family<KindLabel, Gauge>,
    memory_waits: Gauge,
    caller_connections: Gauge,
    queued: Family<TierLabel, Gauge>,
    oldest_wait_us: Family<TierLabel, Gauge>,
    in_flight: Gauge,
    stragglers: Gauge,
    quarantined_parts: Gauge,
    config_version: Gauge,
    live_peers: Gauge,
    ready: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            judged: Family::default(),
            met: Family::default(),
            goodput_tokens: Family::default(),
            wasted_tokens: Family::default(),
            first_token_seconds: Family::new_with_constructor(first_token_histogram),
            token_gap_seconds: Family::new_with_constructor(token_gap_histogram),
            refused: Family::default(),
            attempts: Counter::default(),
            retries: Counter::default(),
            preemptions: Counter::default(),
            hedges: Counter::default(),
            upstream_departures: Counter::default(),
            upstream_pauses: Counter::default(),
            sent_after_leaving: Counter::default(),
            ordered_upstreams: Family::default(),
            upstream_orders: Family::default(),
            duty_holder_changes: Counter::default(),
            duty_calls: Family::default(),
            usage_windows: Family::default(),
            duties_held: Gauge::default(),
            lost_histories: Family::default(),
            dropped_reads: Family::default(),
            upstreams_version: Gauge::default(),
            store_era: Gauge::default(),
            restores: Counter::default(),
            reuse: ReuseCounters::default(),
            upstream_complaints: Family::default(),
            shortages: Family::default(),
            closed_callers: Family::default(),
            held_bytes: Family::default(),
            memory_waits: Gauge::default(),
            caller_connections: Gauge::default(),
            queued: Family::default(),
            oldest_wait_us: Family::default(),
            in_flight: Gauge::default(),
            stragglers: Gauge::default(),
            quarantined_parts: Gauge::default(),
            config_version: Gauge::default(),
            live_peers: Gauge::default(),
            ready: Gauge::default(),
        };
        metrics.register();
        metrics.register_orders();
        metrics.register_duties();
        metrics.register_store();
        metrics.reuse.register(&mut metrics.registry);
        metrics.register_upstream_news();
        metrics.register_holds();
        metrics
    }
}

impl Metrics {
    /// Counts a request that was accepted for scheduling.
    pub fn record_accepted(&self, class: &str) {
        self.requests.get_or_create(&class_label(class)).inc();
    }

    /// Counts a request that got a complete response, and its tokens.
    pub fn record_complete(&self, class: &str, attainment: Attainment, tokens: u32) {
        let label = class_label(class);
        self.count_attainment(&label, attainment);
        self.goodput_tokens
            .get_or_create(&label)
            .inc_by(u64::from(tokens));
    }

    /// Counts a request that ended without a complete response, and its tokens up to then.
    pub fn record_incomplete(
        &self,
        class: &str,
        cause: &'static str,
        attainment: Attainment,
        tokens: u32,
    ) {
        self.count_attainment(&class_label(class), attainment);
        let label = WasteLabel {
            class: class.to_owned(),
            cause,
        };
        self.wasted_tokens
            .get_or_create(&label)
            .inc_by(u64::from(tokens));
    }

    /// Observes the time to the first token.
    pub fn record_first_token(&self, class: &str, seconds: f64) {
        self.first_token_seconds
            .get_or_create(&class_label(class))
            .observe(seconds);
    }

    /// Observes the mean gap between the tokens of a response.
    pub fn record_token_gap(&self, class: &str, seconds: f64) {
        self.token_gap_seconds
            .get_or_create(&class_label(class))
            .observe(seconds);
    }

    /// Counts a refused request by result code.
    pub fn record_refusal(&self, number: u16, name: &'static str) {
        let label = CodeLabel {
            code: u32::from(number),
            name,
        };
        self.refused.get_or_create(&label).inc();
    }

    /// Counts an attempt at an upstream; every attempt after number 1 is also a retry.
    pub fn record_attempt(&self, number: u32) {
        self.attempts.inc();
        if number > 1 {
            self.retries.inc();
        }
    }

    /// Counts a preemption.
    pub fn record_preemption(&self) {
        self.preemptions.inc();
    }

    /// Counts a hedged attempt.
    pub fn record_hedge(&self) {
        self.hedges.inc();
    }

    /// Counts an upstream that said in an answer that it is leaving.
    pub fn record_upstream_departure(&self) {
        self.upstream_departures.inc();
    }

    /// Counts an answer of an upstream that asked for a pause.
    pub fn record_upstream_pause(&self) {
        self.upstream_pauses.inc();
    }

    /// Counts an attempt that was sent to an upstream that this host knew as leaving or gone.
    pub fn record_sent_after_leaving(&self) {
        self.sent_after_leaving.inc();
    }

    /// Sets the number of upstreams of one kind that a service has in one state.
    pub fn set_ordered_upstreams(
        &self,
        service: &str,
        kind: &'static str,
        state: &'static str,
        count: u32,
    ) {
        let label = UpstreamCountLabel {
            service: service.to_owned(),
            kind,
            state,
        };
        self.ordered_upstreams
            .get_or_create(&label)
            .set(i64::from(count));
    }

    /// Forgets the numbers of upstreams, which another host writes from now on.
    pub fn clear_ordered_upstreams(&self) {
        self.ordered_upstreams.clear();
    }

    /// Counts an order of upstreams by its result.
    pub fn record_upstream_order(&self, service: &str, kind: &'static str, result: &'static str) {
        let label = UpstreamOrderLabel {
            service: service.to_owned(),
            kind,
            result,
        };
        self.upstream_orders.get_or_create(&label).inc();
    }

    /// Counts that this host began or ceased to hold the duties.
    pub fn record_duty_holder_change(&self) {
        self.duty_holder_changes.inc();
    }

    /// Counts a call of a duty by its result.
    pub fn record_duty_call(&self, duty: &'static str, result: &'static str) {
        let label = DutyCallLabel { duty, result };
        self.duty_calls.get_or_create(&label).inc();
    }

    /// Counts a window of the usage reports by its outcome: `reported` or `missed`.
    pub fn record_usage_window(&self, outcome: &'static str) {
        let label = WindowLabel { outcome };
        self.usage_windows.get_or_create(&label).inc();
    }

    /// Counts a read of changes that the store answered with all rows; `read` names its kind.
    pub fn record_lost_history(&self, read: &'static str) {
        let label = KindLabel { kind: read };
        self.lost_histories.get_or_create(&label).inc();
    }

    /// Counts a list of upstreams that was not applied, by the reason.
    pub fn record_dropped_read(&self, reason: &'static str) {
        let label = ReasonLabel { reason };
        self.dropped_reads.get_or_create(&label).inc();
    }

    /// Counts a list of upstreams that was applied from a store that came back from an older copy.
    pub fn record_restore(&self) {
        self.restores.inc();
    }

    /// Counts complaints about upstreams that this daemon told others.
    pub fn record_complaints_told(&self, count: usize) {
        self.count_complaints("told", count);
    }

    /// Counts complaints about upstreams that this daemon heard from others.
    pub fn record_complaints_heard(&self, count: usize) {
        self.count_complaints("heard", count);
    }

    /// Counts upstreams that went out of service because of complaints of others.
    pub fn record_complaints_followed(&self, count: usize) {
        self.count_complaints("followed", count);
    }

    /// Counts complaints of others that have lapsed.
    pub fn record_complaints_lapsed(&self, count: usize) {
        self.count_complaints("lapsed", count);
    }

    fn count_complaints(&self, event: &'static str, count: usize) {
        self.upstream_complaints
            .get_or_create(&ComplaintLabel { event })
            .inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    }

    /// Counts memory that was not granted, by what it was for and why.
    pub fn record_shortage(&self, kind: &'static str, reason: &'static str) {
        let label = ShortageLabel { kind, reason };
        self.shortages.get_or_create(&label).inc();
    }

    /// Counts a connection of a caller that was closed, by reason.
    pub fn record_closed_caller(&self, reason: &'static str) {
        self.closed_callers
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Sets the gauges and writes all families in the Prometheus text format.
    #[must_use]
    pub fn encode(&self, gauges: &Gauges) -> String {
        for (tier, (queued, oldest_wait_us)) in
            (0..).zip(gauges.queued.iter().zip(gauges.oldest_wait_us))
        {
            self.queued
                .get_or_create(&TierLabel { tier })
                .set(saturating_i64(*queued));
            self.oldest_wait_us
                .get_or_create(&TierLabel { tier })
                .set(saturating_i64(oldest_wait_us));
        }
        self.in_flight.set(saturating_i64(gauges.in_flight));
        self.upstreams_version
            .set(saturating_i64(gauges.upstreams_version));
        self.store_era.set(saturating_i64(gauges.store_era));
        self.stragglers.set(saturating_i64(gauges.stragglers));
        self.quarantined_parts
            .set(saturating_i64(gauges.quarantined_parts));
        self.reuse.set(&gauges.reuse);
        for &(kind, bytes) in &gauges.held_bytes {
            self.held_bytes
                .get_or_create(&KindLabel { kind })
                .set(saturating_i64(bytes));
        }
        self.memory_waits.set(saturating_i64(gauges.memory_waits));
        self.caller_connections
            .set(saturating_i64(gauges.caller_connections));
        self.config_version
            .set(saturating_i64(gauges.config_version));
        self.live_peers.set(saturating_i64(gauges.live_peers));
        self.ready.set(i64::from(gauges.ready));
        self.duties_held.set(i64::from(gauges.duties_held));
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts a request with a judged target, and whether it met the target.
    fn count_attainment(&self, label: &ClassLabel, attainment: Attainment) {
        if attainment != Attainment::NotJudged {
            self.judged.get_or_create(label).inc();
        }
        if attainment == Attainment::Met {
            self.met.get_or_create(label).inc();
        }
    }

    fn register_orders(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "ordered_upstreams",
            "Upstreams that this host orders for a service, by kind and state",
            self.ordered_upstreams.clone(),
        );
        register(
            registry,
            "upstream_orders",
            "Orders of upstreams by result",
            &self.upstream_orders,
        );
    }

    /// Registers what became of reads of the platform's store.
    fn register_store(&mut self) {
        let registry = &mut self.registry;
        register(
            registry,
            "lost_store_histories",
            "Reads of changes that the store answered with its history being gone",
            &self.lost_histories,
        );
        register(
            registry,
            "dropped_reads",
            "Lists of upstreams that were not applied, by reason",
            &self.dropped_reads,
        );
        registry.register(
            "upstreams_version",
            "Version of the store up to which the upstreams are known",
            self.upstreams_version.clone(),
        );
        registry.register(
            "store_era",
            "Era of the store, which rises when it comes back from an older copy",
            self.store_era.clone(),
        );
        registry.register(
            "store_restores",
            "Lists of upstreams that were applied from a store that came back from an older copy",
            self.restores.clone(),
        );
    }

    fn register_duties(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "duty_holder_changes",
            "Times that this host began or ceased to hold the duties",
            self.duty_holder_changes.clone(),
        );
        register(
            registry,
            "duty_calls",
            "Calls of the duties by result",
            &self.duty_calls,
        );
        register(
            registry,
            "usage_windows",
            "Windows of the usage reports by outcome",
            &self.usage_windows,
        );
        registry.register(
            "duties_held",
            "Whether this host holds the duties",
            self.duties_held.clone(),
        );
    }

    /// Registers the families about what upstreams say, and what is said of them.
    fn register_upstream_news(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "upstream_departures",
            "Upstreams that said in an answer that they are leaving",
            self.upstream_departures.clone(),
        );
        registry.register(
            "upstream_pauses",
            "Answers of upstreams that asked for a pause",
            self.upstream_pauses.clone(),
        );
        registry.register(
            "sent_after_leaving",
            "Attempts sent to upstreams that this host already knew as leaving or gone",
            self.sent_after_leaving.clone(),
        );
        registry.register(
            "upstream_complaints",
            "Complaints about upstreams that can't be reached, told to or heard from other hosts",
            self.upstream_complaints.clone(),
        );
    }

    /// Registers what is held for callers, and what they don't get.
    fn register_holds(&mut self) {
        let registry = &mut self.registry;
        register(
            registry,
            "memory_shortages",
            "Memory for callers that was not granted",
            &self.shortages,
        );
        register(
            registry,
            "closed_callers",
            "Connections of callers that were closed to save memory or descriptors",
            &self.closed_callers,
        );
        registry.register(
            "held_bytes",
            "Bytes held for callers",
            self.held_bytes.clone(),
        );
        registry.register(
            "memory_waits",
            "Requests that wait for memory",
            self.memory_waits.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        register(
            registry,
            "requests",
            "Requests accepted for scheduling",
            &self.requests,
        );
        register(
            registry,
            "judged_requests",
            "Requests with a judged target",
            &self.judged,
        );
        register(
            registry,
            "attained_requests",
            "Requests that met their targets",
            &self.met,
        );
        register(
            registry,
            "goodput_tokens",
            "Tokens of complete answers",
            &self.goodput_tokens,
        );
        register(
            registry,
            "wasted_tokens",
            "Tokens of answers that ended incomplete",
            &self.wasted_tokens,
        );
        register(
            registry,
            "refused_requests",
            "Refusals by result code",
            &self.refused,
        );
        registry.register("attempts", "Attempts at upstreams", self.attempts.clone());
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register(
            "preemptions",
            "Attempts cancelled for a higher tier",
            self.preemptions.clone(),
        );
        registry.register("hedges", "Hedged attempts", self.hedges.clone());
        let help = "Time to the first token";
        registry.register(
            "first_token_seconds",
            help,
            self.first_token_seconds.clone(),
        );
        let help = "Mean gap between tokens of an answer";
        registry.register("token_gap_seconds", help, self.token_gap_seconds.clone());
        registry.register(
            "queued_requests",
            "Waiting requests by tier",
            self.queued.clone(),
        );
        let help = "Age of the oldest waiting request by tier, in microseconds";
        registry.register("queue_age_us", help, self.oldest_wait_us.clone());
        registry.register(
            "in_flight_requests",
            "Requests queued or running",
            self.in_flight.clone(),
        );
        registry.register(
            "straggler_upstreams",
            "Upstreams judged to be slow",
            self.stragglers.clone(),
        );
        registry.register(
            "quarantined_prompt_parts",
            "Prompt parts whose requests are refused because they crash upstreams",
            self.quarantined_parts.clone(),
        );
        registry.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "live_peers",
            "Other daemons that are live",
            self.live_peers.clone(),
        );
        registry.register(
            "ready",
            "Whether the host takes new work",
            self.ready.clone(),
        );
    }
}

fn register<L>(registry: &mut Registry, name: &str, help: &str, family: &Family<L, Counter>)
where
    L: EncodeLabelSet + Clone + Eq + std::hash::Hash + std::fmt::Debug + Send + Sync + 'static,
{
    registry.register(name, help, family.clone());
}

fn class_label(class: &str) -> ClassLabel {
    ClassLabel {
        class: class.to_owned(),
    }
}

/// Converts to the value type of gauges; saturates.
fn saturating_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Buckets from 12 ms to 25 s; the target of 0.79 s lies between two bounds.
fn first_token_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0123, 2.0, 12))
}

/// Buckets from 2 ms to 2 s; the target of 33 ms lies between two bounds.
fn token_gap_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.002, 2.0, 11))
}
