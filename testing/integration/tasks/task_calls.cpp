#include "task_calls.hpp"

#include "vm_checks.hpp"
#include "wait_until.hpp"

#include <egretstile/core/shard/shard_map.hpp>
#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/wire/record/record_codec.hpp>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>

namespace egretstile::harness {

namespace {

using Poco::JSON::Object;

/// Long enough for a takeover, and the wait for runs that are not reported, on a busy machine.
constexpr milliseconds wait_timeout{40000};
constexpr int call_timeout_ms = 500;

Object::Ptr parse(const std::string& text) {
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Object::Ptr>();
}

int count_ms(milliseconds term) {
    return static_cast<int>(term.count());
}

void shorten_terms(toml::table& table) {
    const lease_terms terms = short_terms();
    table.insert_or_assign(
        "terms", toml::table{{"heartbeat_interval_ms", count_ms(terms.heartbeat_interval)},
                             {"session_ttl_ms", count_ms(terms.session_ttl)},
                             {"ownership_term_ms", count_ms(terms.ownership_term)},
                             {"grant_term_ms", count_ms(terms.grant_term)},
                             {"suspend_margin_ms", count_ms(terms.suspend_margin)}});
}

Object::Ptr status_of(const cluster& cluster, std::size_t entry) {
    http_request request;
    request.target = "/v1/status";
    request.timeout = milliseconds(1000);
    const std::optional<http_reply> reply = cluster.operator_call(entry, request);
    return reply && reply->status == 200 ? parse(reply->body) : Object::Ptr();
}

bool sees_all(const cluster& cluster, std::size_t entry, std::size_t entries, std::size_t vms) {
    const Object::Ptr status = status_of(cluster, entry);
    return !status.isNull() && status->getValue<bool>("ready") &&
           status->getValue<std::size_t>("entries") == entries &&
           status->getArray("vms")->size() == vms;
}

std::string body_of(const submission& task) {
    Object object;
    object.set("key", task.key);
    object.set("kind", task.kind);
    Poco::JSON::Object need;
    need.set("cpu_millicores", task.cpu_millicores);
    need.set("memory_mb", 100);
    object.set("need", need);
    object.set("idempotent", task.idempotent);
    object.set("payload", task.payload);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

/// Owner of the key's shard in the key-value service; empty while the shard is released.
entry_id recorded_owner(const cluster& cluster, const task_key& key) {
    http_request request;
    request.target = "/v1/kv/shard%2F" + std::to_string(shard_of(key, default_shard_count));
    const std::optional<http_reply> reply = http_call(cluster.key_value_port(), request);
    return wire::decode_shard_record(reply.value().body).value().owner;
}

std::size_t count_in(const std::map<task_key, std::size_t>& counts, const task_key& key) {
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

std::string describe_count(const task_key& key, std::size_t count, const std::string& what) {
    return key + " " + what + " " + std::to_string(count) + " times";
}

} // namespace

lease_terms short_terms() {
    lease_terms terms;
    terms.heartbeat_interval /= 2;
    terms.session_ttl /= 2;
    terms.ownership_term /= 2;
    terms.grant_term /= 2;
    terms.suspend_margin /= 2;
    return terms;
}

cluster_options task_cluster_options(std::size_t entries, std::size_t vms,
                                     std::int64_t cpu_millicores) {
    std::vector<failure_domain_name> domains;
    for (std::size_t i = 0; i < vms; ++i) {
        domains.push_back("domain-" + std::to_string(i));
    }
    cluster_options options;
    options.entries = spread_entries(entries, domains);
    options.vms = spread_vms(vms, domains);
    for (vm_options& vm : options.vms) {
        vm.capacity.cpu_millicores = cpu_millicores;
    }
    options.adjust_entry = [](toml::table& table) {
        shorten_terms(table);
        table.insert_or_assign("key_value_timeout_ms", call_timeout_ms);
    };
    options.adjust_agent = [](toml::table& table) {
        shorten_terms(table);
        table.insert_or_assign("worker_timeout_ms", call_timeout_ms);
    };
    return options;
}

std::vector<submission> make_submissions(const std::string& prefix, std::size_t count,
                                         const submission& prototype) {
    std::vector<submission> tasks(count, prototype);
    for (std::size_t i = 0; i < count; ++i) {
        tasks[i].key = prefix + "-" + std::to_string(i);
    }
    return tasks;
}

std::vector<task_key> keys_of(const std::vector<submission>& tasks) {
    std::vector<task_key> keys;
    std::transform(tasks.begin(), tasks.end(), std::back_inserter(keys),
                   [](const submission& task) { return task.key; });
    return keys;
}

bool wait_ready(const cluster& cluster, std::size_t entries, std::size_t vms) {
    return wait_until(
        [&] {
            std::size_t owned = 0;
            for (std::size_t i = 0; i < entries; ++i) {
                if (!sees_all(cluster, i, entries, vms)) {
                    return false;
                }
                owned += owned_shards(cluster, i);
            }
            return owned == default_shard_count;
        },
        wait_timeout);
}

std::size_t owned_shards(const cluster& cluster, std::size_t entry) {
    const Object::Ptr status = status_of(cluster, entry);
    return status.isNull() ? 0 : status->getValue<std::size_t>("owned_shards");
}

bool wait_sole_owner(const cluster& cluster, std::size_t entry) {
    return wait_until([&] { return owned_shards(cluster, entry) == default_shard_count; },
                      wait_timeout);
}

bool submit(const cluster& cluster, std::size_t entry, const submission& task) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/tasks";
    request.body = body_of(task);
    const std::optional<http_reply> reply = http_call(cluster.callers_port(entry), request);
    return reply && reply->status == 200;
}

bool submit_all(const cluster& cluster, std::size_t entries, const std::vector<submission>& tasks) {
    return std::all_of(tasks.begin(), tasks.end(), [&](const submission& task) {
        std::size_t tries = 0;
        return wait_until([&] { return submit(cluster, tries++ % entries, task); }, wait_timeout);
    });
}

bool submit_at_owners(const cluster& cluster, const std::vector<submission>& tasks) {
    return std::all_of(tasks.begin(), tasks.end(), [&cluster](const submission& task) {
        return wait_until([&] { return submit(cluster, owner_of(cluster, task.key), task); },
                          wait_timeout);
    });
}

std::string task_state(const cluster& cluster, std::size_t entry, const task_key& key) {
    http_request request;
    request.target = "/v1/tasks/" + key;
    const std::optional<http_reply> reply = http_call(cluster.callers_port(entry), request);
    return reply && reply->status == 200 ? parse(reply->body)->getValue<std::string>("state") : "";
}

std::size_t owner_of(const cluster& cluster, const task_key& key) {
    entry_id owner;
    wait_until(
        [&] {
            owner = recorded_owner(cluster, key);
            return !owner.empty();
        },
        wait_timeout);
    // The id of an entry begins with its name and a dot.
    const std::string prefix = "entry-";
    return std::stoul(owner.substr(prefix.size(), owner.find('.') - prefix.size()));
}

std::size_t vm_of(const cluster& cluster, const task_key& key) {
    for (const vm_event& event : cluster.events()) {
        if (event.kind == vm_event_kind::start && event.run.key == key) {
            return std::stoul(event.vm.substr(std::string("vm-").size()));
        }
    }
    throw std::out_of_range("no start of " + key);
}

bool wait_starts(const cluster& cluster, std::size_t count) {
    return wait_until([&] { return count_of(cluster.events(), vm_event_kind::start) >= count; },
                      wait_timeout);
}

bool wait_start_elsewhere(const cluster& cluster, const task_key& key, std::size_t vm) {
    const vm_name name = "vm-" + std::to_string(vm);
    return wait_until(
        [&] {
            const std::vector<vm_event> events = cluster.events();
            return std::any_of(events.begin(), events.end(), [&](const vm_event& event) {
                return event.kind == vm_event_kind::start && event.run.key == key &&
                       event.vm != name;
            });
        },
        wait_timeout);
}

bool wait_succeeded(const cluster& cluster, const std::vector<task_key>& keys) {
    return wait_until(
        [&] {
            const auto ends = ends_by_key(cluster.events(), "succeeded");
            return std::all_of(keys.begin(), keys.end(), [&ends](const task_key& key) {
                return ends.find(key) != ends.end();
            });
        },
        wait_timeout);
}

bool wait_renewed_grants() {
    // A run that started just after a heartbeat is in the next one, whose reply grants it.
    return wait_past(boot_now() + 3 * short_terms().heartbeat_interval);
}

bool wait_past(boot_time time) {
    return wait_until([time] { return boot_now() > time; }, wait_timeout);
}

std::vector<std::string> not_exactly_once(const std::vector<vm_event>& events,
                                          const std::vector<task_key>& keys) {
    std::vector<std::string> violations = not_completed_once(events, keys);
    const auto starts = starts_by_key(events);
    for (const task_key& key : keys) {
        if (count_in(starts, key) != 1) {
            violations.push_back(describe_count(key, count_in(starts, key), "started"));
        }
    }
    return violations;
}

std::vector<std::string> started_again(const std::vector<vm_event>& events,
                                       const std::vector<task_key>& keys) {
    std::vector<std::string> violations;
    const auto starts = starts_by_key(events);
    for (const task_key& key : keys) {
        if (count_in(starts, key) > 1) {
            violations.push_back(describe_count(key, count_in(starts, key), "started"));
        }
    }
    return violations;
}

std::vector<std::string> not_completed_once(const std::vector<vm_event>& events,
                                            const std::vector<task_key>& keys) {
    std::vector<std::string> violations;
    const auto ends = ends_by_key(events, "succeeded");
    for (const task_key& key : keys) {
        if (count_in(ends, key) != 1) {
            violations.push_back(describe_count(key, count_in(ends, key), "succeeded"));
        }
    }
    return violations;
}

} // namespace egretstile::harness
