#include "entry/peer_links.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>

#include <utility>
#include <variant>

namespace egretstile::daemon {

peer_links::peer_links(event_loop& loop, const entry_settings& settings)
    : loop_(loop)
    , settings_(settings) {}

void peer_links::set_members(const std::vector<member>& members, const entry_id& self) {
    self_ = self;
    std::map<entry_id, std::unique_ptr<frame_client>> links;
    for (const member& row : members) {
        if (row.id == self) {
            continue;
        }
        const auto found = links_.find(row.id);
        if (found != links_.end()) {
            links[row.id] = std::move(found->second);
            continue;
        }
        frame_connection::handlers callbacks;
        callbacks.on_open = [](frame_connection&, const wire::hello&) {};
        callbacks.on_message = [this](frame_connection&, wire::message&& message) {
            if (wire::forward_reply* const reply = std::get_if<wire::forward_reply>(&message)) {
                reply_received(std::move(*reply));
            }
        };
        callbacks.on_closed = [this, id = row.id](frame_connection&) { fail_calls_to(id); };
        links[row.id] = std::make_unique<frame_client>(
            loop_, endpoint{row.host, row.port}, settings_.common.deployment_key,
            wire::hello{wire::peer_role::entry, self, 0}, std::move(callbacks));
    }
    std::vector<entry_id> removed;
    for (const auto& [id, link] : links_) {
        if (link != nullptr) {
            removed.push_back(id);
        }
    }
    links_ = std::move(links);
    for (const entry_id& id : removed) {
        fail_calls_to(id);
    }
    maintain();
}

void peer_links::maintain() {
    const boot_time now = boot_now();
    for (const auto& [id, link] : links_) {
        link->maintain();
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [id, call] : calls_) {
        if (now >= call.deadline) {
            expired.push_back(id);
        }
    }
    for (const std::uint64_t id : expired) {
        finish(id, {wire::task_call_outcome::unknown, "the owner did not answer in time", {}});
    }
}

void peer_links::submit(const entry_id& entry, const task_spec& spec, boot_time deadline,
                        const answer_callback& done) {
    const std::uint64_t id = next_call_++;
    send(entry, id, wire::forward_submit{id, spec, ""}, deadline, done);
}

void peer_links::query(const entry_id& entry, const task_key& key, boot_time deadline,
                       const answer_callback& done) {
    const std::uint64_t id = next_call_++;
    send(entry, id, wire::forward_query{id, key}, deadline, done);
}

void peer_links::cancel(const entry_id& entry, const task_key& key, boot_time deadline,
                        const answer_callback& done) {
    const std::uint64_t id = next_call_++;
    send(entry, id, wire::forward_cancel{id, key}, deadline, done);
}

void peer_links::send(const entry_id& entry, std::uint64_t call_id, const wire::message& message,
                      boot_time deadline, const answer_callback& done) {
    const auto found = links_.find(entry);
    calls_[call_id] = {entry, deadline, done};
    if (found == links_.end() || !found->second->is_open()) {
        finish(call_id,
               {wire::task_call_outcome::not_run, "the shard's owner is not connected", {}});
        return;
    }
    if (!found->second->send(message)) {
        finish(call_id, {wire::task_call_outcome::unknown, "lost the connection to the owner", {}});
    }
}

void peer_links::reply_received(wire::forward_reply reply) {
    finish(reply.call_id, {reply.outcome, std::move(reply.reason), std::move(reply.record)});
}

void peer_links::fail_calls_to(const entry_id& entry) {
    std::vector<std::uint64_t> lost;
    for (const auto& [id, call] : calls_) {
        if (call.entry == entry) {
            lost.push_back(id);
        }
    }
    for (const std::uint64_t id : lost) {
        finish(id, {wire::task_call_outcome::unknown, "lost the connection to the owner", {}});
    }
}

void peer_links::finish(std::uint64_t call_id, const task_answer& answer) {
    const auto found = calls_.find(call_id);
    if (found == calls_.end()) {
        return;
    }
    const answer_callback done = std::move(found->second.done);
    calls_.erase(found);
    done(answer);
}

} // namespace egretstile::daemon
