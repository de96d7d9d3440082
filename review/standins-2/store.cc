#include "store.h"

#include "json.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <Poco/Base64Encoder.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace egretstile::review {

using platform::json_string;
using platform::json_value;
using platform::list_in;
using platform::number_in;
using platform::parse_object;
using platform::text_at;
using platform::text_in;

namespace {

constexpr milliseconds tick_interval{10};
constexpr milliseconds shortest_lease{1000};
constexpr std::size_t max_items_of_page = 500;
constexpr std::size_t max_bytes_of_page = 1'000'000;
/// The platform's setting `value_bytes`.
constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;
constexpr std::string_view renew_path = "/v1/kv-keep/";
constexpr std::string_view end_path = "/v1/kv-lease-end/";

http_server::limits large_bodies() {
    http_server::limits limits;
    limits.max_body_bytes = std::size_t{64} * 1024 * 1024;
    return limits;
}

std::string to_base64(const std::string& bytes) {
    std::ostringstream stream;
    Poco::Base64Encoder encoder(stream);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return stream.str();
}

http_response make_response(int status, std::string body = "{}") {
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

std::string query_value(const http_request& request, const std::string& name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

std::int64_t to_number(const std::string& text) {
    return std::strtoll(text.c_str(), nullptr, 10);
}

} // namespace

store::store(event_loop& loop, const endpoint& address)
    : loop_(loop)
    , server_(loop, address, large_bodies(),
              [this](http_request&& request, const http_server::responder& respond) {
                  handle(request, respond);
              }) {
    loop_.call_every(tick_interval, [this] {
        end_expired_leases();
        answer_watches();
    });
}

void store::set_available(bool available) {
    available_ = available;
    if (!available_) {
        for (const waiting_watch& watch : std::exchange(watches_, {})) {
            watch.respond(make_response(503));
        }
    }
}

void store::put(const std::string& key, const std::string& value) {
    ++revision_;
    write(key, to_base64(value), 0);
    answer_watches();
}

void store::handle(const http_request& request, const http_server::responder& respond) {
    if (!available_) {
        respond(make_response(503));
    } else if (request.path == "/v1/kv-key") {
        respond(read_key(query_value(request, "key")));
    } else if (request.path == "/v1/kv-range") {
        respond(read_range(request));
    } else if (request.path == "/v1/kv-watch") {
        start_watch(request, respond);
    } else if (request.path == "/v1/kv-txn") {
        respond(commit(request.body));
        answer_watches();
    } else if (request.path == "/v1/kv-lease") {
        respond(grant_lease(request.body));
    } else if (request.path.starts_with(renew_path)) {
        respond(renew_lease(to_number(request.path.substr(renew_path.size()))));
    } else if (request.path.starts_with(end_path)) {
        respond(end_lease(to_number(request.path.substr(end_path.size()))));
    } else {
        respond(make_response(404));
    }
}

http_response store::read_key(const std::string& key) const {
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return make_response(404);
    }
    // The last change of the key holds its present state.
    const auto last = std::find_if(changes_.rbegin(), changes_.rend(),
                                   [&key](const change& made) { return made.key == key; });
    return make_response(200, last->json);
}

http_response store::read_range(const http_request& request) const {
    const std::string prefix = query_value(request, "prefix");
    const std::string after = query_value(request, "after");
    std::string rows;
    std::size_t count = 0;
    bool has_more = false;
    for (auto row = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
         row != items_.end() && row->first.starts_with(prefix); ++row) {
        if (count == max_items_of_page || rows.size() > max_bytes_of_page) {
            has_more = true;
            break;
        }
        const item& stored = row->second;
        rows += (count++ == 0 ? "" : ",");
        rows += "{\"key\":" + json_string(row->first) + ",\"value\":\"" + stored.value_base64 +
                "\",\"revision\":" + std::to_string(stored.revision) +
                ",\"created\":" + std::to_string(stored.created) +
                ",\"lease\":" + std::to_string(stored.lease) + "}";
    }
    return make_response(200, "{\"items\":[" + rows + "],\"at\":" + std::to_string(revision_) +
                                  ",\"has_more\":" + (has_more ? "true" : "false") + "}");
}

void store::start_watch(const http_request& request, const http_server::responder& respond) {
    const milliseconds wait(to_number(query_value(request, "wait_ms")));
    watches_.push_back({query_value(request, "prefix"), to_number(query_value(request, "after")),
                        boot_now() + wait, respond});
    answer_watches();
}

std::string store::changes_of(const std::string& prefix, std::int64_t after) const {
    std::string rows;
    const auto first = std::upper_bound(
        changes_.begin(), changes_.end(), after,
        [](std::int64_t revision, const change& made) { return revision < made.revision; });
    for (auto made = first; made != changes_.end(); ++made) {
        if (made->key.starts_with(prefix)) {
            rows += (rows.empty() ? "" : ",") + made->json;
        }
    }
    return rows;
}

void store::answer_watches() {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        const std::string rows = changes_of(watch->prefix, watch->after);
        if (rows.empty() && boot_now() < watch->gives_up_at) {
            ++watch;
            continue;
        }
        const http_server::responder respond = std::move(watch->respond);
        watch = watches_.erase(watch);
        respond(make_response(200, "{\"events\":[" + rows +
                                       "],\"at\":" + std::to_string(revision_) + "}"));
    }
}

