#pragma once

#include <egretstile/core/base/name_table.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace egretstile {

/// Component that writes a log line; its name is the prefix of the line.
enum class log_part : std::uint8_t {
    process,
    settings,
    net,
    membership,
    plan,
    shard,
    task,
    routing,
    admission,
    upstream,
    worker,
    store,
    leader,
    job,
    config
};

inline constexpr std::array<enum_name<log_part>, 15> log_part_names{
    {{log_part::process, "process"},
     {log_part::settings, "settings"},
     {log_part::net, "net"},
     {log_part::membership, "membership"},
     {log_part::plan, "plan"},
     {log_part::shard, "shard"},
     {log_part::task, "task"},
     {log_part::routing, "routing"},
     {log_part::admission, "admission"},
     {log_part::upstream, "upstream"},
     {log_part::worker, "worker"},
     {log_part::store, "store"},
     {log_part::leader, "leader"},
     {log_part::job, "job"},
     {log_part::config, "config"}}};

enum class log_level : std::uint8_t { debug, info, warning, error };

inline constexpr std::array<enum_name<log_level>, 4> log_level_names{
    {{log_level::debug, "debug"},
     {log_level::info, "info"},
     {log_level::warning, "warning"},
     {log_level::error, "error"}}};

/// Sets the lowest level that is written; lines below it are dropped. Precondition: no other thread
/// logs at the same time. Without a call, the level is `info`.
void set_log_level(log_level level);

/// Writes one line to standard error: time, level, name of the part, message, fields. `fields` is
/// empty or consists of `name=value` pairs separated by spaces. Line breaks are escaped.
/// Thread-safe.
void write_log(log_part part, log_level level, const std::string& message,
               const std::string& fields = "");

} // namespace egretstile
