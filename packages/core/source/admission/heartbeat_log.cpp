#include <egretstile/core/admission/heartbeat_log.hpp>

namespace egretstile {

std::uint64_t heartbeat_log::add(const entry_id& entry, boot_time now) {
    drop_expired(now);
    const std::uint64_t sequence = next_sequence_++;
    sent_by_entry_[entry].emplace(sequence, now);
    return sequence;
}

std::optional<boot_time> heartbeat_log::sent_at(const entry_id& entry, std::uint64_t sequence,
                                                boot_time now) const {
    const auto times = sent_by_entry_.find(entry);
    if (times == sent_by_entry_.end()) {
        return std::nullopt;
    }
    const auto time = times->second.find(sequence);
    if (time == times->second.end() || time->second + grant_term_ < now) {
        return std::nullopt;
    }
    return time->second;
}

std::size_t heartbeat_log::size() const {
    std::size_t count = 0;
    for (const auto& [entry, times] : sent_by_entry_) {
        count += times.size();
    }
    return count;
}

void heartbeat_log::drop_expired(boot_time now) {
    for (auto entry = sent_by_entry_.begin(); entry != sent_by_entry_.end();) {
        std::erase_if(entry->second, [this, now](const send_times::value_type& sent) {
            return sent.second + grant_term_ < now;
        });
        entry = entry->second.empty() ? sent_by_entry_.erase(entry) : std::next(entry);
    }
}

} // namespace egretstile
