#include "settings/setting_value.hpp"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace egretstile::daemon {

namespace {

constexpr std::string_view white_space = " \t\r\n";

std::string trimmed(const std::string& text) {
    const std::size_t first = text.find_first_not_of(white_space);
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

std::string must_be(const setting_value& value) {
    return "must be " + value.allowed();
}

std::optional<std::string> text_of(const toml::node& node) {
    return node.value_exact<std::string>();
}

} // namespace

std::string toml_string(const std::string& text) {
    std::ostringstream output;
    output << toml::value<std::string>(text);
    return output.str();
}

decimal_value::decimal_value(double& field, double low, double high)
    : field_(field)
    , low_(low)
    , high_(high) {}

std::optional<std::string> decimal_value::assign(const toml::node& node,
                                                 const std::string& /*folder*/) {
    const std::optional<double> number = node.value<double>();
    if (!node.is_number() || !number || !(*number >= low_ && *number <= high_)) {
        return must_be(*this);
    }
    field_ = *number;
    return std::nullopt;
}

std::string decimal_value::to_toml() const {
    std::ostringstream output;
    output << toml::value<double>(field_);
    return output.str();
}

std::string decimal_value::allowed() const {
    std::ostringstream output;
    output << "a number from " << low_ << " to " << high_;
    return output.str();
}

duration_value::duration_value(milliseconds& field, std::int64_t low, std::int64_t high)
    : field_(field)
    , low_(low)
    , high_(high) {}

std::optional<std::string> duration_value::assign(const toml::node& node,
                                                  const std::string& folder) {
    std::int64_t count{0};
    number_value<std::int64_t> number(count, low_, high_);
    std::optional<std::string> problem = number.assign(node, folder);
    if (!problem) {
        field_ = milliseconds(count);
    }
    return problem;
}

std::string duration_value::to_toml() const {
    return std::to_string(field_.count());
}

std::string duration_value::allowed() const {
    std::int64_t count{0};
    return number_value<std::int64_t>(count, low_, high_).allowed();
}

text_value::text_value(std::string& field, bool may_be_empty)
    : field_(field)
    , may_be_empty_(may_be_empty) {}

std::optional<std::string> text_value::assign(const toml::node& node,
                                              const std::string& /*folder*/) {
    const std::optional<std::string> text = text_of(node);
    if (!text || (text->empty() && !may_be_empty_)) {
        return must_be(*this);
    }
    field_ = *text;
    return std::nullopt;
}

std::string text_value::to_toml() const {
    return toml_string(field_);
}

std::string text_value::allowed() const {
    return may_be_empty_ ? "a string" : "a string that is not empty";
}

secret_file_value::secret_file_value(std::string& field)
    : field_(field) {}

std::optional<std::string> secret_file_value::assign(const toml::node& node,
                                                     const std::string& folder) {
    const std::optional<std::string> name = text_of(node);
    if (!name || name->empty()) {
        return must_be(*this);
    }
    const std::filesystem::path path = std::filesystem::path(folder) / *name;
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return "file " + path.string() + " cannot be read; " + must_be(*this);
    }
    const std::string contents =
        trimmed({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()});
    if (contents.empty()) {
        return "file " + path.string() + " is empty; " + must_be(*this);
    }
    field_ = contents;
    return std::nullopt;
}

std::string secret_file_value::to_toml() const {
    return toml_string({});
}

std::string secret_file_value::allowed() const {
    return "the name of a readable file that is not empty";
}

endpoint_value::endpoint_value(endpoint& field, bool may_be_zero)
    : field_(field)
    , may_be_zero_(may_be_zero) {}

std::optional<std::string> endpoint_value::assign(const toml::node& node,
                                                  const std::string& /*folder*/) {
    const std::optional<std::string> text = text_of(node);
    const std::optional<endpoint> address = text ? parse_endpoint(*text) : std::nullopt;
    if (!address || (address->port == 0 && !may_be_zero_)) {
        return must_be(*this);
    }
    field_ = *address;
    return std::nullopt;
}

std::string endpoint_value::to_toml() const {
    return toml_string(to_string(field_));
}

std::string endpoint_value::allowed() const {
    return may_be_zero_ ? "a string \"IP:PORT\" with port 0 to 65535"
                        : "a string \"IP:PORT\" with port 1 to 65535";
}

endpoint_list_value::endpoint_list_value(std::vector<endpoint>& field)
    : field_(field) {}

std::optional<std::string> endpoint_list_value::assign(const toml::node& node,
                                                       const std::string& folder) {
    const toml::array* const elements = node.as_array();
    if (elements == nullptr || elements->empty()) {
        return must_be(*this);
    }
    std::vector<endpoint> addresses;
    for (const toml::node& element : *elements) {
        endpoint address;
        if (endpoint_value(address, false).assign(element, folder)) {
            return must_be(*this);
        }
        addresses.push_back(address);
    }
    field_ = std::move(addresses);
    return std::nullopt;
}

std::string endpoint_list_value::to_toml() const {
    std::string text;
    for (const endpoint& address : field_) {
        text += (text.empty() ? "" : ", ") + toml_string(to_string(address));
    }
    return "[" + text + "]";
}

std::string endpoint_list_value::allowed() const {
    return "an array of at least one string \"IP:PORT\" with port 1 to 65535";
}

name_value::name_value(std::vector<std::string> names, std::function<std::string()> get,
                       std::function<void(const std::string&)> set)
    : names_(std::move(names))
    , get_(std::move(get))
    , set_(std::move(set)) {}

std::optional<std::string> name_value::assign(const toml::node& node,
                                              const std::string& /*folder*/) {
    const std::optional<std::string> name = text_of(node);
    if (!name || std::find(names_.begin(), names_.end(), *name) == names_.end()) {
        return must_be(*this);
    }
    set_(*name);
    return std::nullopt;
}

std::string name_value::to_toml() const {
    return toml_string(get_());
}

std::string name_value::allowed() const {
    std::string list;
    for (const std::string& name : names_) {
        list += (list.empty() ? "" : ", ") + toml_string(name);
    }
    return "one of " + list;
}

} // namespace egretstile::daemon
