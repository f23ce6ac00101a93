#include "keyvaluejson.h"

#include "wire/jsonfields.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

namespace sequoiastand
{

namespace
{

constexpr std::array<std::string_view, 5> targetNames{"VERSION", "CREATE", "MOD", "VALUE", "LEASE"};
constexpr std::array<std::string_view, 4> resultNames{"EQUAL", "GREATER", "LESS", "NOT_EQUAL"};

template<typename Enum, std::size_t size>
auto fromName(const std::array<std::string_view, size> &names)
{
    return [&names](std::string_view text) -> std::optional<Enum> {
        const auto found = std::ranges::find(names, text);
        return found == names.end() ? std::nullopt : std::optional{static_cast<Enum>(found - names.begin())};
    };
}

/// Converts field names to snake case: the protocol allows both "rangeEnd" and "range_end".
nlohmann::json withProtocolNames(const nlohmann::json &value)
{
    if (value.is_array()) {
        auto result = nlohmann::json::array();
        std::ranges::transform(value, std::back_inserter(result), withProtocolNames);
        return result;
    }
    if (!value.is_object()) {
        return value;
    }
    auto result = nlohmann::json::object();
    for (const auto &[key, field] : value.items()) {
        std::string name;
        for (const char letter : key) {
            if (std::isupper(static_cast<unsigned char>(letter)) != 0 && !name.empty() && std::islower(static_cast<unsigned char>(name.back())) != 0) {
                name += '_';
                name += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
            } else {
                name += letter;
            }
        }
        result[name] = withProtocolNames(field);
    }
    return result;
}

void readBytes(FieldReader &reader, std::string_view name, std::string &value)
{
    std::string encoded;
    readField(reader, name, encoded);
    std::string decoded;
    if (!absl::Base64Unescape(encoded, &decoded)) {
        setError(reader, name, "is not base64");
    }
    value = decoded;
}

/// Reads an integer, which the protocol allows as a number or as a string.
void readInteger(FieldReader &reader, std::string_view name, long long &value)
{
    const auto *field = findField(reader, name);
    if (!field || !field->is_string()) {
        readField(reader, name, value);
        return;
    }
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(field->get<std::string>(), &number)) {
        setError(reader, name, "is not an integer");
    }
    value = number;
}

template<typename Value>
absl::StatusOr<Value> finished(const FieldReader &reader, Value value)
{
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return value;
}

void readSpan(FieldReader &reader, KeyValueSpan &span)
{
    readBytes(reader, "key", span.key);
    readBytes(reader, "range_end", span.end);
}

absl::StatusOr<KeyValueRange> rangeFromJson(const nlohmann::json &value, const std::string &path)
{
    KeyValueRange range;
    auto reader = makeFieldReader(value, path);
    readSpan(reader, range.span);
    readInteger(reader, "limit", range.limit);
    findField(reader, "serializable"); // A single process serves all reads, so serializable and linearizable reads are the same.
    return finished(reader, range);
}

absl::StatusOr<KeyValuePut> putFromJson(const nlohmann::json &value, const std::string &path)
{
    KeyValuePut put;
    auto reader = makeFieldReader(value, path);
    readBytes(reader, "key", put.key);
    readBytes(reader, "value", put.value);
    readInteger(reader, "lease", put.lease);
    return finished(reader, put);
}

absl::StatusOr<KeyValueDelete> deleteFromJson(const nlohmann::json &value, const std::string &path)
{
    KeyValueDelete request;
    auto reader = makeFieldReader(value, path);
    readSpan(reader, request.span);
    return finished(reader, request);
}

absl::StatusOr<KeyValueCompare> compareFromJson(const nlohmann::json &value, const std::string &path)
{
    KeyValueCompare compare;
    auto reader = makeFieldReader(value, path);
    readBytes(reader, "key", compare.key);
    readEnum(reader, "target", compare.target, fromName<CompareTarget>(targetNames));
    readEnum(reader, "result", compare.result, fromName<CompareResult>(resultNames));
    readBytes(reader, "value", compare.value);
    for (const auto *name : {"version", "create_revision", "mod_revision", "lease"}) {
        readInteger(reader, name, compare.number);
    }
    return finished(reader, compare);
}

absl::StatusOr<KeyValueOperation> operationFromJson(const nlohmann::json &value, const std::string &path)
{
    std::optional<KeyValueOperation> operation;
    auto reader = makeFieldReader(value, path);
    readNested(reader, "request_range", operation, rangeFromJson);
    readNested(reader, "request_put", operation, putFromJson);
    readNested(reader, "request_delete_range", operation, deleteFromJson);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    if (!operation) {
        return absl::InvalidArgumentError(path + ": has no operation");
    }
    return *operation;
}

absl::StatusOr<KeyValueRequest> transactionFromJson(const nlohmann::json &value)
{
    KeyValueTransaction transaction;
    auto reader = makeFieldReader(value, "txn");
    readArray(reader, "compare", transaction.compares, compareFromJson);
    readArray(reader, "success", transaction.success, operationFromJson);
    readArray(reader, "failure", transaction.failure, operationFromJson);
    return finished<KeyValueRequest>(reader, transaction);
}

absl::StatusOr<KeyValueRequest> leaseGrantFromJson(const nlohmann::json &value)
{
    KeyValueLeaseGrant request;
    long long seconds = 0;
    auto reader = makeFieldReader(value, "grant");
    readInteger(reader, "ID", request.id);
    readInteger(reader, "TTL", seconds);
    request.timeToLive = std::chrono::seconds{std::clamp(seconds, 0LL, 1'000'000'000LL)};
    return finished<KeyValueRequest>(reader, request);
}

template<typename Request>
absl::StatusOr<KeyValueRequest> leaseIdFromJson(const nlohmann::json &value)
{
    Request request;
    auto reader = makeFieldReader(value, "lease");
    readInteger(reader, "ID", request.id);
    return finished<KeyValueRequest>(reader, request);
}

absl::StatusOr<KeyValueRequest> compactionFromJson(const nlohmann::json &value)
{
    KeyValueCompaction request;
    auto reader = makeFieldReader(value, "compaction");
    readInteger(reader, "revision", request.revision);
    findField(reader, "physical");
    return finished<KeyValueRequest>(reader, request);
}

nlohmann::json header(long long revision)
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"raft_term", "1"}, {"revision", std::to_string(revision)}};
}

