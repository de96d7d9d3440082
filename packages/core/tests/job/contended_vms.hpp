#pragma once

#include "simulated_vms.hpp"

#include <cstdint>
#include <string>

namespace egretstile {

inline constexpr std::uint32_t serving_target_ms = 100;

/// VMs of a scheduler that places by contention, unless `by_contention` is false.
class contended_vms : public simulated_vms {
public:
    explicit contended_vms(std::size_t count, bool by_contention = true)
        : simulated_vms(count, 2, settings_for(by_contention), placer_for(by_contention)) {
        exchange();
    }

    void add_serving(const job_id& id, const std::string& image, std::uint32_t count,
                     std::int64_t millicores) {
        job_spec job = make_plain_job(id, count);
        job.steps[0].need.cpu_millicores = millicores;
        job.steps[0].long_running = true;
        job.steps[0].estimate_ms = 0;
        job.steps[0].target_latency_ms = serving_target_ms;
        job.steps[0].image = image;
        scheduler.add_job(job);
    }

    /// Adds a job of one step of filling tasks that need two cores each for 1 s, and should be done
    /// 2 s after it was accepted.
    void add_filling(const job_id& id, const std::string& image, std::uint32_t count,
                     milliseconds accepted_ago = milliseconds(0)) {
        job_spec job = make_plain_job(id, count);
        job.steps[0].need.cpu_millicores = 2000;
        job.steps[0].fills_idle_cpu = true;
        job.steps[0].image = image;
        job.accepted_at_ms = (time - accepted_ago).count();
        scheduler.add_job(job);
    }

    /// Makes the leader learn how much headroom the filling image takes from the serving image.
    void set_slope(const std::string& serving, const std::string& filling, double slope) {
        reports.begin()->second.pressures.push_back({serving, filling, slope, 0.1});
    }

    /// Lets all serving tasks report this latency from now on, for long enough to be learned.
    void measure(std::uint32_t latency_ms) {
        for (int round = 0; round < 8; ++round) {
            for (auto& [name, report] : reports) {
                for (active_run& active : report.active) {
                    if (scheduler.jobs()
                            .find(active.run.task.job)
                            ->spec.steps[active.run.task.step]
                            .target_latency_ms > 0) {
                        active.percent = 100;
                        active.load = latency_ms;
                    }
                }
            }
            exchange(milliseconds(500));
        }
    }

    std::size_t runs_of(const job_id& id) const {
        std::size_t count = 0;
        for (const auto& [name, vm] : scheduler.vms()) {
            for (const auto& [run, needs] : vm.runs) {
                count += run.task.job == id ? 1 : 0;
            }
        }
        return count;
    }

private:
    static scheduler_settings settings_for(bool by_contention) {
        scheduler_settings settings;
        settings.place_by_contention = by_contention;
        return settings;
    }

    static std::unique_ptr<task_placer> placer_for(bool by_contention) {
        if (by_contention) {
            return std::make_unique<image_separating_placer>();
        }
        return std::make_unique<separating_placer>();
    }
};

} // namespace egretstile