http_response store::commit(const std::string& body) {
    const std::optional<rapidjson::Document> transaction = parse_object(body);
    if (!transaction) {
        return make_response(400);
    }
    bool holds = true;
    std::string present;
    if (const json_value* const expected = list_in(*transaction, "expected")) {
        for (const json_value& row : expected->GetArray()) {
            const std::string key = text_in(row, "key").value_or("");
            const auto found = items_.find(key);
            const std::int64_t revision = found == items_.end() ? 0 : found->second.revision;
            holds = holds && revision == number_in(row, "revision").value_or(0);
            present += (present.empty() ? "" : ",");
            present += "{\"key\":" + json_string(key) + ",\"value\":\"" +
                       (found == items_.end() ? "" : found->second.value_base64) +
                       "\",\"revision\":" + std::to_string(revision) + "}";
        }
    }
    if (!holds) {
        return make_response(412, "{\"items\":[" + present + "]}");
    }
    const json_value* const writes = list_in(*transaction, "write");
    for (rapidjson::SizeType row = 0; writes != nullptr && row < writes->Size(); ++row) {
        const std::size_t text_bytes = text_in((*writes)[row], "value").value_or("").size();
        if (text_bytes / 4 * 3 > max_value_bytes + 2) {
            ++refused_values_;
            return make_response(400, R"({"error":"a value is larger than value_bytes"})");
        }
        const std::int64_t used = number_in((*writes)[row], "lease").value_or(0);
        if (used != 0 && leases_.count(used) == 0) {
            return make_response(404);
        }
    }
    ++revision_;
    for (rapidjson::SizeType row = 0; writes != nullptr && row < writes->Size(); ++row) {
        write(text_in((*writes)[row], "key").value_or(""),
              text_in((*writes)[row], "value").value_or(""),
              number_in((*writes)[row], "lease").value_or(0));
    }
    const json_value* const removals = list_in(*transaction, "remove");
    for (rapidjson::SizeType row = 0; removals != nullptr && row < removals->Size(); ++row) {
        remove(text_at(*removals, row).value_or(""));
    }
    return make_response(200, "{\"revision\":" + std::to_string(revision_) + "}");
}

void store::write(const std::string& key, const std::string& value_base64, std::int64_t lease_id) {
    item& stored = items_[key];
    stored.value_base64 = value_base64;
    stored.revision = revision_;
    stored.created = stored.created == 0 ? revision_ : stored.created;
    stored.lease = lease_id;
    if (lease_id != 0) {
        leases_[lease_id].keys.insert(key);
    }
    changes_.push_back({revision_, key,
                        "{\"key\":" + json_string(key) + ",\"value\":\"" + value_base64 +
                            "\",\"revision\":" + std::to_string(revision_) +
                            ",\"created\":" + std::to_string(stored.created) +
                            ",\"lease\":" + std::to_string(lease_id) + "}"});
}

void store::remove(const std::string& key) {
    if (items_.erase(key) != 0) {
        changes_.push_back({revision_, key,
                            "{\"key\":" + json_string(key) + ",\"revision\":" +
                                std::to_string(revision_) + ",\"deleted\":true}"});
    }
}

http_response store::grant_lease(const std::string& body) {
    const std::optional<rapidjson::Document> call = parse_object(body);
    const milliseconds wanted(call ? number_in(*call, "ttl_ms").value_or(0) : 0);
    lease& granted = leases_[++last_lease_];
    granted.time_to_live = std::max(wanted, shortest_lease);
    granted.ends_at = boot_now() + granted.time_to_live;
    return make_response(200, "{\"lease\":" + std::to_string(last_lease_) + ",\"ttl_ms\":" +
                                  std::to_string(granted.time_to_live.count()) + "}");
}

http_response store::renew_lease(std::int64_t id) {
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
        return make_response(404);
    }
    found->second.ends_at = boot_now() + found->second.time_to_live;
    return make_response(200);
}

http_response store::end_lease(std::int64_t id) {
    if (leases_.count(id) == 0) {
        return make_response(404);
    }
    remove_lease(id);
    answer_watches();
    return make_response(200);
}

void store::remove_lease(std::int64_t id) {
    ++revision_;
    for (const std::string& key : leases_[id].keys) {
        const auto found = items_.find(key);
        if (found != items_.end() && found->second.lease == id) {
            remove(key);
        }
    }
    leases_.erase(id);
}

void store::end_expired_leases() {
    std::vector<std::int64_t> expired;
    for (const auto& [id, held] : leases_) {
        if (held.ends_at <= boot_now()) {
            expired.push_back(id);
        }
    }
    for (const std::int64_t id : expired) {
        remove_lease(id);
    }
}

} // namespace egretstile::review