/// Adds the field unless its value is zero.
void putInteger(nlohmann::json &value, const char *name, long long number)
{
    if (number != 0) {
        value[name] = std::to_string(number);
    }
}

nlohmann::json toJson(const KeyValueRow &row)
{
    nlohmann::json value{{"key", absl::Base64Escape(row.key)}, {"mod_revision", std::to_string(row.modRevision)}};
    putInteger(value, "create_revision", row.createRevision);
    putInteger(value, "version", row.version);
    putInteger(value, "lease", row.lease);
    if (!row.value.empty()) {
        value["value"] = absl::Base64Escape(row.value);
    }
    return value;
}

void putAnswer(nlohmann::json &value, const KeyValueRange &, const KeyValueAnswer &answer)
{
    for (const auto &row : answer.rows) {
        value["kvs"].push_back(toJson(row));
    }
    putInteger(value, "count", answer.count);
    if (answer.isTruncated) {
        value["more"] = true;
    }
}

void putAnswer(nlohmann::json &, const KeyValuePut &, const KeyValueAnswer &)
{
}

void putAnswer(nlohmann::json &value, const KeyValueDelete &, const KeyValueAnswer &answer)
{
    putInteger(value, "deleted", answer.count);
}

nlohmann::json operationAnswer(const KeyValueOperation &operation, const KeyValueAnswer &answer)
{
    constexpr std::array<const char *, 3> names{"response_range", "response_put", "response_delete_range"};
    nlohmann::json value{{"header", header(answer.revision)}};
    std::visit([&](const auto &typed) { putAnswer(value, typed, answer); }, operation);
    return {{names.at(operation.index()), std::move(value)}};
}

void putAnswer(nlohmann::json &value, const KeyValueTransaction &transaction, const KeyValueAnswer &answer)
{
    const auto &operations = answer.hasSucceeded ? transaction.success : transaction.failure;
    if (answer.hasSucceeded) {
        value["succeeded"] = true;
    }
    for (std::size_t index = 0; index < operations.size(); ++index) {
        value["responses"].push_back(operationAnswer(operations.at(index), answer.answers.at(index)));
    }
}

void putLease(nlohmann::json &value, const KeyValueAnswer &answer)
{
    value["ID"] = std::to_string(answer.lease);
    putInteger(value, "TTL", std::chrono::ceil<std::chrono::seconds>(answer.timeToLive).count());
}

