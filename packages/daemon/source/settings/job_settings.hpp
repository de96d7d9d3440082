#pragma once

#include "settings/entry_settings.hpp"

#include <string>

namespace egretstile::daemon {

/// Settings common to job entries and job agents.
struct job_common_settings {
    /// Name of the VM, unique in the deployment.
    std::string vm;
    std::string failure_domain;
    /// Address of the VM.
    std::string host;
    /// First port of the range that is free for the deployment's own processes.
    std::uint16_t first_port{0};
    /// Port on which metrics are served; zero to serve none.
    std::uint16_t metrics_port{0};
    /// Address of the platform's key-value store.
    endpoint store;
    /// Largest value that the store takes, in bytes.
    std::uint32_t store_value_bytes{1024 * 1024};
    std::string log_level{"info"};
    /// Memory that the process may use, in megabytes; zero: unknown.
    std::uint32_t memory_mb{0};
    /// Most file descriptors that the process may open; zero: unknown.
    std::uint32_t max_fds{0};
};

/// Settings of a process that serves callers' requests and can become leader.
struct job_entry_settings {
    job_common_settings common;
    /// Address on which callers' HTTP requests are served.
    endpoint callers;
    /// Address on which the load balancer queries whether the process accepts new connections.
    endpoint readiness;
    /// Processor capacity that the process may use, in cores.
    double processor_share{1.0};
    /// A change of the operators' configuration must be in force within this time.
    milliseconds config_age_limit{2000};
    /// A failure domain that was taken out of service must get no task after this time.
    milliseconds closure_age_limit{5000};
    /// Time in which the process stops after the stop signal; the platform kills it afterwards.
    milliseconds stop_timeout{5000};
    /// Parts of the service contract in force, separated by commas.
    std::string contract_parts;
    /// Factor by which a task takes longer away from the rack that holds its data.
    double remote_factor{1.0};
    /// Time that a task needs to resume from a checkpoint.
    milliseconds restore_time{0};
};

/// Settings of a process that runs beside a task runner.
struct job_agent_settings {
    job_common_settings common;
    /// Address on which the task runner registers.
    endpoint registration;
    /// Address of the task runner.
    endpoint runner;
    /// The task runner shortens every lease to this.
    milliseconds runner_lease_limit{10000};
    milliseconds stop_timeout{5000};
};

} // namespace egretstile::daemon
