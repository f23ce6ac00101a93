#pragma once

#include "core/time.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// What a text value may be, and how a fault says so.
struct TextRule
{
    std::function<bool(const std::string &)> isAllowed;
    std::string allowed;
};

/// Reads one object of a settings file. Every fault is noted with the key's path, the value and what is allowed, so one look at the file shows all of them.
class SettingsReader
{
public:
    SettingsReader(const nlohmann::json &value, std::string path, std::vector<std::string> &faults);

    /// A missing key is a fault if the value must be given, and leaves the value as it is otherwise.
    void read(const std::string &key, std::string &value, const TextRule &rule, bool isRequired = false);
    void read(const std::string &key, int &value, int minimum, int maximum);
    void read(const std::string &key, std::size_t &value, std::size_t minimum, std::size_t maximum);
    void read(const std::string &key, unsigned &value, unsigned minimum, unsigned maximum);
    void read(const std::string &key, Duration &value, Duration minimum, Duration maximum);
    void read(const std::string &key, double &value, double minimum, double maximum);

    /// Reads a duration that the file gives in seconds, with fractions.
    void readSeconds(const std::string &key, Duration &value, Duration minimum, Duration maximum);

    /// Reads the nested object if it is there; a missing one is a fault if it must be given.
    void readObject(const std::string &key, const std::function<void(SettingsReader &)> &read, bool isRequired = false);

    void readObjects(const std::string &key, const std::function<void(SettingsReader &)> &read);
    void readTexts(const std::string &key, std::vector<std::string> &values, const TextRule &rule, bool isRequired = false);

    /// Notes a fault for every key that was not asked for.
    void finish();

private:
    /// The value, or null if the key is absent or null.
    const nlohmann::json *find(const std::string &key, bool isRequired, const std::string &allowed);
    void readInteger(const std::string &key, long long minimum, long long maximum, const std::function<void(long long)> &take);
    std::string pathOf(const std::string &key) const;
    void addError(const std::string &path, const nlohmann::json &value, const std::string &allowed);

    const nlohmann::json &m_value;
    std::string m_path;
    std::vector<std::string> &m_errors;
    std::vector<std::string> m_knownKeys;
};

}
