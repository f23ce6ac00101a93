/// Messages between entry hosts. wire/peer_types.* are generated from this file by scripts/generate-peer.
/// Store records and jobs are sent as the JSON that the store holds, so that each type has only one codec.
namespace cpp sequoiastand.peerwire

struct Capacity {
    1: i32 freeAccelerators;
    2: i32 usableAccelerators;
}

struct Heartbeat {
    1: bool isReply;
    2: string host;
    3: string availabilityZone;
    4: string address;
    5: i64 incarnation;
    6: i64 configurationVersion;
    7: optional i64 storeReadAgeMs;
    8: i64 ownedEpoch;
    9: Capacity capacity;
    10: bool isLeaving;
}

struct ConfigurationRequest {
}

/// An item of the configuration with its path below `config/item/`.
struct ConfigurationItem {
    1: string path;
    2: string json;
}

struct ConfigurationReply {
    1: i64 version;
    2: list<ConfigurationItem> items;
}

struct StoreWrite {
    1: string key;
    2: optional string json;
    3: optional i64 expectedRevision;
    4: bool isBoundToLease;
}

struct StoreRange {
    1: string key;
    2: bool isPrefix;
}

struct StoreEntry {
    1: string key;
    2: string json;
    3: i64 revision;
}

/// Exactly one of the fields 4 to 8 is set.
struct StoreRelay {
    1: i64 callId;
    2: i64 lease;
    3: i64 timeoutMs;
    4: optional list<StoreWrite> writes;
    5: optional StoreRange range;
    6: optional i64 grantTimeToLiveMs;
    7: optional i64 keepAliveLease;
    8: optional i64 revokeLease;
}

enum StoreOutcome {
    Applied = 0,
    Conflict = 1,
    NotSent = 2,
    Unknown = 3,
}

struct StoreRelayReply {
    1: i64 callId;
    2: StoreOutcome outcome = StoreOutcome.Unknown;
    3: i64 revision;
    4: i64 lease;
    5: i64 leaseTimeToLiveMs;
    6: list<StoreEntry> entries;
    7: string error;
}

struct Offer {
    1: string specificationJson;
}

struct OfferReply {
    1: optional string refusalJson;
    2: optional string jobJson;
}

struct Handover {
    1: string availabilityZone;
    2: i64 epoch;
}

/// A frame holds one message, or no message if it only acknowledges frames of the same connection.
struct Frame {
    1: string sender;
    2: i64 callId;
    3: optional i64 acknowledgedFrames;
    10: optional Heartbeat heartbeat;
    11: optional ConfigurationRequest configurationRequest;
    12: optional ConfigurationReply configurationReply;
    13: optional StoreRelay storeRelay;
    14: optional StoreRelayReply storeRelayReply;
    15: optional Offer offer;
    16: optional OfferReply offerReply;
    17: optional Handover handover;
}
