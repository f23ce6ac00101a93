#include "storejson.h"

#include "core/errors.h"
#include "wire/jsonfields.h"
#include "wire/recordjson.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace sequoiastand
{

namespace
{

using Json = nlohmann::json;

const std::string keyPrefix = "sequoiastand/";

std::string base64(const std::string &text)
{
    return absl::Base64Escape(text);
}

std::string encodedKey(const StoreKey &key)
{
    return base64(keyPrefix + key.path);
}

/// Returns the first key after all keys with the prefix. The product's keys are ASCII, so incrementing the last byte cannot overflow.
std::string encodedRangeEnd(const StoreKey &key)
{
    std::string end = keyPrefix + key.path;
    ++end.back();
    return base64(end);
}

/// Reads an integer. The gateway encodes 64-bit integers as strings and omits zeros.
long long integer(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || found->is_null()) {
        return 0;
    }
    if (found->is_string()) {
        long long value = 0;
        if (!absl::SimpleAtoi(found->get<std::string>(), &value)) {
            throw std::invalid_argument(absl::StrCat(key, " is not a number: ", found->dump()));
        }
        return value;
    }
    return found->get<long long>();
}

Json putOperation(const StoreWrite &write, long long lease)
{
    Json put{{"key", encodedKey(write.key)}, {"value", base64(toText(toJson(*write.record)))}};
    if (write.isBoundToLease) {
        put["lease"] = std::to_string(lease);
    }
    return {{"request_put", std::move(put)}};
}

StoreHttpCall encodeRequest(const StoreTransaction &transaction, long long lease)
{
    Json compare = Json::array();
    Json success = Json::array();
    Json failure = Json::array();
    for (const auto &write : transaction.writes) {
        const auto key = encodedKey(write.key);
        if (write.expected) {
            compare.push_back({{"key", key}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(*write.expected)}});
        }
        success.push_back(write.record ? putOperation(write, lease) : Json{{"request_delete_range", {{"key", key}}}});
        failure.push_back({{"request_range", {{"key", key}}}});
    }
    return {"/v3/kv/txn", Json{{"compare", std::move(compare)}, {"success", std::move(success)}, {"failure", std::move(failure)}}.dump()};
}

StoreHttpCall encodeRequest(const StoreRange &range, long long)
{
    Json body{{"key", encodedKey(range.key)}};
    if (range.isPrefix) {
        body["range_end"] = encodedRangeEnd(range.key);
    }
    return {"/v3/kv/range", body.dump()};
}

StoreHttpCall encodeRequest(const StoreLeaseGrant &grant, long long)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(grant.timeToLive).count();
    return {"/v3/lease/grant", Json{{"TTL", std::to_string(seconds)}}.dump()};
}

StoreHttpCall encodeRequest(const StoreLeaseKeepAlive &keepAlive, long long)
{
    return {"/v3/lease/keepalive", Json{{"ID", std::to_string(keepAlive.lease)}}.dump()};
}

StoreHttpCall encodeRequest(const StoreLeaseRevoke &revoke, long long)
{
    return {"/v3/lease/revoke", Json{{"ID", std::to_string(revoke.lease)}}.dump()};
}

StoreKey decodeKey(const Json &keyValue)
{
    std::string key;
    if (!absl::Base64Unescape(keyValue.at("key").get<std::string>(), &key)) {
        throw std::invalid_argument("key is not base64");
    }
    return {std::string(absl::StripPrefix(key, keyPrefix))};
}

absl::StatusOr<StoreEntry> decodeEntry(const Json &keyValue)
{
    StoreEntry entry;
    entry.key = decodeKey(keyValue);
    entry.revision = integer(keyValue, "mod_revision");
    std::string value;
    const bool isText = absl::Base64Unescape(keyValue.value("value", std::string{}), &value);
    const auto json = isText ? parseJson(value, "value") : absl::InvalidArgumentError("value is not base64");
    if (!json.ok()) {
        return errorAt(absl::StatusCode::kDataLoss, "decodeRecord", entry.key.path, std::string(json.status().message()));
    }
    auto record = storeRecordFromJson(*json, entry.key);
    if (!record.ok()) {
        return record.status();
    }
    entry.record = *std::move(record);
    // The stored record cannot hold its own revision, which is assigned by the write.
    if (auto *job = std::get_if<Job>(&entry.record)) {
        job->revision = entry.revision;
    }
    return entry;
}

/// Adds the entries of a range. Entries that cannot be decoded are left out, so that one bad record does not hide the others; `error` names the first
/// of these entries.
void addEntries(const Json &range, StoreReply &reply)
{
    const auto rows = range.find("kvs");
    if (rows == range.end()) {
        return;
    }
    for (const auto &row : *rows) {
        auto entry = decodeEntry(row);
        if (entry.ok()) {
            reply.entries.push_back(*std::move(entry));
        } else if (reply.error.empty()) {
            reply.error = std::string(entry.status().message());
        }
    }
}

