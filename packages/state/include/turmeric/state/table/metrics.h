/** @file metrics.h Table of the forwarding mode's metrics.
 *
 * Columns: identifier, name, type, unit, labels, description.
 */
TURMERIC_METRIC(decisions,
                "turmeric_decisions_total",
                "counter",
                "segments",
                "reason",
                "Decisions on segments, by reason.")
TURMERIC_METRIC(placed,
                "turmeric_openings_total",
                "counter",
                "flows",
                "placement",
                "Openings placed in the own zone or in another one.")
TURMERIC_METRIC(unanswered,
                "turmeric_openings_unanswered_total",
                "counter",
                "flows",
                "",
                "Openings that their target left unanswered.")
TURMERIC_METRIC(doubts,
                "turmeric_target_doubts_total",
                "counter",
                "targets",
                "",
                "Times that a target came to be doubted.")
TURMERIC_METRIC(reports,
                "turmeric_target_reports_total",
                "counter",
                "reports",
                "",
                "Observations of targets told by other balancers.")
TURMERIC_METRIC(malformed,
                "turmeric_malformed_packets_total",
                "counter",
                "packets",
                "",
                "Packets that could not be read.")
TURMERIC_METRIC(flows,
                "turmeric_flows",
                "gauge",
                "flows",
                "",
                "Flows remembered.")
TURMERIC_METRIC(in_hand,
                "turmeric_target_flows_in_hand",
                "gauge",
                "flows",
                "target,zone,service",
                "Flows that keep a target busy, as seen here.")
TURMERIC_METRIC(target_open,
                "turmeric_target_open",
                "gauge",
                "",
                "target,zone,service",
                "1 if the target gets new flows, else 0.")
TURMERIC_METRIC(target_failures,
                "turmeric_target_failures",
                "gauge",
                "flows",
                "target,zone,service",
                "Openings in a row that the target left unanswered.")
TURMERIC_METRIC(target_weight,
                "turmeric_target_weight",
                "gauge",
                "",
                "target,zone,service",
                "Share of new flows, relative to 1 for an equal target.")
TURMERIC_METRIC(
    service_load,
    "turmeric_service_load",
    "gauge",
    "",
    "service",
    "0 normal, 1 requests queue at some targets, 2 at nearly all and "
    "some are turned away, 3 a sixteenth or more of them.")
TURMERIC_METRIC(admission_limit,
                "turmeric_admission_limit",
                "gauge",
                "flows",
                "service",
                "Flows that may await an answer; -1 without a limit.")
TURMERIC_METRIC(openings_waiting,
                "turmeric_openings_waiting",
                "gauge",
                "flows",
                "service",
                "Openings that wait for their turn.")
TURMERIC_METRIC(requests_lost,
                "turmeric_requests_lost_total",
                "counter",
                "requests",
                "",
                "Requests without an answer for eight usual times, which their "
                "targets have probably reset.")
TURMERIC_METRIC(silence_withheld,
                "turmeric_silence_withheld_total",
                "counter",
                "flows",
                "",
                "Unanswered openings not reported: the target may be full.")
TURMERIC_METRIC(answer_time,
                "turmeric_answer_time_ms",
                "histogram",
                "ms",
                "le",
                "Time from an opening to the caller's next segment.")
TURMERIC_METRIC(table_age,
                "turmeric_table_age_seconds",
                "gauge",
                "s",
                "",
                "Time since the newest snapshot.")
TURMERIC_METRIC(revision,
                "turmeric_directory_revision",
                "gauge",
                "revisions",
                "kind",
                "Revision at which each kind is known.")
TURMERIC_METRIC(registry_era,
                "turmeric_registry_era",
                "gauge",
                "eras",
                "",
                "Era of the registry that is believed; 0 if it names none.")
TURMERIC_METRIC(unread,
                "turmeric_directory_unread",
                "gauge",
                "parts",
                "kind",
                "Entries, or parts of them, that cannot be read.")
TURMERIC_METRIC(calls,
                "turmeric_registry_calls_total",
                "counter",
                "calls",
                "kind,cause,status",
                "Calls to the registry, by what for and how they ended.")
TURMERIC_METRIC(peers,
                "turmeric_peers",
                "gauge",
                "balancers",
                "",
                "Other balancers that are heard.")
TURMERIC_METRIC(release,
                "turmeric_release",
                "gauge",
                "",
                "",
                "Number of the release of this balancer.")
TURMERIC_METRIC(peers_by_release,
                "turmeric_peers_by_release",
                "gauge",
                "balancers",
                "release",
                "Other live balancers by the number of their release.")
TURMERIC_METRIC(silent_zones,
                "turmeric_silent_zones",
                "gauge",
                "zones",
                "",
                "Zones whose balancers are not heard.")
TURMERIC_METRIC(ready,
                "turmeric_ready",
                "gauge",
                "",
                "",
                "1 if routers are told to send traffic here, else 0.")
TURMERIC_METRIC(uptime,
                "turmeric_uptime_seconds",
                "gauge",
                "s",
                "",
                "Time since the start.")
TURMERIC_METRIC(log_lost,
                "turmeric_log_lines_lost_total",
                "counter",
                "lines",
                "cause",
                "Log lines left out, by cause.")
TURMERIC_METRIC(log_bytes,
                "turmeric_log_bytes_total",
                "counter",
                "bytes",
                "",
                "Bytes of log lines written.")
