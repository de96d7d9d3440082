#include <egretstile/core/interference/pressure_model.hpp>

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <random>

namespace egretstile {
namespace {

constexpr std::int64_t capacity = 64000;
constexpr std::uint32_t target_ms = 150;
/// Latency without users; the runners' latencies are inverse to the idle share.
constexpr double idle_ms = 25.0;
constexpr milliseconds step{500};

/// VMs with serving tasks of two images. Loads swing as on the users' runners, and each image that
/// fills adds to the load of the serving images that it presses on.
class model_vms {
public:
    explicit model_vms(std::uint32_t seed)
        : random_(seed) {}

    /// Share of a load that a whole VM of the filling image adds to the serving image.
    std::map<std::pair<std::string, std::string>, double> added_load;

    /// Lets tasks of the image start and end on all VMs for `span`.
    void run(milliseconds span, const std::string& image, std::int64_t millicores) {
        for (milliseconds passed{0}; passed < span; passed += step) {
            now_ += step;
            for (int vm = 0; vm < vm_count; ++vm) {
                if (std::uniform_int_distribution<int>(0, 5)(random_) == 0) {
                    fills_[vm] = !fills_[vm];
                }
                observe(vm, image, fills_[vm] ? millicores : 0);
            }
        }
    }

    pressure_model model;

private:
    static constexpr int vm_count = 4;

    void observe(int vm, const std::string& image, std::int64_t millicores) {
        const double seconds = std::chrono::duration<double>(now_.time_since_epoch()).count();
        std::vector<guarded_run> runs;
        for (const std::string serving : {"sensitive", "robust"}) {
            const double load =
                0.48 + 0.24 * std::sin(2 * M_PI * (seconds / 20 + vm * 0.3)) +
                added_load[{serving, image}] * static_cast<double>(millicores) / capacity +
                std::normal_distribution<double>(0, 0.03)(random_);
            guarded_run run;
            run.run = {{serving, 0, 0, static_cast<std::uint32_t>(vm)}, 1};
            run.target_latency_ms = target_ms;
            run.latency_ms = static_cast<std::uint32_t>(idle_ms / std::max(0.02, 1 - load));
            run.cpu_millicores = 13000;
            run.image = serving;
            runs.push_back(run);
        }
        if (millicores > 0) {
            guarded_run run;
            run.run = {{"filling", 0, 0, static_cast<std::uint32_t>(vm)}, 1};
            run.fills_idle_cpu = true;
            run.cpu_millicores = millicores;
            run.used_millicores = millicores;
            run.image = image;
            runs.push_back(run);
        }
        model.observe(std::to_string(vm), runs, capacity, now_);
    }

    std::mt19937 random_;
    boot_time now_{std::chrono::seconds(1)};
    std::map<int, bool> fills_;
};

// Guards against the pattern in which VMs stand idle because every image counts as a heavy one.
TEST_CASE("images that press on a serving image are told from those that do not") {
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        model_vms vms(seed);
        vms.added_load[{"sensitive", "heavy"}] = 2.0;
        vms.added_load[{"sensitive", "light"}] = 0.1;
        vms.run(milliseconds(15000), "heavy", 7000);
        vms.run(milliseconds(15000), "light", 14000);
        CAPTURE(seed);
        CHECK(vms.model.slope("sensitive", "heavy") > 5.0);
        CHECK(vms.model.slope("robust", "heavy") < 5.0);
        CHECK(vms.model.slope("sensitive", "light") < 3.0);
    }
}

// Guards against the growth of a task's own load being taken for the pressure of others.
TEST_CASE("a headroom that changes without others teaches nothing of images") {
    model_vms vms(1);
    vms.run(milliseconds(30000), "light", 0);
    CHECK(vms.model.pressures().empty());
}

// Guards against a new leader that starts everything again as if no image were known.
TEST_CASE("what another instance knows better is taken over, what it knows less is not") {
    pressure_model model;
    model.adopt({"server", "image", 3.0, 2.0});
    CHECK(model.slope("server", "image") == Approx(3.0));
    model.adopt({"server", "image", 9.0, 20.0});
    CHECK(model.slope("server", "image") == Approx(3.0));
}

// Guards against two copies of the control taking unknown images for harmless.
TEST_CASE("an unknown image counts as one that presses") {
    pressure_model model;
    CHECK(model.slope("server", "image") == Approx(pressure_model_settings{}.prior_slope));
    CHECK(!model.known("server", "image"));
}

} // namespace
} // namespace egretstile
