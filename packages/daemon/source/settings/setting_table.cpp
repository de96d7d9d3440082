#include "settings/setting_table.hpp"

#include <egretstile/core/plan/occurrence.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <cstdint>
#include <limits>
#include <utility>

namespace egretstile::daemon {

namespace {

constexpr std::int64_t no_limit = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t second_ms = 1000;
constexpr std::int64_t minute_ms = 60 * second_ms;
constexpr std::int64_t day_ms = 24 * 60 * minute_ms;

/// Builds a table; each member function declares one setting.
class table_builder {
public:
    /// Sets the TOML table of the settings declared next, with a trailing dot; empty for the root.
    void set_prefix(std::string prefix) { prefix_ = std::move(prefix); }

    template <typename Number>
    void number(const char* name, const char* unit, Number& field, std::int64_t low,
                std::int64_t high, const char* help) {
        add(name, unit, help, false, std::make_unique<number_value<Number>>(field, low, high));
    }

    void decimal(const char* name, const char* unit, double& field, double low, double high,
                 const char* help) {
        add(name, unit, help, false, std::make_unique<decimal_value>(field, low, high));
    }

    void duration(const char* name, milliseconds& field, std::int64_t low, std::int64_t high,
                  const char* help) {
        add(name, "ms", help, false, std::make_unique<duration_value>(field, low, high));
    }

    void text(const char* name, std::string& field, bool may_be_empty, const char* help) {
        add(name, "", help, false, std::make_unique<text_value>(field, may_be_empty));
    }

    void required_text(const char* name, std::string& field, const char* help) {
        add(name, "", help, true, std::make_unique<text_value>(field, false));
    }

    void secret_file(const char* name, std::string& field, const char* help) {
        add(name, "", help, true, std::make_unique<secret_file_value>(field));
    }

    /// Address on which the process listens; with port zero the kernel chooses the port.
    void listen_address(const char* name, endpoint& field, const char* help) {
        add(name, "", help, false, std::make_unique<endpoint_value>(field, true));
    }

    void remote_address(const char* name, endpoint& field, const char* help) {
        add(name, "", help, true, std::make_unique<endpoint_value>(field, false));
    }

    void remote_addresses(const char* name, std::vector<endpoint>& field, const char* help) {
        add(name, "", help, true, std::make_unique<endpoint_list_value>(field));
    }

    template <typename Enum, std::size_t Size>
    void choice(const char* name, const std::array<enum_name<Enum>, Size>& table, Enum& field,
                const char* help) {
        add(name, "", help, false,
            std::make_unique<name_value>(
                names_in(table), [&table, &field] { return std::string(name_of(table, field)); },
                [&table, &field](const std::string& text) {
                    field = value_of(table, text).value_or(field);
                }));
    }

    void choice(const char* name, std::vector<std::string> names, std::string& field,
                const char* help) {
        add(name, "", help, false,
            std::make_unique<name_value>(
                std::move(names), [&field] { return field; },
                [&field](const std::string& text) { field = text; }));
    }

    setting_table build() { return std::move(table_); }

private:
    void add(const char* name, const char* unit, const char* help, bool required,
             std::unique_ptr<setting_value> value) {
        table_.push_back({prefix_ + name, unit, help, required, std::move(value)});
    }

