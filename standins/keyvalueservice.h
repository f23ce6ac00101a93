#pragma once

#include "keyvaluejson.h"
#include "keyvaluemodel.h"
#include "standinserver.h"

#include <map>
#include <memory>
#include <optional>

namespace sequoiastand
{

/// Faults that persist until they are switched off.
struct KeyValueFaults
{
    bool isOut = false;        ///< Every request's connection is closed before the request takes effect.
    bool losesAnswers = false; ///< Requests take effect, then their connection is closed.
    Duration delay{0};         ///< Delay of each answer, except messages of watches.

    friend bool operator==(const KeyValueFaults &, const KeyValueFaults &) = default;
};

struct KeyValueWatch
{
    KeyValueSpan span;
    long long nextRevision = 0;
    bool wantsProgress = false;

    friend bool operator==(const KeyValueWatch &, const KeyValueWatch &) = default;
};

/// The key-value model behind its JSON gateway.
struct KeyValueService
{
    StandInServer server;
    KeyValueModel model;
    std::optional<KeyValueModel> saved; ///< State that the fault "restore" returns to.
    KeyValueFaults faults;
    std::map<ExchangeId, KeyValueWatch> watches;
    Duration progressPeriod{1'000};
    std::optional<TimePoint> progressDue;
    std::unique_ptr<Timer> timer;
    long long reads = 0;
    long long writes = 0;
};

/// Starts the service. Its address must not change until it is stopped.
absl::Status startKeyValueService(KeyValueService &service, int port);

void stopKeyValueService(KeyValueService &service);

}
