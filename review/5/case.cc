// Two machines are removed for good at the same moment: the leading entry, and a side machine on
// which lasting tasks run.
#include "platform.h"

using namespace review;

int main() {
    recorder record("review/5/record.txt");
    const auto duration = [](const std::string& task) -> std::int64_t {
        return task.compare(0, 8, "5c0e7a21") == 0 ? 0 : 300;
    };
    int result = 2;
    constexpr std::size_t sides = 4;
    deployment& system = *new deployment(record, 3, sides, duration);
    if (system.start()) {
        const std::string id = "5c0e7a21d94b36f8";
        const int accepted = system.post(
            1, id,
            deployment::job("[{\"count\":6,\"cpu\":2000,\"mem_mb\":256,\"anti_affinity\":2,"
                            "\"long_running\":true}]"));
        sleep_ms(6000);
        const std::size_t leader = system.leader();
        std::size_t busiest = 0;
        for (std::size_t i = 0; i < sides; ++i) {
            if (system.runner_at(i).active() > system.runner_at(busiest).active()) {
                busiest = i;
            }
        }
        const std::int64_t removed_at = record.now();
        if (trouble()) {
            record.line("removing " + system.entry(leader).name() + " and " +
                        system.agent(busiest).name() + " for good");
            system.entry(leader).kill(SIGKILL);
            system.agent(busiest).kill(SIGKILL);
            system.runner_at(busiest).remove();
        }
        sleep_ms(26000);
        system.state((leader + 1) % 3, id);
        if (accepted == 200 && system.runs().events().size() >= 6) {
            // Of each task: its last end, and its next start.
            std::map<std::string, std::int64_t> idle_since;
            int waited = 0;
            std::int64_t longest = 0;
            for (int index = 0; index < 6; ++index) {
                idle_since[id + ".0.0." + std::to_string(index)] = removed_at;
            }
            const auto check = [&](std::int64_t from, std::int64_t to) {
                longest = std::max(longest, to - from);
                // From 6 s after the last run, for 3 s, with the 4 s before them calm.
                const std::int64_t begin = std::max(from + 6000, removed_at + 4000);
                waited += to > begin + 3000 ? 1 : 0;
            };
            for (const run_event& event : system.runs().events()) {
                if (idle_since.count(event.task) == 0 &&
                    event.task.compare(0, 8, "5c0e7a21") != 0) {
                    continue;
                }
                if (event.what != "start") {
                    idle_since[event.task] = event.at_ms;
                } else if (idle_since.count(event.task) != 0) {
                    if (event.at_ms > removed_at) {
                        check(idle_since[event.task], event.at_ms);
                    }
                    idle_since.erase(event.task);
                }
            }
            for (const auto& [task, since] : idle_since) {
                check(since, record.now());
            }
            record.line("longest time without a run: " + std::to_string(longest) + " ms");
            record.line(
                "lasting tasks that did not run for 3 s, from 6 s after their last run, in calm: " +
                std::to_string(waited));
            result = waited > 0 ? 1 : 0;
        }
    }
    system.stop();
    record.line(result == 1   ? "the rule was broken"
                : result == 0 ? "the rule held"
                              : "the case could not run");
    std::_Exit(result);
}
