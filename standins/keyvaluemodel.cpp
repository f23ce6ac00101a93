#include "keyvaluemodel.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

// Limits of the platform's key-value service.
constexpr std::size_t maxValueBytes = 1'048'576;
constexpr std::size_t maxOperations = 128;

const std::string allKeysEnd(1, '\0');

/// Begin and end iterators of the rows in the span.
auto rowsIn(const KeyValueModel &model, const KeyValueSpan &span)
{
    const auto first = model.rows.lower_bound(span.key);
    if (span.end.empty()) {
        return std::ranges::subrange(first, model.rows.upper_bound(span.key));
    }
    if (span.end == allKeysEnd) {
        return std::ranges::subrange(first, model.rows.end());
    }
    return std::ranges::subrange(first, span.end < span.key ? first : model.rows.lower_bound(span.end));
}

void detachFromLease(KeyValueModel &model, const KeyValueRow &row)
{
    if (const auto lease = model.leases.find(row.lease); lease != model.leases.end()) {
        lease->second.keys.erase(row.key);
    }
}

/// Deletes the key at the given revision.
void eraseRow(KeyValueModel &model, const std::string &key, long long revision)
{
    const auto found = model.rows.find(key);
    if (found == model.rows.end()) {
        return;
    }
    detachFromLease(model, found->second);
    model.rows.erase(found);
    KeyValueRow change;
    change.key = key;
    change.modRevision = revision;
    model.changes.push_back(std::move(change));
}

KeyValueAnswer apply(const KeyValueModel &model, const KeyValueRange &range)
{
    KeyValueAnswer answer;
    for (const auto &row : rowsIn(model, range.span) | std::views::values) {
        if (range.limit <= 0 || answer.count < range.limit) {
            answer.rows.push_back(row);
        }
        ++answer.count;
    }
    answer.isTruncated = std::ssize(answer.rows) < answer.count;
    return answer;
}

KeyValueAnswer apply(KeyValueModel &model, const KeyValuePut &put, long long revision)
{
    auto &row = model.rows[put.key];
    detachFromLease(model, row);
    row.key = put.key;
    row.value = put.value;
    row.createRevision = row.version == 0 ? revision : row.createRevision;
    row.modRevision = revision;
    ++row.version;
    row.lease = put.lease;
    if (put.lease != 0) {
        model.leases[put.lease].keys.insert(put.key);
    }
    model.changes.push_back(row);
    return {};
}

KeyValueAnswer apply(KeyValueModel &model, const KeyValueDelete &request, long long revision)
{
    std::vector<std::string> keys;
    std::ranges::copy(rowsIn(model, request.span) | std::views::keys, std::back_inserter(keys));
    for (const auto &key : keys) {
        eraseRow(model, key, revision);
    }
    KeyValueAnswer answer;
    answer.count = std::ssize(keys);
    return answer;
}

absl::Status check(const KeyValueModel &model, const KeyValuePut &put)
{
    if (put.key.empty()) {
        return absl::InvalidArgumentError("key is not provided");
    }
    if (put.value.size() > maxValueBytes) {
        return absl::InvalidArgumentError("request is too large");
    }
    if (put.lease != 0 && !model.leases.contains(put.lease)) {
        return absl::NotFoundError("requested lease not found");
    }
    return absl::OkStatus();
}

/// Refuses a transaction that changes a key more than once.
absl::Status check(const KeyValueModel &model, const std::vector<KeyValueOperation> &operations)
{
    if (operations.size() > maxOperations) {
        return absl::InvalidArgumentError("too many operations in txn request");
    }
    std::set<std::string> keys;
    for (const auto &operation : operations) {
        if (const auto *put = std::get_if<KeyValuePut>(&operation)) {
            if (auto status = check(model, *put); !status.ok()) {
                return status;
            }
            if (!keys.insert(put->key).second) {
                return absl::InvalidArgumentError("duplicate key given in txn request");
            }
        }
    }
    for (const auto &operation : operations) {
        const auto *deletion = std::get_if<KeyValueDelete>(&operation);
        if (deletion && std::ranges::any_of(keys, [deletion](const std::string &key) { return contains(deletion->span, key); })) {
            return absl::InvalidArgumentError("duplicate key given in txn request");
        }
    }
    return absl::OkStatus();
}

