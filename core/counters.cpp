#include "counters.h"

namespace sequoiastand
{

void count(Counters &counters, const std::string &name, const std::string &label, long long amount)
{
    counters.values[CounterKey{name, label}] += amount;
}

void addSample(Counters &counters, const std::string &histogram, double value)
{
    counters.samples.push_back({histogram, value});
}

}
