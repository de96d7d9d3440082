#include "jobs/job_api.hpp"

#include "jobs/store_keys.hpp"

#include <egretstile/infrastructure/clock/boot_now.hpp>
#include <egretstile/runtime/telemetry/log.hpp>
#include <egretstile/wire/record/record_codec.hpp>

#include <Poco/JSONString.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace egretstile::daemon {

namespace {

using namespace infrastructure;

/// Delay before a failed write to the store is tried again.
constexpr milliseconds store_retry_delay{120};
/// Bounds of `Retry-After` when the leader has no memory left.
constexpr milliseconds min_room_wait{1000};
constexpr milliseconds max_room_wait{30000};
/// After a failed write to the store, keys are written through the leader for this long: an outage
/// that affects only some VMs lasts some seconds.
constexpr milliseconds prefer_leader_duration{1000};

http_response response_of(int status, std::string body = "{}") {
    http_response response;
    response.status = status;
    response.headers["Content-Type"] = "application/json";
    response.body = std::move(body);
    return response;
}

http_response error_response(int status, const std::string& reason) {
    return response_of(status, "{\"error\":" + Poco::toJSON(reason) + "}");
}

/// Refuses a call that the operators' present configuration may treat in another way.
http_response unconfirmed_config_response(const std::string& reason) {
    http_response refusal = response_of(503, "{\"error\":\"" + reason + "\"}");
    refusal.headers["Retry-After"] = "1";
    return refusal;
}

/// Value of the host header without the port.
std::string host_of(const http_request& request) {
    const std::string host = request.header("host");
    return host.substr(0, host.find(':'));
}

job_call call_of(const http_request& request) {
    if (request.method == "POST") {
        return job_call::submit;
    }
    if (request.method == "DELETE") {
        return job_call::cancel;
    }
    if (request.method == "GET") {
        return request.path.ends_with('/') ? job_call::pending : job_call::show;
    }
    return job_call::other;
}

/// Longest part of a caller's host or path in a log line, in bytes.
constexpr std::size_t max_logged_text_bytes = 100;

void log_unknown_queue(const http_request& request, std::uint64_t config_version,
                       boot_clock::duration config_age, std::uint64_t left_out) {
    write_log(log_part::config, log_level::info, "Refused a call: no queue accepts it.",
              "method=" + request.method.substr(0, max_logged_text_bytes) + " host=\"" +
                  host_of(request).substr(0, max_logged_text_bytes) + "\" path=\"" +
                  request.path.substr(0, max_logged_text_bytes) +
                  "\" config=" + std::to_string(config_version) + " config_age_ms=" +
                  std::to_string(std::chrono::duration_cast<milliseconds>(config_age).count()) +
                  " left_out=" + std::to_string(left_out));
}

void log_request(const std::string& sentence, const job_id& id, const std::string& fields) {
    write_log(log_part::job, log_level::info, sentence, "job=" + id + " " + fields);
}

} // namespace

job_api::job_api(event_loop& loop, coordination_store& store, const caller_protocol& protocol,
                 operator_view& operators, leader_access& leader, job_room& room,
                 job_entry_metrics& metrics, const job_api_settings& settings)
    : loop_(loop)
    , store_(store)
    , protocol_(protocol)
    , operators_(operators)
    , leader_(leader)
    , room_(room)
    , metrics_(metrics)
    , settings_(settings) {}

http_server::responder job_api::with_metrics(job_call call, http_server::responder respond) {
    return [this, call, started_at = boot_now(),
            respond = std::move(respond)](http_response&& response) {
        metrics_.count_call(call, response.status, boot_now() - started_at);
        respond(std::move(response));
    };
}

std::optional<http_response> job_api::check_head(const http_request& head, std::size_t body_bytes) {
    const boot_time received_at = boot_now();
    std::optional<http_response> refusal;
    if (!operators_.config()) {
        refusal = unconfirmed_config_response("no configuration yet");
    } else if (body_bytes > operators_.config()->limits.max_body_bytes) {
        refusal = response_of(413, "{\"error\":\"the body is too large\"}");
    } else {
        refusal = check_queue(head, find_queue(*operators_.config(), host_of(head), head.path));
    }
    if (refusal) {
        metrics_.count_call(call_of(head), refusal->status, boot_now() - received_at);
    }
    return refusal;
}

std::optional<http_response> job_api::check_queue(const http_request& request,
                                                  const queue_policy* queue) const {
    if (queue != nullptr) {
        return std::nullopt;
    }
    if (const std::optional<std::uint64_t> left_out = unknown_queue_log_.admit(boot_now())) {
        log_unknown_queue(request, operators_.config()->version,
                          boot_now() - operators_.confirmed_at().value_or(boot_time()), *left_out);
    }
    // A queue that was added meanwhile would be refused for good.
    return operators_.is_current(boot_now())
               ? response_of(404, "{\"error\":\"no such queue\"}")
               : unconfirmed_config_response("the configuration is not confirmed");
}