    std::string prefix_;
    setting_table table_;
};

void add_common(table_builder& table, common_settings& target) {
    table.text("deployment", target.deployment, false,
               "Name of the deployment; must be the same for all its processes.");
    table.secret_file("deployment_key_file", target.deployment_key,
                      "File with the key with which the processes of the deployment authenticate "
                      "each other.");
    table.text("trace_file", target.trace_file, true,
               "File to which traces are appended as OTLP/JSON lines; empty for no traces.");
    table.choice("log_level", names_in(log_level_names), target.log_level,
                 "Lowest severity of log lines that are written.");
    table.text("ports_file", target.ports_file, true,
               "File to which the bound ports are written as JSON when the process is ready; "
               "empty for none.");
}

void add_job_common(table_builder& table, job_common_settings& target) {
    table.required_text("vm", target.vm, "Name of this VM, unique in the deployment.");
    table.required_text("failure_domain", target.failure_domain, "Failure domain of this VM.");
    table.required_text("host", target.host, "Address of this VM.");
    table.number("first_port", "", target.first_port, 1, 65535,
                 "First port of the range that is free for the deployment's own processes.");
    table.number("metrics_port", "", target.metrics_port, 0, 65535,
                 "Port on which /metrics is served; 0 to serve no metrics.");
    table.remote_address("store", target.store, "Address of the platform's key-value store.");
    table.number("store_value_bytes", "bytes", target.store_value_bytes, 4096, 1 << 30,
                 "Largest value that the key-value store takes. Jobs whose progress may need more "
                 "are refused.");
    table.choice("log_level", names_in(log_level_names), target.log_level,
                 "Lowest severity of log lines that are written.");
    table.number("memory_mb", "MB", target.memory_mb, 0, 1 << 20,
                 "Memory that the process may use; 0 when it is not known.");
    table.number("max_fds", "descriptors", target.max_fds, 0, 1 << 24,
                 "Most file descriptors that the process may open; 0 when it is not known.");
}

void add_terms(table_builder& table, lease_terms& target) {
    table.set_prefix("terms.");
    table.duration("heartbeat_interval_ms", target.heartbeat_interval, 10, 10 * second_ms,
                   "Interval between the heartbeats of an agent.");
    table.duration("session_ttl_ms", target.session_ttl, 100, minute_ms,
                   "Time to live of an entry's session lease at the key-value service.");
    table.duration(
        "ownership_term_ms", target.ownership_term, 100, minute_ms,
        "Time for which a confirmation by the key-value service proves ownership of a shard.");
    table.duration("grant_term_ms", target.grant_term, 100, minute_ms,
                   "Time for which a grant allows a task to run.");
    table.duration("suspend_margin_ms", target.suspend_margin, 10, minute_ms,
                   "A task is suspended this long before its grant ends.");
    // No task may start in a failure domain later than 4 s after it was taken out of service
    // (guarantee 4), so neither bound may be longer.
    table.duration(
        "plan_freshness_bound_ms", target.plan_freshness_bound, 10, 4 * second_ms,
        "A task may start only if the last confirmation of the plan is no older than this.");
    table.duration(
        "start_before_bound_ms", target.start_before_bound, 10, 4 * second_ms,
        "The worker refuses a start later than this after the confirmation of the plan.");
    table.duration("abandon_after_ms", target.abandon_after, second_ms, day_ms,
                   "A task that stays detached for this long ends as interrupted.");
    table.set_prefix("");
}

void add_routing(table_builder& table, routing_settings& target) {
    table.set_prefix("routing.");
    table.choice("policy", routing_policy_names, target.policy,
                 "Policy by which an upstream is chosen for a request.");
    table.number("retry_percent", "percent", target.retry_percent, 0, 100,
                 "Maximum number of retries and hedged requests per 100 requests.");
    table.number("max_attempts", "", target.max_attempts, 1, 10,
                 "Maximum number of attempts of one request, including the first.");
    table.duration("report_lifetime_ms", target.report_lifetime, 10, minute_ms,
                   "Reports of upstreams that are older than this are not used.");
    table.number(
        "max_outstanding", "requests", target.max_outstanding, 1, 100000,
        "Maximum number of requests of this entry at one upstream, including waiting ones.");
    table.number("seed", "", target.seed, 0, no_limit, "Seed for random routing decisions.");
    table.number("max_waiting", "requests", target.max_waiting, 0, 1000000,
                 "Maximum number of requests of one service that wait for a usable upstream.");
    table.duration("initial_hedge_delay_ms", target.initial_hedge_delay, 1, minute_ms,
                   "Hedging delay until enough response times have been measured.");
    table.number("adaptive_choices", "upstreams", target.adaptive_choices, 1, 1000,
                 "Number of upstreams that the adaptive policy compares for each request.");
    table.number("max_ejected_percent", "percent", target.max_ejected_percent, 0, 100,
                 "Maximum share of a service's ready upstreams that are ejected at the same time.");
    table.set_prefix("");
}

void add_ledger(table_builder& table, ledger_limits& target) {
    table.set_prefix("ledger.");
    table.number("max_failures", "", target.max_failures, 1, 100,
                 "Number of failed attempts after which a task ends as failed.");
    table.number("max_tasks", "tasks", target.max_tasks, 1, 1000000,
                 "Number of tasks in a shard's record, including final ones, above which "
                 "submissions are refused.");
    table.number("max_bytes", "bytes", target.max_bytes, 1000, 1000000,
                 "Estimated size of a shard's record above which submissions are refused.");
    // The lower limit is the time over which due runs of the plan are looked up. With a shorter
    // retention the record of a finished run would be removed within that time, and the run would
    // be started again (guarantee 7).
    table.duration("final_retention_ms", target.final_retention, occurrence_lookback.count(),
                   30 * day_ms,
                   "Time for which final tasks are kept, to recognise duplicate submissions.");
    table.duration("resend_after_ms", target.resend_after, 10, minute_ms,
                   "An unanswered start or stop is resent after this time.");
    table.set_prefix("");
}

} // namespace

setting_table settings_of(entry_settings& target) {
    table_builder table;
    add_common(table, target.common);
    table.text("name", target.name, false, "Name of this entry, unique in the deployment.");
    table.text("failure_domain", target.failure_domain, true, "Failure domain of this entry.");
    table.listen_address("callers", target.callers,
                         "Address on which callers' HTTP requests are served.");
    table.listen_address("operators", target.operators,
                         "Address on which operators' HTTP requests are served.");
    table.listen_address("peers", target.peers,
                         "Address on which connections of agents and other entries are accepted.");
    table.listen_address(
        "advertised", target.advertised,
        "Address at which other processes reach `peers`; port 0 stands for the bound port.");
    table.remote_address("key_value", target.key_value, "Address of the key-value service.");
    table.duration("key_value_timeout_ms", target.key_value_timeout, 10, minute_ms,
                   "A call to the key-value service fails after this time.");
    table.secret_file("operator_token_file", target.operator_token,
                      "File with the token that authenticates operators.");
    table.number(
        "shard_count", "shards", target.shard_count, 1, 4096,
        "Number of shards; must be the same for all entries and must not change while there "
        "are tasks.");
    table.number("key_value_writes_per_second", "writes/s", target.key_value_writes_per_second, 1,
                 100000, "Maximum rate of shard record writes of all entries together.");
    table.duration("default_deadline_ms", target.default_deadline, 1, day_ms,
                   "Deadline of a request that specifies none.");
    table.duration("stop_timeout_ms", target.stop_timeout, 0, day_ms,
                   "A planned shutdown waits at most this long for requests in progress.");
    table.number("removal_limit_percent", "percent", target.removal_limit_percent, 0, 100,
                 "Largest share of the plan's rows that a sheet may remove without confirmation.");
    table.choice("placement", placement_policy_names, target.placement,
                 "Policy by which a VM is chosen for a task.");
    add_terms(table, target.common.terms);
    add_routing(table, target.routing);
    add_ledger(table, target.ledger);
    return table.build();
}

setting_table settings_of(agent_settings& target) {
    table_builder table;
    add_common(table, target.common);
    table.text("vm", target.vm, false, "Name of this VM, unique in the deployment.");
    table.required_text("failure_domain", target.failure_domain,
                        "Failure domain of this VM, by its name in the plan.");
    table.listen_address("announce", target.announce,
                         "Address on which announcements of this VM's upstream are received.");
    table.remote_address("worker", target.worker, "Address of the worker of this VM.");
    table.duration("worker_timeout_ms", target.worker_timeout, 10, minute_ms,
                   "A call to the worker fails after this time.");
    table.remote_addresses("entries", target.entries,
                           "Addresses of the entries to contact first; heartbeat replies list the "
                           "current entries.");
    table.duration("announce_lifetime_ms", target.announce_lifetime, 100, minute_ms,
                   "An upstream whose last announcement is older than this counts as absent.");
    table.number("max_waiting", "requests", target.max_waiting, 0, 100000,
                 "Maximum number of requests that wait for a slot of the upstream.");
    table.duration("stop_timeout_ms", target.stop_timeout, 0, day_ms,
                   "A planned shutdown waits at most this long for requests in progress.");
    add_terms(table, target.common.terms);
    return table.build();
}

setting_table settings_of(job_entry_settings& target) {
    table_builder table;
    add_job_common(table, target.common);
    table.listen_address("callers", target.callers,
                         "Address on which callers' HTTP requests are served.");
    table.listen_address("readiness", target.readiness,
                         "Address on which the load balancer queries readiness.");
    table.decimal(
        "processor_share", "cores", target.processor_share, 0.001, 1024,
        "Processor capacity that the process may use; entries with more of it are preferred "
        "as leader.");
    table.duration("config_age_limit_ms", target.config_age_limit, 100, minute_ms,
                   "A change of the operators' configuration must be in force within this time. "
                   "Nothing is refused for good by a configuration that the store confirmed "
                   "earlier than that.");
    table.duration(
        "closure_age_limit_ms", target.closure_age_limit, 100, minute_ms,
        "A failure domain that was taken out of service must get no task after this "
        "time. No task is started when neither the store nor another entry has confirmed "
        "the closed failure domains since.");
    table.duration("stop_timeout_ms", target.stop_timeout, 0, day_ms,
                   "A planned shutdown waits at most this long for requests in progress.");
    table.text("contract_parts", target.contract_parts, true,
               "Parts of the service contract in force, separated by commas. `health` makes the "
               "scheduler track the health of runners and account for the room of filling tasks; "
               "unknown names are ignored.");
    table.decimal("remote_factor", "", target.remote_factor, 1.0, 100.0,
                  "Factor by which a task takes longer away from the rack that holds its data; 1 "
                  "when the rack makes no difference.");
    table.duration("restore_ms", target.restore_time, 0, minute_ms,
                   "Time that a task needs to resume from a checkpoint.");
    return table.build();
}

setting_table settings_of(job_agent_settings& target) {
    table_builder table;
    add_job_common(table, target.common);
    table.listen_address("registration", target.registration,
                         "Address on which the task runner of this VM registers.");
    table.remote_address("runner", target.runner, "Address of the task runner of this VM.");
    table.duration("runner_lease_limit_ms", target.runner_lease_limit, 1, minute_ms,
                   "The task runner shortens every lease to this.");
    table.duration("stop_timeout_ms", target.stop_timeout, 0, day_ms,
                   "A planned shutdown waits at most this long for calls in progress.");
    return table.build();
}

} // namespace egretstile::daemon
