// Stand-ins for the platform: its store and its runners, and the record of what happened.
#pragma once

#include "http.hh"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <condition_variable>
#include <cstdio>
#include <deque>

namespace review {

using steady = std::chrono::steady_clock;

inline std::int64_t wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// What was sent, answered and run, with the time since the start of the case.
class event_record {
public:
    explicit event_record(const std::string& path)
        : file_(std::fopen(path.c_str(), "w")) {}

    double now() const { return std::chrono::duration<double>(steady::now() - start_).count(); }

    void write(const std::string& text) {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::fprintf(file_, "%9.3f %s\n", now(), text.c_str());
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
    steady::time_point start_{steady::now()};
};

inline std::string quoted(const std::string& text) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return buffer.GetString();
}

inline std::string text_of(const rapidjson::Value& body, const char* name) {
    return body.IsObject() && body.HasMember(name) && body[name].IsString() ? body[name].GetString()
                                                                            : "";
}

inline std::int64_t number_of(const rapidjson::Value& body, const char* name) {
    return body.IsObject() && body.HasMember(name) && body[name].IsInt64() ? body[name].GetInt64()
                                                                           : 0;
}

/// Bytes that a text in standard base64 with padding stands for.
inline std::size_t decoded_bytes(const std::string& text) {
    return text.size() / 4 * 3 -
           static_cast<std::size_t>(std::count(
               text.end() - std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(text.size())),
               text.end(), '='));
}

inline std::string to_base64(const std::string& bytes) {
    static const std::string letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8U |
                    (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
        }
        for (std::size_t letter = 0; letter < 4; ++letter) {
            text += at + letter > bytes.size() ? '=' : letters[group >> (18 - 6 * letter) & 63U];
        }
    }
    return text;
}

/// The platform's metadata store: linearizable, keeps its whole history, without rate limits.
class metadata_store {
public:
    metadata_store(const std::string& host, int port, event_record& events)
        : events_(events)
        , server_(host, port, [this](const request& call) { return handle(call); })
        , ticker_([this] { end_leases(); }) {}

    metadata_store(const metadata_store&) = delete;
    metadata_store(metadata_store&&) = delete;
    metadata_store& operator=(const metadata_store&) = delete;
    metadata_store& operator=(metadata_store&&) = delete;

    ~metadata_store() {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopped_ = true;
        }
        changed_.notify_all();
        ticker_.join();
    }

    /// A write of the operator.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        write(key, to_base64(value), 0);
    }

    void erase(const std::string& key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++revision_;
        remove(key);
    }

    /// Number of keys that begin so.
    std::size_t count(const std::string& prefix) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return static_cast<std::size_t>(
            std::count_if(items_.begin(), items_.end(), [&prefix](const auto& row) {
                return row.first.compare(0, prefix.size(), prefix) == 0;
            }));
    }

