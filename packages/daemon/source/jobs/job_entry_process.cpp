#include "jobs/job_entry_process.hpp"

#include "jobs/metered_store.hpp"
#include "settings/contract_parts.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>

#include <algorithm>
#include <utility>

namespace egretstile::daemon {

namespace {

using namespace infrastructure;

/// Bounds how long a former leader does not notice the next one when the connection of its watch
/// has fallen silent.
constexpr milliseconds control_watch_wait{1000};
constexpr milliseconds ping_interval{500};
/// More than three ping intervals, so that a slow leader keeps its connections.
constexpr milliseconds leader_silence_limit{1700};
/// After the stop signal, new connections still arrive until the load balancer has checked the
/// readiness twice.
constexpr milliseconds balancer_delay{2600};
constexpr milliseconds stop_poll_interval{50};
/// An entry that has sent no ping for this long has stopped, or follows another leader.
constexpr milliseconds max_ping_age{5000};

/// Paths of the pages for operators, beside that of the metrics.
const std::string state_path = "/v1/state";
const std::string jobs_path = "/v1/jobs/";

} // namespace

job_entry_process::job_entry_process(job_entry_settings settings, const platform_access& platform,
                                     const bounded_output& log_output)
    : settings_(std::move(settings))
    , platform_(platform)
    , log_output_(log_output)
    , http_limits_(metrics_.registry(), settings_.common.memory_mb, settings_.common.max_fds)
    , store_(std::make_unique<metered_store>(platform_.make_store(loop_, settings_.common.store),
                                             metrics_.registry()))
    , link_(loop_, own_hello(), leader_silence_limit,
            {[this](wire::message&& message) { handle_leader_message(message); }, [] {}})
    , leader_access_(loop_, link_)
    , operators_(
          loop_, *store_, platform_.operators(), settings_.config_age_limit,
          {[this] { handle_operator_change(); }, [this] { handle_closed_domains_confirmed(); }})
    , operator_exchange_(operators_)
    , control_(loop_, *store_, control_watch_wait, [this] { handle_control_change(); })
    , election_(loop_, *store_, control_, election_settings_for(settings_.processor_share),
                settings_.common.vm, peer_address(),
                {[this](const leadership& acquired) { start_leading(acquired); },
                 [this] { stop_leading(); },
                 [this](boot_time time) {
                     if (leader_ != nullptr) {
                         leader_->confirm_leadership(time);
                     }
                 }})
    , job_room_(job_memory_limit(settings_.common.memory_mb))
    , job_api_(loop_, *store_, platform_.callers(), operators_, leader_access_, job_room_, metrics_,
               api_settings())
    , caller_server_(
          loop_, settings_.callers, http_limits_.limits_for(http_address::callers),
          [this](http_request&& request, http_server::responder respond) {
              job_api_.handle(std::move(request), std::move(respond));
          },
          [this](const http_request& head, std::size_t body_bytes) {
              return job_api_.check_head(head, body_bytes);
          },
          http_limits_.observer_for(http_address::callers))
    , readiness_server_(
          loop_, settings_.readiness, http_limits_.limits_for(http_address::readiness),
          [this](http_request&& request, const http_server::responder& respond) {
              answer_readiness(request, respond);
          },
          {}, http_limits_.observer_for(http_address::readiness))
    , operations_server_(
          serve_operations(loop_, settings_.common, http_limits_,
                           [this](const std::string& path) { return find_page(path); })) {}

void job_entry_process::run() {
    operators_.start();
    control_.start();
    loop_.call_every(ping_interval, [this] {
        if (leader_ == nullptr) {
            wire::leader_ping ping = operator_exchange_.next_ping(boot_now());
            ping.job_memory_limit = job_memory_limit(settings_.common.memory_mb);
            link_.send(ping);
        } else if (leader_->is_serving()) {
            job_room_.apply_account(leader_->job_memory(common_job_memory()));
        }
    });
    write_log(log_part::process, log_level::info, "Entry started.",
              "vm=" + settings_.common.vm + " domain=" + settings_.common.failure_domain);
    loop_.run();
    write_log(log_part::process, log_level::info, "Entry stopped.", "vm=" + settings_.common.vm);
}

void job_entry_process::request_stop() {
    loop_.post([this] { begin_stop(); });
}

job_api_settings job_entry_process::api_settings() const {
    job_api_settings settings;
    settings.max_value_bytes = settings_.common.store_value_bytes;
    return settings;
}

wire::hello job_entry_process::own_hello() const {
    return {wire::peer_role::entry, settings_.common.vm, 0};
}

void job_entry_process::handle_control_change() {
    start_peer_server();
    const std::optional<leader_record>& leader = control_.leader();
    const bool leads_itself = leader && leader->name == settings_.common.vm;
    link_.follow(leads_itself ? std::nullopt : leader, control_.peer_key());
    if (peer_server_ != nullptr) {
        election_.handle_control_change();
    }
}

void job_entry_process::start_peer_server() {
    if (peer_server_ != nullptr || control_.peer_key().empty()) {
        return;
    }
    peer_server_ = std::make_unique<frame_server>(
        loop_, peer_address(), control_.peer_key(), own_hello(),
        frame_connection::handlers{
            [this](frame_connection& connection, wire::message&& message) {
                handle_peer_message(connection, std::move(message));
            },
            [this](frame_connection& connection, const wire::hello& hello) {
                handle_peer_opened(connection, hello);
            },
            [this](frame_connection& connection) { handle_peer_closed(connection); }},
        http_limits_.max_handshakes());
}

void job_entry_process::handle_operator_change() {
    apply_request_limits();
    if (leader_ != nullptr && operators_.config()) {
        leader_->set_operator_state(*operators_.config(), operators_.closed().names());
    }
}

void job_entry_process::apply_request_limits() {
    if (!operators_.config()) {
        return;
    }
    const request_limits& limits = operators_.config()->limits;
    caller_server_.set_request_bounds(
        {limits.max_header_bytes, limits.header_timeout, limits.idle_timeout});
}

void job_entry_process::handle_closed_domains_confirmed() {
    const std::optional<boot_time> confirmed_at = operators_.closed().confirmed_at();
    if (leader_ != nullptr && confirmed_at) {
        leader_->confirm_closed_domains(*confirmed_at);
    }
}

void job_entry_process::start_leading(const leadership& acquired) {
    leader_settings settings;
    settings.max_value_bytes = settings_.common.store_value_bytes;
    settings.scheduler.job_memory_limit = job_memory_limit(settings_.common.memory_mb);
    settings.scheduler.leader_lease = election_settings().lease;
    settings.scheduler.closure_age_limit = settings_.closure_age_limit;
    settings.scheduler.remote_factor = settings_.remote_factor;
    settings.scheduler.restore_time = settings_.restore_time;
    const bool health = has_contract_part(settings_.contract_parts, health_part);
    settings.scheduler.track_runner_health = health;
    settings.scheduler.place_by_contention = health;
    leader_ = std::make_unique<job_leader>(
        loop_, *store_, settings, acquired,
        job_leader::handlers{[this](const vm_name& name, const wire::message& message) {
                                 return send_to_agent(name, message);
                             },
                             [this] { loop_.post([this] { election_.handle_later_epoch(); }); },
                             [this](decision_kind kind) { metrics_.count_decision(kind); }});
    leader_access_.set_local_leader(leader_.get());
    // Agents that have read who leads may be connected already.
    for (const auto& [name, connection] : agents_) {
        if (const std::shared_ptr<frame_connection> open = connection.lock()) {
            leader_->agent_connected(name, open->peer().incarnation);
        }
    }
    handle_operator_change();
    handle_closed_domains_confirmed();
}

void job_entry_process::stop_leading() {
    leader_access_.set_local_leader(nullptr);
    // This may be called from a method of the leader, so the leader is destroyed later.
    const std::shared_ptr<job_leader> former_leader = std::move(leader_);
    loop_.post([former_leader] {});
    for (const auto& [name, connection] : std::exchange(agents_, {})) {
        if (const std::shared_ptr<frame_connection> open = connection.lock()) {
            loop_.post([open] { open->close(); });
        }
    }
}

void job_entry_process::handle_peer_opened(frame_connection& connection, const wire::hello& hello) {
    if (hello.role == wire::peer_role::agent) {
        agents_[hello.name] = connection.weak_from_this();
        if (leader_ != nullptr) {
            leader_->agent_connected(hello.name, hello.incarnation);
        }
    }
}

void job_entry_process::handle_peer_closed(frame_connection& connection) {
    // Not found by name, because a connection that closes during its handshake has no peer yet.
    const auto found = std::find_if(
        agents_.begin(), agents_.end(),
        [&connection](const std::pair<const vm_name, std::weak_ptr<frame_connection>>& agent) {
            return agent.second.lock().get() == &connection;
        });
    if (found != agents_.end()) {
        write_log(log_part::leader, log_level::info, "The connection to an agent closed.",
                  "vm=" + found->first + " " + connection.describe_end());
        if (leader_ != nullptr) {
            leader_->agent_disconnected(found->first);
        }
        agents_.erase(found);
    }
}

void job_entry_process::handle_peer_message(frame_connection& connection, wire::message&& message) {
    if (leader_ == nullptr) {
        if (std::holds_alternative<vm_report>(message) ||
            std::holds_alternative<wire::leader_ping>(message)) {
            connection.send(wire::not_leading{});
        }
        return;
    }
    if (const wire::leadership_ended* const ended = std::get_if<wire::leadership_ended>(&message)) {
        handle_leadership_ended(connection, *ended);
        return;
    }
    if (const vm_report* const report = std::get_if<vm_report>(&message)) {
        const auto newest = agents_.find(connection.peer().name);
        if (newest != agents_.end() && newest->second.lock().get() == &connection) {
            leader_->apply_report(*report);
        }
        return;
    }
    if (const wire::create_key* const create_request = std::get_if<wire::create_key>(&message)) {
        create_key_for_entry(*store_, platform_.operators().config_key(), *create_request,
                             [sender = connection.weak_from_this()](const wire::message& answer) {
                                 if (const std::shared_ptr<frame_connection> open = sender.lock()) {
                                     open->send(answer);
                                 }
                             });
        return;
    }
    if (const wire::leader_ping* const ping = std::get_if<wire::leader_ping>(&message)) {
        answer_ping(connection, *ping);
        return;
    }
    if (const wire::config_update* const update = std::get_if<wire::config_update>(&message)) {
        operator_exchange_.apply_update(*update);
        return;
    }
    if (std::optional<wire::message> answer = handle_entry_message(*leader_, message)) {
        connection.send(*answer);
    }
}

void job_entry_process::answer_ping(frame_connection& connection, const wire::leader_ping& ping) {
    const boot_time now = boot_now();
    entry_pings_[connection.peer().name] = {ping.config_version, now, ping.job_memory_limit};
    operator_exchange_.apply_ping(ping, leader_->epoch());
    if (const std::optional<wire::config_update> update = operator_exchange_.update_for(ping)) {
        connection.send(*update);
    }
    wire::leader_pong pong;
    pong.number = ping.number;
    pong.epoch = leader_->epoch();
    pong.serving = leader_->is_serving();
    pong.memory = leader_->job_memory(common_job_memory());
    operator_exchange_.describe(pong, now);
    connection.send(pong);
}

void job_entry_process::handle_leader_message(const wire::message& message) {
    if (std::holds_alternative<wire::not_leading>(message)) {
        control_.refresh_if_due();
    } else if (const wire::leader_pong* const pong = std::get_if<wire::leader_pong>(&message)) {
        if (pong->serving) {
            job_room_.apply_account(pong->memory);
        }
        if (const std::optional<wire::config_update> update =
                operator_exchange_.apply_pong(*pong)) {
            link_.send(*update);
        }
    } else if (const wire::config_update* const update =
                   std::get_if<wire::config_update>(&message)) {
        operator_exchange_.apply_update(*update);
    } else {
        leader_access_.handle_message(message);
    }
}

void job_entry_process::handle_leadership_ended(const frame_connection& connection,
                                                const wire::leadership_ended& ended) {
    if (ended.epoch < leader_->epoch()) {
        return; // It is about an earlier leadership of this entry.
    }
    write_log(log_part::membership, log_level::info,
              "Another process has read that this entry no longer leads.",
              "epoch=" + std::to_string(ended.epoch) + " peer=" + connection.peer().name);
    // Deferred, because the leader that is destroyed may be in use by the caller.
    loop_.post([this] { election_.handle_later_epoch(); });
}

bool job_entry_process::send_to_agent(const vm_name& name, const wire::message& message) {
    const auto found = agents_.find(name);
    const std::shared_ptr<frame_connection> connection =
        found == agents_.end() ? nullptr : found->second.lock();
    return connection != nullptr && connection->send(message);
}

void job_entry_process::answer_readiness(const http_request& request,
                                         const http_server::responder& respond) const {
    http_response response;
    const bool ready = !stopping_ && operators_.config().has_value();
    response.status = request.path != platform_.callers().ready_path() ? 404 : ready ? 200 : 503;
    respond(std::move(response));
}

std::optional<operations_page> job_entry_process::find_page(const std::string& path) {
    if (path == metrics_path) {
        job_entry_state state = current_state();
        state.longest_round_seconds =
            std::chrono::duration<double>(loop_.take_longest_round()).count();
        metrics_.set_state(state);
        http_limits_.update_gauges();
        return operations_page{200, metrics_.registry().text()};
    }
    if (path == state_path) {
        const operator_config* const config = operators_.config() ? &*operators_.config() : nullptr;
        const job_scheduler* const scheduler = leader_ == nullptr ? nullptr : &leader_->scheduler();
        return operations_page{200,
                               describe_deployment(deployment(), config, scheduler, boot_now())};
    }
    if (path.compare(0, jobs_path.size(), jobs_path) == 0) {
        return job_page(path.substr(jobs_path.size()));
    }
    return std::nullopt;
}

operations_page job_entry_process::job_page(const job_id& id) const {
    if (leader_ == nullptr) {
        const std::string leader = control_.leader() ? control_.leader()->name : "nobody";
        return {404, "{\"error\":\"this entry does not lead; leader: " + leader + "\"}"};
    }
    const std::optional<job_explanation> job =
        leader_->scheduler().explain(id, boot_now(), wall_now_ms());
    if (!job) {
        return {404, "{\"error\":\"the leader does not know this job\"}"};
    }
    return {200, describe_job(id, *job)};
}

deployment_state job_entry_process::deployment() const {
    deployment_state state;
    state.entry = settings_.common.vm;
    if (const std::optional<leader_record>& leader = control_.leader()) {
        state.leader = leader->name;
        state.epoch = leader->epoch;
    }
    state.config_version = config_version();
    if (const std::optional<boot_time> confirmed = operators_.confirmed_at()) {
        state.config_age_ms =
            std::chrono::duration_cast<milliseconds>(boot_now() - *confirmed).count();
    }
    state.closed_domains = operators_.closed().names();
    for (const auto& [name, last_ping] : entry_pings_) {
        const milliseconds age =
            std::chrono::duration_cast<milliseconds>(boot_now() - last_ping.received_at);
        if (age <= max_ping_age) {
            state.entries.push_back({name, last_ping.config_version, age.count()});
        }
    }
    return state;
}

std::size_t job_entry_process::common_job_memory() const {
    std::size_t limit = job_memory_limit(settings_.common.memory_mb);
    for (const auto& [name, last_ping] : entry_pings_) {
        if (boot_now() <= last_ping.received_at + max_ping_age) {
            limit = std::min(limit, last_ping.job_memory_limit);
        }
    }
    return limit;
}

std::uint64_t job_entry_process::config_version() const {
    return operators_.config() ? operators_.config()->version : 0;
}

job_entry_state job_entry_process::current_state() const {
    job_entry_state state;
    if (leader_ != nullptr) {
        const job_scheduler& scheduler = leader_->scheduler();
        state.leader_epoch = leader_->epoch();
        state.jobs = scheduler.job_count();
        state.job_memory_bytes = scheduler.jobs().memory_bytes();
        state.unfinished_jobs = scheduler.jobs().unfinished().size();
        state.unstarted = scheduler.jobs().count_unstarted();
        state.vms = scheduler.vms().size();
        state.near_waits = scheduler.near_wait_totals();
        state.rooms = scheduler.account_room(boot_now());
    }
    state.config_version = config_version();
    if (const std::optional<boot_time> confirmed = operators_.confirmed_at()) {
        state.config_age_seconds = std::chrono::duration<double>(boot_now() - *confirmed).count();
    }
    state.connections = caller_server_.connections();
    state.dropped_log_lines = log_output_.dropped_lines();
    return state;
}

void job_entry_process::begin_stop() {
    if (std::exchange(stopping_, true)) {
        return;
    }
    write_log(log_part::process, log_level::info, "Entry is stopping.",
              "vm=" + settings_.common.vm);
    election_.resign();
    caller_server_.disable_keep_alive();
    const boot_time now = boot_now();
    stop_not_before_ = now + balancer_delay;
    stop_deadline_ = now + settings_.stop_timeout;
    continue_stop();
}

void job_entry_process::continue_stop() {
    const boot_time now = boot_now();
    const bool idle = caller_server_.active_requests() == 0 && now >= stop_not_before_;
    if (idle || now >= stop_deadline_) {
        loop_.stop();
        return;
    }
    loop_.call_at(now + stop_poll_interval, [this] { continue_stop(); });
}

} // namespace egretstile::daemon
