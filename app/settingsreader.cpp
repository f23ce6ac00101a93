#include "settingsreader.h"

#include "wire/jsonfields.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr std::size_t shownValueBytes = 80;

std::string shortText(const nlohmann::json &value)
{
    const auto text = toText(value);
    return text.size() <= shownValueBytes ? text : text.substr(0, shownValueBytes) + "...";
}

}

SettingsReader::SettingsReader(const nlohmann::json &value, std::string path, std::vector<std::string> &errors)
    : m_value(value)
    , m_path(std::move(path))
    , m_errors(errors)
{
}

std::string SettingsReader::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

void SettingsReader::addError(const std::string &path, const nlohmann::json &value, const std::string &allowed)
{
    m_errors.push_back(absl::StrCat(path, ": invalid value ", shortText(value), "; expected ", allowed));
}

const nlohmann::json *SettingsReader::find(const std::string &key, bool isRequired, const std::string &allowed)
{
    m_knownKeys.push_back(key);
    const auto found = m_value.find(key);
    if (found != m_value.end() && !found->is_null()) {
        return &*found;
    }
    if (isRequired) {
        m_errors.push_back(absl::StrCat(pathOf(key), ": missing; expected ", allowed));
    }
    return nullptr;
}

void SettingsReader::read(const std::string &key, std::string &value, const TextRule &rule, bool isRequired)
{
    const auto *found = find(key, isRequired, rule.allowed);
    if (found == nullptr) {
        return;
    }
    if (!found->is_string() || !rule.isAllowed(found->get<std::string>())) {
        addError(pathOf(key), *found, rule.allowed);
        return;
    }
    value = found->get<std::string>();
}

void SettingsReader::readInteger(const std::string &key, long long minimum, long long maximum, const std::function<void(long long)> &assign)
{
    const auto expectedText = absl::StrCat("an integer from ", minimum, " to ", maximum);
    const auto *found = find(key, false, expectedText);
    if (found == nullptr) {
        return;
    }
    const bool isInteger = found->is_number_integer() && (!found->is_number_unsigned() || std::cmp_less_equal(found->get<std::uint64_t>(), maximum));
    if (!isInteger || found->get<long long>() < minimum || found->get<long long>() > maximum) {
        addError(pathOf(key), *found, expectedText);
        return;
    }
    assign(found->get<long long>());
}

void SettingsReader::read(const std::string &key, int &value, int minimum, int maximum)
{
    readInteger(key, minimum, maximum, [&value](long long number) { value = static_cast<int>(number); });
}

void SettingsReader::read(const std::string &key, std::size_t &value, std::size_t minimum, std::size_t maximum)
{
    readInteger(
        key, static_cast<long long>(minimum), static_cast<long long>(maximum), [&value](long long number) { value = static_cast<std::size_t>(number); });
}

void SettingsReader::read(const std::string &key, unsigned &value, unsigned minimum, unsigned maximum)
{
    readInteger(key, minimum, maximum, [&value](long long number) { value = static_cast<unsigned>(number); });
}

void SettingsReader::read(const std::string &key, Duration &value, Duration minimum, Duration maximum)
{
    readInteger(key, minimum.count(), maximum.count(), [&value](long long number) { value = Duration{number}; });
}

void SettingsReader::read(const std::string &key, double &value, double minimum, double maximum)
{
    const auto expectedText = absl::StrCat("a number from ", minimum, " to ", maximum);
    const auto *found = find(key, false, expectedText);
    if (found == nullptr) {
        return;
    }
    if (!found->is_number() || found->get<double>() < minimum || found->get<double>() > maximum) {
        addError(pathOf(key), *found, expectedText);
        return;
    }
    value = found->get<double>();
}

void SettingsReader::readSeconds(const std::string &key, Duration &value, Duration minimum, Duration maximum)
{
    using Seconds = std::chrono::duration<double>;
    double seconds = std::chrono::duration_cast<Seconds>(value).count();
    read(key, seconds, std::chrono::duration_cast<Seconds>(minimum).count(), std::chrono::duration_cast<Seconds>(maximum).count());
    value = std::chrono::round<Duration>(Seconds{seconds});
}

void SettingsReader::readObject(const std::string &key, const std::function<void(SettingsReader &)> &read, bool isRequired)
{
    const auto *found = find(key, isRequired, "an object");
    if (found == nullptr) {
        return;
    }
    if (!found->is_object()) {
        addError(pathOf(key), *found, "an object");
        return;
    }
    SettingsReader nested(*found, pathOf(key), m_errors);
    read(nested);
    nested.finish();
}

void SettingsReader::readObjects(const std::string &key, const std::function<void(SettingsReader &)> &read)
{
    const auto *found = find(key, false, "an array of objects");
    if (found == nullptr) {
        return;
    }
    if (!found->is_array() || !std::ranges::all_of(*found, [](const auto &element) { return element.is_object(); })) {
        addError(pathOf(key), *found, "an array of objects");
        return;
    }
    for (std::size_t index = 0; index < found->size(); ++index) {
        SettingsReader nested(found->at(index), absl::StrCat(pathOf(key), "[", index, "]"), m_errors);
        read(nested);
        nested.finish();
    }
}

void SettingsReader::readTexts(const std::string &key, std::vector<std::string> &values, const TextRule &rule, bool isRequired)
{
    const auto expectedText = absl::StrCat("an array with at least one element, each ", rule.allowed);
    const auto *found = find(key, isRequired, expectedText);
    if (found == nullptr) {
        return;
    }
    const bool isAllowed = found->is_array() && !found->empty() && std::ranges::all_of(*found, [&rule](const auto &element) {
                               return element.is_string() && rule.isAllowed(element.template get<std::string>());
                           });
    if (!isAllowed) {
        addError(pathOf(key), *found, expectedText);
        return;
    }
    values = found->get<std::vector<std::string>>();
}

void SettingsReader::finish()
{
    for (const auto &[key, value] : m_value.items()) {
        if (std::ranges::find(m_knownKeys, key) == m_knownKeys.end()) {
            m_errors.push_back(
                absl::StrCat(pathOf(key), ": unknown key with value ", shortText(value), "; allowed keys are ", absl::StrJoin(m_knownKeys, ", ")));
        }
    }
}

}