private:
    static constexpr std::size_t value_bytes = 1048576;

    struct item {
        std::string value;
        std::int64_t revision{0};
        std::int64_t created{0};
        std::int64_t lease{0};
    };

    struct change {
        std::int64_t revision{0};
        std::string key;
        std::string text;
    };

    struct lease {
        std::int64_t ttl_ms{0};
        steady::time_point ends;
    };

    static std::string text_of_item(const std::string& key, const item& value) {
        return "{\"key\":" + quoted(key) + ",\"value\":\"" + value.value +
               "\",\"revision\":" + std::to_string(value.revision) +
               ",\"created\":" + std::to_string(value.created) +
               ",\"lease\":" + std::to_string(value.lease) + "}";
    }

    void write(const std::string& key, const std::string& value, std::int64_t lease_id) {
        item& written = items_[key];
        written.value = value;
        written.revision = revision_;
        written.created = written.created == 0 ? revision_ : written.created;
        written.lease = lease_id;
        changes_.push_back({revision_, key, text_of_item(key, written)});
        changed_.notify_all();
    }

    void remove(const std::string& key) {
        if (items_.erase(key) != 0) {
            changes_.push_back({revision_, key,
                                "{\"key\":" + quoted(key) + ",\"revision\":" +
                                    std::to_string(revision_) + ",\"deleted\":true}"});
            changed_.notify_all();
        }
    }

    void end_lease(std::int64_t id) {
        leases_.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, value] : items_) {
            if (value.lease == id) {
                keys.push_back(key);
            }
        }
        if (!keys.empty()) {
            ++revision_;
            for (const std::string& key : keys) {
                remove(key);
            }
        }
    }

    void end_leases() {
        std::unique_lock<std::mutex> lock(mutex_);
        while (!stopped_) {
            const steady::time_point now = steady::now();
            std::vector<std::int64_t> ended;
            for (const auto& [id, row] : leases_) {
                if (now >= row.ends) {
                    ended.push_back(id);
                }
            }
            for (const std::int64_t id : ended) {
                end_lease(id);
            }
            changed_.wait_for(lock, std::chrono::milliseconds(10));
        }
    }

    std::optional<response> handle(const request& call) {
        std::unique_lock<std::mutex> lock(mutex_);
        const std::string path = call.path;
        const auto query = [&call](const char* name) {
            const auto found = call.query.find(name);
            return found == call.query.end() ? std::string() : found->second;
        };
        if (path == "/v1/kv-key") {
            const auto found = items_.find(query("key"));
            if (found == items_.end()) {
                return response{404, "{}"};
            }
            std::string text = text_of_item(found->first, found->second);
            text.back() = ',';
            return response{200, text + "\"at\":" + std::to_string(revision_) + "}"};
        }
        if (path == "/v1/kv-range") {
            return list(query("prefix"), query("after"));
        }
        if (path == "/v1/kv-watch") {
            return watch(lock, query("prefix"), std::stoll(query("after")),
                         std::stoll(query("wait_ms")));
        }
        rapidjson::Document body;
        body.Parse(call.body.c_str());
        if (path == "/v1/kv-txn") {
            return commit(body);
        }
        if (path == "/v1/kv-lease") {
            const std::int64_t ttl =
                std::clamp<std::int64_t>(number_of(body, "ttl_ms"), 1000, 600000);
            leases_[++last_lease_] = {ttl, steady::now() + std::chrono::milliseconds(ttl)};
            return response{200, "{\"lease\":" + std::to_string(last_lease_) +
                                     ",\"ttl_ms\":" + std::to_string(ttl) + "}"};
        }
        const std::size_t slash = path.rfind('/');
        const std::int64_t id = std::strtoll(path.substr(slash + 1).c_str(), nullptr, 10);
        const auto found = leases_.find(id);
        if (found == leases_.end()) {
            return response{404, "{}"};
        }
        if (path.compare(0, slash, "/v1/kv-keep") == 0) {
            found->second.ends = steady::now() + std::chrono::milliseconds(found->second.ttl_ms);
        } else {
            end_lease(id);
        }
        return response{};
    }

    response list(const std::string& prefix, const std::string& after) const {
        std::string rows;
        std::size_t number = 0;
        bool more = false;
        for (auto row = items_.lower_bound(prefix);
             row != items_.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row) {
            if (!after.empty() && row->first <= after) {
                continue;
            }
            if (number == 500 || rows.size() > 1'000'000) {
                more = true;
                break;
            }
            ++number;
            rows += (rows.empty() ? "" : ",") + text_of_item(row->first, row->second);
        }
        return {200, "{\"items\":[" + rows + "],\"has_more\":" + (more ? "true" : "false") +
                         ",\"at\":" + std::to_string(revision_) + "}"};
    }

    response watch(std::unique_lock<std::mutex>& lock, const std::string& prefix,
                   std::int64_t after, std::int64_t wait_ms) {
        const steady::time_point until = steady::now() + std::chrono::milliseconds(wait_ms);
        while (true) {
            std::string rows;
            for (auto row = changes_.rbegin(); row != changes_.rend() && row->revision > after;
                 ++row) {
                if (row->key.compare(0, prefix.size(), prefix) == 0) {
                    rows.insert(0, row->text + (rows.empty() ? "" : ","));
                }
            }
            if (!rows.empty() || steady::now() >= until || stopped_) {
                return {200,
                        "{\"events\":[" + rows + "],\"at\":" + std::to_string(revision_) + "}"};
            }
            changed_.wait_until(lock, until);
        }
    }

    response commit(const rapidjson::Document& body) {
        std::string present;
        bool holds = true;
        for (const rapidjson::Value& row : body["expected"].GetArray()) {
            const std::string key = text_of(row, "key");
            const auto found = items_.find(key);
            const item value = found == items_.end() ? item{} : found->second;
            holds = holds && value.revision == number_of(row, "revision");
            present += (present.empty() ? "" : ",") + text_of_item(key, value);
        }
        if (!holds) {
            return {412, "{\"items\":[" + present + "]}"};
        }
        for (const rapidjson::Value& row : body["write"].GetArray()) {
            const std::int64_t id = number_of(row, "lease");
            if (id != 0 && leases_.count(id) == 0) {
                return {404, "{}"};
            }
            const std::size_t bytes = decoded_bytes(text_of(row, "value"));
            if (bytes > value_bytes) {
                events_.write("store refuses a write: key=" + text_of(row, "key") +
                              " bytes=" + std::to_string(bytes) + " value_bytes=1048576");
                return {400, "{}"};
            }
        }
        ++revision_;
        for (const rapidjson::Value& row : body["write"].GetArray()) {
            write(text_of(row, "key"), text_of(row, "value"), number_of(row, "lease"));
        }
        for (const rapidjson::Value& row : body["remove"].GetArray()) {
            remove(row.GetString());
        }
        return {200, "{\"revision\":" + std::to_string(revision_) + "}"};
    }

    event_record& events_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopped_{false};
    std::int64_t revision_{1};
    std::int64_t last_lease_{0};
    std::map<std::string, item> items_;
    std::map<std::int64_t, lease> leases_;
    std::deque<change> changes_;
    server server_;
    std::thread ticker_;
};

