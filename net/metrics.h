#pragma once

#include "core/blackboard.h"

#include <boost/histogram.hpp>

#include <map>
#include <string>
#include <string_view>

namespace sequoiastand
{

/// Collects histograms of the samples that controllers and front ends add, and creates the text of `/metrics`.
class Metrics
{
public:
    /// Moves the samples from the counters into the histograms.
    void collectSamples(Counters &counters);

    /// The metrics in the Prometheus text format: counters, histograms, gauges computed from the blackboard, and the `gauges` of the front ends.
    std::string text(const Blackboard &board, const std::map<std::string, double> &gauges) const;

    /// The metrics of a host without a Blackboard.
    std::string text(const Counters &counters, const std::map<std::string, double> &gauges) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    struct HistogramData
    {
        Histogram histogram;
        double sum = 0;
    };

    static std::string histogramText(const std::string &name, const HistogramData &measured);

    std::map<std::string, HistogramData> m_histograms;
};

/// Converts a name in the code to a Prometheus name: "urgentStartMs" becomes "sequoiastand_urgent_start_ms".
std::string metricName(std::string_view name);

}
