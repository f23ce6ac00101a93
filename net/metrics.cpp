#include "metrics.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

#include <algorithm>

namespace sequoiastand
{

namespace
{

// Four buckets per decade bound the error of a quantile by a factor of 1.8. The values are in milliseconds; the range
// extends from a step of 0.01 ms to a job of 28 hours.
constexpr unsigned bucketCount = 40;
constexpr double lowestBound = 0.01;
constexpr double highestBound = 1e8;

std::string labelText(const std::string &value)
{
    return absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

void addGauge(std::string &text, const std::string &name, double value)
{
    absl::StrAppend(&text, "# TYPE ", name, " gauge\n", name, " ", value, "\n");
}

void addLabelledGauge(std::string &text, const std::string &name, const std::string &label, const std::map<std::string, long long> &values)
{
    absl::StrAppend(&text, "# TYPE ", name, " gauge\n");
    for (const auto &[key, value] : values) {
        absl::StrAppend(&text, name, "{", label, "=\"", labelText(key), "\"} ", value, "\n");
    }
}

std::string healthName(TargetHealth health)
{
    switch (health) {
    case TargetHealth::Unknown:
        return "unknown";
    case TargetHealth::Healthy:
        return "healthy";
    case TargetHealth::Unresponsive:
        return "silent";
    case TargetHealth::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

std::string peerStateName(PeerState state)
{
    switch (state) {
    case PeerState::Alive:
        return "alive";
    case PeerState::Suspect:
        return "suspect";
    case PeerState::Gone:
        return "gone";
    }
    return "gone";
}

void addBoardGauges(std::string &text, const Blackboard &board)
{
    std::map<std::string, long long> jobs;
    for (const auto &[id, job] : board.jobs.rows()) {
        ++jobs[std::string(name(job.state))];
    }
    std::map<std::string, long long> targets;
    for (const auto &[id, target] : board.targets.rows()) {
        ++targets[healthName(target.health)];
    }
    std::map<std::string, long long> peers;
    for (const auto &[id, peer] : board.peers.rows()) {
        ++peers[peerStateName(peer.state)];
    }
    const auto heldLeases = std::ranges::count_if(board.leases.rows(), [](const auto &row) { return row.second.state == LeaseState::Held; });
    addLabelledGauge(text, "sequoiastand_jobs", "state", jobs);
    addLabelledGauge(text, "sequoiastand_targets", "health", targets);
    addLabelledGauge(text, "sequoiastand_peers", "state", peers);
    addGauge(text, "sequoiastand_leases_held", static_cast<double>(heldLeases));
    addGauge(text, "sequoiastand_attempts", static_cast<double>(board.attempts.size()));
    addGauge(text, "sequoiastand_open_calls", static_cast<double>(board.calls.size()));
    addGauge(text, "sequoiastand_store_pending_writes", static_cast<double>(board.store.writes.size()));
    addGauge(text, "sequoiastand_configuration_version", static_cast<double>(board.configuration.version));
    addGauge(text, "sequoiastand_owned_epoch", static_cast<double>(board.epoch));
    addGauge(text, "sequoiastand_may_start_work", isValid(board.permit, board.now) ? 1 : 0);
}

void addCounters(std::string &text, const Counters &counters)
{
    std::string previous;
    for (const auto &[key, value] : counters.values) {
        const auto metric = metricName(key.name) + "_total";
        if (metric != previous) {
            absl::StrAppend(&text, "# TYPE ", metric, " counter\n");
            previous = metric;
        }
        if (key.label.empty()) {
            absl::StrAppend(&text, metric, " ", value, "\n");
        } else {
            absl::StrAppend(&text, metric, "{reason=\"", labelText(key.label), "\"} ", value, "\n");
        }
    }
}

}

std::string metricName(std::string_view name)
{
    std::string metric = "sequoiastand_";
    for (const char character : name) {
        if (absl::ascii_isupper(static_cast<unsigned char>(character))) {
            if (metric.back() != '_') {
                metric += '_';
            }
            metric += absl::ascii_tolower(static_cast<unsigned char>(character));
        } else {
            metric += absl::ascii_isalnum(static_cast<unsigned char>(character)) ? character : '_';
        }
    }
    return metric;
}

void Metrics::collectSamples(Counters &counters)
{
    for (const auto &sample : counters.samples) {
        auto measured = m_histograms.find(sample.histogram);
        if (measured == m_histograms.end()) {
            measured =
                m_histograms.emplace(sample.histogram, HistogramData{boost::histogram::make_histogram(Axis(bucketCount, lowestBound, highestBound)), 0}).first;
        }
        // A logarithmic axis cannot hold zero, so zero is counted in the first bucket.
        measured->second.histogram(std::max(sample.value, lowestBound));
        measured->second.sum += sample.value;
    }
    counters.samples.clear();
}

std::string Metrics::histogramText(const std::string &name, const HistogramData &measured)
{
    std::string text = absl::StrCat("# TYPE ", name, " histogram\n");
    const auto &axis = measured.histogram.axis();
    double cumulativeCount = 0;
    for (int bucket = 0; bucket < axis.size(); ++bucket) {
        cumulativeCount += measured.histogram.at(bucket);
        absl::StrAppendFormat(&text, "%s_bucket{le=\"%.4g\"} %.0f\n", name, axis.bin(bucket).upper(), cumulativeCount);
    }
    const double count = cumulativeCount + measured.histogram.at(axis.size());
    absl::StrAppendFormat(&text, "%s_bucket{le=\"+Inf\"} %.0f\n%s_sum %g\n%s_count %.0f\n", name, count, name, measured.sum, name, count);
    return text;
}

std::string Metrics::text(const Blackboard &board, const std::map<std::string, double> &gauges) const
{
    std::string boardText;
    addBoardGauges(boardText, board);
    return boardText + text(board.counters, gauges);
}

std::string Metrics::text(const Counters &counters, const std::map<std::string, double> &gauges) const
{
    std::string text;
    for (const auto &[name, value] : gauges) {
        addGauge(text, metricName(name), value);
    }
    addCounters(text, counters);
    for (const auto &[name, measured] : m_histograms) {
        text += histogramText(metricName(name), measured);
    }
    return text;
}

}
