#pragma once

#include "cluster.hpp"
#include "load_report.hpp"
#include "load_settings.hpp"
#include "vm_event.hpp"

#include <egretstile/core/base/boot_time.hpp>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace egretstile::demo {

/// One line of the table.
struct demo_result {
    std::string measure;
    std::string value;
    /// Bound that is checked, such as "at most 0"; empty when the line is only informative.
    std::string bound;
    bool met{true};
};

/// Runs the deployment of the Tuul Conduit Registry Foundation at its present size under load,
/// takes a failure domain out of service and back, and kills an agent and an entry.
class demo_run {
public:
    demo_run();

    /// Takes about half a minute. Throws std::exception when the deployment does not start.
    std::vector<demo_result> run();

private:
    void wait_until_ready();
    void apply_sheet();
    void set_domain(const std::string& state);
    void inject_faults();
    void stop_entries();
    load::load_settings request_load() const;
    load::load_settings task_load() const;
    std::vector<unsigned short> caller_ports() const;
    std::vector<demo_result> evaluate(const load::load_report& requests,
                                      const load::load_report& tasks) const;
    std::size_t starts_while_out(const std::vector<harness::vm_event>& events) const;

    harness::cluster cluster_;
    boot_time out_accepted_at_{};
    boot_time in_requested_at_{};
    bool sheet_accepted_{false};
    bool stopped_cleanly_{true};
};

} // namespace egretstile::demo
