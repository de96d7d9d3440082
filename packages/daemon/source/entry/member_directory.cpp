#include "entry/member_directory.hpp"

#include "entry/session.hpp"

#include <egretstile/wire/record/record_codec.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace egretstile::daemon {

namespace {

const char* const members_key = "members";
constexpr milliseconds refresh_interval{1000};

bool contains(const std::vector<member>& members, const member& wanted) {
    return std::find(members.begin(), members.end(), wanted) != members.end();
}

/// The list without the members whose session has ended, and with `self`.
member_list updated_list(const member_list& list, const std::optional<member>& self,
                         const std::set<entry_id>& ended) {
    member_list result;
    for (const member& row : list.members) {
        if (ended.count(row.id) == 0) {
            result.members.push_back(row);
        }
    }
    if (self && !contains(result.members, *self)) {
        result.members.push_back(*self);
    }
    return result;
}

} // namespace

member_directory::member_directory(event_loop& loop, infrastructure::key_value_store& store,
                                   std::function<void()> on_changed)
    : loop_(loop)
    , store_(store)
    , on_changed_(std::move(on_changed)) {}

void member_directory::start() {
    refresh();
    loop_.call_every(refresh_interval, [this] { refresh(); });
}

void member_directory::publish_self(const member& self) {
    if (self_) {
        ended_.insert(self_->id);
    }
    self_ = self;
    refresh();
}

void member_directory::remove_self(std::function<void()> done) {
    if (!self_) {
        done();
        return;
    }
    const member self = *self_;
    self_.reset();
    ended_.insert(self.id);
    calls_.submit([this, self, done = std::move(done)] {
        remove_self_blocking(self);
        loop_.post(done);
    });
}

std::vector<entry_id> member_directory::live_ids() const {
    std::vector<entry_id> ids;
    for (const member& row : live_) {
        ids.push_back(row.id);
    }
    return ids;
}

void member_directory::watch_session(const entry_id& entry) {
    if (!entry.empty() && ended_.count(entry) == 0) {
        watched_.insert(entry);
    }
}

void member_directory::refresh() {
    if (call_in_flight_) {
        return;
    }
    call_in_flight_ = true;
    calls_.submit([this, self = self_, watched = watched_, ended = ended_] {
        const refresh_result result = refresh_blocking(self, watched, ended);
        loop_.post([this, result] { apply_refresh(result); });
    });
}

member_directory::refresh_result
member_directory::refresh_blocking(std::optional<member> self, const std::set<entry_id>& watched,
                                   std::set<entry_id> ended) {
    refresh_result result;
    const infrastructure::store_result<infrastructure::stored_value> read = store_.get(members_key);
    const infrastructure::stored_value* const stored =
        std::get_if<infrastructure::stored_value>(&read);
    if (stored == nullptr) {
        return result;
    }
    member_list list;
    if (stored->revision != 0) {
        list = wire::decode_member_list(stored->value).value_or(member_list{});
    }
    std::set<entry_id> entries_to_check = watched;
    for (const member& row : list.members) {
        entries_to_check.insert(row.id);
    }
    for (const entry_id& entry : entries_to_check) {
        const bool is_self = self && entry == self->id;
        if (!is_self && ended.count(entry) == 0 && session_exists(entry) == false) {
            ended.insert(entry);
        }
    }
    const member_list updated = updated_list(list, self, ended);
    if (updated != list) {
        // After a conflict or a lost answer, the next refresh reads the list and corrects it again.
        static_cast<void>(store_.compare_and_swap(members_key, stored->revision,
                                                  wire::encode_record(updated), std::nullopt));
    }
    result.members = updated;
    result.ended = std::move(ended);
    return result;
}

std::optional<bool> member_directory::session_exists(const entry_id& entry) {
    const infrastructure::store_result<infrastructure::stored_value> read =
        store_.get(session_key(entry));
    const infrastructure::stored_value* const stored =
        std::get_if<infrastructure::stored_value>(&read);
    if (stored == nullptr) {
        return std::nullopt;
    }
    return stored->revision != 0;
}

void member_directory::apply_refresh(const refresh_result& result) {
    call_in_flight_ = false;
    if (!result.members) {
        return;
    }
    ended_.insert(result.ended.begin(), result.ended.end());
    for (const entry_id& entry : ended_) {
        watched_.erase(entry);
    }
    std::vector<member> live;
    for (const member& row : result.members->members) {
        if (ended_.count(row.id) == 0) {
            live.push_back(row);
        }
    }
    const bool changed = !loaded_ || live != live_;
    loaded_ = true;
    live_ = std::move(live);
    if (changed) {
        on_changed_();
    }
}

void member_directory::remove_self_blocking(const member& self) {
    constexpr int attempts = 3;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const infrastructure::store_result<infrastructure::stored_value> read =
            store_.get(members_key);
        const infrastructure::stored_value* const stored =
            std::get_if<infrastructure::stored_value>(&read);
        if (stored == nullptr) {
            continue;
        }
        member_list list = wire::decode_member_list(stored->value).value_or(member_list{});
        const auto end = std::remove(list.members.begin(), list.members.end(), self);
        if (end == list.members.end()) {
            return;
        }
        list.members.erase(end, list.members.end());
        static_cast<void>(store_.compare_and_swap(members_key, stored->revision,
                                                  wire::encode_record(list), std::nullopt));
    }
}

} // namespace egretstile::daemon
