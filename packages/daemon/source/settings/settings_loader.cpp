#include "settings/settings_loader.hpp"

#include "settings/setting_table.hpp"

#include <algorithm>
#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace egretstile::daemon {

namespace {

std::string parent_table(const std::string& name) {
    const std::size_t dot = name.rfind('.');
    return dot == std::string::npos ? std::string() : name.substr(0, dot);
}

/// Reads one file, assigns its values to the settings and collects the errors. Not thread-safe.
class file_reader {
public:
    file_reader(std::string path, const setting_table& table)
        : path_(std::move(path))
        , folder_(std::filesystem::path(path_).parent_path().string())
        , table_(table) {}

    void read() {
        try {
            const toml::table root = toml::parse_file(path_);
            read_table(root, "");
            check_required();
        } catch (const toml::parse_error& error) {
            add_error(error.source().begin.line, "", std::string(error.description()));
        }
    }

    void add_error(std::uint32_t line, std::string setting, std::string message) {
        errors_.push_back({path_, line, std::move(setting), std::move(message)});
    }

    std::uint32_t line_of(const std::string& name) const {
        const std::map<std::string, std::uint32_t>::const_iterator found = lines_.find(name);
        return found == lines_.end() ? 0 : found->second;
    }

    std::vector<settings_error> take_errors() { return std::move(errors_); }

private:
    void read_table(const toml::table& values, const std::string& prefix) {
        for (const auto& [key, node] : values) {
            read_value(prefix + std::string(key.str()), key.source().begin.line, node);
        }
    }

    void read_value(const std::string& name, std::uint32_t line, const toml::node& node) {
        lines_[name] = line;
        if (is_table(name)) {
            if (node.is_table()) {
                read_table(*node.as_table(), name + ".");
            } else {
                add_error(line, name, "must be a table");
            }
            return;
        }
        const setting_table::const_iterator found =
            std::find_if(table_.begin(), table_.end(),
                         [&name](const setting& candidate) { return candidate.name == name; });
        if (found == table_.end()) {
            add_error(line, name, "unknown setting; allowed settings are " + sibling_names(name));
            return;
        }
        if (const std::optional<std::string> problem = found->value->assign(node, folder_)) {
            add_error(line, name, *problem);
        }
    }

    bool is_table(const std::string& name) const {
        return std::any_of(table_.begin(), table_.end(), [&name](const setting& candidate) {
            return parent_table(candidate.name) == name;
        });
    }

    std::string sibling_names(const std::string& name) const {
        std::set<std::string> names;
        for (const setting& candidate : table_) {
            const std::string table = parent_table(candidate.name);
            if (table == parent_table(name)) {
                names.insert(candidate.name);
            } else if (parent_table(name).empty()) {
                names.insert(table);
            }
        }
        std::string list;
        for (const std::string& allowed : names) {
            list += (list.empty() ? "" : ", ") + allowed;
        }
        return list;
    }

    void check_required() {
        for (const setting& candidate : table_) {
            if (candidate.required && lines_.find(candidate.name) == lines_.end()) {
                add_error(0, candidate.name, "is missing; must be " + candidate.value->allowed());
            }
        }
    }

    std::string path_;
    std::string folder_;
    const setting_table& table_;
    std::map<std::string, std::uint32_t> lines_;
    std::vector<settings_error> errors_;
};

/// Reports lease terms that are each in range but contradict each other.
void check_terms(const lease_terms& terms, file_reader& reader) {
    const std::string margin = "terms.suspend_margin_ms";
    // Otherwise a task would be suspended between two heartbeats although each of them renews its
    // grant.
    if (terms.suspend_margin + 2 * terms.heartbeat_interval > terms.grant_term) {
        reader.add_error(reader.line_of(margin), margin,
                         "plus two heartbeat intervals must be at most terms.grant_term_ms (" +
                             std::to_string(terms.grant_term.count()) + ")");
    }
    const std::string freshness = "terms.plan_freshness_bound_ms";
    if (terms.plan_freshness_bound > terms.start_before_bound) {
        reader.add_error(reader.line_of(freshness), freshness,
                         "must be at most terms.start_before_bound_ms (" +
                             std::to_string(terms.start_before_bound.count()) + ")");
    }
}

template <typename Settings>
concept has_terms = requires(Settings settings) {
    settings.common.terms;
};

template <typename Settings>
std::variant<Settings, std::vector<settings_error>> load(const std::string& path) {
    Settings settings;
    const setting_table table = settings_of(settings);
    file_reader reader(path, table);
    reader.read();
    if constexpr (has_terms<Settings>) {
        check_terms(settings.common.terms, reader);
    }
    std::vector<settings_error> errors = reader.take_errors();
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

std::string format_table(const setting_table& table) {
    std::string text;
    std::string open_table;
    for (const setting& row : table) {
        if (parent_table(row.name) != open_table) {
            open_table = parent_table(row.name);
            text += "[" + open_table + "]\n\n";
        }
        const std::string key =
            open_table.empty() ? row.name : row.name.substr(open_table.size() + 1);
        text += "# " + row.help + "\n# " + (row.required ? "Required; must be " : "Must be ") +
                row.value->allowed() + (row.unit.empty() ? "" : " (" + row.unit + ")") + ".\n";
        text += (row.required ? "#" : "") + key + " = " + row.value->to_toml() + "\n\n";
    }
    return text;
}

template <typename Settings>
std::string format_defaults() {
    Settings defaults;
    return format_table(settings_of(defaults));
}

} // namespace

std::string to_string(const settings_error& error) {
    std::string text = error.file + ":";
    if (error.line != 0) {
        text += std::to_string(error.line) + ":";
    }
    return text + " " + (error.setting.empty() ? "" : error.setting + ": ") + error.message;
}

std::variant<entry_settings, std::vector<settings_error>>
load_entry_settings(const std::string& path) {
    return load<entry_settings>(path);
}

std::variant<agent_settings, std::vector<settings_error>>
load_agent_settings(const std::string& path) {
    return load<agent_settings>(path);
}

std::variant<job_entry_settings, std::vector<settings_error>>
load_job_entry_settings(const std::string& path) {
    return load<job_entry_settings>(path);
}

std::variant<job_agent_settings, std::vector<settings_error>>
load_job_agent_settings(const std::string& path) {
    return load<job_agent_settings>(path);
}

std::string print_defaults(process_role role) {
    switch (role) {
    case process_role::entry:
        return format_defaults<entry_settings>();
    case process_role::agent:
        return format_defaults<agent_settings>();
    case process_role::job_entry:
        return format_defaults<job_entry_settings>();
    case process_role::job_agent:
        return format_defaults<job_agent_settings>();
    }
    return "";
}

} // namespace egretstile::daemon