template<typename Value>
bool compare(CompareResult result, const Value &left, const Value &right)
{
    switch (result) {
    case CompareResult::Equal:
        return left == right;
    case CompareResult::Greater:
        return left > right;
    case CompareResult::Less:
        return left < right;
    case CompareResult::NotEqual:
        return left != right;
    }
    return false;
}

bool holds(const KeyValueModel &model, const KeyValueCompare &condition)
{
    const auto found = model.rows.find(condition.key);
    const auto row = found == model.rows.end() ? KeyValueRow{} : found->second;
    switch (condition.target) {
    case CompareTarget::Version:
        return compare(condition.result, row.version, condition.number);
    case CompareTarget::CreateRevision:
        return compare(condition.result, row.createRevision, condition.number);
    case CompareTarget::ModRevision:
        return compare(condition.result, row.modRevision, condition.number);
    case CompareTarget::Lease:
        return compare(condition.result, row.lease, condition.number);
    case CompareTarget::Value:
        // A condition on the value of a key that does not exist never holds.
        return found != model.rows.end() && compare(condition.result, row.value, condition.value);
    }
    return false;
}

/// Executes the operations under the next revision, which becomes the model's revision if one of them changed a key.
std::vector<KeyValueAnswer> apply(KeyValueModel &model, const std::vector<KeyValueOperation> &operations)
{
    const auto next = model.revision + 1;
    std::vector<KeyValueAnswer> answers;
    for (const auto &operation : operations) {
        if (const auto *range = std::get_if<KeyValueRange>(&operation)) {
            answers.push_back(apply(model, *range));
        } else if (const auto *put = std::get_if<KeyValuePut>(&operation)) {
            answers.push_back(apply(model, *put, next));
        } else {
            answers.push_back(apply(model, std::get<KeyValueDelete>(operation), next));
        }
    }
    if (!model.changes.empty() && model.changes.back().modRevision == next) {
        model.revision = next;
    }
    for (auto &answer : answers) {
        answer.revision = model.revision;
    }
    return answers;
}

absl::StatusOr<KeyValueAnswer> handle(KeyValueModel &model, const KeyValueTransaction &transaction, TimePoint)
{
    for (const auto *operations : {&transaction.success, &transaction.failure}) {
        if (auto status = check(model, *operations); !status.ok()) {
            return status;
        }
    }
    if (transaction.compares.size() > maxOperations) {
        return absl::InvalidArgumentError("too many operations in txn request");
    }
    KeyValueAnswer answer;
    answer.hasSucceeded = std::ranges::all_of(transaction.compares, [&model](const auto &condition) { return holds(model, condition); });
    answer.answers = apply(model, answer.hasSucceeded ? transaction.success : transaction.failure);
    return answer;
}

absl::StatusOr<KeyValueAnswer> handle(KeyValueModel &model, const KeyValueLeaseGrant &request, TimePoint now)
{
    auto id = request.id;
    while (id == 0 || (request.id == 0 && model.leases.contains(id))) {
        id = ++model.lastLease;
    }
    if (model.leases.contains(id)) {
        return absl::FailedPreconditionError("lease already exists");
    }
    if (request.timeToLive <= Duration{0}) {
        return absl::InvalidArgumentError("lease time to live must be above zero");
    }
    model.leases[id] = {request.timeToLive, now + request.timeToLive, {}};
    KeyValueAnswer answer;
    answer.lease = id;
    answer.timeToLive = request.timeToLive;
    return answer;
}

absl::StatusOr<KeyValueAnswer> handle(KeyValueModel &model, const KeyValueLeaseKeepAlive &request, TimePoint now)
{
    KeyValueAnswer answer;
    answer.lease = request.id;
    if (const auto lease = model.leases.find(request.id); lease != model.leases.end()) {
        lease->second.expiry = now + lease->second.timeToLive;
        answer.timeToLive = lease->second.timeToLive;
    }
    return answer;
}

