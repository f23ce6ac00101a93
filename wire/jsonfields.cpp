#include "jsonfields.h"

#include <algorithm>
#include <limits>

namespace sequoiastand
{

namespace
{

// Bounds keep sums of a few times and durations within 64 bits, whatever a caller sends.
constexpr long long maxDurationMs = 100LL * 366 * 86'400'000; // 100 years
constexpr long long maxWallTimeMs = 253'402'300'799'999;      // end of the year 9999

template<typename Integer>
void readInteger(FieldReader &reader, std::string_view name, Integer &value, Integer minimum, Integer maximum = std::numeric_limits<Integer>::max())
{
    const auto *field = findField(reader, name);
    if (!field) {
        return;
    }
    const auto isInRange = [&] {
        if (field->is_number_unsigned()) {
            const auto number = field->get<std::uint64_t>();
            return std::cmp_less_equal(number, maximum) && std::cmp_greater_equal(number, minimum);
        }
        const auto number = field->get<std::int64_t>();
        return std::cmp_less_equal(number, maximum) && std::cmp_greater_equal(number, minimum);
    };
    if (!field->is_number_integer() || !isInRange()) {
        noteFault(reader, name, "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return;
    }
    value = field->get<Integer>();
}

}

FieldReader fieldsOf(const nlohmann::json &value, std::string path)
{
    FieldReader reader{&value, std::move(path), {}, absl::OkStatus()};
    if (!value.is_object()) {
        reader.status = absl::InvalidArgumentError(reader.path + ": must be an object");
    }
    return reader;
}

absl::Status finishFields(const FieldReader &reader)
{
    if (!reader.status.ok()) {
        return reader.status;
    }
    for (const auto &[name, value] : reader.object->items()) {
        if (std::ranges::find(reader.known, name) == reader.known.end()) {
            return absl::InvalidArgumentError(reader.path + "." + name + ": is not a known field");
        }
    }
    return absl::OkStatus();
}

const nlohmann::json *findField(FieldReader &reader, std::string_view name)
{
    if (!reader.status.ok()) {
        return nullptr;
    }
    if (std::ranges::find(reader.known, name) == reader.known.end()) {
        reader.known.push_back(name);
    }
    const auto found = reader.object->find(name);
    return found == reader.object->end() ? nullptr : &*found;
}

void noteFault(FieldReader &reader, std::string_view name, std::string_view fault)
{
    if (reader.status.ok()) {
        reader.status = absl::InvalidArgumentError(reader.path + "." + std::string{name} + ": " + std::string{fault});
    }
}

void requireField(FieldReader &reader, std::string_view name)
{
    if (!findField(reader, name)) {
        noteFault(reader, name, "is missing");
    }
}

void readField(FieldReader &reader, std::string_view name, std::string &value)
{
    const auto *field = findField(reader, name);
    if (field && !field->is_string()) {
        noteFault(reader, name, "must be a string");
    } else if (field) {
        value = field->get<std::string>();
    }
}

void readField(FieldReader &reader, std::string_view name, bool &value)
{
    const auto *field = findField(reader, name);
    if (field && !field->is_boolean()) {
        noteFault(reader, name, "must be true or false");
    } else if (field) {
        value = field->get<bool>();
    }
}

void readField(FieldReader &reader, std::string_view name, int &value, int minimum)
{
    readInteger(reader, name, value, minimum);
}

void readField(FieldReader &reader, std::string_view name, long long &value)
{
    readInteger(reader, name, value, std::numeric_limits<long long>::min());
}

void readField(FieldReader &reader, std::string_view name, unsigned long long &value)
{
    readInteger(reader, name, value, 0ULL);
}

void readField(FieldReader &reader, std::string_view name, std::uint32_t &value)
{
    readInteger(reader, name, value, std::uint32_t{0});
}

void readField(FieldReader &reader, std::string_view name, Duration &value)
{
    auto milliseconds = static_cast<long long>(value.count());
    readInteger(reader, name, milliseconds, 0LL, maxDurationMs);
    value = Duration{milliseconds};
}

void readField(FieldReader &reader, std::string_view name, WallTime &value)
{
    auto milliseconds = static_cast<long long>(value.time_since_epoch().count());
    readInteger(reader, name, milliseconds, 0LL, maxWallTimeMs);
    value = WallTime{Duration{milliseconds}};
}

absl::StatusOr<nlohmann::json> parseJson(std::string_view text, std::string_view what)
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error &error) {
        return absl::InvalidArgumentError(std::string{what} + ": not valid JSON at byte " + std::to_string(error.byte));
    }
}

std::string toText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
