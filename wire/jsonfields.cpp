#include "jsonfields.h"

#include <algorithm>
#include <limits>
#include <set>

namespace sequoiastand
{

namespace
{

// With these limits, the sum of a few times and durations fits into 64 bits for any input.
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
        setError(reader, name, "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return;
    }
    value = field->get<Integer>();
}

/// Returns the text without comments. Strings are not changed.
std::string withoutComments(std::string_view text)
{
    std::string plain;
    plain.reserve(text.size());
    bool isInString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const auto rest = text.substr(position);
        if (!isInString && (rest.starts_with("//") || rest.starts_with("/*"))) {
            const std::string_view end = rest[1] == '/' ? "\n" : "*/";
            const auto found = rest.find(end, 2);
            if (found == std::string_view::npos) {
                break;
            }
            position += found + end.size() - 1;
            plain += '\n';
            continue;
        }
        plain += text[position];
        if (text[position] == '"') {
            isInString = !isInString;
        } else if (isInString && text[position] == '\\' && position + 1 < text.size()) {
            plain += text[++position];
        }
    }
    return plain;
}

/// Extent of a JSON text, counted without decoding it. Characters inside strings do not count.
struct JsonExtent
{
    int depth = 0;          ///< Maximum nesting depth of objects and arrays.
    std::size_t values = 1; ///< Upper bound of the number of values.
};

JsonExtent extentOf(std::string_view text)
{
    JsonExtent extent;
    int depth = 0;
    bool isInString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const char character = text[position];
        if (character == '"') {
            isInString = !isInString;
        } else if (isInString && character == '\\') {
            ++position;
        } else if (!isInString && (character == '{' || character == '[')) {
            extent.depth = std::max(extent.depth, ++depth);
            ++extent.values;
        } else if (!isInString && (character == '}' || character == ']')) {
            --depth;
        } else if (!isInString && character == ',') {
            ++extent.values;
        }
    }
    return extent;
}

/// A parser callback that finds duplicate keys; the parser itself keeps the last value without an error.
class DuplicateFinder
{
public:
    bool onParseEvent(nlohmann::json::parse_event_t event, const nlohmann::json &value)
    {
        using Event = nlohmann::json::parse_event_t;
        if (event == Event::object_start) {
            m_keys.emplace_back();
        } else if (event == Event::object_end && !m_keys.empty()) {
            m_keys.pop_back();
        } else if (event == Event::key && !m_keys.empty()) {
            const auto key = value.get<std::string>();
            if (!m_keys.back().insert(key).second && m_duplicate.empty()) {
                m_duplicate = key;
            }
        }
        return true;
    }

    const std::string &duplicate() const
    {
        return m_duplicate;
    }

private:
    std::vector<std::set<std::string>> m_keys;
    std::string m_duplicate;
};

}

FieldReader makeFieldReader(const nlohmann::json &value, std::string path)
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
        if (std::ranges::find(reader.requestedFields, name) == reader.requestedFields.end()) {
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
    if (std::ranges::find(reader.requestedFields, name) == reader.requestedFields.end()) {
        reader.requestedFields.push_back(name);
    }
    const auto found = reader.object->find(name);
    return found == reader.object->end() ? nullptr : &*found;
}

void setError(FieldReader &reader, std::string_view name, std::string_view error)
{
    if (reader.status.ok()) {
        reader.status = absl::InvalidArgumentError(reader.path + "." + std::string{name} + ": " + std::string{error});
    }
}

void requireField(FieldReader &reader, std::string_view name)
{
    if (!findField(reader, name)) {
        setError(reader, name, "is missing");
    }
}

void readField(FieldReader &reader, std::string_view name, std::string &value)
{
    const auto *field = findField(reader, name);
    if (field && !field->is_string()) {
        setError(reader, name, "must be a string");
    } else if (field) {
        value = field->get<std::string>();
    }
}

void readField(FieldReader &reader, std::string_view name, bool &value)
{
    const auto *field = findField(reader, name);
    if (field && !field->is_boolean()) {
        setError(reader, name, "must be true or false");
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

absl::StatusOr<nlohmann::json> parseJson(std::string_view text, std::string_view what, JsonSyntax form)
{
    const std::string uncommented = form == JsonSyntax::WithComments ? withoutComments(text) : std::string{};
    const auto extent = extentOf(form == JsonSyntax::WithComments ? std::string_view{uncommented} : text);
    if (extent.depth > maxJsonDepth) {
        return absl::InvalidArgumentError(std::string{what} + ": more than " + std::to_string(maxJsonDepth) + " nested objects or arrays");
    }
    if (form == JsonSyntax::Strict && extent.values > maxStrictJsonValues) {
        return absl::InvalidArgumentError(std::string{what} + ": more than " + std::to_string(maxStrictJsonValues) + " values");
    }
    try {
        if (form == JsonSyntax::Plain) {
            return nlohmann::json::parse(text);
        }
        DuplicateFinder finder;
        const auto callback = [&finder](int, nlohmann::json::parse_event_t event, nlohmann::json &value) { return finder.onParseEvent(event, value); };
        auto json = nlohmann::json::parse(text, callback, true, form == JsonSyntax::WithComments);
        if (!finder.duplicate().empty()) {
            return absl::InvalidArgumentError(std::string{what} + ": the key \"" + finder.duplicate() + "\" is given twice in one object");
        }
        return json;
    } catch (const nlohmann::json::parse_error &error) {
        const std::string message = form == JsonSyntax::WithComments ? ": not JSON with comments at byte " : ": not valid JSON at byte ";
        return absl::InvalidArgumentError(std::string{what} + message + std::to_string(error.byte));
    } catch (const nlohmann::json::out_of_range &) {
        // The library's message quotes the number with all its digits.
        return absl::InvalidArgumentError(std::string{what} + ": a number is out of range");
    } catch (const nlohmann::json::exception &error) {
        return absl::InvalidArgumentError(std::string{what} + ": " + error.what());
    }
}

std::string toText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