void putAnswer(nlohmann::json &value, const KeyValueLeaseGrant &, const KeyValueAnswer &answer)
{
    putLease(value, answer);
}

/// Wraps the answer in a "result" object, since the protocol streams keep-alives.
void putAnswer(nlohmann::json &value, const KeyValueLeaseKeepAlive &, const KeyValueAnswer &answer)
{
    putLease(value, answer);
    value = nlohmann::json{{"result", value}};
}

void putAnswer(nlohmann::json &, const KeyValueLeaseRevoke &, const KeyValueAnswer &)
{
}

void putAnswer(nlohmann::json &, const KeyValueCompaction &, const KeyValueAnswer &)
{
}

nlohmann::json watchMessage(long long revision)
{
    return {{"result", {{"header", header(revision)}}}};
}

}

absl::StatusOr<KeyValueRequest> keyValueRequestFromJson(std::string_view path, const nlohmann::json &body)
{
    const auto value = withProtocolNames(body);
    if (path == "/v3/kv/range") {
        return rangeFromJson(value, "range");
    }
    if (path == "/v3/kv/put") {
        return putFromJson(value, "put");
    }
    if (path == "/v3/kv/deleterange") {
        return deleteFromJson(value, "deleterange");
    }
    if (path == "/v3/kv/txn") {
        return transactionFromJson(value);
    }
    if (path == "/v3/kv/compaction") {
        return compactionFromJson(value);
    }
    if (path == "/v3/lease/grant") {
        return leaseGrantFromJson(value);
    }
    if (path == "/v3/lease/keepalive") {
        return leaseIdFromJson<KeyValueLeaseKeepAlive>(value);
    }
    if (path == "/v3/lease/revoke") {
        return leaseIdFromJson<KeyValueLeaseRevoke>(value);
    }
    return absl::NotFoundError("Not Found");
}

nlohmann::json keyValueAnswerToJson(const KeyValueRequest &request, const KeyValueAnswer &answer)
{
    nlohmann::json value{{"header", header(answer.revision)}};
    std::visit([&](const auto &typed) { putAnswer(value, typed, answer); }, request);
    return value;
}

absl::StatusOr<KeyValueWatchRequest> keyValueWatchFromJson(const nlohmann::json &body)
{
    KeyValueWatchRequest request;
    const auto value = withProtocolNames(body);
    auto outer = makeFieldReader(value, "watch");
    requireField(outer, "create_request");
    readNested(outer, "create_request", request, [](const nlohmann::json &inner, const std::string &path) -> absl::StatusOr<KeyValueWatchRequest> {
        KeyValueWatchRequest created;
        auto reader = makeFieldReader(inner, path);
        readSpan(reader, created.span);
        readInteger(reader, "start_revision", created.startRevision);
        readField(reader, "progress_notify", created.wantsProgress);
        return finished(reader, created);
    });
    return finished(outer, request);
}

nlohmann::json watchCreatedToJson(long long revision)
{
    auto message = watchMessage(revision);
    message["result"]["created"] = true;
    return message;
}

nlohmann::json watchProgressToJson(long long revision)
{
    return watchMessage(revision);
}

nlohmann::json watchCompactedToJson(long long revision, long long compactedRevision)
{
    auto message = watchMessage(revision);
    message["result"]["canceled"] = true;
    message["result"]["compact_revision"] = std::to_string(compactedRevision);
    return message;
}

nlohmann::json watchChangesToJson(long long revision, const std::vector<KeyValueRow> &changes)
{
    auto message = watchMessage(revision);
    for (const auto &change : changes) {
        nlohmann::json event{{"kv", toJson(change)}};
        if (change.version == 0) {
            event["type"] = "DELETE";
        }
        message["result"]["events"].push_back(std::move(event));
    }
    return message;
}

nlohmann::json keyValueErrorToJson(const absl::Status &status)
{
    const std::string message{status.message()};
    return {{"error", message}, {"message", message}, {"code", static_cast<int>(status.code())}};
}

int httpStatus(const absl::Status &status)
{
    if (status.ok()) {
        return 200;
    }
    if (absl::IsNotFound(status)) {
        return 404;
    }
    return absl::IsUnavailable(status) ? 503 : 400;
}

}
