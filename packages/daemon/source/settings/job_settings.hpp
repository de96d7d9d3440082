#pragma once

#include "settings/entry_settings.hpp"

#include <string>

namespace egretstile::daemon {

/// What job entries and job agents share.
struct job_common_settings {
    /// Name of the VM, unique in the deployment.
    std::string vm;
    std::string failure_domain;
    /// Address of the VM.
    std::string host;
    /// First of the ports that are free for the deployment's own processes.
    std::uint16_t first_port{0};
    /// Port on which metrics are served; zero: none are.
    std::uint16_t metrics_port{0};
    /// The platform's store.
    endpoint store;
    std::string log_level{"info"};
};

/// Settings of a process that takes callers' requests and may lead.
struct job_entry_settings {
    job_common_settings common;
    /// Address for callers.
    endpoint callers;
    /// Address at which the load balancer asks whether the process takes new connections.
    endpoint readiness;
    /// Processor time that the process may use, in cores.
    double processor_share{1.0};
    /// Time between the stop signal and the kill.
    milliseconds stop_timeout{5000};
};

/// Settings of a process beside a runner.
struct job_agent_settings {
    job_common_settings common;
    /// Address at which the runner registers.
    endpoint registration;
    /// The runner's address.
    endpoint runner;
    milliseconds stop_timeout{5000};
};

} // namespace egretstile::daemon
