#pragma once

#include "settings/entry_settings.hpp"

#include <egretstile/core/base/name_table.hpp>
#include <egretstile/runtime/net/endpoint.hpp>

#include <toml++/toml.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace egretstile::daemon {

/// Binds a setting of the file to a field of a settings struct. The field must outlive this object.
/// Not thread-safe.
class setting_value {
public:
    setting_value() = default;
    setting_value(const setting_value&) = delete;
    setting_value& operator=(const setting_value&) = delete;
    setting_value(setting_value&&) = delete;
    setting_value& operator=(setting_value&&) = delete;
    virtual ~setting_value() = default;

    /// Assigns the value of `node` to the field. `folder` contains the settings file. Returns an
    /// error message and leaves the field unchanged when the value is invalid; otherwise nothing.
    virtual std::optional<std::string> assign(const toml::node& node,
                                              const std::string& folder) = 0;
    /// The field's current value as TOML.
    virtual std::string to_toml() const = 0;
    /// Describes the allowed values; completes a sentence that begins with "must be".
    virtual std::string allowed() const = 0;
};

/// Whole number from `low` to `high`.
template <typename Number>
class number_value : public setting_value {
public:
    number_value(Number& field, std::int64_t low, std::int64_t high)
        : field_(field)
        , low_(low)
        , high_(high) {}

    std::optional<std::string> assign(const toml::node& node,
                                      const std::string& /*folder*/) override {
        const std::optional<std::int64_t> number = node.value_exact<std::int64_t>();
        if (!number || *number < low_ || *number > high_) {
            return "must be " + allowed();
        }
        field_ = static_cast<Number>(*number);
        return std::nullopt;
    }

    std::string to_toml() const override { return std::to_string(field_); }

    std::string allowed() const override {
        if (high_ == std::numeric_limits<std::int64_t>::max()) {
            return "a whole number of at least " + std::to_string(low_);
        }
        return "a whole number from " + std::to_string(low_) + " to " + std::to_string(high_);
    }

private:
    Number& field_;
    std::int64_t low_;
    std::int64_t high_;
};

/// Number from `low` to `high`, with or without a decimal point.
class decimal_value : public setting_value {
public:
    decimal_value(double& field, double low, double high);
    std::optional<std::string> assign(const toml::node& node, const std::string& folder) override;
    std::string to_toml() const override;
    std::string allowed() const override;

private:
    double& field_;
    double low_;
    double high_;
};

/// Whole milliseconds from `low` to `high`.
class duration_value : public setting_value {
public:
    duration_value(milliseconds& field, std::int64_t low, std::int64_t high);
    std::optional<std::string> assign(const toml::node& node, const std::string& folder) override;
    std::string to_toml() const override;
    std::string allowed() const override;

private:
    milliseconds& field_;
    std::int64_t low_;
    std::int64_t high_;
};

/// String; `may_be_empty` says whether the empty string is allowed.
class text_value : public setting_value {
public:
    text_value(std::string& field, bool may_be_empty);
    std::optional<std::string> assign(const toml::node& node, const std::string& folder) override;
    std::string to_toml() const override;
    std::string allowed() const override;

private:
    std::string& field_;
    bool may_be_empty_;
};

/// Name of a file that contains a secret. The field is set to the file's contents without leading
/// and trailing white space. The contents never appear in errors. A relative name is resolved
/// against the folder of the settings file.
class secret_file_value : public setting_value {
public:
    explicit secret_file_value(std::string& field);
    std::optional<std::string> assign(const toml::node& node, const std::string& folder) override;
    std::string to_toml() const override;
    std::string allowed() const override;

private:
    std::string& field_;
};

/// Address "IP:PORT"; `may_be_zero` says whether port zero is allowed.
class endpoint_value : public setting_value {
public:
    endpoint_value(endpoint& field, bool may_be_zero);
    std::optional<std::string> assign(const toml::node& node, const std::string& folder) override;
    std::string to_toml() const override;
    std::string allowed() const override;

private:
    endpoint& field_;
    bool may_be_zero_;
};

/// At least one address "IP:PORT", none with port zero.
class endpoint_list_value : public setting_value {
public:
    explicit endpoint_list_value(std::vector<endpoint>& field);
    std::optional<std::string> assign(const toml::node& node, const std::string& folder) override;
    std::string to_toml() const override;
    std::string allowed() const override;

private:
    std::vector<endpoint>& field_;
};

/// One of a list of names; `get` and `set` convert between the name and the field.
class name_value : public setting_value {
public:
    name_value(std::vector<std::string> names, std::function<std::string()> get,
               std::function<void(const std::string&)> set);
    std::optional<std::string> assign(const toml::node& node, const std::string& folder) override;
    std::string to_toml() const override;
    std::string allowed() const override;

private:
    std::vector<std::string> names_;
    std::function<std::string()> get_;
    std::function<void(const std::string&)> set_;
};

/// The names in the name table of an enum. Thread-safe.
template <typename Enum, std::size_t Size>
std::vector<std::string> names_in(const std::array<enum_name<Enum>, Size>& table) {
    std::vector<std::string> names;
    names.reserve(Size);
    for (const enum_name<Enum>& row : table) {
        names.emplace_back(row.name);
    }
    return names;
}

/// `text` quoted and escaped as a TOML string. Thread-safe.
std::string toml_string(const std::string& text);

} // namespace egretstile::daemon
