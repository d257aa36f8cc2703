//! Tests of the text format.

use crate::{Attainment, Gauges, Metrics};

/// Guards against a metric family that is counted but not written, or written under another name.
#[test]
fn every_family_is_written() {
    let metrics = Metrics::default();
    metrics.record_accepted("urgent");
    metrics.record_complete("urgent", Attainment::Met, 7);
    metrics.record_incomplete("bulk", "caller_left", Attainment::NotJudged, 3);
    metrics.record_first_token("urgent", 0.2);
    metrics.record_token_gap("urgent", 0.02);
    metrics.record_refusal(3001, "queue_full");
    metrics.record_attempt(1);
    metrics.record_attempt(2);
    metrics.record_preemption();
    metrics.record_hedge();
    metrics.record_sent_after_leaving();
    metrics.set_ordered_upstreams("drafts", "reclaimable", "starting", 4);
    metrics.record_upstream_order("drafts", "reclaimable", "unavailable");
    metrics.record_duty_holder_change();
    metrics.record_duty_call("usage_report", "accepted");
    metrics.record_usage_window("missed");
    metrics.record_shortage("receiving", "full");
    metrics.record_closed_caller("idle");
    let gauges = Gauges {
        queued: [1, 2, 3],
        config_version: 4,
        duties_held: true,
        held_bytes: vec![("kept", 5)],
        memory_waits: 6,
        caller_connections: 7,
        ..Gauges::default()
    };
    let text = metrics.encode(&gauges);
    let lines = [
        "fireflylever_requests_total{class=\"urgent\"} 1",
        "fireflylever_judged_requests_total{class=\"urgent\"} 1",
        "fireflylever_attained_requests_total{class=\"urgent\"} 1",
        "fireflylever_goodput_tokens_total{class=\"urgent\"} 7",
        "fireflylever_wasted_tokens_total{class=\"bulk\",cause=\"caller_left\"} 3",
        "fireflylever_refused_requests_total{code=\"3001\",name=\"queue_full\"} 1",
        "fireflylever_attempts_total 2",
        "fireflylever_retries_total 1",
        "fireflylever_preemptions_total 1",
        "fireflylever_hedges_total 1",
        "fireflylever_sent_after_leaving_total 1",
        "fireflylever_ordered_upstreams{service=\"drafts\",kind=\"reclaimable\",state=\"starting\"} 4",
        "fireflylever_upstream_orders_total{service=\"drafts\",kind=\"reclaimable\",result=\"unavailable\"} 1",
        "fireflylever_duty_holder_changes_total 1",
        "fireflylever_duty_calls_total{duty=\"usage_report\",result=\"accepted\"} 1",
        "fireflylever_usage_windows_total{outcome=\"missed\"} 1",
        "fireflylever_duties_held 1",
        "fireflylever_memory_shortages_total{kind=\"receiving\",reason=\"full\"} 1",
        "fireflylever_closed_callers_total{reason=\"idle\"} 1",
        "fireflylever_held_bytes{kind=\"kept\"} 5",
        "fireflylever_memory_waits 6",
        "fireflylever_caller_connections 7",
        "fireflylever_queued_requests{tier=\"2\"} 3",
        "fireflylever_config_version 4",
        "fireflylever_first_token_seconds_count{class=\"urgent\"} 1",
        "fireflylever_token_gap_seconds_count{class=\"urgent\"} 1",
    ];
    for line in lines {
        assert!(
            text.lines().any(|found| found == line),
            "missing {line} in\n{text}"
        );
    }
}