void job_api::handle(http_request&& request, http_server::responder responder) {
    const job_call call = call_of(request);
    route(request, deadline_of(request), with_metrics(call, std::move(responder)));
}

void job_api::route(const http_request& request, boot_time deadline,
                    const http_server::responder& respond) {
    if (!operators_.config()) {
        respond(unconfirmed_config_response("no configuration yet"));
        return;
    }
    const queue_policy* const queue =
        find_queue(*operators_.config(), host_of(request), request.path);
    if (std::optional<http_response> refusal = check_queue(request, queue)) {
        respond(std::move(*refusal));
        return;
    }
    const std::string id = request.path.substr(queue->path_prefix.size());
    if (id.empty() && request.method == "GET") {
        if (operators_.is_current(boot_now())) {
            show_pending(*queue, respond);
        } else {
            respond(unconfirmed_config_response("the configuration is not confirmed"));
        }
    } else if (!protocol_.is_job_id(id)) {
        respond(response_of(400, "{\"error\":\"no job id\"}"));
    } else if (request.method == "POST") {
        submit(*queue, id, request, deadline, respond);
    } else if (request.method == "GET") {
        show(id, respond);
    } else if (request.method == "DELETE") {
        cancel(id, deadline, respond);
    } else {
        respond(response_of(405));
    }
}

void job_api::submit(const queue_policy& queue, const job_id& id, const http_request& request,
                     boot_time deadline, http_server::responder respond) {
    std::variant<job_spec, malformed_job> decoded = protocol_.decode_job(request.body);
    if (const malformed_job* const malformed = std::get_if<malformed_job>(&decoded)) {
        if (const std::optional<std::uint64_t> left_out = malformed_job_log_.admit(boot_now())) {
            log_request("Refused a malformed job.", id,
                        "reason=\"" + malformed->reason +
                            "\" left_out=" + std::to_string(*left_out));
        }
        respond(error_response(400, malformed->reason));
        return;
    }
    job_spec& job = std::get<job_spec>(decoded);
    job.id = id;
    job.queue = queue.name;
    job.policy = queue;
    job.accepted_at_ms = wall_now_ms();
    job.accepted_epoch = leader_.epoch();
    std::string record = wire::encode_record(job);
    if (const std::string problem = size_problem(job, record.size()); !problem.empty()) {
        log_request("Refused a job that is too large to be stored.", id,
                    "reason=\"" + problem + "\"");
        respond(error_response(400, problem));
        return;
    }
    const std::size_t memory = memory_of_job(job) + memory_of_occurrence(job);
    if (!room_.admits(memory)) {
        refuse_without_room(id, std::move(respond));
        return;
    }
    room_.take(memory);
    const std::shared_ptr<pending_write> call = std::make_shared<pending_write>();
    call->id = id;
    call->transaction.expected = {{store_keys::job(id), 0}, operators_.config_unchanged()};
    call->transaction.writes = {{store_keys::job(id), std::move(record), no_lease}};
    call->deadline = deadline;
    call->config_revision = operators_.config_revision();
    call->on_config_changed = [this, request, deadline, respond] {
        route(request, deadline, respond);
    };
    call->on_stored = [this, job, respond](bool already_stored) {
        log_request("Accepted a job.", job.id,
                    "queue=" + job.queue + " epoch=" + std::to_string(job.accepted_epoch) +
                        " config=" + std::to_string(operators_.config()->version) +
                        " known=" + (already_stored ? "1" : "0"));
        if (!already_stored) {
            leader_.notify_accepted(job);
        }
        respond(response_of(200));
    };
    call->respond = std::move(respond);
    try_store(call);
}

void job_api::refuse_without_room(const job_id& id, http_server::responder respond) {
    if (const std::optional<std::uint64_t> left_out = no_room_log_.admit(boot_now())) {
        log_request("Refused a job: the leader has no memory left for it.", id,
                    "room_in_ms=" + std::to_string(room_.expected_in().count()) +
                        " left_out=" + std::to_string(*left_out));
    }
    store_.get(
        store_keys::job(id), settings_.store_timeout,
        [this, respond = std::move(respond)](std::variant<store_item, store_error>&& result) {
            const store_item* const item = std::get_if<store_item>(&result);
            if (item == nullptr) {
                // Whether the job was accepted before is not known.
                respond(response_of(504));
                return;
            }
            if (item->revision != 0) {
                respond(response_of(200));
                return;
            }
            http_response refusal = error_response(503, "no memory is left for the job");
            const milliseconds wait = std::clamp(room_.expected_in(), min_room_wait, max_room_wait);
            refusal.headers["Retry-After"] = std::to_string(
                std::chrono::ceil<std::chrono::seconds>(wait).count() + refusals_++ % 3);
            respond(std::move(refusal));
        });
}

