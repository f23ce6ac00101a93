#pragma once

#include "keyvaluejson.h"
#include "keyvaluemodel.h"
#include "standinserver.h"

#include <map>
#include <memory>
#include <optional>

namespace sequoiastand
{

/// Faults that stay until they are switched off.
struct KeyValueFaults
{
    bool isOut = false;        ///< Every request's connection is closed before it has an effect.
    bool losesAnswers = false; ///< Requests have their effect, then their connection is closed.
    Duration delay{0};         ///< Before each answer but those of watches.

    friend bool operator==(const KeyValueFaults &, const KeyValueFaults &) = default;
};

struct KeyValueWatch
{
    KeyValueSpan span;
    long long nextRevision = 0;
    bool wantsProgress = false;

    friend bool operator==(const KeyValueWatch &, const KeyValueWatch &) = default;
};

/// The model behind the JSON gateway.
struct KeyValueService
{
    StandInServer server;
    KeyValueModel model;
    std::optional<KeyValueModel> saved; ///< For a return to an earlier state.
    KeyValueFaults faults;
    std::map<ExchangeId, KeyValueWatch> watches;
    Duration progressPeriod{1'000};
    std::optional<TimePoint> progressDue;
    std::unique_ptr<Timer> timer;
    long long reads = 0;
    long long writes = 0;
};

/// The service must stay where it is until it is stopped.
absl::Status startKeyValueService(KeyValueService &service, int port);

void stopKeyValueService(KeyValueService &service);

}
