#pragma once

#include <map>
#include <string>
#include <vector>

namespace sequoiastand
{

/// A measured duration or size, taken by the metrics front end into a histogram.
struct Sample
{
    std::string histogram;
    double value = 0;

    friend bool operator==(const Sample &, const Sample &) = default;
};

/// A counter's name and its one label, for example {"refusals", "queueFull"}.
struct CounterKey
{
    std::string name;
    std::string label;

    friend auto operator<=>(const CounterKey &, const CounterKey &) = default;
};

struct Counters
{
    std::map<CounterKey, long long> values;
    std::vector<Sample> samples; ///< Not yet taken by the metrics front end.

    friend bool operator==(const Counters &, const Counters &) = default;
};

void count(Counters &counters, const std::string &name, const std::string &label, long long amount = 1);

void addSample(Counters &counters, const std::string &histogram, double value);

}
