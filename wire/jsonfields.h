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

/// Reads the fields of one JSON object and keeps the first error.
struct FieldReader
{
    const nlohmann::json *object = nullptr;
    std::string path;                              ///< Path of the object, with which error messages begin.
    std::vector<std::string_view> requestedFields; ///< Names of the fields that were looked up; finishFields() rejects an object that has any other field.
    absl::Status status;                           ///< The first error, which names its field.
};

/// Creates a reader for an object. If the value is not an object, the reader's status is an error.
FieldReader makeFieldReader(const nlohmann::json &value, std::string path);

/// Returns the reader's error, or an error for a field of the object that was never read.
absl::Status finishFields(const FieldReader &reader);

/// Returns the field's value, or null if the field is absent or the reader has an error.
const nlohmann::json *findField(FieldReader &reader, std::string_view name);

/// Sets the reader's error for the field, unless the reader already has an error.
void setError(FieldReader &reader, std::string_view name, std::string_view error);

/// Sets the reader's error if the field is absent.
void requireField(FieldReader &reader, std::string_view name);

// Each of the following functions leaves the value unchanged if the field is absent.
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

/// Reads a string and converts it with a function that returns an optional value. An empty result is an error.
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

/// Reads a nested value with a function of the JSON value and its path.
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

/// Reads an array. Each element is read with a function of the JSON value and its path.
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

/// The JSON syntax that parseJson() accepts.
enum class JsonSyntax
{
    Plain,        ///< The last value of a duplicate key is used.
    Strict,       ///< For requests of callers: an object with a duplicate key is an error, and so are more than `maxStrictJsonValues` values.
    WithComments, ///< The same as Strict, but comments are allowed and skipped.
};

/// Maximum nesting depth of objects and arrays that parseJson() accepts. It bounds the stack of the parser and of other recursive code.
constexpr int maxJsonDepth = 64;

/// Maximum number of values in the text of a caller. A decoded value takes many times the memory of its text. A submission of 64 steps with all their fields
/// that depend on all earlier steps has less than 4,000.
constexpr std::size_t maxStrictJsonValues = 16'384;

/// Parses text. An error message begins with `what` and names the position of a syntax error.
absl::StatusOr<nlohmann::json> parseJson(std::string_view text, std::string_view what, JsonSyntax form = JsonSyntax::Plain);

/// Encodes a value as compact text. Invalid UTF-8 is replaced, because JSON cannot represent it.
std::string toText(const nlohmann::json &value);

}