/// Deletes the lease and its keys under one revision.
void removeLease(KeyValueModel &model, long long id)
{
    const auto keys = std::exchange(model.leases[id].keys, {});
    model.leases.erase(id);
    for (const auto &key : keys) {
        eraseRow(model, key, model.revision + 1);
    }
    model.revision += keys.empty() ? 0 : 1;
}

absl::StatusOr<KeyValueAnswer> handle(KeyValueModel &model, const KeyValueLeaseRevoke &request, TimePoint)
{
    if (!model.leases.contains(request.id)) {
        return absl::NotFoundError("requested lease not found");
    }
    removeLease(model, request.id);
    return KeyValueAnswer{};
}

absl::StatusOr<KeyValueAnswer> handle(KeyValueModel &model, const KeyValueCompaction &request, TimePoint)
{
    if (request.revision <= model.compactedRevision) {
        return absl::OutOfRangeError("required revision has been compacted");
    }
    if (request.revision > model.revision) {
        return absl::OutOfRangeError("required revision is a future revision");
    }
    model.compactedRevision = request.revision;
    const auto kept = std::ranges::lower_bound(model.changes, request.revision, {}, &KeyValueRow::modRevision);
    model.changes.erase(model.changes.begin(), kept);
    return KeyValueAnswer{};
}

/// Executes a single operation as a transaction without conditions.
template<typename Operation>
absl::StatusOr<KeyValueAnswer> handle(KeyValueModel &model, const Operation &operation, TimePoint)
{
    const std::vector<KeyValueOperation> operations{operation};
    if (auto status = check(model, operations); !status.ok()) {
        return status;
    }
    return apply(model, operations).front();
}

}

KeyValueStep applyRequest(KeyValueModel model, const KeyValueRequest &request, TimePoint now)
{
    KeyValueStep step{expireLeases(std::move(model), now), KeyValueAnswer{}};
    step.answer = std::visit([&step, now](const auto &typed) { return handle(step.model, typed, now); }, request);
    if (step.answer.ok()) {
        step.answer->revision = step.model.revision;
    }
    return step;
}

KeyValueModel expireLeases(KeyValueModel model, TimePoint now)
{
    std::vector<long long> expired;
    for (const auto &[id, lease] : model.leases) {
        if (lease.expiry <= now) {
            expired.push_back(id);
        }
    }
    std::ranges::for_each(expired, [&model](long long id) { removeLease(model, id); });
    return model;
}

std::optional<TimePoint> nextLeaseExpiry(const KeyValueModel &model)
{
    const auto expiry = [](const auto &row) { return row.second.expiry; };
    const auto next = std::ranges::min_element(model.leases, {}, expiry);
    return next == model.leases.end() ? std::nullopt : std::optional{next->second.expiry};
}

absl::StatusOr<std::vector<KeyValueRow>> changesFrom(const KeyValueModel &model, const KeyValueSpan &span, long long revision)
{
    if (revision < model.compactedRevision) {
        return absl::OutOfRangeError("required revision has been compacted");
    }
    std::vector<KeyValueRow> changes;
    const auto first = std::ranges::lower_bound(model.changes, revision, {}, &KeyValueRow::modRevision);
    std::copy_if(first, model.changes.end(), std::back_inserter(changes), [&span](const KeyValueRow &row) { return contains(span, row.key); });
    return changes;
}

KeyValueSpan prefixSpan(const std::string &prefix)
{
    auto end = prefix;
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xFF) {
        end.pop_back();
    }
    if (end.empty()) {
        return {prefix.empty() ? allKeysEnd : prefix, allKeysEnd};
    }
    ++end.back();
    return {prefix, end};
}

bool contains(const KeyValueSpan &span, const std::string &key)
{
    if (span.end.empty()) {
        return key == span.key;
    }
    return key >= span.key && (span.end == allKeysEnd || key < span.end);
}

}
