#include "settings.h"

#include "net/socketaddress.h"
#include "settingsreader.h"
#include "wire/jsonfields.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace sequoiastand
{

namespace
{

using std::chrono::hours;
using std::chrono::minutes;

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= 64 && std::ranges::all_of(text, [](char character) {
        return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' || character == '.';
    });
}

bool isTokenHash(const std::string &text)
{
    return text.size() == 64 && std::ranges::all_of(text, [](char character) {
               return absl::ascii_isdigit(static_cast<unsigned char>(character)) || (character >= 'a' && character <= 'f');
           });
}

const TextRule nameRule{isName, "a name of 1 to 64 letters, digits, dots, hyphens or underscores"};
const TextRule addressRule{[](const std::string &text) { return socketAddressFromText(text).ok(); }, "an IPv4 address and port such as \"127.0.0.1:7443\""};
const TextRule hashRule{isTokenHash, "the SHA-256 of the token as 64 lower-case hexadecimal digits (printf %s TOKEN | sha256sum)"};

void readHost(SettingsReader &reader, HostSettings &host)
{
    reader.read("id", host.id.value, nameRule, true);
    reader.read("availabilityZone", host.availabilityZone.value, nameRule, true);
    reader.read("httpAddress", host.httpAddress, addressRule, true);
    reader.read("peerAddress", host.peerAddress, addressRule, true);
}

void readSeed(SettingsReader &reader, std::vector<SeedHost> &seeds)
{
    SeedHost seed;
    reader.read("id", seed.id.value, nameRule, true);
    reader.read("availabilityZone", seed.availabilityZone.value, nameRule, true);
    reader.read("peerAddress", seed.peerAddress, addressRule, true);
    seeds.push_back(seed);
}

void readLimits(SettingsReader &reader, Limits &limits)
{
    const Duration shortest{10};
    reader.read("permitPeriodMs", limits.permitPeriod, shortest, minutes{1});
    reader.read("permitRenewalMs", limits.permitRenewal, shortest, minutes{1});
    reader.read("heartbeatPeriodMs", limits.heartbeatPeriod, shortest, minutes{1});
    reader.read("suspectAfterMs", limits.suspectAfter, shortest, minutes{10});
    reader.read("goneAfterMs", limits.goneAfter, shortest, hours{1});
    reader.read("targetLeaseMs", limits.targetLease, shortest, minutes{10});
    reader.read("targetLeaseWaitMs", limits.targetLeaseWait, Duration{0}, minutes{1});
    reader.read("reservationExpiryMs", limits.reservationExpiry, shortest, minutes{1});
    reader.read("targetCallTimeoutMs", limits.targetCallTimeout, shortest, minutes{1});
    reader.read("storeCallTimeoutMs", limits.storeCallTimeout, shortest, minutes{1});
    reader.read("storeLeaseMs", limits.storeLease, Duration{1'000}, minutes{10});
    reader.read("storeBatchDelayMs", limits.storeBatchDelay, Duration{0}, Duration{10'000});
    reader.read("storeBatchOperations", limits.storeBatchOperations, 1, 128);
    reader.read("leaseCallsPerRound", limits.leaseCallsPerRound, 1, 1'000);
    reader.read("leaseRoundMs", limits.leaseRound, shortest, minutes{1});
    reader.read("bulkOperationsPerStep", limits.bulkOperationsPerStep, 1, 100'000);
    reader.read("maxJobAttempts", limits.maxJobAttempts, 1, 100);
    reader.read("silentZoneTakeoverMs", limits.silentZoneTakeover, shortest, hours{24});
    reader.read("stopLimitMs", limits.stopLimit, shortest, minutes{10});
    reader.read("hostListPeriodMs", limits.hostListPeriod, shortest, minutes{10});
    reader.read("ledgerDelayMs", limits.ledgerDelay, shortest, hours{24 * 7});
}

void readHttp(SettingsReader &reader, HttpServerLimits &http)
{
    reader.read("maxConnections", http.maxConnections, 1U, 20'000U);
    reader.read("maxBodyBytes", http.maxBodyBytes, std::size_t{1}, std::size_t{1024} * 1024);
    reader.read("receiveBudgetBytes", http.receiveBudgetBytes, std::size_t{0}, std::size_t{1024} * 1024 * 1024);
    reader.read("requestTimeoutMs", http.requestTimeout, Duration{10}, minutes{10});
    reader.read("responseTimeoutMs", http.responseTimeout, Duration{10}, minutes{10});
    reader.read("idleTimeoutMs", http.idleTimeout, Duration{10}, hours{1});
}

void readPeers(SettingsReader &reader, PeerListenerLimits &peers)
{
    reader.read("maxConnections", peers.maxConnections, std::size_t{1}, std::size_t{10'000});
    reader.read("receiveBudgetBytes", peers.receiveBudgetBytes, std::size_t{1024} * 1024, std::size_t{1024} * 1024 * 1024);
}

void readLog(SettingsReader &reader, LogSettings &log)
{
    reader.read("file", log.file, {[](const std::string &text) { return !text.empty(); }, "the path of a file"});
    std::string level;
    reader.read("level", level, {[](const std::string &text) { return text == "info" || text == "error"; }, "\"info\" or \"error\""});
    log.level = level == "error" ? LogLevel::Error : LogLevel::Info;
}

void readDomainLimits(SettingsReader &reader, DomainLimits &limits)
{
    const Duration shortest{10};
    reader.read("holdMaxMs", limits.holdMax, Duration{1'000}, minutes{10});
    reader.read("reclaimBoundMs", limits.reclaimBound, Duration{100}, minutes{10});
    reader.read("stopGraceMs", limits.stopGrace, Duration{0}, minutes{1});
    reader.read("harmBoundMs", limits.harmBound, Duration{500}, minutes{10});
    reader.read("gangWaitMs", limits.gangWait, Duration{100}, minutes{10});
    reader.read("revokeBoundMs", limits.revokeBound, Duration{1'000}, minutes{10});
    reader.readSeconds("statusRetentionS", limits.statusRetention, Duration{1'000}, hours{24 * 7});
    reader.read("remoteFactor", limits.remoteFactor, 1.0, 1'000.0);
    reader.readSeconds("checkpointPeriodS", limits.checkpointPeriod, Duration{0}, hours{1});
    reader.read("restoreTimeMs", limits.restoreTime, Duration{0}, hours{1});
    reader.read("minStoreLeaseMs", limits.minStoreLease, shortest, minutes{10});
    reader.read("proofPeriodMs", limits.proofPeriod, shortest, minutes{1});
    reader.read("maxProofAgeMs", limits.maxProofAge, shortest, minutes{1});
    reader.read("storeTimeoutMs", limits.storeTimeout, shortest, minutes{1});
    reader.read("ownerLeaseMs", limits.ownerLease, Duration{1'000}, minutes{10});
    reader.read("holdWaitMs", limits.holdWait, Duration{0}, Duration{2'000});
    reader.read("orderTimeoutMs", limits.orderTimeout, shortest, minutes{1});
    reader.read("startTimeoutMs", limits.startTimeout, shortest, minutes{1});
    reader.read("contactAgeMs", limits.contactAge, shortest, minutes{10});
    reader.read("planPeriodMs", limits.planPeriod, Duration{1}, minutes{1});
}

DomainLoopSettings readDomain(SettingsReader &reader)
{
    DomainLoopSettings settings;
    reader.readObject(
        "host",
        [&](SettingsReader &nested) {
            nested.read("id", settings.domain.id.value, nameRule, true);
            nested.read("availabilityZone", settings.domain.availabilityZone.value, nameRule, true);
            nested.read("httpAddress", settings.domain.callerAddress, addressRule, true);
            nested.read("readinessAddress", settings.domain.readinessAddress, addressRule, true);
            nested.read("metricsAddress", settings.metricsAddress, addressRule);
            nested.read("processorShare", settings.domain.processorShare, 0.0, 1'024.0);
        },
        true);
    reader.readObject(
        "serviceDomain",
        [&](SettingsReader &nested) {
            std::vector<std::string> zones;
            nested.read("storeAddress", settings.storeAddress, addressRule, true);
            nested.read("adviserAddress", settings.adviserAddress, addressRule);
            nested.readTexts("availabilityZones", zones, nameRule, true);
            nested.readSeconds("gracePeriodS", settings.gracePeriod, Duration{1'000}, minutes{10});
            nested.readObject("limits", [&](SettingsReader &limits) { readDomainLimits(limits, settings.domain.limits); });
            std::ranges::transform(
                zones, std::back_inserter(settings.domain.availabilityZones), [](const std::string &zone) { return AvailabilityZoneId{zone}; });
        },
        true);
    reader.readObject("http", [&](SettingsReader &nested) { readHttp(nested, settings.http); });
    return settings;
}

void readZoneDomain(SettingsReader &reader, HostLoopSettings &loop)
{
    reader.readObject(
        "host", [&](SettingsReader &nested) { readHost(nested, loop.host); }, true);
    reader.readObjects("seeds", [&](SettingsReader &nested) { readSeed(nested, loop.host.seeds); });
    reader.readObject(
        "store",
        [&](SettingsReader &nested) {
            nested.readTexts("addresses", loop.store.addresses, addressRule, true);
            nested.read("watchSilenceMs", loop.store.watchIdleTimeout, Duration{100}, hours{1});
            nested.read("watchOpenTimeoutMs", loop.store.watchOpenTimeout, Duration{100}, minutes{1});
        },
        true);
    reader.readObject("hostList", [&](SettingsReader &nested) { nested.read("address", loop.hostListAddress, addressRule, true); });
    reader.readObject("http", [&](SettingsReader &nested) { readHttp(nested, loop.http); });
    reader.readObject("peers", [&](SettingsReader &nested) { readPeers(nested, loop.peerListener); });
    reader.readObject("limits", [&](SettingsReader &nested) { readLimits(nested, loop.host.limits); });
    reader.read("bootstrapAdministratorTokenHash", loop.callers.bootstrapAdministratorTokenHash, hashRule);
}

/// Reads all sections of a settings file. A file with the section `serviceDomain` describes a host of a service domain, any other file a host of a zone domain.
Settings readSettings(SettingsReader &reader, bool isServiceDomain)
{
    Settings settings;
    if (isServiceDomain) {
        settings.domain = readDomain(reader);
    } else {
        readZoneDomain(reader, settings.loop);
    }
    reader.readObject("log", [&](SettingsReader &nested) { readLog(nested, settings.log); });
    reader.finish();
    return settings;
}

}

absl::StatusOr<Settings> settingsFromText(const std::string &text, const std::string &file)
{
    const auto parsed = parseJson(text, file, JsonSyntax::WithComments);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const auto &json = *parsed;
    if (!json.is_object()) {
        return absl::InvalidArgumentError(absl::StrCat(file, ": the file must contain one JSON object"));
    }
    std::vector<std::string> errors;
    SettingsReader reader(json, "", errors);
    auto settings = readSettings(reader, json.contains("serviceDomain"));
    if (errors.empty()) {
        return settings;
    }
    std::string message;
    for (const auto &error : errors) {
        absl::StrAppend(&message, message.empty() ? "" : "\n", file, ": ", error);
    }
    return absl::InvalidArgumentError(message);
}

absl::StatusOr<Settings> settingsFromFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return absl::NotFoundError(absl::StrCat(file, ": cannot be opened"));
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return settingsFromText(text.str(), file);
}

}
