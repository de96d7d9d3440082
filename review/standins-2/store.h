#pragma once

#include <egretstile/runtime/http/http_server.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace egretstile::review {

/// Stand-in for the platform's metadata store: linearizable, without rate limits, keeps its whole
/// history, refuses values above `value_bytes`. Must be used on the event loop's thread only.
class store {
public:
    /// Throws Poco::Exception when the address cannot be bound.
    store(event_loop& loop, const endpoint& address);

    /// While the store is unavailable, each call is answered 503 and has no effect; leases go on.
    void set_available(bool available);

    /// Number of transactions that were refused because a value was larger than `value_bytes`.
    std::size_t refused_values() const { return refused_values_; }

    /// Writes a key as the operators do.
    void put(const std::string& key, const std::string& value);

private:
    struct item {
        std::string value_base64;
        std::int64_t revision{0};
        std::int64_t created{0};
        std::int64_t lease{0};
    };

    struct lease {
        milliseconds time_to_live{0};
        boot_time ends_at;
        std::set<std::string> keys;
    };

    /// A change of a key, as the watch returns it.
    struct change {
        std::int64_t revision{0};
        std::string key;
        std::string json;
    };

    struct waiting_watch {
        std::string prefix;
        std::int64_t after{0};
        boot_time gives_up_at;
        http_server::responder respond;
    };

    void handle(const http_request& request, const http_server::responder& respond);
    http_response read_key(const std::string& key) const;
    http_response read_range(const http_request& request) const;
    void start_watch(const http_request& request, const http_server::responder& respond);
    http_response commit(const std::string& body);
    http_response grant_lease(const std::string& body);
    http_response renew_lease(std::int64_t id);
    http_response end_lease(std::int64_t id);
    void write(const std::string& key, const std::string& value_base64, std::int64_t lease_id);
    void remove(const std::string& key);
    void remove_lease(std::int64_t id);
    void end_expired_leases();
    /// Answers the watches that have changes to return or have waited long enough.
    void answer_watches();
    std::string changes_of(const std::string& prefix, std::int64_t after) const;

    event_loop& loop_;
    bool available_{true};
    std::size_t refused_values_{0};
    std::int64_t revision_{1};
    std::int64_t last_lease_{0};
    std::map<std::string, item> items_;
    std::map<std::int64_t, lease> leases_;
    std::vector<change> changes_;
    std::list<waiting_watch> watches_;
    http_server server_;
};

} // namespace egretstile::review
