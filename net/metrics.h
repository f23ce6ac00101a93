#pragma once

#include "core/blackboard.h"

#include <boost/histogram.hpp>

#include <map>
#include <string>
#include <string_view>

namespace sequoiastand
{

/// Histograms of the samples that controllers and front ends have added, and the text that `/metrics` gives.
class Metrics
{
public:
    /// Moves the samples from the board into the histograms.
    void collectSamples(Counters &counters);

    /// Prometheus text: counters, histograms, and gauges read from the board. `gauges` are added by front ends.
    std::string text(const Blackboard &board, const std::map<std::string, double> &gauges) const;

    /// The same for a host without a zone board.
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

/// "urgentStartMs" becomes "sequoiastand_urgent_start_ms".
std::string metricName(std::string_view name);

}
