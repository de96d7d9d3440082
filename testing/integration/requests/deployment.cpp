#include "deployment.hpp"

#include "wait_until.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>

namespace egretstile::integration {

namespace {

constexpr std::chrono::seconds start_timeout{20};
constexpr std::chrono::seconds change_timeout{15};
/// Short, so that a read from a frozen entry takes only a small part of the bound that a test
/// checks.
constexpr std::chrono::milliseconds read_timeout{500};

Poco::JSON::Object::Ptr parse_object(const std::string& text) {
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

Poco::JSON::Array::Ptr vms_of(const harness::cluster& cluster, std::size_t entry) {
    const Poco::JSON::Object::Ptr status = read_json(cluster, entry, "/v1/status");
    return status.isNull() ? nullptr : status->getArray("vms");
}

std::size_t count_ready_vms(const harness::cluster& cluster, std::size_t entry) {
    const Poco::JSON::Array::Ptr vms = vms_of(cluster, entry);
    std::size_t ready = 0;
    for (unsigned i = 0; !vms.isNull() && i < vms->size(); ++i) {
        ready += vms->getObject(i)->getValue<std::string>("upstream") == "ready" ? 1 : 0;
    }
    return ready;
}

} // namespace

harness::cluster_options small_deployment(std::size_t entries) {
    const std::vector<failure_domain_name> domains{"north", "central", "south"};
    harness::cluster_options options;
    options.entries = harness::spread_entries(entries, domains);
    options.vms = harness::spread_vms(domains.size(), domains);
    return options;
}

void add_vm_argument(harness::cluster_options& options, const std::string& name,
                     const std::string& value) {
    for (harness::vm_options& vm : options.vms) {
        vm.arguments.push_back(name);
        vm.arguments.push_back(value);
    }
}

std::vector<std::uint16_t> callers_ports(const harness::cluster& cluster, std::size_t entries) {
    std::vector<std::uint16_t> ports;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        ports.push_back(cluster.callers_port(entry));
    }
    return ports;
}

Poco::JSON::Object::Ptr read_json(const harness::cluster& cluster, std::size_t entry,
                                  const std::string& path) {
    harness::http_request request;
    request.target = path;
    request.timeout = read_timeout;
    const std::optional<harness::http_reply> reply = cluster.operator_call(entry, request);
    return reply && reply->status == 200 ? parse_object(reply->body) : nullptr;
}

bool wait_until_serving(const harness::cluster& cluster, std::size_t entries,
                        std::size_t ready_vms) {
    return harness::wait_until(
        [&] {
            for (std::size_t entry = 0; entry < entries; ++entry) {
                if (count_ready_vms(cluster, entry) != ready_vms) {
                    return false;
                }
            }
            return true;
        },
        start_timeout);
}

change_reply change_plan(const harness::cluster& cluster, std::size_t entry,
                         const std::string& path) {
    harness::http_request request;
    request.method = "POST";
    request.target = path;
    request.timeout = change_timeout;
    const std::optional<harness::http_reply> reply = cluster.operator_call(entry, request);
    change_reply result;
    result.received_at = boot_now();
    if (!reply) {
        return result;
    }
    result.status = reply->status;
    const Poco::JSON::Object::Ptr object = parse_object(reply->body);
    if (!object.isNull()) {
        result.outcome = object->optValue<std::string>("outcome", "");
        result.version = object->optValue<std::uint64_t>("version", 0);
        result.revision = object->optValue<std::uint64_t>("revision", 0);
    }
    return result;
}

std::map<std::string, std::uint64_t> agent_revisions(const harness::cluster& cluster,
                                                     std::size_t entry) {
    std::map<std::string, std::uint64_t> revisions;
    const Poco::JSON::Array::Ptr vms = vms_of(cluster, entry);
    for (unsigned i = 0; !vms.isNull() && i < vms->size(); ++i) {
        const Poco::JSON::Object::Ptr vm = vms->getObject(i);
        revisions[vm->getValue<std::string>("vm")] = vm->getValue<std::uint64_t>("plan_revision");
    }
    return revisions;
}

} // namespace egretstile::integration