/// A start of a task by a runner, and how it ended.
struct task_run {
    std::string runner;
    std::string task;
    std::int64_t attempt{0};
    double started{0};
    double ended{-1};
    std::string outcome;
    /// When the end was taken note of; negative: never.
    double noted{-1};
};

/// All runs of all runners.
class run_list {
public:
    run_list(event_record& events, bool log_runs)
        : events_(events)
        , log_runs_(log_runs) {}

    std::size_t begin(const std::string& runner, const std::string& task, std::int64_t attempt) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (log_runs_) {
            events_.write("run begins: runner=" + runner + " task=" + task +
                          " attempt=" + std::to_string(attempt));
        }
        runs_.push_back({runner, task, attempt, events_.now(), -1, "", -1});
        return runs_.size() - 1;
    }

    void end(std::size_t run, const std::string& outcome) {
        const std::lock_guard<std::mutex> lock(mutex_);
        runs_[run].ended = events_.now();
        runs_[run].outcome = outcome;
        if (log_runs_) {
            events_.write("run ends: runner=" + runs_[run].runner + " task=" + runs_[run].task +
                          " attempt=" + std::to_string(runs_[run].attempt) + " how=" + outcome);
        }
    }

    void note(std::size_t run) {
        const std::lock_guard<std::mutex> lock(mutex_);
        runs_[run].noted = events_.now();
    }

    std::vector<task_run> all() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return runs_;
    }

private:
    event_record& events_;
    bool log_runs_;
    std::mutex mutex_;
    std::vector<task_run> runs_;
};

struct runner_options {
    std::string id;
    std::string service;
    std::string zone;
    std::string rack;
    std::string host;
    /// Where the runner takes calls, and where its agent takes heartbeats.
    int port{0};
    int agent_port{0};
    std::int64_t hold_max_ms{10000};
    std::int64_t stop_ms{150};
    std::int64_t cpu{64000};
    std::int64_t mem_mb{256000};
    /// How long a task works.
    std::function<std::int64_t(const std::string& task)> work_ms;
    /// Milliseconds after which a start is carried out without an answer; 0: at once, with one.
    std::function<std::int64_t(const std::string& task, std::int64_t attempt)> start_delay_ms;
    /// Response time of a task that serves, in milliseconds; 0: the task doesn't serve. Tasks that
    /// serve last.
    std::function<std::int64_t(const std::string& task)> latency_ms;
    /// What a task that doesn't serve uses, in thousandths of a core.
    std::int64_t used_cpu{0};
    bool log_heartbeats{false};
};

/// A runner that doesn't guard its capacity. It keeps the rules of PROTOCOL.md on leases, fencing,
/// old runs, ends and acknowledgements.
class runner {
public:
    runner(runner_options options, event_record& events, run_list& runs)
        : options_(std::move(options))
        , events_(events)
        , runs_(runs) {
        begin_life();
        ticker_ = std::thread([this] { tick(); });
        beats_ = std::thread([this] { send_heartbeats(); });
    }

