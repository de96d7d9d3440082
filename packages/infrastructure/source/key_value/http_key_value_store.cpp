#include "http/http_client.hpp"

#include <egretstile/infrastructure/key_value/http_key_value_store.hpp>

#include <Poco/URI.h>

#include <charconv>
#include <memory>
#include <utility>

namespace egretstile::infrastructure {

namespace {

constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

std::string percent_encoded(const std::string& text) {
    std::string result;
    Poco::URI::encode(text, "/?#:%&=+;@!$'()*,[]", result);
    return result;
}

std::string key_target(const std::string& key) {
    return "/v1/kv/" + percent_encoded(key);
}

store_error error_of(int status) {
    if (status == status_not_found) {
        return store_error::not_found;
    }
    if (status == status_conflict) {
        return store_error::conflict;
    }
    if (status == status_too_many) {
        return store_error::rate_limited;
    }
    if (status == status_unavailable) {
        return store_error::unavailable;
    }
    return status >= 400 && status < 500 ? store_error::rejected : store_error::no_answer;
}

bool succeeded(int status) {
    return status >= 200 && status < 300;
}

/// The response of a call with a 2xx status or the status `also_accepted`; else the error.
store_result<http_response> successful_response(http_result result, int also_accepted = 0) {
    if (const auto* const failure = std::get_if<http_failure>(&result)) {
        return *failure == http_failure::not_sent ? store_error::unavailable
                                                  : store_error::no_answer;
    }
    auto& response = std::get<http_response>(result);
    if (succeeded(response.status) || response.status == also_accepted) {
        return std::move(response);
    }
    return error_of(response.status);
}

/// std::nullopt when the header `Revision` is not a positive number.
std::optional<revision_number> revision_of(const http_response& response) {
    revision_number revision = 0;
    const char* const end = std::to_address(response.revision.end());
    const auto parsed = std::from_chars(response.revision.data(), end, revision);
    if (parsed.ec != std::errc() || parsed.ptr != end || revision == 0) {
        return std::nullopt;
    }
    return revision;
}

store_result<stored_value> value_from(http_result result) {
    store_result<http_response> response = successful_response(std::move(result), status_not_found);
    if (const auto* const error = std::get_if<store_error>(&response)) {
        return *error;
    }
    auto& received = std::get<http_response>(response);
    if (received.status == status_not_found) {
        return stored_value{};
    }
    const std::optional<revision_number> revision = revision_of(received);
    if (!revision) {
        return store_error::no_answer;
    }
    return stored_value{*revision, std::move(received.body)};
}

store_result<std::monostate> check_success(http_result result) {
    const store_result<http_response> response = successful_response(std::move(result));
    if (const auto* const error = std::get_if<store_error>(&response)) {
        return *error;
    }
    return std::monostate{};
}

} // namespace

http_key_value_store::http_key_value_store(const std::string& host, std::uint16_t port,
                                           milliseconds timeout)
    : client_(std::make_unique<http_client>(host, port))
    , timeout_(timeout) {}

http_key_value_store::~http_key_value_store() = default;

void http_key_value_store::abort() {
    client_->abort();
}

store_result<stored_value> http_key_value_store::get(const std::string& key) {
    return value_from(client_->call({"GET", key_target(key), {}}, timeout_));
}

store_result<stored_value> http_key_value_store::watch(const std::string& key,
                                                       revision_number after, milliseconds wait) {
    const std::string target = key_target(key) + "?after=" + std::to_string(after) +
                               "&wait_ms=" + std::to_string(wait.count());
    return value_from(client_->call({"GET", target, {}}, wait + timeout_));
}

store_result<revision_number>
http_key_value_store::compare_and_swap(const std::string& key, revision_number expected,
                                       const std::string& value,
                                       const std::optional<lease_id>& lease) {
    std::string target = key_target(key) + "?expected=" + std::to_string(expected);
    if (lease) {
        target += "&lease=" + percent_encoded(*lease);
    }
    const store_result<http_response> response =
        successful_response(client_->call({"PUT", target, value}, timeout_));
    if (const auto* const error = std::get_if<store_error>(&response)) {
        return *error;
    }
    const std::optional<revision_number> revision = revision_of(std::get<http_response>(response));
    if (!revision) {
        return store_error::no_answer;
    }
    return *revision;
}

store_result<std::monostate> http_key_value_store::remove(const std::string& key,
                                                          revision_number expected) {
    const std::string target = key_target(key) + "?expected=" + std::to_string(expected);
    return check_success(client_->call({"DELETE", target, {}}, timeout_));
}

store_result<lease_id> http_key_value_store::grant_lease(milliseconds time_to_live) {
    const std::string target = "/v1/leases?ttl_ms=" + std::to_string(time_to_live.count());
    store_result<http_response> response =
        successful_response(client_->call({"POST", target, {}}, timeout_));
    if (const auto* const error = std::get_if<store_error>(&response)) {
        return *error;
    }
    std::string& lease = std::get<http_response>(response).body;
    if (lease.empty()) {
        return store_error::no_answer;
    }
    return std::move(lease);
}

store_result<std::monostate> http_key_value_store::renew_lease(const lease_id& lease) {
    return check_success(
        client_->call({"POST", "/v1/leases/" + percent_encoded(lease) + "/renew", {}}, timeout_));
}

store_result<std::monostate> http_key_value_store::revoke_lease(const lease_id& lease) {
    return check_success(
        client_->call({"DELETE", "/v1/leases/" + percent_encoded(lease), {}}, timeout_));
}

} // namespace egretstile::infrastructure
