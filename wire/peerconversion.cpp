#include "peerconversion.h"

#include "core/errors.h"
#include "wire/jobjson.h"
#include "wire/jsonfields.h"
#include "wire/recordjson.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace sequoiastand
{

namespace
{

using Json = nlohmann::json;

/// Exception for a message that cannot be converted; fromWire() converts it to a status.
struct ConversionError
{
    std::string why;
};

Json parse(const std::string &text)
{
    auto json = parseJson(text, "embedded record");
    if (!json.ok()) {
        throw ConversionError{std::string(json.status().message())};
    }
    return *std::move(json);
}

template<typename Value>
Value valueOr(absl::StatusOr<Value> value)
{
    if (!value.ok()) {
        throw ConversionError{std::string(value.status().message())};
    }
    return *std::move(value);
}

void put(peerwire::Frame &frame, const Heartbeat &message)
{
    peerwire::Heartbeat body;
    body.isReply = message.isReply;
    body.host = message.host.value;
    body.availabilityZone = message.availabilityZone.value;
    body.address = message.address;
    body.incarnation = message.incarnation;
    body.configurationVersion = message.configurationVersion;
    if (message.storeReadAge) {
        body.__set_storeReadAgeMs(message.storeReadAge->count());
    }
    body.ownedEpoch = message.ownedEpoch;
    body.capacity.freeAccelerators = message.capacity.freeAccelerators;
    body.capacity.usableAccelerators = message.capacity.usableAccelerators;
    body.isLeaving = message.isLeaving;
    frame.callId = static_cast<std::int64_t>(message.id.value);
    frame.__set_heartbeat(body);
}

Heartbeat read(const peerwire::Heartbeat &body, CallId id)
{
    Heartbeat message;
    message.id = id;
    message.isReply = body.isReply;
    message.host = {body.host};
    message.availabilityZone = {body.availabilityZone};
    message.address = body.address;
    message.incarnation = body.incarnation;
    message.configurationVersion = body.configurationVersion;
    if (body.__isset.storeReadAgeMs) {
        message.storeReadAge = Duration{body.storeReadAgeMs};
    }
    message.ownedEpoch = body.ownedEpoch;
    message.capacity = {body.capacity.freeAccelerators, body.capacity.usableAccelerators};
    message.isLeaving = body.isLeaving;
    return message;
}

void put(peerwire::Frame &frame, const ConfigurationRequest &message)
{
    frame.callId = static_cast<std::int64_t>(message.id.value);
    frame.__set_configurationRequest({});
}

ConfigurationRequest read(const peerwire::ConfigurationRequest &, CallId id)
{
    return {id};
}

void put(peerwire::Frame &frame, const ConfigurationReply &message)
{
    peerwire::ConfigurationReply body;
    body.version = message.version;
    for (const auto &item : message.items) {
        peerwire::ConfigurationItem row;
        row.path = itemPath(item);
        row.json = toText(toJson(item));
        body.items.push_back(std::move(row));
    }
    frame.callId = static_cast<std::int64_t>(message.id.value);
    frame.__set_configurationReply(body);
}

ConfigurationReply read(const peerwire::ConfigurationReply &body, CallId id)
{
    ConfigurationReply message;
    message.id = id;
    message.version = body.version;
    for (const auto &row : body.items) {
        message.items.push_back(valueOr(configurationItemFromJson(parse(row.json), row.path)));
    }
    return message;
}

void putRequest(peerwire::StoreRelay &body, const StoreTransaction &request)
{
    body.__isset.writes = true;
    for (const auto &write : request.writes) {
        peerwire::StoreWrite row;
        row.key = write.key.path;
        if (write.record) {
            row.__set_json(toText(toJson(*write.record)));
        }
        if (write.expected) {
            row.__set_expectedRevision(*write.expected);
        }
        row.isBoundToLease = write.isBoundToLease;
        body.writes.push_back(std::move(row));
    }
}

void putRequest(peerwire::StoreRelay &body, const StoreRange &request)
{
    peerwire::StoreRange range;
    range.key = request.key.path;
    range.isPrefix = request.isPrefix;
    body.__set_range(range);
}

void putRequest(peerwire::StoreRelay &body, const StoreLeaseGrant &request)
{
    body.__set_grantTimeToLiveMs(request.timeToLive.count());
}

void putRequest(peerwire::StoreRelay &body, const StoreLeaseKeepAlive &request)
{
    body.__set_keepAliveLease(request.lease);
}

void putRequest(peerwire::StoreRelay &body, const StoreLeaseRevoke &request)
{
    body.__set_revokeLease(request.lease);
}

StoreWrite readWrite(const peerwire::StoreWrite &row)
{
    StoreWrite write;
    write.key = {row.key};
    if (row.__isset.json) {
        write.record = valueOr(storeRecordFromJson(parse(row.json), write.key));
    }
    if (row.__isset.expectedRevision) {
        write.expected = row.expectedRevision;
    }
    write.isBoundToLease = row.isBoundToLease;
    return write;
}

StoreRequest readRequest(const peerwire::StoreRelay &body)
{
    const auto &isSet = body.__isset;
    if (isSet.writes) {
        StoreTransaction transaction;
        for (const auto &row : body.writes) {
            transaction.writes.push_back(readWrite(row));
        }
        return transaction;
    }
    if (isSet.range) {
        return StoreRange{{body.range.key}, body.range.isPrefix};
    }
    if (isSet.grantTimeToLiveMs) {
        return StoreLeaseGrant{Duration{body.grantTimeToLiveMs}};
    }
    if (isSet.keepAliveLease) {
        return StoreLeaseKeepAlive{body.keepAliveLease};
    }
    if (isSet.revokeLease) {
        return StoreLeaseRevoke{body.revokeLease};
    }
    throw ConversionError{"store relay without a request"};
}

void put(peerwire::Frame &frame, const StoreRelay &message)
{
    peerwire::StoreRelay body;
    body.callId = static_cast<std::int64_t>(message.call.id.value);
    body.lease = message.call.lease;
    body.timeoutMs = message.call.timeout.count();
    std::visit([&body](const auto &request) { putRequest(body, request); }, message.call.request);
    frame.callId = static_cast<std::int64_t>(message.id.value);
    frame.__set_storeRelay(body);
}

StoreRelay read(const peerwire::StoreRelay &body, CallId id)
{
    StoreRelay message;
    message.id = id;
    message.call.id = {static_cast<unsigned long long>(body.callId)};
    message.call.request = readRequest(body);
    message.call.lease = body.lease;
    message.call.timeout = Duration{body.timeoutMs};
    return message;
}

void put(peerwire::Frame &frame, const StoreRelayReply &message)
{
    peerwire::StoreRelayReply body;
    body.callId = static_cast<std::int64_t>(message.reply.id.value);
    body.outcome = static_cast<peerwire::StoreOutcome::type>(message.reply.outcome);
    body.revision = message.reply.revision;
    body.lease = message.reply.lease;
    body.leaseTimeToLiveMs = message.reply.leaseTimeToLive.count();
    body.error = message.reply.error;
    for (const auto &entry : message.reply.entries) {
        peerwire::StoreEntry row;
        row.key = entry.key.path;
        row.json = toText(toJson(entry.record));
        row.revision = entry.revision;
        body.entries.push_back(std::move(row));
    }
    frame.callId = static_cast<std::int64_t>(message.id.value);
    frame.__set_storeRelayReply(body);
}

StoreRelayReply read(const peerwire::StoreRelayReply &body, CallId id)
{
    if (body.outcome < peerwire::StoreOutcome::Applied || body.outcome > peerwire::StoreOutcome::Unknown) {
        throw ConversionError{absl::StrCat("unknown store outcome ", static_cast<int>(body.outcome))};
    }
    StoreRelayReply message;
    message.id = id;
    message.reply.id = {static_cast<unsigned long long>(body.callId)};
    message.reply.outcome = static_cast<StoreOutcome>(body.outcome);
    message.reply.revision = body.revision;
    message.reply.lease = body.lease;
    message.reply.leaseTimeToLive = Duration{body.leaseTimeToLiveMs};
    message.reply.error = body.error;
    for (const auto &row : body.entries) {
        const StoreKey key{row.key};
        message.reply.entries.push_back({key, valueOr(storeRecordFromJson(parse(row.json), key)), row.revision});
    }
    return message;
}

void put(peerwire::Frame &frame, const Offer &message)
{
    peerwire::Offer body;
    body.specificationJson = toText(toJson(message.specification));
    frame.callId = static_cast<std::int64_t>(message.id.value);
    frame.__set_offer(body);
}

Offer read(const peerwire::Offer &body, CallId id)
{
    return {id, valueOr(jobSpecificationFromJson(parse(body.specificationJson)))};
}

void put(peerwire::Frame &frame, const OfferReply &message)
{
    peerwire::OfferReply body;
    if (message.refusal) {
        body.__set_refusalJson(toText(toJson(*message.refusal)));
    }
    if (message.job) {
        body.__set_jobJson(toText(toJson(*message.job)));
    }
    frame.callId = static_cast<std::int64_t>(message.id.value);
    frame.__set_offerReply(body);
}

OfferReply read(const peerwire::OfferReply &body, CallId id)
{
    OfferReply message;
    message.id = id;
    if (body.__isset.refusalJson) {
        message.refusal = valueOr(refusalFromJson(parse(body.refusalJson)));
    }
    if (body.__isset.jobJson) {
        message.job = valueOr(jobFromJson(parse(body.jobJson)));
    }
    return message;
}

void put(peerwire::Frame &frame, const Handover &message)
{
    peerwire::Handover body;
    body.availabilityZone = message.availabilityZone.value;
    body.epoch = message.epoch;
    frame.__set_handover(body);
}

Handover read(const peerwire::Handover &body, CallId)
{
    return {{body.availabilityZone}, body.epoch};
}

std::optional<PeerMessage> readMessage(const peerwire::Frame &frame)
{
    const CallId id{static_cast<unsigned long long>(frame.callId)};
    const auto &isSet = frame.__isset;
    if (isSet.heartbeat) {
        return read(frame.heartbeat, id);
    }
    if (isSet.configurationRequest) {
        return read(frame.configurationRequest, id);
    }
    if (isSet.configurationReply) {
        return read(frame.configurationReply, id);
    }
    if (isSet.storeRelay) {
        return read(frame.storeRelay, id);
    }
    if (isSet.storeRelayReply) {
        return read(frame.storeRelayReply, id);
    }
    if (isSet.offer) {
        return read(frame.offer, id);
    }
    if (isSet.offerReply) {
        return read(frame.offerReply, id);
    }
    if (isSet.handover) {
        return read(frame.handover, id);
    }
    return std::nullopt;
}

}

peerwire::Frame toWire(const PeerFrame &frame)
{
    peerwire::Frame wire;
    wire.sender = frame.sender.value;
    if (frame.acknowledgedFrames) {
        wire.__set_acknowledgedFrames(*frame.acknowledgedFrames);
    }
    if (frame.message) {
        std::visit([&wire](const auto &message) { put(wire, message); }, *frame.message);
    }
    return wire;
}

absl::StatusOr<PeerFrame> fromWire(const peerwire::Frame &frame, std::string_view peer)
{
    try {
        PeerFrame read;
        read.sender = {frame.sender};
        if (frame.__isset.acknowledgedFrames) {
            read.acknowledgedFrames = frame.acknowledgedFrames;
        }
        read.message = readMessage(frame);
        return read;
    } catch (const ConversionError &error) {
        return errorAt(absl::StatusCode::kDataLoss, "readPeerFrame", peer, error.why);
    }
}

}