    runner(const runner&) = delete;
    runner(runner&&) = delete;
    runner& operator=(const runner&) = delete;
    runner& operator=(runner&&) = delete;

    ~runner() {
        end_life();
        stopped_ = true;
        ticker_.join();
        beats_.join();
        std::unique_lock<std::mutex> lock(mutex_);
        while (late_calls_ > 0) {
            changed_.wait_for(lock, std::chrono::milliseconds(20));
        }
    }

    const std::string& id() const { return options_.id; }

    std::int64_t born() const { return born_; }

    std::int64_t sequence() const { return sequence_; }

    const runner_options& options() const { return options_; }

    /// A new process under the same id: it holds and knows nothing of before.
    void begin_life() {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            born_ = std::max(wall_ms(), born_ + 1);
            began_ = steady::now();
            sequence_ = 0;
            fence_ = 0;
            lease_until_ = 0;
            last_end_ = 0;
            ticked_at_ = 0;
            active_.clear();
            ended_.clear();
            closed_.clear();
            alive_ = true;
        }
        events_.write("runner begins: runner=" + options_.id + " born=" + std::to_string(born_));
        server_ = std::make_unique<server>(options_.host, options_.port,
                                           [this](const request& call) { return handle(call); });
        beat_now_ = true;
    }

    /// The process is killed: what runs there is gone.
    void end_life() {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (!alive_) {
                return;
            }
            alive_ = false;
            for (const auto& [task, run] : active_) {
                runs_.end(run.number, "gone");
            }
            active_.clear();
        }
        changed_.notify_all();
        events_.write("runner is killed: runner=" + options_.id);
        server_.reset();
    }

    std::string heartbeat(std::int64_t sequence, const std::string& service) const {
        return "{\"service\":" + quoted(service) + ",\"address\":\"" + options_.host + ":" +
               std::to_string(options_.port) + "\",\"zone\":" + quoted(options_.zone) +
               R"(,"version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":)" +
               std::to_string(options_.cpu) + ",\"mem_mb\":" + std::to_string(options_.mem_mb) +
               R"(,"gpu":0},"labels":["a",)" + quoted(options_.rack) +
               "],\"clock_ms\":" + std::to_string(clock_ms()) +
               ",\"born\":" + std::to_string(born_) + ",\"sequence\":" + std::to_string(sequence) +
               "}";
    }

    /// While it hangs, the runner takes calls and neither carries them out nor answers them. Its
    /// check-ins and its tasks go on.
    void set_hanging(bool hanging) {
        events_.write(std::string(hanging ? "runner hangs" : "runner takes calls again") +
                      ": runner=" + options_.id);
        hangs_ = hanging;
        changed_.notify_all();
    }

    std::string heartbeat_path() const { return "/v1/instances/" + options_.id + "/heartbeat"; }

