#pragma once

#include <map>
#include <string>
#include <vector>

namespace sequoiastand
{

/// A measured duration or size that the metrics front end adds to a histogram.
struct Sample
{
    std::string histogram;
    double value = 0;

    friend bool operator==(const Sample &, const Sample &) = default;
};

/// Name of a counter and its only label, for example {"refusals", "queueFull"}.
struct CounterKey
{
    std::string name;
    std::string label;

    friend auto operator<=>(const CounterKey &, const CounterKey &) = default;
};

struct Counters
{
    std::map<CounterKey, long long> values;
    std::vector<Sample> samples; ///< Samples that the metrics front end has not collected yet.

    friend bool operator==(const Counters &, const Counters &) = default;
};

void count(Counters &counters, const std::string &name, const std::string &label, long long amount = 1);

void addSample(Counters &counters, const std::string &histogram, double value);

}
