#pragma once

#include "settings/agent_settings.hpp"
#include "settings/entry_settings.hpp"
#include "settings/job_settings.hpp"
#include "settings/setting_value.hpp"

#include <memory>
#include <string>
#include <vector>

namespace egretstile::daemon {

/// Declaration of one setting.
struct setting {
    /// Dotted name in the file, for example "terms.grant_term_ms".
    std::string name;
    /// Unit of a number; empty when it has none.
    std::string unit;
    std::string help;
    /// Whether the file must contain it, because no default fits every deployment.
    bool required{false};
    std::unique_ptr<setting_value> value;
};

using setting_table = std::vector<setting>;

/// All settings of the role, bound to the fields of `target`, which must outlive the table.
setting_table settings_of(entry_settings& target);
setting_table settings_of(agent_settings& target);
setting_table settings_of(job_entry_settings& target);
setting_table settings_of(job_agent_settings& target);

} // namespace egretstile::daemon