private:
    struct active_run {
        std::int64_t attempt{0};
        std::int64_t work{0};
        std::int64_t stops_at{0};
        std::size_t number{0};
        std::int64_t latency{0};
        std::int64_t pace{100};
        double worked{0};
    };

    struct ended_run {
        std::int64_t number{0};
        std::string task;
        std::int64_t attempt{0};
        std::string outcome;
        std::size_t run{0};
    };

    std::int64_t clock_ms() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - began_)
            .count();
    }

    void send_heartbeats() {
        steady::time_point last;
        while (!stopped_) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            if (!alive_ || (!beat_now_.exchange(false) &&
                            steady::now() < last + std::chrono::milliseconds(1500))) {
                continue;
            }
            last = steady::now();
            const std::optional<response> answer =
                call(options_.host, options_.agent_port, "POST", heartbeat_path(), options_.host,
                     heartbeat(++sequence_, options_.service), 1000);
            if (options_.log_heartbeats) {
                events_.write(
                    "check-in: runner=" + options_.id + " sequence=" + std::to_string(sequence_) +
                    " answer=" + (answer ? std::to_string(answer->status) : std::string("none")));
            }
        }
    }

    void tick() {
        while (!stopped_) {
            std::this_thread::sleep_for(std::chrono::milliseconds(4));
            const std::lock_guard<std::mutex> lock(mutex_);
            if (!alive_) {
                continue;
            }
            const std::int64_t now = clock_ms();
            std::vector<std::pair<std::string, std::string>> ends;
            const double passed = static_cast<double>(now - ticked_at_);
            ticked_at_ = now;
            for (auto& [task, run] : active_) {
                run.worked += passed * static_cast<double>(run.pace) / 100.0;
                if (now >= lease_until_) {
                    ends.emplace_back(task, "lapsed");
                } else if (run.latency == 0 && run.worked >= static_cast<double>(run.work)) {
                    ends.emplace_back(task, "done");
                } else if (run.stops_at != 0 && now >= run.stops_at) {
                    ends.emplace_back(task, "stopped");
                }
            }
            for (const auto& [task, outcome] : ends) {
                const active_run run = active_[task];
                active_.erase(task);
                closed_[task] = std::max(closed_[task], run.attempt);
                ended_.push_back({++last_end_, task, run.attempt, outcome, run.number});
                runs_.end(run.number, outcome);
            }
            if (!ends.empty()) {
                changed_.notify_all();
            }
        }
    }

    std::optional<response> handle(const request& call) {
        if (hangs_) {
            return std::nullopt;
        }
        rapidjson::Document body;
        body.Parse(call.body.c_str());
        std::unique_lock<std::mutex> lock(mutex_);
        if (!alive_ || !body.IsObject()) {
            return response{400, with_clock("")};
        }
        const auto expected = call.headers.find("egretstile-expect-instance");
        if (expected != call.headers.end() && expected->second != options_.id) {
            return response{421, with_clock("")};
        }
        if (number_of(body, "fencing_token") < fence_) {
            return response{409, with_clock(R"(,"reason":"fence")")};
        }
        if (call.path == "/v1/run-start") {
            const std::string task = text_of(body, "task");
            const std::int64_t attempt = number_of(body, "attempt");
            const std::int64_t delay =
                options_.start_delay_ms ? options_.start_delay_ms(task, attempt) : 0;
            if (delay > 0) {
                events_.write("start is left unanswered: runner=" + options_.id + " task=" + task +
                              " attempt=" + std::to_string(attempt) +
                              " deadline_ms=" + std::to_string(number_of(body, "deadline_ms")) +
                              " clock_ms=" + std::to_string(clock_ms()) +
                              " carried_out_after_ms=" + std::to_string(delay));
                ++late_calls_;
                std::thread([this, call, delay] { carry_out_late(call, delay); }).detach();
                return std::nullopt;
            }
            fence_ = number_of(body, "fencing_token");
            return start(body);
        }
        fence_ = number_of(body, "fencing_token");
        if (call.path == "/v1/run-stop") {
            stop(body);
            return response{200, with_clock("")};
        }
        if (call.path == "/v1/hold") {
            return hold(lock, body);
        }
        if (call.path == "/v1/pace") {
            const auto found = active_.find(text_of(body, "task"));
            if (found != active_.end() && found->second.attempt == number_of(body, "attempt")) {
                found->second.pace = number_of(body, "percentage");
            }
        }
        return response{200, with_clock("")};
    }

    void carry_out_late(const request& call, std::int64_t delay) {
        const steady::time_point until = steady::now() + std::chrono::milliseconds(delay);
        while (steady::now() < until && !stopped_) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        rapidjson::Document body;
        body.Parse(call.body.c_str());
        const std::lock_guard<std::mutex> lock(mutex_);
        if (alive_ && !stopped_) {
            response answer{409, with_clock(R"(,"reason":"fence")")};
            if (number_of(body, "fencing_token") >= fence_) {
                fence_ = number_of(body, "fencing_token");
                answer = start(body);
            }
            events_.write("the late start is carried out: runner=" + options_.id +
                          " task=" + text_of(body, "task") +
                          " attempt=" + std::to_string(number_of(body, "attempt")) +
                          " result=" + std::to_string(answer.status) + " " + answer.body +
                          " lease_until_ms=" + std::to_string(lease_until_));
        }
        --late_calls_;
        changed_.notify_all();
    }

    response start(const rapidjson::Document& body) {
        const std::string task = text_of(body, "task");
        const std::int64_t attempt = number_of(body, "attempt");
        const std::int64_t deadline = number_of(body, "deadline_ms");
        if (deadline <= clock_ms()) {
            return {409, with_clock(R"(,"reason":"late")")};
        }
        extend_lease(deadline);
        const auto found = active_.find(task);
        if (found != active_.end() && found->second.attempt == attempt) {
            return {200, with_clock("")};
        }
        const auto closed = closed_.find(task);
        if (found != active_.end() || (closed != closed_.end() && attempt <= closed->second)) {
            return {409, with_clock(R"(,"reason":"old")")};
        }
        active_run& run = active_[task];
        run.attempt = attempt;
        run.work = options_.work_ms(task);
        run.number = runs_.begin(options_.id, task, attempt);
        run.latency = options_.latency_ms ? options_.latency_ms(task) : 0;
        return {200, with_clock("")};
    }

    void stop(const rapidjson::Document& body) {
        const std::string task = text_of(body, "task");
        const std::int64_t attempt = number_of(body, "attempt");
        std::int64_t& closed = closed_[task];
        closed = std::max(closed, attempt);
        const auto found = active_.find(task);
        if (found != active_.end() && found->second.attempt <= attempt &&
            found->second.stops_at == 0) {
            found->second.stops_at = clock_ms() + options_.stop_ms;
        }
    }

    std::optional<response> hold(std::unique_lock<std::mutex>& lock,
                                 const rapidjson::Document& body) {
        extend_lease(number_of(body, "deadline_ms"));
        while (!ended_.empty() && ended_.front().number <= number_of(body, "acked_through")) {
            runs_.note(ended_.front().run);
            ended_.pop_front();
        }
        const std::int64_t born = born_;
        const steady::time_point until =
            steady::now() +
            std::chrono::milliseconds(std::min<std::int64_t>(number_of(body, "wait_ms"), 2000));
        while (alive_ && !hangs_ && born == born_ && ended_.empty() && steady::now() < until) {
            changed_.wait_until(lock, until);
        }
        if (!alive_ || hangs_ || born != born_) {
            return std::nullopt;
        }
        return response{200, with_clock(lists())};
    }

    void extend_lease(std::int64_t until) {
        lease_until_ = std::max(lease_until_, std::min(until, clock_ms() + options_.hold_max_ms));
    }

    std::string lists() const {
        std::string active;
        for (const auto& [task, run] : active_) {
            const std::int64_t percent =
                run.latency > 0
                    ? 100
                    : std::clamp<std::int64_t>(static_cast<std::int64_t>(run.worked) * 100 /
                                                   std::max<std::int64_t>(run.work, 1),
                                               0, 99);
            active += active.empty() ? "[" : ",[";
            active += quoted(task) + "," + std::to_string(run.attempt) + ",\"\"," +
                      std::to_string(percent) + "," +
                      std::to_string(run.latency > 0 ? run.latency : options_.used_cpu) + "]";
        }
        std::string ended;
        for (std::size_t row = 0; row < std::min<std::size_t>(ended_.size(), 500); ++row) {
            ended += (ended.empty() ? "[" : ",[") + std::to_string(ended_[row].number) + "," +
                     quoted(ended_[row].task) + "," + std::to_string(ended_[row].attempt) + ",\"" +
                     ended_[row].outcome + "\",\"\"]";
        }
        return ",\"active\":[" + active + "],\"finished\":[" + ended + "]";
    }

    std::string with_clock(const std::string& fields) const {
        return "{\"clock_ms\":" + std::to_string(clock_ms()) +
               ",\"born\":" + std::to_string(born_) + fields + "}";
    }

    runner_options options_;
    event_record& events_;
    run_list& runs_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> alive_{false};
    std::atomic<bool> stopped_{false};
    std::atomic<bool> hangs_{false};
    std::atomic<bool> beat_now_{false};
    std::atomic<std::int64_t> sequence_{0};
    std::int64_t born_{0};
    steady::time_point began_;
    std::int64_t fence_{0};
    std::int64_t lease_until_{0};
    std::int64_t last_end_{0};
    std::int64_t ticked_at_{0};
    int late_calls_{0};
    std::map<std::string, active_run> active_;
    std::deque<ended_run> ended_;
    std::map<std::string, std::int64_t> closed_;
    std::unique_ptr<server> server_;
    std::thread ticker_;
    std::thread beats_;
};

} // namespace review