std::string job_api::size_problem(const job_spec& job, std::size_t record_bytes) const {
    const std::string limit = std::to_string(settings_.max_value_bytes) + " bytes";
    if (record_bytes > settings_.max_value_bytes) {
        return "the job takes " + std::to_string(record_bytes) + " of at most " + limit;
    }
    const std::size_t progress_bytes = max_progress_bytes(job);
    if (progress_bytes > settings_.max_value_bytes) {
        return "the progress of " + std::to_string(tasks_of_occurrence(job)) + " tasks may take " +
               std::to_string(progress_bytes) + " of at most " + limit;
    }
    return "";
}

void job_api::try_store(const std::shared_ptr<pending_write>& call) {
    if (call->config_revision != 0 && call->config_revision < operators_.config_revision() &&
        !call->may_be_stored) {
        call->on_config_changed();
        return;
    }
    const milliseconds left = std::chrono::duration_cast<milliseconds>(call->deadline - boot_now());
    const milliseconds timeout = std::clamp(left, milliseconds(50), settings_.store_timeout);
    if (boot_now() < prefer_leader_until_ && leader_.can_create_key()) {
        try_store_via_leader(call, timeout);
    } else {
        try_store_directly(call, timeout);
    }
}

void job_api::try_store_via_leader(const std::shared_ptr<pending_write>& call,
                                   milliseconds timeout) {
    leader_.create_job_key(call->transaction.writes.front(), call->config_revision, timeout,
                           [this, call](wire::create_outcome outcome) {
                               switch (outcome) {
                               case wire::create_outcome::created:
                               case wire::create_outcome::existed:
                                   call->on_stored(outcome == wire::create_outcome::existed);
                                   return;
                               case wire::create_outcome::config_changed:
                                   // The leader's pong brings the configuration.
                                   call->may_be_stored = false;
                                   handle_store_failure(call, store_error::unavailable);
                                   return;
                               case wire::create_outcome::not_created:
                                   prefer_leader_until_ = boot_time();
                                   handle_store_failure(call, store_error::unavailable);
                                   return;
                               case wire::create_outcome::unknown:
                                   prefer_leader_until_ = boot_time();
                                   handle_store_failure(call, store_error::no_answer);
                                   return;
                               }
                           });
}

void job_api::try_store_directly(const std::shared_ptr<pending_write>& call, milliseconds timeout) {
    store_.commit(call->transaction, timeout,
                  [this, call](std::variant<store_commit, store_conflict, store_error>&& result) {
                      if (const store_error* const error = std::get_if<store_error>(&result)) {
                          prefer_leader_until_ = boot_now() + prefer_leader_duration;
                          handle_store_failure(call, *error);
                      } else if (const store_conflict* const conflict =
                                     std::get_if<store_conflict>(&result)) {
                          handle_conflict(call, *conflict);
                      } else {
                          call->on_stored(false);
                      }
                  });
}

void job_api::handle_conflict(const std::shared_ptr<pending_write>& call,
                              const store_conflict& conflict) {
    const store_condition config = operators_.config_unchanged();
    const wire::create_outcome outcome = outcome_of_conflict(
        conflict, call->transaction.writes.front().key, config.key, call->config_revision);
    if (outcome == wire::create_outcome::existed) {
        call->on_stored(true);
        return;
    }
    if (outcome != wire::create_outcome::config_changed) {
        handle_store_failure(call, store_error::no_answer);
        return;
    }
    operators_.apply_read(*find_item(conflict, config.key));
    // No earlier attempt can take effect any more: the configuration that it expects is replaced.
    call->may_be_stored = false;
    if (operators_.config_revision() > call->config_revision && boot_now() < call->deadline) {
        call->on_config_changed();
    } else {
        handle_store_failure(call, store_error::unavailable);
    }
}

void job_api::handle_store_failure(const std::shared_ptr<pending_write>& call, store_error error) {
    call->may_be_stored = call->may_be_stored || error == store_error::no_answer;
    if (boot_now() + store_retry_delay < call->deadline) {
        loop_.call_at(boot_now() + store_retry_delay, [this, call] { try_store(call); });
        return;
    }
    log_request(call->may_be_stored ? "Does not know whether a call was stored."
                                    : "Refused a call: the store did not accept the write.",
                call->id, "reason=" + std::string(name_of(store_error_names, error)));
    // After 504 (gateway timeout) the caller repeats the request with the same id. 503 (service
    // unavailable) tells it that nothing was stored.
    http_response refusal = response_of(call->may_be_stored ? 504 : 503);
    if (!call->may_be_stored) {
        refusal.headers["Retry-After"] = std::to_string(1 + refusals_++ % 3);
    }
    call->respond(std::move(refusal));
}

