#pragma once

#include "core/time.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Validation rule for a text value, with the description of allowed values for error messages.
struct TextRule
{
    std::function<bool(const std::string &)> isAllowed;
    std::string allowed;
};

/// Reads one object of a settings file. Errors are collected with the key's path, the invalid value and the allowed values, so that all of them can be
/// reported at once.
class SettingsReader
{
public:
    SettingsReader(const nlohmann::json &value, std::string path, std::vector<std::string> &errors);

    /// Reads a value. A missing key is an error if the value is required; otherwise the value stays unchanged.
    void read(const std::string &key, std::string &value, const TextRule &rule, bool isRequired = false);
    void read(const std::string &key, int &value, int minimum, int maximum);
    void read(const std::string &key, std::size_t &value, std::size_t minimum, std::size_t maximum);
    void read(const std::string &key, unsigned &value, unsigned minimum, unsigned maximum);
    void read(const std::string &key, Duration &value, Duration minimum, Duration maximum);
    void read(const std::string &key, double &value, double minimum, double maximum);

    /// Reads a duration that the file gives in seconds, with fractions.
    void readSeconds(const std::string &key, Duration &value, Duration minimum, Duration maximum);

    /// Reads a nested object. A missing object is an error if it is required.
    void readObject(const std::string &key, const std::function<void(SettingsReader &)> &read, bool isRequired = false);

    void readObjects(const std::string &key, const std::function<void(SettingsReader &)> &read);
    void readTexts(const std::string &key, std::vector<std::string> &values, const TextRule &rule, bool isRequired = false);

    /// Adds an error for every key of the object that was not read.
    void finish();

private:
    /// The value, or null if the key is absent or null.
    const nlohmann::json *find(const std::string &key, bool isRequired, const std::string &allowed);
    void readInteger(const std::string &key, long long minimum, long long maximum, const std::function<void(long long)> &assign);
    std::string pathOf(const std::string &key) const;
    void addError(const std::string &path, const nlohmann::json &value, const std::string &allowed);

    const nlohmann::json &m_value;
    std::string m_path;
    std::vector<std::string> &m_errors;
    std::vector<std::string> m_knownKeys;
};

}