void decodeAnswer(const StoreTransaction &, const Json &json, StoreReply &reply)
{
    reply.outcome = json.value("succeeded", false) ? StoreOutcome::Applied : StoreOutcome::Conflict;
    const auto responses = json.find("responses");
    if (reply.outcome == StoreOutcome::Applied || responses == json.end()) {
        return;
    }
    for (const auto &response : *responses) {
        if (response.contains("response_range")) {
            addEntries(response.at("response_range"), reply);
        }
    }
}

void decodeAnswer(const StoreRange &, const Json &json, StoreReply &reply)
{
    addEntries(json, reply);
}

void decodeLease(const Json &json, StoreReply &reply)
{
    reply.lease = integer(json, "ID");
    reply.leaseTimeToLive = std::chrono::seconds{integer(json, "TTL")};
}

void decodeAnswer(const StoreLeaseGrant &, const Json &json, StoreReply &reply)
{
    decodeLease(json, reply);
}

void decodeAnswer(const StoreLeaseKeepAlive &, const Json &json, StoreReply &reply)
{
    decodeLease(json.at("result"), reply);
}

void decodeAnswer(const StoreLeaseRevoke &, const Json &, StoreReply &)
{
}

Revision headerRevision(const Json &json)
{
    const auto &body = json.contains("result") ? json.at("result") : json;
    const auto header = body.find("header");
    return header == body.end() ? 0 : integer(*header, "revision");
}

std::string describeNotAnObject(const absl::StatusOr<Json> &parsed)
{
    return parsed.ok() ? "not a JSON object" : absl::StrCat("not a JSON object: ", parsed.status().message());
}

absl::Status unreadable(const std::string &step, const std::string &peer, const std::string &reason)
{
    return errorAt(absl::StatusCode::kDataLoss, step, peer, absl::StrCat("unreadable response: ", reason));
}

void addChange(const Json &event, WatchMessage &message)
{
    const auto &keyValue = event.at("kv");
    // The header's revision may be later than that of the last change in the message, so the revision is taken from the changes. The watch resumes after it.
    message.changes.revision = std::max(message.changes.revision, integer(keyValue, "mod_revision"));
    if (event.value("type", std::string("PUT")) == "DELETE") {
        message.changes.deleted.push_back(decodeKey(keyValue));
        return;
    }
    auto entry = decodeEntry(keyValue);
    if (entry.ok()) {
        message.changes.put.push_back(*std::move(entry));
    } else {
        message.unreadable.emplace_back(entry.status().message());
    }
}

WatchMessage readWatchResult(const Json &result)
{
    WatchMessage message;
    message.isCreated = result.value("created", false);
    message.isCancelled = result.value("canceled", false);
    message.compactRevision = integer(result, "compact_revision");
    const auto events = result.find("events");
    if (events == result.end() || events->empty()) {
        message.changes.revision = headerRevision(result);
    } else {
        for (const auto &event : *events) {
            addChange(event, message);
        }
    }
    return message;
}

}

StoreHttpCall encodeStoreCall(const StoreCall &call)
{
    return std::visit([&call](const auto &request) { return encodeRequest(request, call.lease); }, call.request);
}

absl::StatusOr<StoreReply> decodeStoreReply(const StoreCall &call, const std::string &body, const std::string &peer)
{
    const auto parsed = parseJson(body, "answer");
    if (!parsed.ok() || !parsed->is_object()) {
        return unreadable("decodeStoreReply", peer, describeNotAnObject(parsed));
    }
    const Json &json = *parsed;
    StoreReply reply;
    reply.id = call.id;
    reply.outcome = StoreOutcome::Applied;
    try {
        reply.revision = headerRevision(json);
        std::visit([&json, &reply](const auto &request) { decodeAnswer(request, json, reply); }, call.request);
    } catch (const std::exception &error) {
        return unreadable("decodeStoreReply", peer, error.what());
    }
    return reply;
}

std::string storeErrorText(const std::string &body)
{
    const auto json = parseJson(body, "error");
    if (json.ok() && json->is_object()) {
        for (const char *key : {"message", "error"}) {
            if (const auto text = json->find(key); text != json->end() && text->is_string()) {
                return text->get<std::string>();
            }
        }
    }
    return body.substr(0, 200);
}

StoreHttpCall encodeWatch(Revision from)
{
    const StoreKey all;
    return {"/v3/watch",
            Json{{"create_request",
                  {{"key", encodedKey(all)}, {"range_end", encodedRangeEnd(all)}, {"start_revision", std::to_string(from)}, {"progress_notify", true}}}}
                .dump()};
}

absl::StatusOr<WatchMessage> decodeWatchMessage(const std::string &line, const std::string &peer)
{
    const auto parsed = parseJson(line, "watch message");
    if (!parsed.ok() || !parsed->is_object()) {
        return unreadable("decodeWatch", peer, describeNotAnObject(parsed));
    }
    const Json &json = *parsed;
    if (json.contains("error")) {
        return errorAt(absl::StatusCode::kUnavailable, "decodeWatch", peer, json.at("error").dump());
    }
    try {
        return readWatchResult(json.at("result"));
    } catch (const std::exception &error) {
        return unreadable("decodeWatch", peer, error.what());
    }
}

}