void job_api::show(const job_id& id, http_server::responder respond) {
    leader_.query_state(
        id, settings_.leader_timeout,
        [this, id, respond = std::move(respond)](std::optional<wire::job_state_reply>&& answer) {
            if (answer && answer->known) {
                respond(state_response(answer->state));
            } else {
                show_stored(id, respond);
            }
        });
}

void job_api::show_stored(const job_id& id, http_server::responder respond) {
    // The cancellation's key begins with the job's, so one listing reads both.
    store_.list(
        store_keys::job(id), "", settings_.store_timeout,
        [this, id, respond = std::move(respond)](std::variant<store_page, store_error>&& result) {
            if (std::holds_alternative<store_error>(result)) {
                respond(response_of(503));
                return;
            }
            const std::vector<store_item>& items = std::get<store_page>(result).items;
            if (items.empty()) {
                respond(response_of(410));
            } else {
                show_stored_progress(id, items.size() > 1, respond);
            }
        });
}

void job_api::show_stored_progress(const job_id& id, bool cancelled,
                                   http_server::responder respond) {
    store_.get(
        store_keys::progress(id), settings_.store_timeout,
        [this, cancelled,
         respond = std::move(respond)](std::variant<store_item, store_error>&& result) {
            const store_item* const item = std::get_if<store_item>(&result);
            if (item == nullptr) {
                respond(response_of(503));
                return;
            }
            const std::optional<job_progress> progress =
                item->revision == 0 ? std::nullopt : wire::decode_job_progress(item->value);
            const job_state stored = progress ? progress->state : job_state::queued;
            // A cancellation does not change a final state that was reached before it.
            respond(state_response(cancelled && !is_final(stored) ? job_state::cancelled : stored));
        });
}

void job_api::cancel(const job_id& id, boot_time deadline, http_server::responder respond) {
    leader_.query_state(id, settings_.leader_timeout,
                        [this, id, deadline, respond = std::move(respond)](
                            std::optional<wire::job_state_reply>&& answer) {
                            if (answer && answer->known) {
                                store_cancellation(id, deadline, respond);
                            } else {
                                cancel_stored(id, deadline, respond);
                            }
                        });
}

void job_api::cancel_stored(const job_id& id, boot_time deadline, http_server::responder respond) {
    store_.get(store_keys::job(id), settings_.store_timeout,
               [this, id, deadline,
                respond = std::move(respond)](std::variant<store_item, store_error>&& result) {
                   const store_item* const item = std::get_if<store_item>(&result);
                   if (item == nullptr) {
                       respond(response_of(504));
                   } else if (item->revision == 0) {
                       respond(response_of(410));
                   } else {
                       store_cancellation(id, deadline, respond);
                   }
               });
}

void job_api::store_cancellation(const job_id& id, boot_time deadline,
                                 http_server::responder respond) {
    const std::shared_ptr<pending_write> call = std::make_shared<pending_write>();
    call->id = id;
    call->transaction.expected = {{store_keys::cancellation(id), 0}};
    call->transaction.writes = {{store_keys::cancellation(id), "", no_lease}};
    call->deadline = deadline;
    call->on_stored = [this, id, respond](bool /*already_stored*/) {
        log_request("Accepted a cancellation.", id, "");
        leader_.notify_cancelled(id);
        respond(response_of(200));
    };
    call->respond = std::move(respond);
    try_store(call);
}

void job_api::show_pending(const queue_policy& queue, http_server::responder respond) {
    leader_.query_pending_count(
        queue.name, settings_.leader_timeout,
        [this, respond = std::move(respond)](std::optional<std::uint64_t>&& count) {
            respond(count ? response_of(200, protocol_.encode_pending(*count)) : response_of(503));
        });
}

boot_time job_api::deadline_of(const http_request& request) const {
    const std::string text = request.header(protocol_.deadline_header());
    Poco::Int64 wait_ms{0};
    if (!Poco::NumberParser::tryParse64(text, wait_ms)) {
        wait_ms = settings_.default_deadline.count();
    }
    return boot_now() +
           std::max(milliseconds(wait_ms) - settings_.response_margin, milliseconds(0));
}

http_response job_api::state_response(job_state state) const {
    return response_of(200, protocol_.encode_state(state));
}

} // namespace egretstile::daemon
