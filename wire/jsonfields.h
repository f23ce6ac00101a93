#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sequoiastand
{

/// Reads the fields of one JSON object. `status` holds the first fault and names its field; `path` is the object's place in the message.
struct FieldReader
{
    const nlohmann::json *object = nullptr;
    std::string path;
    std::vector<std::string_view> requestedFields; ///< Fields asked for; any other is a fault.
    absl::Status status;
};

/// Starts reading an object. A value of another type is a fault.
FieldReader makeFieldReader(const nlohmann::json &value, std::string path);

/// The fault met so far, or one for a field of the object that was never asked for.
absl::Status finishFields(const FieldReader &reader);

/// The field's value, or null if it is absent or a fault was met before.
const nlohmann::json *findField(FieldReader &reader, std::string_view name);

/// Notes a fault in the field unless one was met before.
void setError(FieldReader &reader, std::string_view name, std::string_view fault);

/// Notes a fault if the field is absent.
void requireField(FieldReader &reader, std::string_view name);

// Each of these leaves the value as it is when the field is absent.
void readField(FieldReader &reader, std::string_view name, std::string &value);
void readField(FieldReader &reader, std::string_view name, bool &value);
void readField(FieldReader &reader, std::string_view name, int &value, int minimum = 0);
void readField(FieldReader &reader, std::string_view name, long long &value);
void readField(FieldReader &reader, std::string_view name, unsigned long long &value);
void readField(FieldReader &reader, std::string_view name, std::uint32_t &value);
void readField(FieldReader &reader, std::string_view name, Duration &value);
void readField(FieldReader &reader, std::string_view name, WallTime &value);

template<typename Tag>
void readField(FieldReader &reader, std::string_view name, Identifier<Tag> &value)
{
    readField(reader, name, value.value);
}

template<typename Value>
void readField(FieldReader &reader, std::string_view name, std::optional<Value> &value)
{
    if (findField(reader, name)) {
        readField(reader, name, value.emplace());
    }
}

/// Reads a name with the function that turns it into an optional value.
template<typename Value, typename FromName>
void readEnum(FieldReader &reader, std::string_view name, Value &value, const FromName &fromName)
{
    std::string text;
    readField(reader, name, text);
    if (!findField(reader, name)) {
        return;
    }
    if (const auto found = fromName(std::string_view{text})) {
        value = *found;
    } else {
        setError(reader, name, "has the unknown value \"" + text + "\"");
    }
}

/// Reads a nested value with a function of the value and its path.
template<typename Value, typename Read>
void readNested(FieldReader &reader, std::string_view name, Value &value, const Read &read)
{
    const auto *field = findField(reader, name);
    if (!field) {
        return;
    }
    auto result = read(*field, reader.path + "." + std::string{name});
    if (result.ok()) {
        value = *std::move(result);
    } else {
        reader.status = result.status();
    }
}

/// Reads an array whose elements are read with a function of the element and its path.
template<typename Value, typename Read>
void readArray(FieldReader &reader, std::string_view name, std::vector<Value> &values, const Read &read)
{
    const auto *field = findField(reader, name);
    if (!field) {
        return;
    }
    if (!field->is_array()) {
        setError(reader, name, "must be an array");
        return;
    }
    values.clear();
    values.reserve(field->size());
    for (const auto &element : *field) {
        auto result = read(element, reader.path + "." + std::string{name} + "[" + std::to_string(values.size()) + "]");
        if (!result.ok()) {
            reader.status = result.status();
            return;
        }
        values.push_back(*std::move(result));
    }
}

/// What parseJson() accepts beyond plain JSON.
enum class JsonSyntax
{
    Plain,
    Strict,       ///< An object that names a key twice is a fault.
    WithComments, ///< As Strict, and comments are passed over.
};

/// Objects and arrays within one another that parseJson() accepts. The parser and everything that walks a value are recursive or keep a stack.
constexpr int maxJsonDepth = 64;

/// Parses text; a fault names `what` and the place.
absl::StatusOr<nlohmann::json> parseJson(std::string_view text, std::string_view what, JsonSyntax form = JsonSyntax::Plain);

/// Compact text. Bytes that are not UTF-8 are replaced, because JSON cannot carry them.
std::string toText(const nlohmann::json &value);

}
